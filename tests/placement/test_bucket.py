"""Tests of pearwell.placement.bucket."""

import pytest

from pearwell.model.placement import Generation, Phase, PlacedTarget, Placement
from pearwell.placement.bucket import BucketState, is_legal_transition, moving_buckets, state_of

TARGETS = tuple(PlacedTarget(f"t{n}", f"127.9.1.{n}", 6080, 100) for n in range(3))


@pytest.mark.parametrize(
    ("base", "current", "upcoming", "returned", "state"),
    [
        (0, 0, 0, False, BucketState.STABLE),
        (0, 0, 1, False, BucketState.PREPARED),
        (0, 1, 1, False, BucketState.SPLIT),
        (0, 1, 2, False, BucketState.SPLIT_PREPARED),
        (0, 0, 0, True, BucketState.SPLIT),
        (0, 0, 1, True, BucketState.SPLIT_PREPARED),
    ],
)
def test_state_follows_from_the_tables(base, current, upcoming, returned, state):
    placement = Placement(
        "g",
        "z",
        Generation(1, "i"),
        Phase.STABLE,
        TARGETS,
        (base, 0),
        (current, 0),
        (upcoming, 0),
        0,
        frozenset({0} if returned else ()),
    )
    assert state_of(placement, 0) is state
    assert moving_buckets(placement) == ({0} if state else set())


@pytest.mark.parametrize(
    ("before", "after", "legal"),
    [
        (BucketState.STABLE, BucketState.PREPARED, True),
        (BucketState.STABLE, BucketState.SPLIT, True),
        (BucketState.STABLE, BucketState.SPLIT_PREPARED, False),
        (BucketState.PREPARED, BucketState.SPLIT_PREPARED, False),
        (BucketState.SPLIT, BucketState.PREPARED, False),
        (BucketState.SPLIT_PREPARED, BucketState.PREPARED, True),
        (BucketState.SPLIT_PREPARED, BucketState.STABLE, False),
    ],
)
def test_only_transitions_in_the_table_are_legal(before, after, legal):
    assert is_legal_transition(before, after) is legal
