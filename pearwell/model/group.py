"""Target groups: the sets of targets that serve services."""

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

# Port assigned by IANA to generic UDP encapsulation (draft-ietf-intarea-gue).
DEFAULT_ENCAPSULATION_PORT = 6080
MIN_WEIGHT = 1
MAX_WEIGHT = 1000
DEFAULT_WEIGHT = 100


class TargetIntent(StrEnum):
    """Administrative state of a target, set by the operator."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Health check settings of a group.

    Attributes:
        port: Port of the HTTP health and load endpoints; 0 disables probing.
        path: Path that returns status 200 while the target works.
        load_path: Path that returns a JSON load report; empty if there is none.
        interval_s: Time in seconds between two probes by one prober.
        timeout_s: Time in seconds after which a probe counts as failed.
        failures: Consecutive failures after which a target is suspect.
        successes: Consecutive successes after which a suspect target is working.
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
        address: IP address that receives encapsulated packets.
        zone: Availability zone of the target.
        port: UDP port that receives encapsulated packets.
        weight: Relative share of new flows, from MIN_WEIGHT to MAX_WEIGHT.
        slots: Requests that it can serve concurrently; 0 if unknown.
        intent: Whether the operator wants it to serve or to leave.
        drain_deadline_s: Time in seconds until the flows of a leaving target are reset; 0 means
            no deadline.
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
        health: Health check settings.
        seed: Seed of the flow hash.
    """

    name: str
    targets: tuple[TargetSpec, ...]
    health: HealthCheck = field(default_factory=HealthCheck)
    seed: int = 0
