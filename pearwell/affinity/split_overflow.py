"""Overflow over a traffic split: flows that their service can't take in time go to another one.

A route that names several services by weight may find one of them full, or without targets, while
another has room. Room must be shown: each response that hardly waited in the queues of a service
earns credit there, in proportion to its service time, and a flow costs the service time of its
route. What all instances together send thus grows with what the service is seen to serve, however
many instances there are, and an instance without recent evidence sends nothing. A response that did
wait takes the credit back. One that waited so long that a route of the service would miss its
objective closes the service for a second, and so does a shed request.

The responses of overflowed flows are evidence like all others, so that overflow grows by itself
while there is room, and ends at the first queues.
"""

from collections.abc import Callable
from math import exp

from pearwell.affinity.routes import Route
from pearwell.affinity.target import Target

# True for type checkers only, as in pearwell.affinity.sync.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from pearwell.affinity.flow_placement import FlowPlacement, NewFlow

__all__ = ["SplitOverflow"]

# Credit for a response, as a share of its service time. The requests that follow on an open flow
# can't be refused, so that a flow costs more than its first request.
CREDIT_SHARE = 0.5
# Time in seconds in which credit that isn't used falls to a third.
CREDIT_LIFETIME_S = 1.0
# Longest wait of a response that earns credit: as a share of the longest wait with which all routes
# of the service meet their objectives, and as a multiple of the service time of its own route.
MAX_WAIT_SHARE, MAX_WAIT_RATIO = 0.3, 1.0
# Share of this wait for flows of a lower priority than one of the service's routes.
BELOW_SHARE = 1 / 3
# Credit that responses which waited may take in advance, in flows.
MAX_DEBT = 2.0
# Time in seconds without credit after a request was shed or a wait was too long.
CLOSED_S = 1.0
# Longest service time of a flow's requests, as a share of the longest tolerable wait of the other
# routes of a service, whose requests may wait behind them.
MAX_SERVICE_SHARE = 0.5
# An overflow has ended after this time in seconds without another flow.
END_S = 1.0


class _Credit:
    """Credit for flows to one service, which rests on waits up to a limit.

    Args:
        share: Share of the longest wait that otherwise earns credit.
    """

    __slots__ = ("_at", "_cost_s", "_seconds", "_share")

    def __init__(self, share: float = 1.0) -> None:
        self._share = share
        self._seconds = 0.0
        self._cost_s = 0.0
        self._at = float("-inf")

    def add(self, wait_s: float, tolerable_s: float, service_s: float, now: float) -> None:
        """Adds a response; see SplitOverflow.record_response()."""
        max_wait_s = min(MAX_WAIT_SHARE * tolerable_s, MAX_WAIT_RATIO * service_s)
        if wait_s > self._share * max_wait_s:
            self.withdraw(now)
        else:
            self._seconds = self._left(now) + CREDIT_SHARE * service_s
            self._at = now

    def withdraw(self, now: float) -> None:
        """Takes unused credit back and charges the cost of a flow."""
        left_s = min(0.0, self._left(now)) - self._cost_s
        self._seconds, self._at = max(left_s, -MAX_DEBT * self._cost_s), now

    def take(self, cost_s: float, number: float, now: float) -> bool:
        """Whether a flow may start, with the credit as a share of its cost as the probability."""
        self._cost_s = cost_s
        left_s = self._left(now)
        if left_s <= number * cost_s:
            return False
        self._seconds, self._at = left_s - cost_s, now
        return True

    def _left(self, now: float) -> float:
        return self._seconds * exp((self._at - now) / CREDIT_LIFETIME_S)


class _Room:
    """What the responses of a service have shown of its room.

    Attributes:
        closed_until: Clock time in seconds until which no response earns credit.
        credits: Credit for flows, by whether the service has routes of a higher priority.
    """

    __slots__ = ("closed_until", "credits")

    def __init__(self) -> None:
        self.closed_until = float("-inf")
        self.credits = {False: _Credit(), True: _Credit(BELOW_SHARE)}


