"""Limit on the flows of a target that all instances share.

A target that holds its most flows ignores SYNs, as one that is down does. Starting flows there
costs each caller a retransmission, and taking it for down costs its open flows their probes. Each
instance knows its own flows on a target and the number of instances.

While the limit of one of its targets may be near, a service is watched. A target is closed to new
flows once it leaves a SYN unanswered and no flow has opened on it lately. The targets of a zone
fill up together, as flows are balanced: after some SYNs in a row that they left unanswered, all of
them count as closed. A share of the new flows tries closed targets again, and one for each flow
that ends there; the others are refused at once if the targets of all zones are closed.

A target is crowded once this instance holds more flows on it than an even share of the limit;
others are then preferred, but no flow is refused because of that.

It answers targets that fill with idle flows, limits that are lowered under load, and the start of
instances that know no flows yet.
"""

from collections.abc import Callable
from math import sqrt

from pearwell.affinity.directory import Directory
from pearwell.affinity.flow_table import Flow
from pearwell.affinity.service import Service
from pearwell.affinity.syn_retransmission import SYN_TIMEOUT_S
from pearwell.affinity.target import NEVER, Target

__all__ = ["FlowLimit"]

# Share of the limit, by this instance's flows on a target times the number of instances, below
# which a service is no longer watched. It is watched from Service.nears_limit() on.
MIN_WATCHED_SHARE = 0.4
# Time in seconds after a flow opened on a target in which one unanswered SYN doesn't close it, as
# it may be lost, and number of unanswered SYNs in a row that do.
OPENED_RECENTLY_S = 1.0
UNANSWERED_SYNS = 2
# Transmissions of a flow's SYN that a closed target leaves unanswered until another target gets it.
# One may be lost; a target that has the flow answers the second one too.
IGNORED_SYNS = 2
# Number of a service's targets in a zone that leave SYNs unanswered in a row until all are closed.
UNANSWERED_BY_ZONE = 3
# Time in seconds since its last sign of life for which a target isn't suspected to be down.
ALIVE_S = 2.0
# Time in seconds for which a target that answers SYNs late, as it is overloaded, isn't closed.
LATE_ANSWER_S = 5.0
# Time for which a closed target gets no flow; doubles with each flow that it leaves unanswered
# afterwards, and is kept if it is closed again within MEMORY_S. All in seconds.
CLOSED_S = 1.0
MAX_CLOSED_S = 8.0
MEMORY_S = 10.0
# Time in seconds for which a target isn't full until that is logged: a full one gets room with each
# flow that ends.
LOG_DELAY_S = 10.0
# Number of new flows of which one may try a closed target without a sign of room.
FLOWS_PER_TRIAL = 20
# Standard deviations by which the number of flows must exceed the even share, as chance alone makes
# instances' numbers differ by one or two.
CROWDED_DEVIATIONS = 2.0
# Share of that number below which a target is no longer crowded.
UNCROWDED_SHARE = 0.9


class _Watch:
    """State of a target of a watched service.

    Attributes:
        max_flows: Limit of its service.
        crowded: Whether this instance holds more flows on it than an even share of the limit.
        unanswered: SYNs in a row that it left unanswered.
        closed: Whether it gets no flow but those that try it.
        closed_until: Clock time in seconds from which it is tried.
        closed_s: Time in seconds for which it was closed last.
        reopened_at: When it was last opened again, in seconds of the clock.
        accepted_at: When a flow last opened on it, in seconds of the clock.
        full_at: When it was last full, in seconds of the clock.
        held: Own open flows on it when it was closed or tried last.
        late_until: Clock time in seconds until which it isn't closed, as it answers SYNs late.
        logged_full: Whether it was logged as full.
    """

    __slots__ = (
        "accepted_at",
        "closed",
        "closed_s",
        "closed_until",
        "crowded",
        "full_at",
        "held",
        "late_until",
        "logged_full",
        "max_flows",
        "reopened_at",
        "unanswered",
    )

    def __init__(self, max_flows: int) -> None:
        self.max_flows = max_flows
        self.crowded = False
        self.unanswered = 0
        self.closed = False
        self.closed_until = NEVER
        self.closed_s = CLOSED_S
        self.reopened_at = NEVER
        self.accepted_at = NEVER
        self.full_at = NEVER
        self.held = 0
        self.logged_full = False
        self.late_until = NEVER

    @property
    def full(self) -> bool:
        """Whether the target counts as full."""
        return self.closed or self.crowded

    def accepts_no_flows(self, now: float) -> bool:
        """Whether its unanswered SYNs show that it accepts no flows."""
        if now < self.late_until:
            return False
        accepted_lately = now - self.accepted_at < OPENED_RECENTLY_S
        return self.unanswered >= (UNANSWERED_SYNS if accepted_lately else 1)

    def close(self, held: int, now: float) -> None:
        """Closes the target, or keeps it closed after a flow that tried it.

        Args:
            held: Open flows of this instance on the target.
            now: Current time in seconds of the clock.
        """
        self.held = held
        if self.closed or now - self.reopened_at < MEMORY_S:
            self.closed_s = min(MAX_CLOSED_S, 2 * self.closed_s)
        else:
            self.closed_s = CLOSED_S
        self.closed = True
        self.closed_until = now + self.closed_s

    def open(self, now: float) -> None:
        """Opens the target again."""
        self.closed = False
        self.unanswered = 0
        self.reopened_at = now


