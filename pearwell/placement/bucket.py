"""Bucket states and the table of their legal transitions."""

from enum import IntEnum

from pearwell.model.placement import Placement

__all__ = [
    "TRANSITIONS",
    "BucketEvent",
    "BucketState",
    "classify",
    "is_legal_transition",
    "moving_buckets",
    "state_of",
]


class BucketState(IntEnum):
    """States of a bucket in one placement.

    In a split bucket, flows may still be on the base target or, after a second change, on an
    earlier one, while new flows go to the current target.
    """

    STABLE = 0
    PREPARED = 1
    SPLIT = 2
    SPLIT_PREPARED = 3


class BucketEvent(IntEnum):
    """Steps of a placement change that move a bucket from one state to another."""

    PREPARE = 0
    CANCEL = 1
    ACTIVATE = 2
    RELEASE = 3
    FAIL = 4


TRANSITIONS: dict[tuple[BucketState, BucketEvent], BucketState] = {
    (BucketState.STABLE, BucketEvent.PREPARE): BucketState.PREPARED,
    (BucketState.STABLE, BucketEvent.FAIL): BucketState.SPLIT,
    (BucketState.PREPARED, BucketEvent.PREPARE): BucketState.PREPARED,
    (BucketState.PREPARED, BucketEvent.CANCEL): BucketState.STABLE,
    (BucketState.PREPARED, BucketEvent.ACTIVATE): BucketState.SPLIT,
    (BucketState.PREPARED, BucketEvent.FAIL): BucketState.SPLIT,
    (BucketState.SPLIT, BucketEvent.PREPARE): BucketState.SPLIT_PREPARED,
    (BucketState.SPLIT, BucketEvent.RELEASE): BucketState.STABLE,
    (BucketState.SPLIT, BucketEvent.FAIL): BucketState.SPLIT,
    (BucketState.SPLIT_PREPARED, BucketEvent.PREPARE): BucketState.SPLIT_PREPARED,
    (BucketState.SPLIT_PREPARED, BucketEvent.CANCEL): BucketState.SPLIT,
    (BucketState.SPLIT_PREPARED, BucketEvent.ACTIVATE): BucketState.SPLIT,
    (BucketState.SPLIT_PREPARED, BucketEvent.RELEASE): BucketState.PREPARED,
    (BucketState.SPLIT_PREPARED, BucketEvent.FAIL): BucketState.SPLIT,
}


def classify(base: int, current: int, upcoming: int, returned: bool) -> BucketState:
    """Returns the state of a bucket from its targets and its returned flag."""
    split = base != current or returned
    return BucketState((upcoming != current) | split << 1)


def state_of(placement: Placement, bucket: int) -> BucketState:
    """Returns the state of one bucket of a placement."""
    return classify(
        placement.base[bucket],
        placement.current[bucket],
        placement.upcoming[bucket],
        bucket in placement.returned,
    )


def moving_buckets(placement: Placement) -> frozenset[int]:
    """Returns the buckets that aren't stable."""
    if placement.base == placement.current == placement.upcoming:
        return placement.returned
    tables = zip(placement.base, placement.current, placement.upcoming, strict=True)
    changing = {
        bucket
        for bucket, (base, current, upcoming) in enumerate(tables)
        if base != current or upcoming != current
    }
    return frozenset(changing | placement.returned)


def is_legal_transition(before: BucketState, after: BucketState) -> bool:
    """Returns whether a state is unchanged or follows from another by one event."""
    return before is after or any(
        source is before and target is after for (source, _), target in TRANSITIONS.items()
    )
