"""Selection of the target of a new flow, from what an instance observes of queues and responses."""

from collections.abc import Callable, Sequence

from pearwell.affinity.chooser import choose_target
from pearwell.affinity.directory import Directory
from pearwell.affinity.flow_table import Flow
from pearwell.affinity.routes import Route
from pearwell.affinity.target import Target

# True for type checkers only: importing typing takes 13 ms of CPU time.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol, TypeGuard

    from pearwell.affinity.admission import FlowAdmission
    from pearwell.affinity.evacuations import Evacuations
    from pearwell.affinity.flow_limit import FlowLimit
    from pearwell.affinity.split_overflow import SplitOverflow
    from pearwell.affinity.zone_queues import ZoneQueues

    class StartLimit(Protocol):
        """Restricts which targets get new flows."""

        @property
        def active(self) -> bool:
            """Whether it may exclude a target at present."""

        def allows(self, target: Target, now: float) -> bool:
            """Whether a target may get a new flow."""

        def record_start(self, target: Target, now: float) -> None:
            """Records that the SYN of a flow is sent to a target."""


__all__ = ["FlowPlacement", "NewFlow"]


class NewFlow:
    """A flow that needs a target.

    Attributes:
        key: Ports and addresses of the flow.
        route: The flow's route.
        tried: Targets that did not answer an earlier transmission of the SYN, in order.
        is_first: Whether this is the first transmission of the SYN; others are never refused.
    """

    __slots__ = ("is_first", "key", "route", "tried")

    def __init__(
        self, key: bytes, route: Route, tried: Sequence[Target] = (), is_first: bool = True
    ) -> None:
        self.key = key
        self.route = route
        self.tried = tried
        self.is_first = is_first

    @property
    def address(self) -> bytes:
        """Port and address of the flow's route, in the packet's format."""
        return self.key[6:]

    def is_answered_by(self, target: Target | None, now: float) -> "TypeGuard[Target]":
        """Whether a target is likely to answer the SYN."""
        return target is not None and target not in self.tried and now >= target.suspect_until

    def preferred_services(self) -> tuple[str, ...]:
        """Returns the services that may take the flow without overflow, in order of preference.

        A SYN that was sent to another service of the split is retransmitted there first.
        """
        own = self.route.service_of(self.key)
        if not self.tried or len(self.route.services) == 1:
            return (own,)
        latest = self.tried[-1].service
        return (latest, own) if latest != own and self.route.allows(latest) else (own,)


