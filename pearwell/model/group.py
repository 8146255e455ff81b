"""Target groups: the targets that serve a service."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "DEFAULT_ENCAPSULATION_PORT",
    "MAX_WEIGHT",
    "MIN_WEIGHT",
    "GroupSpec",
    "HealthCheck",
    "TargetIntent",
    "TargetSpec",
]

# IANA's port for generic UDP encapsulation (draft-ietf-intarea-gue).
DEFAULT_ENCAPSULATION_PORT = 6080
MIN_WEIGHT = 1
MAX_WEIGHT = 1000
DEFAULT_WEIGHT = 100


class TargetIntent(StrEnum):
    """What the operator wants of a target."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """How targets of a group are probed.

    Attributes:
        port: Port of the HTTP health and load endpoint; 0 turns probing off.
        path: Path that answers 200 while the target works.
        load_path: Path that answers a JSON load report; empty if there is none.
        interval_s: Time between two probes by one prober.
        timeout_s: Time after which a probe counts as failed.
        failures: Consecutive failures until a target is suspect.
        successes: Consecutive successes until a suspect target works again.
    """

    port: int = 0
    path: str = "/healthz"
    load_path: str = "/load"
    interval_s: float = 1.0
    timeout_s: float = 0.5
    failures: int = 3
    successes: int = 2


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """One target of a group.

    Attributes:
        name: Unique name in the group.
        address: IP address that takes encapsulated packets.
        zone: Availability zone of the target.
        port: UDP port that takes encapsulated packets.
        weight: Relative share of new flows, from MIN_WEIGHT to MAX_WEIGHT.
        slots: Requests that it serves at once; 0 if unknown.
        intent: Whether the operator wants it to serve or to leave.
        drain_deadline_s: Time a leaving target keeps its flows; 0 means until they end.
    """

    name: str
    address: str
    zone: str
    port: int = DEFAULT_ENCAPSULATION_PORT
    weight: int = DEFAULT_WEIGHT
    slots: int = 0
    intent: TargetIntent = TargetIntent.SERVING
    drain_deadline_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """A named set of targets.

    Attributes:
        name: Unique name.
        targets: The targets, in all zones.
        health: How they are probed.
        seed: Seed of the flow hash.
    """

    name: str
    targets: tuple[TargetSpec, ...]
    health: HealthCheck = field(default_factory=HealthCheck)
    seed: int = 0
