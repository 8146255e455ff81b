"""Random schedule of the faults of a soak, reproducible from a seed."""

import random
from dataclasses import dataclass
from enum import StrEnum

from pearwell.soak.proxy import Link

__all__ = ["Fault", "FaultKind", "draw_faults"]


class FaultKind(StrEnum):
    """Kinds of faults and changes that the soak injects."""

    INSTANCE_KILL = "instance-kill"
    INSTANCE_STOP = "instance-stop"
    INSTANCE_PAUSE = "instance-pause"
    INSTANCE_HANGUP = "instance-hangup"
    ALL_INSTANCES_KILL = "all-instances-kill"
    HOST_KILL = "host-kill"
    HOST_DRAIN = "host-drain"
    HOST_PAUSE = "host-pause"
    STORE_DOWN = "store-down"
    STORE_SILENT = "store-silent"
    STORE_SLOW = "store-slow"
    STORE_REFUSES = "store-refuses"
    STORE_COMPACT = "store-compact"
    STORE_RESTORE = "store-restore"
    LINK = "link"
    CONFIG_CHANGE = "config-change"
    CONFIG_STORM = "config-storm"
    ZONE_EVACUATION = "zone-evacuation"


# Relative frequency of each kind; restores and evacuations have schedules of their own.
_WEIGHTS = {
    FaultKind.INSTANCE_KILL: 3,
    FaultKind.INSTANCE_STOP: 3,
    FaultKind.INSTANCE_PAUSE: 2,
    FaultKind.INSTANCE_HANGUP: 1,
    FaultKind.ALL_INSTANCES_KILL: 1,
    FaultKind.HOST_KILL: 3,
    FaultKind.HOST_DRAIN: 3,
    FaultKind.HOST_PAUSE: 1,
    FaultKind.STORE_DOWN: 1,
    FaultKind.STORE_SILENT: 1,
    FaultKind.STORE_SLOW: 1,
    FaultKind.STORE_REFUSES: 1,
    FaultKind.STORE_COMPACT: 1,
    FaultKind.LINK: 2,
    FaultKind.CONFIG_CHANGE: 3,
    FaultKind.CONFIG_STORM: 1,
}
MIN_DURATION_S, MAX_DURATION_S = 0.5, 4.0
MIN_GAP_S, MAX_GAP_S = 0.1, 2.0
# Mean interval between restores of the store, and the share of them that another one follows.
RESTORE_INTERVAL_S = 7.0
SECOND_RESTORE_SHARE = 0.4
# Mean interval between evacuations; some overlap.
EVACUATION_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        at_s: Time since the start of the traffic in seconds.
        kind: Kind of the fault.
        subject: Random number that selects the instance or host, modulo the number of them.
        for_s: Duration in seconds.
        link: State of the link between an instance and the store, for LINK.
    """

    at_s: float
    kind: FaultKind
    subject: int
    for_s: float
    link: Link


def draw_faults(seed: int, length_s: float) -> list[Fault]:
    """Returns faults in order of time; a fault that outlasts the gap overlaps the next one.

    Restores and evacuations are drawn separately, so that a seed's other faults are the same as
    without them.
    """
    rng = random.Random(seed)
    kinds, weights = [*_WEIGHTS], [*_WEIGHTS.values()]
    links = [link for link in Link if link is not Link.OPEN]
    faults, at_s = [], rng.uniform(MIN_GAP_S, MAX_GAP_S)
    while at_s < length_s:
        [kind] = rng.choices(kinds, weights)
        for_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        faults.append(Fault(at_s, kind, rng.randrange(1 << 16), for_s, rng.choice(links)))
        at_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    faults += [*_draw_restores(seed, length_s), *_draw_evacuations(seed, length_s)]
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_restores(seed: int, length_s: float) -> list[Fault]:
    rng = random.Random(f"restores of {seed}")
    restores: list[Fault] = []
    at_s = rng.uniform(0, RESTORE_INTERVAL_S)
    while at_s < length_s:
        for_s, variant = rng.uniform(MIN_DURATION_S, MAX_DURATION_S), rng.randrange(1 << 16)
        restores.append(Fault(at_s, FaultKind.STORE_RESTORE, variant, for_s, Link.OPEN))
        is_followed = rng.random() < SECOND_RESTORE_SHARE
        at_s += for_s if is_followed else rng.uniform(0, 2 * RESTORE_INTERVAL_S)
    return restores


def _draw_evacuations(seed: int, length_s: float) -> list[Fault]:
    rng = random.Random(f"evacuations of {seed}")
    evacuations: list[Fault] = []
    at_s = rng.uniform(0, EVACUATION_INTERVAL_S)
    while at_s < length_s:
        for_s, zone = rng.uniform(MIN_DURATION_S, MAX_DURATION_S), rng.randrange(1 << 16)
        evacuations.append(Fault(at_s, FaultKind.ZONE_EVACUATION, zone, for_s, Link.OPEN))
        at_s += rng.uniform(0, 2 * EVACUATION_INTERVAL_S)
    return evacuations