class FlowLimit:
    """Keeps new flows from targets that hold their most flows.

    Args:
        directory: Targets.
        find_service: Returns a service of the configuration in force, or None.
        log: Logs an event's name and its fields.
    """

    def __init__(
        self,
        directory: Directory,
        find_service: Callable[[str], Service | None],
        log: Callable[..., None],
    ) -> None:
        self._directory = directory
        self._find_service = find_service
        self._log = log
        self._instances = 1
        self._watches: dict[Target, _Watch] = {}
        # Limits of the watched services.
        self._limits: dict[str, int] = {}
        # Targets that left SYNs unanswered in a row, by service and zone.
        self._unanswered: dict[tuple[str, str], set[Target]] = {}
        # New flows since one tried a closed target.
        self._untried = FLOWS_PER_TRIAL
        # Services with a target that isn't full.
        self._with_room: set[str] = set()

    @property
    def active(self) -> bool:
        """Whether the limit of some target may be near."""
        return bool(self._watches)

    def allows(self, target: Target, now: float) -> bool:
        """Whether a target may get a new flow."""
        watch = self._watches.get(target)
        if watch is None:
            return True
        if self._is_closed(target, watch):
            # The place of a flow that ended is free unless another instance has taken it.
            has_room = target.held_flows < watch.held
            return has_room or (now >= watch.closed_until and self._untried >= FLOWS_PER_TRIAL)
        return not watch.crowded or target.service not in self._with_room

    def is_full(self, target: Target) -> bool:
        """Whether a target counts as full."""
        watch = self._watches.get(target)
        return watch is not None and (watch.crowded or self._is_closed(target, watch))

    def has_ignored(self, flow: Flow) -> bool:
        """Whether the target of a flow has ignored its SYN because it holds its most flows.

        A single answer may be lost or late. What other SYNs show of the target or its zone says
        nothing of this one: a place may have become free for it.
        """
        watch = self._watches.get(flow.target)
        return watch is not None and watch.closed and flow.unanswered_syns >= IGNORED_SYNS

    def record_choice(self) -> None:
        """Records that the target of a flow is chosen, which may then try a closed target."""
        self._untried += 1

    def record_start(self, target: Target, now: float) -> None:
        """Records that the SYN of a flow is sent to a target."""
        watch = self._watches.get(target)
        if watch is not None and self._is_closed(target, watch):
            if target.held_flows >= watch.held:
                self._untried = 0
            watch.held = target.held_flows
            watch.closed_until = now + watch.closed_s

    def record_open(self, target: Target, waited_s: float, now: float) -> None:
        """Records that a flow opened on a target, which thus has room.

        Args:
            target: The target.
            waited_s: Time in seconds since the SYN was sent.
            now: Current time in seconds of the clock.
        """
        watch = self._watches.get(target)
        if watch is None:
            return
        watch.unanswered = 0
        watch.accepted_at = now
        if waited_s > SYN_TIMEOUT_S:
            watch.late_until = now + LATE_ANSWER_S
        self._reopen_zone(target.service, target.zone)
        if watch.closed:
            watch.open(now)
            self._update_room(now)

    def record_unanswered_syn(self, target: Target, now: float, sent_again: bool = False) -> bool:
        """Records an unanswered SYN; returns whether the target may be full.

        A target without a sign of life may be down as well, which its health has to tell.

        Args:
            target: The target.
            now: Current time in seconds of the clock.
            sent_again: Whether the target has left the same SYN unanswered before.
        """
        watch = self._watches.get(target)
        if watch is None:
            return False
        watch.unanswered += 1
        if watch.accepts_no_flows(now) and not (watch.closed and sent_again):
            self._add_unanswered(target)
            watch.close(target.held_flows, now)
            self._log_if_changed(target, watch, now)
            self._update_room(now)
        life_at = max(target.last_response_at, target.probe_answered_at)
        return watch.closed and now - life_at <= ALIVE_S

    def tick(self, now: float, instances: int) -> None:
        """Watches the services with a target whose limit may be near; called every second.

        Args:
            now: Current time in seconds of the clock.
            instances: Number of instances.
        """
        self._instances = instances
        self._limits = self._find_near_limits()
        crowded_from = {service: self._crowded_from(service) for service in self._limits}
        watches = self._watches
        self._watches = {}
        for target in self._directory:
            max_flows = self._limits.get(target.service)
            if max_flows is not None and not target.gone:
                watch = self._watches[target] = watches.get(target) or _Watch(max_flows)
                self._update(target, watch, max_flows, crowded_from[target.service], now)
        for target, watch in watches.items():
            if watch.logged_full and target not in self._watches:
                self._log_change(target, watch, False)
        for service, zone in [*self._unanswered]:
            if service not in self._limits:
                self._reopen_zone(service, zone)
        self._update_room(now)

    def _find_near_limits(self) -> dict[str, int]:
        """Returns the limits of the services with a target whose limit may be near.

        The other targets of such a service are likely to be near it too, though this instance may
        have no flow on those of other zones.
        """
        most: dict[str, int] = {}
        for target in self._directory:
            if target.held_flows > most.get(target.service, 0):
                most[target.service] = target.held_flows
        limits = {}
        for name, held_flows in most.items():
            service = self._find_service(name)
            if service is None or service.max_flows is None:
                continue
            share = held_flows * self._instances / service.max_flows
            if service.nears_limit(held_flows, self._instances) or (
                name in self._limits and share >= MIN_WATCHED_SHARE
            ):
                limits[name] = service.max_flows
        return limits

    def _is_closed(self, target: Target, watch: _Watch) -> bool:
        return watch.closed or self._is_zone_closed(target.service, target.zone)

    def _is_zone_closed(self, service: str, zone: str) -> bool:
        return len(self._unanswered.get((service, zone), ())) >= UNANSWERED_BY_ZONE

    def _add_unanswered(self, target: Target) -> None:
        service, zone = target.service, target.zone
        was_closed = self._is_zone_closed(service, zone)
        self._unanswered.setdefault((service, zone), set()).add(target)
        if was_closed or not self._is_zone_closed(service, zone):
            return
        for other, watch in self._watches.items():
            if (other.service, other.zone) == (service, zone) and not watch.closed:
                watch.held = other.held_flows
        self._log("zone_full", service=service, zone=zone, max_flows=self._limits[service])

    def _reopen_zone(self, service: str, zone: str) -> None:
        if self._is_zone_closed(service, zone):
            self._log("zone_not_full", service=service, zone=zone)
        self._unanswered.pop((service, zone), None)

    def _update(
        self, target: Target, watch: _Watch, max_flows: int, crowded_from: float, now: float
    ) -> None:
        if max_flows > watch.max_flows:
            watch.open(now)
            self._reopen_zone(target.service, target.zone)
        watch.max_flows = max_flows
        if watch.crowded:
            crowded_from *= UNCROWDED_SHARE
        watch.crowded = target.held_flows >= crowded_from
        self._log_if_changed(target, watch, now)

    def _crowded_from(self, service: str) -> float:
        """Returns the number of own flows from which a target is crowded.

        The local zone's targets come first, so that only the instances of a zone may share one.
        """
        zones = len({target.zone for target in self._directory.find_by_service(service)})
        even = self._limits[service] * zones / self._instances
        return even + CROWDED_DEVIATIONS * sqrt(even)

    def _update_room(self, now: float) -> None:
        self._with_room = {
            service
            for service in self._limits
            if any(
                self._has_room(target, now) for target in self._directory.find_by_service(service)
            )
        }

    def _has_room(self, target: Target, now: float) -> bool:
        is_available = not (target.draining or target.gone or target.token_conflict)
        return is_available and now >= target.suspect_until and not self.is_full(target)

    def _log_if_changed(self, target: Target, watch: _Watch, now: float) -> None:
        if watch.full:
            watch.full_at = now
        if watch.full and not watch.logged_full:
            self._log_change(target, watch, True)
        elif watch.logged_full and now - watch.full_at >= LOG_DELAY_S:
            self._log_change(target, watch, False)

    def _log_change(self, target: Target, watch: _Watch, full: bool) -> None:
        watch.logged_full = full
        self._log(
            "target_full" if full else "target_not_full",
            target=target.name,
            service=target.service,
            open=target.held_flows,
            instances=self._instances,
            max_flows=watch.max_flows,
            unanswered=watch.unanswered,
        )