class SplitOverflow:
    """Decides which flows go to another service of their split.

    Args:
        random: Returns random numbers between 0 and 1.
        log: Logs an event's name and its fields.
    """

    def __init__(self, random: Callable[[], float], log: Callable[..., None]) -> None:
        self._random = random
        self._log = log
        self._rooms: dict[str, _Room] = {}
        self._counts: dict[tuple[str, str], int] = {}
        # Time of the latest flow and number of flows, by route and service.
        self._running: dict[tuple[str, str], tuple[float, int]] = {}

    @property
    def counts(self) -> dict[tuple[str, str], int]:
        """Number of overflowed flows so far, by route and service."""
        return self._counts

    def select(
        self,
        placement: "FlowPlacement",
        flow: "NewFlow",
        service: str,
        target: Target | None,
        now: float,
    ) -> Target | None:
        """Returns a target of another service of the split if the flow's own one can't take it.

        Args:
            placement: Selection of the targets within a service.
            flow: The flow.
            service: Its own service.
            target: The target that it would get there.
            now: Current time in seconds of the clock.
        """
        if not flow.is_answered_by(target, now):
            cause = "unavailable"
        elif flow.is_first and placement.is_full(flow, target, now):
            cause = "late"
        else:
            return None
        for other, weight in flow.route.services:
            if weight <= 0 or other == service:
                continue
            found = placement.choose(flow, other, now)
            if not flow.is_answered_by(found, now) or placement.is_full(flow, found, now):
                continue
            admission = placement.admission
            service_s = admission.service_time(flow.address)
            tolerable_s = admission.tolerable_wait(other, except_for=flow.address)
            is_lower = admission.serves_higher_priority(other, flow.route.priority)
            if self.take(other, service_s, tolerable_s, is_lower, now):
                self.record_start(flow.route, other, cause, now)
                return found
        return None

    def record_response(
        self,
        service: str,
        wait_s: float | None,
        tolerable_s: float,
        service_s: float,
        now: float,
    ) -> None:
        """Records a response of a service's target.

        Args:
            service: Name of the service.
            wait_s: Time in seconds that the request waited; None if it was shed.
            tolerable_s: Longest wait in seconds with which the service's routes meet their
                objectives.
            service_s: Service time of the request's route in seconds.
            now: Current time in seconds of the clock.
        """
        room = self._rooms.get(service)
        if room is None:
            room = self._rooms[service] = _Room()
        if wait_s is None or wait_s >= tolerable_s:
            room.closed_until = now + CLOSED_S
            for credit in room.credits.values():
                credit.withdraw(now)
        elif now >= room.closed_until:
            for credit in room.credits.values():
                credit.add(wait_s, tolerable_s, service_s, now)

    def take(
        self,
        service: str,
        service_s: float,
        tolerable_s: float,
        serves_higher_priority: bool,
        now: float,
    ) -> bool:
        """Whether a flow that its own service can't take in time may go to another service.

        Args:
            service: Name of the other service.
            service_s: Service time of the flow's route in seconds; 0 if it is unknown.
            tolerable_s: Longest wait in seconds with which the service's other routes meet their
                objectives.
            serves_higher_priority: Whether that service has routes of a higher priority.
            now: Current time in seconds of the clock.
        """
        room = self._rooms.get(service)
        if room is None or not 0 < service_s <= MAX_SERVICE_SHARE * tolerable_s:
            return False
        return room.credits[serves_higher_priority].take(service_s, self._random(), now)

    def record_start(self, route: Route, service: str, cause: str, now: float) -> None:
        """Counts a flow that goes to another service than its own.

        Args:
            route: The flow's route.
            service: Name of the other service.
            cause: Why its own service doesn't get it.
            now: Current time in seconds of the clock.
        """
        key = route.name, service
        self._counts[key] = self._counts.get(key, 0) + 1
        _, count = self._running.get(key, (now, 0))
        if not count:
            self._log("split_overflow", route=route.name, service=service, cause=cause)
        self._running[key] = now, count + 1

    def tick(self, now: float) -> None:
        """Logs the ends of overflows; called every second."""
        for (route, service), (started_at, count) in [*self._running.items()]:
            if now - started_at > END_S:
                del self._running[route, service]
                self._log("split_overflow_end", route=route, service=service, flows=count)
