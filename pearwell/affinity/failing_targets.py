"""Targets that accept connections but serve nothing: unanswered requests and health checks.

Such a target resets each request itself, so that no instance sees more than a request without a
response. Load pattern: many instances hold idle flows on a target that goes down and up within
seconds, and each sees a request of it every few seconds. A request without a response at half its
latency objective triggers a health check; a failed check is notified to all instances by way of the
relays.

Until the target has recovered, new flows go elsewhere, and a request that its client can't retry is
withheld on its open flow. Nothing is reset, as the target lives. A response to a later request
outweighs any check or notice.
"""

from collections import deque
from collections.abc import Callable

from pearwell.affinity.directory import Directory
from pearwell.affinity.flow_table import Flow
from pearwell.affinity.routes import Route
from pearwell.affinity.target import Target

__all__ = [
    "CHECK_INTERVAL_S",
    "FAILING",
    "FAILING_HOLD_S",
    "RECOVERED",
    "FailingTargets",
    "Notice",
    "NoticeFilter",
    "decode_notice",
    "encode_notice",
]

# Share of the route's latency objective after which a request without a response triggers a check.
UNANSWERED_SHARE = 0.5
# Health checks that unanswered requests may trigger, per second and at once: slow responses of all
# targets must not take their slots.
CHECKS_PER_S = 1.0
MAX_CHECK_BUDGET = 4.0
# Interval of the checks of a target that has failed, and how long they go on after it recovered.
CHECK_INTERVAL_S = 0.2
WATCH_S = 6.0
MAX_WATCHED = 8
# Validity of a notice that a target fails, and the interval in which it is renewed.
FAILING_HOLD_S = 2.5
RENEWAL_S = 1.1
# Time after which a failure is forgotten.
FORGET_S = 30.0
# Above this share of a service's targets, failing ones get new flows like the others.
MAX_AVOIDED_SHARE = 0.34
# Time for which checks of a target are ignored that fail while it serves.
DISTRUST_S = 10.0
# Packets withheld at a time; further ones go to their target.
MAX_WITHHELD = 256
# Longest time that a packet is withheld, as a share of the timeout of its route.
MAX_WITHHELD_SHARE = 0.5
# A client that waits retransmits at least every 1.6 s; one silent for longer has left.
CLIENT_SILENCE_S = 1.8

FAILING, RECOVERED = "failing", "recovered"
# Kind and name of the target.
Notice = tuple[str, str]
_MARK = b"pearwell-notice-1"
MAX_NAME_BYTES = 100


def encode_notice(notice: Notice, forward: bool) -> bytes:
    """Returns the datagram of a notice; relays forward it if asked to."""
    kind, name = notice
    return b" ".join((_MARK, kind.encode(), b"1" if forward else b"0", name.encode()))


def decode_notice(data: bytes) -> tuple[Notice, bool] | None:
    """Returns the notice in a datagram and whether to forward it, or None if it is malformed."""
    parts = data.split(b" ")
    if len(parts) != 4 or parts[0] != _MARK or not 0 < len(parts[3]) <= MAX_NAME_BYTES:
        return None
    try:
        kind, name = parts[1].decode("ascii"), parts[3].decode("ascii")
    except UnicodeDecodeError:
        return None
    return ((kind, name), parts[2] == b"1") if kind in (FAILING, RECOVERED) else None


class NoticeFilter:
    """Decides at a relay which notices to forward: changes, and renewals at their interval."""

    def __init__(self) -> None:
        self._latest: dict[str, tuple[str, float]] = {}

    def should_forward(self, notice: Notice, now: float) -> bool:
        """Whether to forward a notice, as none of its kind was forwarded just before."""
        kind, name = notice
        latest_kind, at = self._latest.get(name, ("", now))
        if latest_kind == kind and now - at < RENEWAL_S / 2:
            return False
        if len(self._latest) > 1000:
            self._latest.clear()
        self._latest[name] = kind, now
        return True


class _Failure:
    """The failures of one target, as notified or found here."""

    __slots__ = ("count", "since", "until")

    def __init__(self) -> None:
        self.since = self.until = float("-inf")
        self.count = 0


class _Watch:
    """Regular checks of a target that was found failing by this instance."""

    __slots__ = ("contradicted", "failing", "noticed_at", "until")

    def __init__(self) -> None:
        self.contradicted = False
        self.failing = False
        self.noticed_at = self.until = float("-inf")


