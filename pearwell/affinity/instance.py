"""State and decisions of one instance, without any I/O."""

from collections.abc import Callable

from pearwell.affinity.cache import ObjectCache
from pearwell.affinity.director import Director
from pearwell.affinity.directory import DEFAULT_HEARTBEAT_S, RELISTING_S, Directory
from pearwell.affinity.fetch_scheduler import FetchScheduler, WatchLimits
from pearwell.affinity.lifecycle import Lifecycle
from pearwell.affinity.routes import RouteTable
from pearwell.affinity.token import rendezvous_score

# True for type checkers only, as in pearwell.affinity.sync.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from pearwell.affinity.evacuations import EvacuationFeed
    from pearwell.affinity.shared_limits import SharedLimits
    from pearwell.text_metrics import Sample

__all__ = ["Bounds", "Instance", "order_relays"]

# Shares of the platform's bounds that an instance other than a relay may wait between two watches;
# the rest is reserved for a failed call and its retry.
DRAIN_SHARE = 0.33
CONFIG_SHARE = 0.17
# Time without a response of the store or a relay after which it is overdue: a relay answers within
# a second, and the store answers relays within 1.5 s.
OVERDUE_S = 1.6

Address = tuple[str, int]


class Bounds:
    """Limits that the platform sets; times in seconds.

    Attributes:
        drain_s: Until a draining target must get no new flows.
        config_s: Until a configuration must be in force.
        contact_s: After an outage of the store until the other limits apply again.
        grace_s: Between the request to stop and the forced termination.
        evacuate_s: Until targets of an evacuated zone must get no new flows; None if zones are
            never evacuated.
        warmup_overage: Factor by which the starts of flows on a cold target may exceed its rate in
            any one second.
        warmup_slack: Number of starts by which they may exceed it besides.
        heartbeat_s: Between two heartbeats of a target; None if it isn't told.
    """

    __slots__ = (
        "config_s",
        "contact_s",
        "drain_s",
        "evacuate_s",
        "grace_s",
        "heartbeat_s",
        "warmup_overage",
        "warmup_slack",
    )

    def __init__(
        self,
        drain_s: float,
        config_s: float,
        contact_s: float,
        grace_s: float,
        evacuate_s: float | None = None,
        warmup_overage: float = 1.0,
        warmup_slack: float = 0.0,
        heartbeat_s: float | None = None,
    ) -> None:
        self.drain_s = drain_s
        self.config_s = config_s
        self.contact_s = contact_s
        self.grace_s = grace_s
        self.evacuate_s = evacuate_s
        self.warmup_overage = warmup_overage
        self.warmup_slack = warmup_slack
        self.heartbeat_s = heartbeat_s


