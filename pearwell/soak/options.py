"""Parameters of a soak."""

from dataclasses import dataclass
from pathlib import Path

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
    """

    seed: int
    length_s: float
    instances: int
    hosts: int
    clients: int
    octet: int
    directory: Path
