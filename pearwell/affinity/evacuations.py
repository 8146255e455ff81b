"""Evacuated availability zones, whose targets get no new flows.

An evacuation is in force from its first sight until it is removed. A store that was restored from a
copy may have lost it, so one that is missing stays in force until the store has been healthy for
long enough for its operator to have written it again.

An evacuated zone that is cut off from all others and from the store goes on serving its clients
from its own targets, which is all that it can reach.

Load pattern on the return of a zone: its targets have hardly any flows while those of the other
zones queue, so that the least loaded targets of all zones, to which flows spill over, are its own
for every instance at once. Such flows therefore return to the zone by and by.
"""

from collections.abc import Callable, Iterable, Mapping

from pearwell.affinity.cache import MAX_AGE_S, ObjectCache
from pearwell.affinity.directory import RELISTING_S
from pearwell.affinity.fetch_scheduler import (
    RELAY_MAX_WATCH_S,
    WATCH_AT_RELAY_S,
    FetchScheduler,
    WatchLimits,
)
from pearwell.affinity.target import Target
from pearwell.text_metrics import Sample

# True for type checkers only, as in pearwell.affinity.sync.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from pearwell.affinity.directory import Directory
    from pearwell.affinity.flow_placement import FlowPlacement

__all__ = ["EvacuationFeed", "Evacuations", "create_feed"]

# Share of the bound that an instance that calls the store may wait between two watches; the rest is
# reserved for a failed call and its retry.
EVACUATE_SHARE = 0.33
# Part of the bound in seconds that a watch does not wait: it is reserved for the timeout of a relay
# or store that hangs, and for a list of the store after it.
WATCH_MARGIN_S = 3.0
# Maximum wait of a watch in seconds.
MAX_WATCH_S = 5.0
# Time in seconds in which flows that spill over return to a zone that is taken back: the share of
# them that may go there rises from none to all.
RETURN_S = 3.0
# A zone is silent if none of its targets has responded for this time, and as many of them have left
# SYNs unanswered.
SILENT_S = 0.5
MIN_SILENT_TARGETS = 3
# Interval in seconds in which it is judged whether all other zones are silent.
ISOLATION_INTERVAL_S = 0.1


class _Evacuation:
    """The evacuation of one zone.

    Attributes:
        revision: Revision of its latest object.
        since: Clock time in seconds at which it came into force here.
        missing: Whether the store does not hold it, but may have lost it.
    """

    __slots__ = ("missing", "revision", "since")

    def __init__(self, revision: int, since: float) -> None:
        self.revision = revision
        self.since = since
        self.missing = False


