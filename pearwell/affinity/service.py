"""What the operator's configuration tells about the targets of a service."""

__all__ = ["Service"]

# Share of the limit on flows from which it counts as near. An instance sees the flows of all others
# only by its own, and half the limit leaves room for an uneven spread.
NEAR_SHARE = 0.5


class Service:
    """One service.

    Attributes:
        name: Name of the service.
        max_flows: Maximum number of flows on one of its targets, of all instances together; None
            if there is no limit.
        warmup_starts_per_s: Flows that all instances together may start on a target per second
            while it is cold; None if there is no limit.
        health_path: Path of its targets' health check; None if there is none.
    """

    __slots__ = ("health_path", "max_flows", "name", "warmup_starts_per_s")

    def __init__(
        self,
        name: str,
        max_flows: int | None = None,
        warmup_starts_per_s: float | None = None,
        health_path: str | None = None,
    ) -> None:
        self.name = name
        self.max_flows = max_flows
        self.warmup_starts_per_s = warmup_starts_per_s
        self.health_path = health_path

    def nears_limit(self, held_flows: int, instances: int) -> bool:
        """Whether a target may be near its limit on flows.

        Args:
            held_flows: Open flows on the target through this instance.
            instances: Number of instances.
        """
        return self.max_flows is not None and held_flows * instances >= NEAR_SHARE * self.max_flows
