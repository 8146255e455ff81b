"""Parameters of a soak."""

from dataclasses import dataclass
from pathlib import Path

from pearwell.soak.earlier_build import Rollout

__all__ = ["SoakOptions"]


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Parameters of a run.

    Attributes:
        seed: Seed of the schedule and of the clients.
        length_s: Duration of the phase with faults, in seconds.
        instances: Number of instances.
        hosts: Number of hosts of each service.
        clients: Number of clients.
        octet: Second octet of all loopback addresses, so that concurrent runs don't clash.
        directory: Directory for settings and logs.
        beside: Directory of an earlier build that runs beside the current one; None for none.
        rollout: Order in which the two builds replace each other.
    """

    seed: int
    length_s: float
    instances: int
    hosts: int
    clients: int
    octet: int
    directory: Path
    beside: Path | None = None
    rollout: Rollout = Rollout.FORWARD