class Evacuations:
    """The evacuations that an instance knows; restricts which targets get new flows.

    Args:
        zone: Availability zone of this instance.
        targets: All known targets.
        store_lost: Returns whether calls of this instance to the store fail.
        random: Returns random numbers between 0 and 1.
        on_begin: Called with a zone once it is evacuated.
        log: Logs an event's name and its fields.
    """

    def __init__(
        self,
        zone: str,
        targets: Iterable[Target],
        store_lost: Callable[[], bool],
        random: Callable[[], float],
        on_begin: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._zone = zone
        self._targets = targets
        self._store_lost = store_lost
        self._isolated = False
        self._judged_at = float("-inf")
        self._random = random
        self._on_begin = on_begin
        self._log = log
        self._in_force: dict[str, _Evacuation] = {}
        # When zones were taken back, until flows of other zones have returned.
        self._taken_back_at: dict[str, float] = {}
        self._known = False

    @property
    def known(self) -> bool:
        """Whether a complete listing has been applied."""
        return self._known

    @property
    def active(self) -> bool:
        """Whether a zone is evacuated."""
        return bool(self._in_force)

    @property
    def zones(self) -> list[str]:
        """The evacuated zones."""
        return [*self._in_force]

    @property
    def returning(self) -> bool:
        """Whether a zone was taken back and flows of other zones are still returning to it."""
        return bool(self._taken_back_at)

    def excludes(self, zone: str) -> bool:
        """Whether a zone is evacuated."""
        return zone in self._in_force

    def shows_room(self, zone: str) -> bool:
        """Whether short waits in a zone show room for any new flow of this instance.

        Those of open flows in an evacuated zone don't, nor those in a zone to which only a share of
        the flows may go yet.
        """
        if zone in self._in_force:
            return False
        return zone == self._zone or zone not in self._taken_back_at

    def allows(self, target: Target, now: float) -> bool:
        """Whether a target may get a new flow."""
        if target.zone not in self._in_force:
            return True
        return target.zone == self._zone and self._is_isolated(now)

    def record_start(self, target: Target, now: float) -> None:
        """Does nothing; evacuations do not depend on the flows that are started."""

    def select_returned(
        self, targets: Iterable[Target], spills_over: bool, now: float
    ) -> list[Target]:
        """Returns the targets that a flow may get while flows return to zones taken back.

        Args:
            targets: Targets that may get a new flow.
            spills_over: Whether the flow goes to any zone because the local zone has no room.
            now: Current time in seconds of the clock.
        """
        if not spills_over and not self.excludes(self._zone):
            return [*targets]
        share = self._random()
        return [
            target
            for target in targets
            if target.zone == self._zone or share < self._returned_share(target.zone, now)
        ]

    def replace(self, revisions: Mapping[str, int], now: float, trusted: bool) -> None:
        """Applies a complete listing.

        Args:
            revisions: Revision of the object of each evacuated zone.
            now: Current time in seconds of the clock.
            trusted: Whether the store has been healthy long enough for lost objects to be written
                again.
        """
        for zone in self.zones:
            if zone not in revisions:
                self.end(zone, now, trusted)
        for zone, revision in revisions.items():
            self.begin(zone, revision, now)
        self._known = True

    def begin(self, zone: str, revision: int, now: float) -> None:
        """Puts the evacuation of a zone into force, or confirms it."""
        evacuation = self._in_force.get(zone)
        if evacuation is not None:
            evacuation.revision = revision
            evacuation.missing = False
            return
        self._in_force[zone] = _Evacuation(revision, now)
        self._taken_back_at.pop(zone, None)
        self._on_begin(zone)
        self._log("zone_evacuated", zone=zone, revision=revision)

    def end(self, zone: str, now: float, trusted: bool) -> None:
        """Takes a zone back as its object was removed; later if the store may have lost it."""
        evacuation = self._in_force.get(zone)
        if evacuation is None:
            return
        fields = {
            "zone": zone,
            "revision": evacuation.revision,
            "in_force_s": round(now - evacuation.since, 3),
        }
        if trusted:
            del self._in_force[zone]
            self._taken_back_at[zone] = now
            self._log("zone_taken_back", **fields)
        elif not evacuation.missing:
            evacuation.missing = True
            self._log("zone_evacuation_missing", **fields)

    def tick(self, now: float, trusted: bool) -> None:
        """Takes back the zones whose evacuation is still missing; called every second."""
        for zone, evacuation in [*self._in_force.items()]:
            if evacuation.missing and trusted:
                self.end(zone, now, trusted)
        for zone, at in [*self._taken_back_at.items()]:
            if now - at >= RETURN_S:
                del self._taken_back_at[zone]

    def _is_isolated(self, now: float) -> bool:
        """Whether this instance reaches neither the store nor a target outside evacuated zones."""
        if now - self._judged_at >= ISOLATION_INTERVAL_S:
            self._judged_at = now
            isolated = self._store_lost() and self._others_are_silent(now)
            if isolated != self._isolated:
                self._isolated = isolated
                self._log("evacuated_zone_isolated" if isolated else "evacuated_zone_reconnected")
        return self._isolated

    def _others_are_silent(self, now: float) -> bool:
        zones: dict[str, list[Target]] = {}
        for target in self._targets:
            if target.zone not in self._in_force and target.listed:
                zones.setdefault(target.zone, []).append(target)
        return bool(zones) and all(_is_silent(targets, now) for targets in zones.values())

    def _returned_share(self, zone: str, now: float) -> float:
        """Returns the share of the flows that spill over that may go to a zone."""
        at = self._taken_back_at.get(zone)
        return 1.0 if at is None else (now - at) / RETURN_S


def _is_silent(targets: list[Target], now: float) -> bool:
    """Whether no target of a zone responds, as far as SYNs to it have shown."""
    unanswered = sum(target.unanswered_syns > 0 for target in targets)
    if unanswered < min(MIN_SILENT_TARGETS, len(targets)):
        return False
    return all(now - target.last_response_at >= SILENT_S for target in targets)


class EvacuationFeed:
    """The evacuations of an instance with the state of their synchronization.

    Evacuations are rare and their bound is longer than those of other objects, so watches of them
    wait longer, which saves calls.

    Args:
        evacuations: The evacuations.
        bound_s: Time in seconds until targets of an evacuated zone must get no new flows.
        contact_s: Time in seconds after an outage of the store until the bound applies again.
        zone: Availability zone of the instance.
        relays: Number of relays that the instance can call.
        is_relay: Whether other instances call it.
        jitter: Returns random numbers between 0 and 1.
        leader: Scheduler of a kind that finds out for this one when an outage of the store ends.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        bound_s: float,
        contact_s: float,
        zone: str,
        relays: int,
        is_relay: bool,
        jitter: Callable[[], float],
        leader: FetchScheduler | None = None,
    ) -> None:
        self.evacuations = evacuations
        watch_s = min(MAX_WATCH_S, bound_s - WATCH_MARGIN_S)
        if is_relay:
            limits = WatchLimits.for_relay(max(RELAY_MAX_WATCH_S, watch_s))
        else:
            limits = WatchLimits.for_bounds(bound_s * EVACUATE_SHARE, contact_s, bound_s)
            limits.relay_wait_s = max(WATCH_AT_RELAY_S, watch_s)
        self.scheduler = FetchScheduler(limits, relays, zone, jitter, leader)
        self.cache = ObjectCache(MAX_AGE_S + max(0.0, watch_s - RELAY_MAX_WATCH_S))

    def trusts_listing(self, now: float) -> bool:
        """Whether the store has been healthy long enough for lost objects to be written again."""
        return now - self.scheduler.store_healthy_since >= RELISTING_S

    def tick(self, now: float) -> None:
        """Runs periodic work; called every second."""
        self.evacuations.tick(now, self.trusts_listing(now))

    def samples(self, targets: Iterable[Target]) -> list[Sample]:
        """Returns the gauges for the metrics endpoint.

        Args:
            targets: All known targets.
        """
        flows = dict.fromkeys(self.evacuations.zones, 0)
        for target in targets:
            if target.zone in flows:
                flows[target.zone] += target.open_flows
        found: list[Sample] = [("evacuated_zones", "gauge", {}, len(flows))]
        found += [
            ("evacuated_zone_open_flows", "gauge", {"zone": zone}, count)
            for zone, count in flows.items()
        ]
        return found


def create_feed(
    bound_s: float,
    contact_s: float,
    zone: str,
    relays: int,
    is_relay: bool,
    jitter: Callable[[], float],
    leader: FetchScheduler,
    placement: "FlowPlacement",
    directory: "Directory",
    log: Callable[..., None],
) -> EvacuationFeed:
    """Returns the evacuations of an instance, which its placement of flows then observes.

    Args:
        bound_s: Time in seconds until targets of an evacuated zone must get no new flows.
        contact_s: Time in seconds after an outage of the store until the bound applies again.
        zone: Availability zone of the instance.
        relays: Number of relays that the instance can call.
        is_relay: Whether other instances call it.
        jitter: Returns random numbers between 0 and 1.
        leader: Scheduler of the targets, which finds out when an outage of the store ends.
        placement: Selection of the targets of new flows.
        directory: Targets.
        log: Logs an event's name and its fields.
    """
    evacuations = Evacuations(
        zone, directory, lambda: leader.store_failing, jitter, placement.forget_zone, log
    )
    placement.set_evacuations(evacuations)
    return EvacuationFeed(evacuations, bound_s, contact_s, zone, relays, is_relay, jitter, leader)