class FlowPlacement:
    """Selects the targets of new flows, and refuses flows that would be served too late.

    Args:
        zone: Availability zone of this instance.
        directory: Targets.
        random: Returns random numbers between 0 and 1.
        log: Logs an event's name and its fields.

    Attributes:
        flow_limit: Limit on the flows of a target, one of the restrictions; None if it is far away.
    """

    def __init__(
        self,
        zone: str,
        directory: Directory,
        random: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._admission: FlowAdmission | None = None
        self._zone_queues: ZoneQueues | None = None
        self._random = random
        self._log = log
        self._limits: list[StartLimit] = []
        self._evacuations: Evacuations | None = None
        self._limited_choices = 0
        self.flow_limit: FlowLimit | None = None
        # Created with the first flow of a route that names several services.
        self._overflow: SplitOverflow | None = None

    @property
    def admission(self) -> "FlowAdmission":
        """Admission of new flows; created with the first response, before which it refuses none."""
        if self._admission is None:
            # Imported then, to keep the start fast.
            from pearwell.affinity.admission import FlowAdmission

            self._admission = FlowAdmission(self._random, self._log)
        return self._admission

    @property
    def limited_choices(self) -> int:
        """Number of choices in which a limit excluded a target of the service."""
        return self._limited_choices

    @property
    def overflow_counts(self) -> dict[tuple[str, str], int]:
        """Number of flows that went to another service of their split, by route and service."""
        return self._overflow.counts if self._overflow is not None else {}

    def set_evacuations(self, evacuations: "Evacuations") -> None:
        """Excludes the targets of evacuated zones, and their responses, from all decisions."""
        self._evacuations = evacuations
        self.add_limit(evacuations)

    def add_limit(self, limit: "StartLimit") -> None:
        """Adds a restriction, which all new flows then observe."""
        self._limits.append(limit)

    def forget_zone(self, zone: str) -> None:
        """Removes what is known of the queues at a zone's targets."""
        if self._admission is not None:
            self._admission.forget_zone(zone)

    def allows(self, target: Target, now: float) -> bool:
        """Whether a target may get a new flow."""
        return all(limit.allows(target, now) for limit in self._limits if limit.active)

    def allows_repeat(self, flow: Flow, now: float) -> bool:
        """Whether the target of a flow may get its SYN again, which adds no flow there.

        A target that is full has ignored the SYN, and one in an evacuated zone must not get it.
        """
        if self.flow_limit is not None and self.flow_limit.has_ignored(flow):
            return False
        return self._evacuations is None or self._evacuations.allows(flow.target, now)

    def record_start(self, target: Target, now: float) -> None:
        """Records that the SYN of a flow is sent to a target."""
        for limit in self._limits:
            limit.record_start(target, now)

    def place(self, flow: NewFlow, now: float) -> tuple[Target | None, bool]:
        """Places a new flow.

        Returns:
            The target, or None if no target accepts new flows; and whether the flow is refused, as
            its response would come too late.
        """
        if self.flow_limit is not None:
            self.flow_limit.record_choice()
        for service in flow.preferred_services():
            target = self.choose(flow, service, now)
            if flow.is_answered_by(target, now):
                break
        if len(flow.route.services) > 1:
            other = self._overflow_target(flow, service, target, now)
            if other is not None:
                return other, False
        refused = flow.is_first and target is not None and self._refuses(flow, target, now)
        return target, refused

    def record_response(
        self,
        route: Route | None,
        address: bytes,
        target: Target,
        seconds: float,
        size: int,
        is_first: bool,
        now: float,
    ) -> None:
        """Records a response of a target.

        Args:
            route: The flow's route, if it is in force.
            address: Port and address of the route.
            target: The target.
            seconds: Time in seconds from the request to the first acknowledgement of its response.
            size: Bytes acknowledged.
            is_first: Whether the request was the first on its flow.
            now: Current time in seconds of the clock.
        """
        if self._evacuations is not None and not self._evacuations.shows_room(target.zone):
            return
        wait_s: float | None = 0.0
        if route is not None:
            wait_s = self.admission.record_response(
                route, address, target.service, target.zone, seconds, size, is_first, now
            )
            if self._overflow is not None and route.objective_s is not None:
                service = target.service
                tolerable_s = self.admission.tolerable_wait(service)
                service_s = self.admission.service_time(address, service)
                self._overflow.record_response(service, wait_s, tolerable_s, service_s, now)
        if self._zone_queues is None:
            # Imported with the first response, to keep the start fast.
            from pearwell.affinity.zone_queues import ZoneQueues

            self._zone_queues = ZoneQueues(self._zone, self._log)
        self._zone_queues.add(target, seconds, now, is_shed=wait_s is None)

    def tick(self, now: float) -> None:
        """Runs periodic work; called every second."""
        if self._admission is not None:
            self._admission.tick(now)
        for target in self._directory:
            if target.counted_slots != target.slots:
                target.adopt_slots()
        if self._overflow is not None:
            self._overflow.tick(now)

    def choose(self, flow: NewFlow, service: str, now: float) -> Target | None:
        """Returns the target of a service that a flow would get, or None if there is none."""
        targets = self._directory.find_by_service(service)
        listed = len(targets)
        for limit in self._limits:
            if limit.active:
                targets = [target for target in targets if limit.allows(target, now)]
        self._limited_choices += len(targets) < listed
        queueing = self._zone_queues is not None and self._zone_queues.is_queueing(service, now)
        if not queueing and self._admission is not None:
            queueing = self._admission.is_full(flow.route, flow.address, service, self._zone, now)
        target = None
        if self._evacuations is not None and self._evacuations.returning:
            returned = self._evacuations.select_returned(targets, queueing, now)
            target = choose_target(returned, self._zone, flow.tried, flow.key, now, queueing)
        if target is None or target in flow.tried:
            target = choose_target(targets, self._zone, flow.tried, flow.key, now, queueing)
        return target

    def _overflow_target(
        self, flow: NewFlow, service: str, target: Target | None, now: float
    ) -> Target | None:
        if self._overflow is None:
            from pearwell.affinity.split_overflow import SplitOverflow

            self._overflow = SplitOverflow(self._random, self._log)
        return self._overflow.select(self, flow, service, target, now)

    def is_full(self, flow: NewFlow, target: Target, now: float) -> bool:
        """Whether a target would serve a flow too late."""
        if self._admission is None:
            return False
        return self._admission.is_full(flow.route, flow.address, target.service, target.zone, now)

    def _refuses(self, flow: NewFlow, target: Target, now: float) -> bool:
        if self._admission is None:
            return False
        return self._admission.refuses(flow.route, flow.address, target.service, target.zone, now)
