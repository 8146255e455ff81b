"""Ranks instances for shards by rendezvous hashing, with the same result at every instance."""

from functools import lru_cache

from xxhash import xxh3_64_intdigest

from pearwell.steering.record import SHARDS

__all__ = ["outranks", "rank_owners"]

# The primary, the backup, and one more as a forwarding candidate.
_RANKED_MEMBERS = 3


@lru_cache(maxsize=16)
def rank_owners(instances: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
    """Returns the owners of every shard, the primary first.

    Args:
        instances: Sorted instance ids of the zone.
    """
    scores = {name: _scores(name) for name in instances}
    return tuple(
        tuple(sorted(instances, key=lambda name: (scores[name][shard], name), reverse=True))[
            :_RANKED_MEMBERS
        ]
        for shard in range(SHARDS)
    )


def outranks(instance: str, other: str, shard: int) -> bool:
    """Returns whether an instance ranks above another one for a shard, in every view."""
    return (_scores(instance)[shard], instance) > (_scores(other)[shard], other)


@lru_cache(maxsize=4096)
def _scores(instance: str) -> tuple[int, ...]:
    """Returns the rendezvous score of an instance for every shard."""
    return tuple(xxh3_64_intdigest(f"{shard}\0{instance}".encode()) for shard in range(SHARDS))
