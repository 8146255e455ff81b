"""What one instance knows and decides, free of sockets."""

from collections.abc import Callable

from pearwell.affinity.cache import ObjectCache
from pearwell.affinity.director import Director
from pearwell.affinity.directory import SETTLE_S, Directory
from pearwell.affinity.follower import Follower, Pace
from pearwell.affinity.routes import RouteTable
from pearwell.affinity.serving import Serving
from pearwell.affinity.token import draw
from pearwell.text_metrics import Sample

__all__ = ["Bounds", "Instance", "order_relays"]

# Shares of the bounds that may pass before an instance that nobody asks looks for changes again;
# the rest is for a call that fails and its retry.
DRAIN_SHARE = 0.33
CONFIG_SHARE = 0.17

Address = tuple[str, int]


class Bounds:
    """Bounds of the platform in seconds.

    Attributes:
        drain_s: Until a leaving target has to stop getting new flows.
        config_s: Until a configuration has to be in force.
        contact_s: After an outage of the store until the bounds hold again.
        grace_s: Between the request to stop and the forced end.
    """

    __slots__ = ("config_s", "contact_s", "drain_s", "grace_s")

    def __init__(self, drain_s: float, config_s: float, contact_s: float, grace_s: float) -> None:
        self.drain_s = drain_s
        self.config_s = config_s
        self.contact_s = contact_s
        self.grace_s = grace_s


class Instance:
    """State and decisions of one instance.

    Args:
        zone: Own availability zone.
        bounds: Bounds of the platform.
        relays: Number of relays that it may ask; 0 if others ask it.
        is_relay: Whether others ask it.
        jitter: Returns numbers between 0 and 1.
        log_flow: Takes decisions on flows.
        log_event: Takes changes of belief.
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
    ) -> None:
        self._log_event = log_event
        self.routes = RouteTable()
        self.directory = Directory()
        self.serving = Serving(bounds.grace_s)
        self.config = Follower(
            _pace(is_relay, bounds.config_s * CONFIG_SHARE, bounds), relays, zone, jitter
        )
        self.targets = Follower(
            _pace(is_relay, bounds.drain_s * DRAIN_SHARE, bounds), relays, zone, jitter
        )
        self.config_cache = ObjectCache()
        self.target_cache = ObjectCache()
        self.director = Director(zone, self.routes, self.directory, self.trusts_listing, log_flow)

    def tick(self, now: float) -> None:
        """Does what is due each second."""
        self.director.tick(now)
        for event, target in self.directory.settle(now, self.targets.good_since):
            self._log_event(event, target=target.name, service=target.service)

    def informed(self) -> bool:
        """Whether routes and targets have become known just now, so that packets can be taken."""
        known = self.routes.known and self.directory.known
        return known and self.serving.informed()

    def samples(self, now: float) -> list[Sample]:
        """Returns the counters and gauges of the metrics page."""
        found: list[Sample] = [
            ("decisions_total", "counter", {"decision": name}, count)
            for name, count in sorted(self.director.counts.items())
        ]
        found += [
            ("configuration_version", "gauge", {}, self.routes.version),
            ("configuration_age_seconds", "gauge", {}, round(now - self.routes.applied_at, 3)),
            ("routes", "gauge", {}, len(self.routes)),
            ("flows", "gauge", {}, len(self.director.flows)),
            ("ready", "gauge", {}, self.serving.ready),
            ("store_good_seconds", "gauge", {}, max(0.0, now - self.targets.good_since)),
        ]
        for target in self.directory:
            labels = {"service": target.service, "target": target.name}
            found += [
                ("target_open_flows", "gauge", labels, target.open_flows),
                ("target_requests_in_flight", "gauge", labels, target.in_flight),
                ("target_suspect", "gauge", labels, now < target.suspect_until),
            ]
        return found

    def trusts_listing(self, now: float) -> bool:
        """Whether the store has been there long enough for lapsed entries to be back."""
        return now - self.targets.good_since >= SETTLE_S


def order_relays(
    instance: str, own: Address | None, seeds: tuple[Address, ...]
) -> tuple[Address, ...]:
    """Returns the relays that an instance asks, spread evenly over all instances.

    Args:
        instance: Name of the instance.
        own: Address at which others ask this instance.
        seeds: Addresses of the relays.

    Returns:
        The relays in order of preference; none if the instance is a relay itself.
    """
    if own in seeds:
        return ()
    return tuple(sorted(seeds, key=lambda seed: draw(instance.encode(), str(seed).encode())))


def _pace(is_relay: bool, apply_s: float, bounds: Bounds) -> Pace:
    return Pace.of_relay() if is_relay else Pace.of_bounds(apply_s, bounds.contact_s)