class _Withheld:
    """A withheld packet.

    Attributes:
        target: Name of its target.
        data: The packet.
        seen_at: When the client sent it last, in seconds of the clock.
        release_at: Clock time in seconds from which it waits no longer.
    """

    __slots__ = ("data", "release_at", "seen_at", "target")

    def __init__(self, target: str, data: bytes, now: float) -> None:
        self.target = target
        self.data = data
        self.seen_at = now
        self.release_at = float("inf")


class FailingTargets:
    """Finds targets that serve nothing, and decides which packets wait until they recover.

    Args:
        directory: Targets.
        log: Logs an event's name and its fields.
        count: Counts an event by name.
    """

    def __init__(
        self, directory: Directory, log: Callable[..., None], count: Callable[[str], None]
    ) -> None:
        self._directory = directory
        self._log = log
        self._count = count
        self._requests: dict[float, deque[tuple[float, Flow]]] = {}
        self._budget = MAX_CHECK_BUDGET
        self._failures: dict[str, _Failure] = {}
        self._watches: dict[str, _Watch] = {}
        self._distrusted: dict[str, float] = {}
        self._checks: dict[str, Target] = {}
        self._notices: list[Notice] = []
        self._withheld: dict[bytes, _Withheld] = {}

    @property
    def active(self) -> bool:
        """Whether a target may be excluded from new flows."""
        return bool(self._failures)

    @property
    def watching(self) -> bool:
        """Whether targets are to be checked regularly."""
        return bool(self._watches)

    def allows(self, target: Target, now: float) -> bool:
        """Whether a target may get a new flow."""
        failure = self._failures.get(target.name)
        if failure is None or now >= failure.until:
            return True
        targets = self._directory.find_by_service(target.service)
        failing = [
            other
            for other in targets
            if other.name in self._failures and now < self._failures[other.name].until
        ]
        return len(failing) > MAX_AVOIDED_SHARE * len(targets)

    def record_start(self, target: Target, now: float) -> None:
        """Does nothing: starts of flows don't count."""

    def record_request(self, flow: Flow, objective_s: float | None, now: float) -> None:
        """Records that a request was forwarded; without an objective it triggers no check."""
        if objective_s is not None:
            wait_s = UNANSWERED_SHARE * objective_s
            self._requests.setdefault(wait_s, deque()).append((now, flow))

    def record_response(self, flow: Flow, now: float) -> None:
        """Records a response; one to a request sent after a failure ends the failure."""
        failure = self._failures.get(flow.target.name)
        if failure is not None and failure.since < flow.sent_at and now < failure.until:
            self._notices.append((RECOVERED, flow.target.name))
            self.handle_notice((RECOVERED, flow.target.name), now)

    def withholds(
        self, flow: Flow, route: Route | None, end_seq: int, data: bytes, now: float
    ) -> bool:
        """Whether a packet waits until its target has recovered.

        It does if it begins a request that its client can't retry, for a share of the route's
        timeout; the target then gives the client its answer.

        Args:
            flow: The flow of the packet.
            route: Its route; None if there is none.
            end_seq: Sequence number after the packet's data.
            data: The packet.
            now: Current time in seconds of the clock.
        """
        failure = self._failures.get(flow.target.name)
        if failure is None or now >= failure.until or flow.target.gone:
            return False
        if route is None or route.repeatable or not flow.begins_request(end_seq):
            return False
        withheld = self._withheld.get(flow.key)
        if withheld is None:
            if len(self._withheld) >= MAX_WITHHELD:
                return False
            withheld = self._withheld[flow.key] = _Withheld(flow.target.name, data, now)
            if route.timeout_s is not None:
                withheld.release_at = now + MAX_WITHHELD_SHARE * route.timeout_s
        elif now >= withheld.release_at:
            del self._withheld[flow.key]
            return False
        withheld.seen_at = now
        return True

    def forget_withheld(self, key: bytes) -> None:
        """Drops the withheld packet of a flow that its client has closed."""
        self._withheld.pop(key, None)

    def take_released(self, now: float) -> list[bytes]:
        """Returns the withheld packets that wait no longer.

        Drops those whose clients have left, as their requests must not run any more.
        """
        if not self._withheld:
            return []
        released = []
        for key, withheld in [*self._withheld.items()]:
            failure = self._failures.get(withheld.target)
            is_failing = failure is not None and now < failure.until
            if now - withheld.seen_at > CLIENT_SILENCE_S:
                del self._withheld[key]
            elif not is_failing:
                del self._withheld[key]
                released.append(withheld.data)
            elif now >= withheld.release_at:
                # withholds() lets it pass.
                released.append(withheld.data)
        return released

    def take_checks(self, now: float) -> list[Target]:
        """Returns the targets to check now because of unanswered requests."""
        for wait_s, requests in self._requests.items():
            while requests and now - requests[0][0] >= wait_s:
                sent_at, flow = requests.popleft()
                if flow.awaiting_response and flow.sent_at == sent_at:
                    self._suspect(flow.target, sent_at, now)
        return self._take_checks()

    def take_regular_checks(self, now: float) -> list[Target]:
        """Returns the watched targets to check; called every CHECK_INTERVAL_S while watching."""
        for name, watch in [*self._watches.items()]:
            target = self._directory.find_by_name(name)
            if now >= watch.until or target is None or target.gone or target.draining:
                del self._watches[name]
            else:
                self._checks[name] = target
        return self._take_checks()

    def take_notices(self) -> list[Notice]:
        """Returns the notices to send to the relays."""
        notices, self._notices = self._notices, []
        return notices

    def handle_check(self, target: Target, serves: bool | None, now: float) -> None:
        """Handles the result of a health check.

        Args:
            target: The target.
            serves: Whether it reports that it serves; None if it reports nothing.
            now: Current time in seconds of the clock.
        """
        watch = self._watches.get(target.name)
        if serves is None or (serves and watch is None):
            return
        self._log("target_checked", target=target.name, serves=serves, watched=watch is not None)
        if watch is None:
            if len(self._watches) >= MAX_WATCHED:
                return
            watch = self._watches[target.name] = _Watch()
        if serves:
            self._record_recovery(target.name, watch, now)
        elif watch.contradicted:
            del self._watches[target.name]
            self._distrusted[target.name] = now + DISTRUST_S
        else:
            self._record_failure(target.name, watch, now)

    def handle_notice(self, notice: Notice, now: float) -> None:
        """Handles a notice of another instance, or of this one."""
        kind, name = notice
        watch = self._watches.get(name)
        if kind == FAILING:
            self._mark_failing(name, now)
            return
        if watch is not None and watch.failing:
            watch.contradicted = True
        failure = self._failures.get(name)
        if failure is not None and now < failure.until:
            failure.until = now
            self._log("target_recovered", target=name, after_s=round(now - failure.since, 3))

    def tick(self, now: float) -> None:
        """Refills the budget of checks and forgets old failures; called every second."""
        self._budget = min(MAX_CHECK_BUDGET, self._budget + CHECKS_PER_S)
        self._distrusted = {name: at for name, at in self._distrusted.items() if now < at}
        for name, failure in [*self._failures.items()]:
            if now - failure.since >= FORGET_S and now >= failure.until:
                del self._failures[name]

    def _suspect(self, target: Target, sent_at: float, now: float) -> None:
        """Requests a check of a target that has responded to nothing since a request."""
        failure = self._failures.get(target.name)
        if (
            target.last_response_at >= sent_at
            or target.gone
            or target.draining
            or not target.listed
            or target.name in self._watches
            or target.name in self._distrusted
            or (failure is not None and now < failure.until)
            or self._budget < 1
        ):
            return
        self._budget -= 1
        self._count("target_checks")
        self._checks[target.name] = target

    def _take_checks(self) -> list[Target]:
        checks, self._checks = self._checks, {}
        return [*checks.values()]

    def _record_failure(self, name: str, watch: _Watch, now: float) -> None:
        watch.until = now + WATCH_S
        if not watch.failing or now - watch.noticed_at >= RENEWAL_S:
            watch.failing = True
            watch.noticed_at = now
            self._notices.append((FAILING, name))
            self._mark_failing(name, now)

    def _record_recovery(self, name: str, watch: _Watch, now: float) -> None:
        watch.contradicted = False
        if watch.failing:
            watch.failing = False
            watch.until = now + WATCH_S
            self._notices.append((RECOVERED, name))
            self.handle_notice((RECOVERED, name), now)

    def _mark_failing(self, name: str, now: float) -> None:
        failure = self._failures.setdefault(name, _Failure())
        if now >= failure.until:
            failure.count = failure.count + 1 if now - failure.since < FORGET_S else 1
            failure.since = now
            self._count("target_found_failing")
            self._log("target_failing", target=name, failures=failure.count)
        failure.until = now + FAILING_HOLD_S
