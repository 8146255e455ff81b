"""Sets up the limit on the flows of a target once a target comes near it."""

from collections.abc import Callable

from pearwell.affinity.directory import Directory
from pearwell.affinity.fleet_size import FleetSize
from pearwell.affinity.flow_placement import FlowPlacement
from pearwell.affinity.routes import RouteTable
from pearwell.text_metrics import Sample

__all__ = ["FlowLimitWatch"]


class FlowLimitWatch:
    """Watches how near targets are to the limits of the configuration.

    Args:
        directory: Targets.
        routes: Routes and services in force.
        fleet: Estimate of the number of instances.
        placement: Selection of the targets of new flows.
        log: Logs an event's name and its fields.
    """

    def __init__(
        self,
        directory: Directory,
        routes: RouteTable,
        fleet: FleetSize,
        placement: FlowPlacement,
        log: Callable[..., None],
    ) -> None:
        self._directory = directory
        self._routes = routes
        self._fleet = fleet
        self._placement = placement
        self._log = log
        # Number of instances as last told; None before that.
        self._instances: int | None = None

    def samples(self) -> list[Sample]:
        """Returns the gauges for the metrics endpoint."""
        limit = self._placement.flow_limit
        return [
            (
                "target_full",
                "gauge",
                {"service": target.service, "target": target.name},
                limit is not None and limit.is_full(target),
            )
            for target in self._directory
        ]

    def tick(self, now: float) -> None:
        """Counts the flows of targets against the limits; called every second."""
        if self._fleet.is_current(now):
            self._instances = self._fleet.estimate(now)
        if self._instances is None:
            return
        limit = self._placement.flow_limit
        if limit is None:
            if not self._nears_limit(self._instances):
                return
            # Limits are far away on most deployments.
            from pearwell.affinity.flow_limit import FlowLimit

            limit = FlowLimit(self._directory, self._routes.find_service, self._log)
            self._placement.flow_limit = limit
            self._placement.add_limit(limit)
        limit.tick(now, self._instances)

    def _nears_limit(self, instances: int) -> bool:
        for target in self._directory:
            service = self._routes.find_service(target.service)
            if service is not None and service.nears_limit(target.held_flows, instances):
                return True
        return False
