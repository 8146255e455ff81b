"""Placement: the assignment of a group's buckets to targets in one zone."""

from enum import IntEnum

import msgspec

__all__ = ["Generation", "Phase", "PlacedTarget", "Placement", "TargetState"]


class Phase(IntEnum):
    """Phases of a placement change."""

    STABLE = 0
    PREPARED = 1
    ACTIVE = 2


class TargetState(IntEnum):
    """Target states in a placement."""

    WORKING = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Generation(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Orders the placements of one group and zone; the higher one takes precedence.

    Attributes:
        counter: Incremented with every placement.
        instance: Instance that wrote the placement; breaks ties when a zone is partitioned.
    """

    counter: int = 0
    instance: str = ""


class PlacedTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target in a placement; its index doesn't change during the lifetime of the placement.

    Attributes:
        name: Name in the group.
        address: IP address that receives encapsulated packets.
        port: UDP port that receives encapsulated packets.
        weight: Relative share of buckets; 0 if the target receives no new flows.
        state: Working, suspect, leaving or dead.
    """

    name: str
    address: str
    port: int
    weight: int
    state: TargetState = TargetState.WORKING


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """The placement of one group in one zone.

    Bucket b is stable where base[b] == current[b] == upcoming[b] and b isn't in returned,
    prepared where upcoming[b] != current[b], and split where base[b] != current[b] or b is in
    returned.

    Attributes:
        group: Name of the group.
        zone: Availability zone.
        generation: Generation, which orders placements.
        phase: Phase of the latest change.
        targets: The targets; base, current and upcoming contain indices into it.
        base: Target index of flows without a record, per bucket.
        current: Target index of new flows, per bucket.
        upcoming: Target index of new flows after activation, per bucket.
        seed: Seed of the flow hash.
        returned: Buckets whose new flows moved back to the base target from another target;
            recorded flows may remain on that target until the bucket is released.
    """

    group: str
    zone: str
    generation: Generation
    phase: Phase
    targets: tuple[PlacedTarget, ...]
    base: tuple[int, ...]
    current: tuple[int, ...]
    upcoming: tuple[int, ...]
    seed: int = 0
    returned: frozenset[int] = frozenset()