class Instance:
    """State and decisions of one instance.

    Args:
        zone: Availability zone of this instance.
        bounds: Time limits of the platform.
        relays: Number of relays that it can call; 0 if it is a relay.
        is_relay: Whether other instances call it.
        jitter: Returns random numbers between 0 and 1.
        log_flow: Logs decisions on flows.
        log_event: Logs state changes.
        fleet_relays: Number of relays, including this instance if it is one.
    """

    def __init__(
        self,
        zone: str,
        bounds: Bounds,
        relays: int,
        is_relay: bool,
        jitter: Callable[[], float],
        log_flow: Callable[..., None],
        log_event: Callable[..., None],
        fleet_relays: int = 0,
    ) -> None:
        self._fleet_relays = fleet_relays
        self._shared_limits: SharedLimits | None = None
        self._bounds = bounds
        self._random = jitter
        self._log_event = log_event
        self.routes = RouteTable()
        self.directory = Directory(bounds.heartbeat_s or DEFAULT_HEARTBEAT_S)
        self.lifecycle = Lifecycle(bounds.grace_s)
        self.target_scheduler = FetchScheduler(
            _watch_limits(is_relay, bounds.drain_s, DRAIN_SHARE, bounds.contact_s),
            relays,
            zone,
            jitter,
        )
        self.config_scheduler = FetchScheduler(
            _watch_limits(is_relay, bounds.config_s, CONFIG_SHARE, bounds.contact_s),
            relays,
            zone,
            jitter,
            leader=self.target_scheduler,
        )
        self.config_cache = ObjectCache()
        self.target_cache = ObjectCache()
        self.director = Director(
            zone,
            self.routes,
            self.directory,
            self.trusts_listing,
            log_flow,
            jitter,
            lambda: self.target_scheduler.complete_at,
        )
        self.director.hold_flows()
        # None if zones are never evacuated.
        self.evacuation_feed: EvacuationFeed | None = None
        if bounds.evacuate_s is not None:
            from pearwell.affinity.evacuations import create_feed

            self.evacuation_feed = create_feed(
                bounds.evacuate_s,
                bounds.contact_s,
                zone,
                relays,
                is_relay,
                jitter,
                self.target_scheduler,
                self.director.placement,
                self.directory,
                log_event,
            )

    @property
    def shared_limits(self) -> "SharedLimits | None":
        """Limits that all instances share; None until a configuration has one."""
        return self._shared_limits

    def apply_shared_limits(self) -> None:
        """Starts to observe shared limits once a configuration has one."""
        if not (self.routes.has_warmup_rate or self.routes.limits_flows):
            return
        if self._shared_limits is None:
            # Imported only where it is needed, to keep the start fast.
            from pearwell.affinity.shared_limits import SharedLimits

            self._shared_limits = SharedLimits(
                self.routes,
                self.directory,
                self.director.placement,
                self._fleet_relays,
                self._bounds.warmup_overage,
                self._bounds.warmup_slack,
                self._random,
                self._log_event,
            )
        self._shared_limits.apply()

    def tick(self, now: float) -> None:
        """Runs periodic work; called every second."""
        self.director.tick(now)
        if self._shared_limits is not None:
            self._shared_limits.tick(now)
        if self.evacuation_feed is not None:
            self.evacuation_feed.tick(now)
        scheduler = self.target_scheduler
        if now - scheduler.synced_at > OVERDUE_S:
            # An entry that was written again may not have arrived yet.
            return
        healthy_since = scheduler.store_healthy_since
        changes = self.directory.expire(now, healthy_since)
        changes += self.directory.confirm_outdated(scheduler.complete_at, healthy_since)
        for event, target in changes:
            self._log_event(event, target=target.name, service=target.service)

    def forward_if_synced(self) -> bool:
        """Whether the targets are now known for the first time.

        Packets of open flows are forwarded from then on: their tokens name their targets.
        """
        return self.directory.known and self.lifecycle.forward()

    def start_if_synced(self) -> bool:
        """Whether all that new flows need is now known for the first time; serves them if so.

        These are the routes, the targets, and the evacuations where zones may be evacuated.
        """
        known = self.routes.known and self.directory.known
        if self.evacuation_feed is not None:
            known = known and self.evacuation_feed.evacuations.known
        started = known and self.lifecycle.start()
        if started:
            self.director.accept_flows()
        return started

    def samples(self, now: float) -> "list[Sample]":
        """Returns the counters and gauges for the metrics endpoint."""
        # Imported only once metrics are fetched, to keep the start fast.
        from pearwell.affinity.instance_metrics import collect_samples

        return collect_samples(self, now)

    def trusts_listing(self, now: float) -> bool:
        """Whether the store has been available long enough for lapsed entries to reappear."""
        return now - self.target_scheduler.store_healthy_since >= RELISTING_S


def order_relays(
    instance: str, own: Address | None, seeds: tuple[Address, ...]
) -> tuple[Address, ...]:
    """Returns the relays that an instance calls; instances spread evenly over the relays.

    Args:
        instance: Name of the instance.
        own: Address at which other instances call this one; None if there is none.
        seeds: Addresses of the relays.

    Returns:
        The relays in order of preference; none if the instance is a relay itself.
    """
    if own in seeds:
        return ()
    return tuple(
        sorted(seeds, key=lambda seed: rendezvous_score(instance.encode(), str(seed).encode()))
    )


def _watch_limits(is_relay: bool, bound_s: float, share: float, contact_s: float) -> WatchLimits:
    if is_relay:
        return WatchLimits.for_relay()
    return WatchLimits.for_bounds(bound_s * share, contact_s, bound_s)
