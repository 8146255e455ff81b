"""Admission of new flows while targets are overloaded.

Requests on open flows can't be refused: their packets go to their target, which sheds what it can't
queue. New flows can. On a full target a flow waits twice, first with its handshake and then with
its request, and these handshakes keep the queue full, so that requests on open flows are shed while
whatever is served comes late. While targets shed requests, flows whose response would miss the
route's latency objective are therefore refused. The queues then hold little but requests on open
flows.

Refusal starts with the lowest priority. Flows of a route are refused by its objective only while no
request of a lower priority is being served; as long as there is one, only if the client would have
given up before the response.

An instance decides by the responses that it has seen itself. As all instances see the same queues
and the share refused grows with the excess, they refuse alike without exchanging anything.
"""

from collections.abc import Callable

from pearwell.affinity.queue_waits import WINDOW_S, QueueWaits
from pearwell.affinity.response_profile import ResponseProfile
from pearwell.affinity.routes import Route

__all__ = ["FlowAdmission"]

# Waits of a new flow's first response: with the handshake, and with the request.
WAITS_OF_NEW_FLOW = 2
# Largest share of shed requests that counts: about twenty tries of a request until it runs.
MAX_SHED_SHARE = 0.95
# All new flows are refused once their response time exceeds the limit by an eighth.
REFUSALS_PER_EXCESS = 8.0
# While targets shed less than this share of the requests, they can still queue what arrives. The
# share is an average over 20 responses, of which one that was shed shows little.
MIN_SHED_SHARE = 0.1
# Largest share of the objective that counts as service time. An instance that starts in the midst
# of an overload has seen only slow responses.
MAX_SERVICE_SHARE = 0.5
# Profiles of routes without responses for this long are dropped.
PROFILE_LIFETIME_S = 300.0


