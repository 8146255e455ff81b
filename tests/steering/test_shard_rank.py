"""Tests of pearwell.steering.shard_rank."""

from collections import Counter

from pearwell.steering.record import SHARDS
from pearwell.steering.shard_rank import outranks, rank_owners

NAMES = tuple(f"i{number:02}" for number in range(18))


def test_shards_spread_over_the_instances():
    primaries = Counter(owners[0] for owners in rank_owners(NAMES))
    assert len(primaries) == len(NAMES)
    assert max(primaries.values()) < 3 * SHARDS / len(NAMES)


def test_a_lost_primary_is_replaced_by_its_backup_and_other_shards_stay():
    before = rank_owners(NAMES)
    after = rank_owners(NAMES[1:])
    for old, new in zip(before, after, strict=True):
        assert new[0] == (old[1] if old[0] == NAMES[0] else old[0])


def test_the_ranks_are_the_same_in_every_view():
    for shard, owners in enumerate(rank_owners(NAMES)):
        assert all(outranks(owners[0], name, shard) for name in NAMES if name != owners[0])
