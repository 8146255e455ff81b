"""States of a bucket and the table of their legal transitions."""

from enum import IntEnum

from pearwell.model.placement import Placement

__all__ = [
    "TRANSITIONS",
    "BucketEvent",
    "BucketState",
    "classify",
    "moving_buckets",
    "reachable",
    "state_of",
]


class BucketState(IntEnum):
    """States of a bucket in one placement."""

    STABLE = 0
    PREPARED = 1
    SPLIT = 2
    SPLIT_PREPARED = 3


class BucketEvent(IntEnum):
    """Steps of a change, as one bucket sees them."""

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
    """Returns the state of a bucket with these targets."""
    split = base != current or returned
    return BucketState((upcoming != current) | split << 1)


def state_of(placement: Placement, bucket: int) -> BucketState:
    """Returns the state of a bucket."""
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


def reachable(before: BucketState, after: BucketState) -> bool:
    """Tells whether one step leads from a state to another, or the state stays."""
    return before is after or any(
        source is before and target is after for (source, _), target in TRANSITIONS.items()
    )