class FlowAdmission:
    """Decides which new flows are refused.

    Args:
        random: Returns random numbers between 0 and 1.
        log: Logs an event's name and its fields.
    """

    def __init__(self, random: Callable[[], float], log: Callable[..., None]) -> None:
        self._random = random
        self._log = log
        self._waits: dict[str, QueueWaits] = {}
        # By service, then by the route's port and address.
        self._profiles: dict[str, dict[bytes, ResponseProfile]] = {}
        # Time of the latest refusal and number of refusals, by route and service.
        self._refusing: dict[tuple[str, str], tuple[float, int]] = {}

    def median_waits(self, now: float) -> dict[str, float]:
        """Returns the median recent wait in seconds by service, where it is known."""
        medians = {service: waits.median(now) for service, waits in self._waits.items()}
        return {service: wait_s for service, wait_s in medians.items() if wait_s is not None}

    def record_response(
        self,
        route: Route,
        address: bytes,
        service: str,
        zone: str,
        seconds: float,
        size: int,
        is_first: bool,
        now: float,
    ) -> float | None:
        """Records a response of a target.

        Args:
            route: The flow's route.
            address: Port and address of the route.
            service: Service of the target.
            zone: Availability zone of the target.
            seconds: Time in seconds from the request to the first acknowledgement of its response.
            size: Bytes acknowledged.
            is_first: Whether the request was the first on its flow.
            now: Current time in seconds of the clock.

        Returns:
            The wait in seconds in the target's queue, 0 if the route has no objective; None if the
            target shed the request.
        """
        if route.objective_s is None:
            return 0.0
        profiles = self._profiles.get(service)
        if profiles is None:
            profiles = self._profiles[service] = {}
            self._waits[service] = QueueWaits()
        profile = profiles.get(address)
        if profile is None:
            profile = profiles[address] = ResponseProfile()
        profile.priority, profile.served_at = route.priority, now
        profile.objective_s = route.objective_s
        waits = self._waits[service]
        is_shed = profile.is_shed(size)
        waits.count_response(is_shed)
        if is_shed:
            # A shed request has waited only with the handshake of its flow.
            if is_first:
                waits.add(zone, seconds, now)
            return None
        wait_s = profile.record(seconds, size, MAX_SERVICE_SHARE * route.objective_s)
        wait_s = wait_s / WAITS_OF_NEW_FLOW if is_first else wait_s
        waits.add(zone, wait_s, now)
        return wait_s

    def tolerable_wait(self, service: str, except_for: bytes = b"") -> float:
        """Returns the longest wait with which all routes served meet their objectives, in seconds.

        The result is infinite if none has been served.

        Args:
            service: Name of the service.
            except_for: Port and address of a route that doesn't count.
        """
        return min(
            (
                (profile.objective_s - profile.service_s) / WAITS_OF_NEW_FLOW
                for address, profile in self._profiles.get(service, {}).items()
                if address != except_for
            ),
            default=float("inf"),
        )

    def service_time(self, address: bytes, service: str | None = None) -> float:
        """Returns the service time in seconds of a route's requests; 0 if it is unknown.

        Args:
            address: Port and address of the route.
            service: Name of the service; None for the one that takes longest.
        """
        names = self._profiles if service is None else (service,)
        profiles = [self._profiles[name].get(address) for name in names]
        return max((profile.service_s for profile in profiles if profile), default=0.0)

    def serves_higher_priority(self, service: str, priority: int) -> bool:
        """Whether a service has responded to routes of a higher priority."""
        profiles = self._profiles.get(service, {}).values()
        return any(profile.priority < priority for profile in profiles)

    def refuses(self, route: Route, address: bytes, service: str, zone: str, now: float) -> bool:
        """Whether a new flow is refused, as its response would come too late.

        Args:
            route: The flow's route.
            address: Port and address of the route.
            service: Service of the target that the flow would get.
            zone: Availability zone of this target.
            now: Current time in seconds of the clock.
        """
        late = self._expected_late(route, address, service, zone, now)
        if late is None:
            return False
        response_s, limit_s = late
        if self._random() >= REFUSALS_PER_EXCESS * (response_s / limit_s - 1):
            return False
        self._count_refusal(route, service, response_s, limit_s, now)
        return True

    def is_full(self, route: Route, address: bytes, service: str, zone: str, now: float) -> bool:
        """Whether new flows to a zone's targets would get their responses too late.

        The arguments are those of refuses().
        """
        return self._expected_late(route, address, service, zone, now) is not None

    def forget_zone(self, zone: str) -> None:
        """Removes the waits at a zone's targets, as short waits there are no room for new flows."""
        for waits in self._waits.values():
            waits.forget_zone(zone)

    def tick(self, now: float) -> None:
        """Runs periodic work; called every second."""
        for (route, service), (refused_at, count) in [*self._refusing.items()]:
            if now - refused_at > WINDOW_S:
                del self._refusing[route, service]
                self._log("refusing_flows_end", route=route, service=service, refused=count)
        for profiles in self._profiles.values():
            for address, profile in [*profiles.items()]:
                if now - profile.served_at > PROFILE_LIFETIME_S:
                    del profiles[address]

    def _expected_late(
        self, route: Route, address: bytes, service: str, zone: str, now: float
    ) -> tuple[float, float] | None:
        """Returns the expected response time and its limit in seconds; None if it is in time."""
        waits = self._waits.get(service)
        if route.objective_s is None or waits is None or waits.shed_share < MIN_SHED_SHARE:
            return None
        limit_s = self._limit_s(route, service, now)
        profile = self._profiles[service].get(address)
        service_s = profile.service_s if profile else 0.0
        service_s = min(service_s, MAX_SERVICE_SHARE * limit_s)
        wait_count = WAITS_OF_NEW_FLOW + _expected_retries(waits.shed_share)
        wait_s = waits.standing_wait(zone, (limit_s - service_s) / wait_count, now)
        if wait_s is None:
            return None
        response_s = service_s + wait_count * wait_s
        return (response_s, limit_s) if response_s > limit_s else None

    def _limit_s(self, route: Route, service: str, now: float) -> float:
        """Returns the response time in seconds above which flows of a route are refused."""
        assert route.objective_s is not None
        if route.timeout_s is None:
            return route.objective_s
        serves_lower_priority = any(
            profile.priority > route.priority and now - profile.served_at <= WINDOW_S
            for profile in self._profiles[service].values()
        )
        return route.timeout_s if serves_lower_priority else route.objective_s

    def _count_refusal(
        self, route: Route, service: str, response_s: float, limit_s: float, now: float
    ) -> None:
        key = route.name, service
        _, count = self._refusing.get(key, (now, 0))
        if not count:
            self._log(
                "refusing_flows",
                route=route.name,
                service=service,
                response_ms=round(1000 * response_s),
                limit_ms=round(1000 * limit_s),
            )
        self._refusing[key] = now, count + 1


def _expected_retries(shed_share: float) -> float:
    """Returns how often a request is shed on average until it runs.

    Each of these tries has waited with its flow's handshake.
    """
    shed_share = min(shed_share, MAX_SHED_SHARE)
    return shed_share / (1 - shed_share)
