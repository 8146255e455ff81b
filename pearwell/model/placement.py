"""Placement: which target each bucket of a group belongs to in one zone."""

from enum import IntEnum

import msgspec

__all__ = ["Generation", "Phase", "PlacedTarget", "Placement", "TargetState"]


class Phase(IntEnum):
    """Phases of a change of placement."""

    STABLE = 0
    PREPARED = 1
    ACTIVE = 2


class TargetState(IntEnum):
    """What a placement knows of a target."""

    WORKING = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Generation(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Orders the placements of one group and zone; the higher one wins.

    Attributes:
        counter: Raised by one with every placement.
        instance: Instance that wrote it; breaks ties between zones' halves.
    """

    counter: int = 0
    instance: str = ""


class PlacedTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target as a placement sees it; it keeps its index for the placement's life.

    Attributes:
        name: Name in the group.
        address: IP address that takes encapsulated packets.
        port: UDP port that takes encapsulated packets.
        weight: Share of buckets; 0 for a target that gets no new flows.
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
        generation: Orders placements.
        phase: Phase of the latest change.
        targets: The targets; table entries are indices into it.
        base: Target index of flows without a record, per bucket.
        current: Target index of new flows, per bucket.
        upcoming: Target index of new flows after activation, per bucket.
        seed: Seed of the flow hash.
        returned: Buckets whose new flows went back to the base target after they went elsewhere;
            recorded flows may be left elsewhere until the bucket is released.
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
