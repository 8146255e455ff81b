"""Limits of the configuration that all instances observe together, each its share."""

from collections.abc import Callable

from pearwell.affinity.directory import Directory
from pearwell.affinity.fleet_size import FleetSize
from pearwell.affinity.flow_placement import FlowPlacement
from pearwell.affinity.routes import RouteTable
from pearwell.text_metrics import Sample

# True for type checkers only, as in pearwell.affinity.sync.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from pearwell.affinity.flow_limit_watch import FlowLimitWatch
    from pearwell.affinity.warmup import WarmupLimit

__all__ = ["SharedLimits"]


class SharedLimits:
    """The shared limits of one instance, and its estimate of the number of instances.

    They read the configuration in force with each decision, so that they follow its versions.

    Args:
        routes: Routes and services in force.
        directory: Targets.
        placement: Selection of the targets of new flows, which gets the limits.
        relays: Number of relays, including this instance if it is one.
        warmup_overage: See WarmupLimit.
        warmup_slack: See WarmupLimit.
        random: Returns random numbers between 0 and 1.
        log: Logs an event's name and its fields.
    """

    def __init__(
        self,
        routes: RouteTable,
        directory: Directory,
        placement: FlowPlacement,
        relays: int,
        warmup_overage: float,
        warmup_slack: float,
        random: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        self._routes = routes
        self._directory = directory
        self._placement = placement
        self._warmup_overage = warmup_overage
        self._warmup_slack = warmup_slack
        self._random = random
        self._log = log
        self._fleet_size = FleetSize(relays)
        self._warmup: WarmupLimit | None = None
        self._flow_limits: FlowLimitWatch | None = None

    @property
    def fleet_size(self) -> FleetSize:
        """Estimate of the number of instances."""
        return self._fleet_size

    def apply(self) -> None:
        """Starts to observe the kinds of limits that the configuration in force is first to have.

        Each kind is imported only where it is needed.
        """
        if self._warmup is None and self._routes.has_warmup_rate:
            from pearwell.affinity.warmup import WarmupLimit

            self._warmup = WarmupLimit(
                self._routes,
                self._directory,
                self._fleet_size.bound,
                self._warmup_overage,
                self._warmup_slack,
                self._random,
                self._log,
            )
            self._placement.add_limit(self._warmup)
        if self._flow_limits is None and self._routes.limits_flows:
            from pearwell.affinity.flow_limit_watch import FlowLimitWatch

            self._flow_limits = FlowLimitWatch(
                self._directory, self._routes, self._fleet_size, self._placement, self._log
            )

    def tick(self, now: float) -> None:
        """Runs periodic work; called every second."""
        if self._warmup is not None:
            self._warmup.tick(now)
        if self._flow_limits is not None:
            self._flow_limits.tick(now)

    def samples(self, now: float) -> list[Sample]:
        """Returns the counters and gauges for the metrics endpoint."""
        size = self._fleet_size.estimate(now)
        found: list[Sample] = [("fleet_size_estimate", "gauge", {}, size)]
        if self._warmup is not None:
            found += self._warmup.samples()
        if self._flow_limits is not None:
            found += self._flow_limits.samples()
        return found
