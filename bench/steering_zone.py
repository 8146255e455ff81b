"""A simulated zone: steering instances, their planner, targets and flows."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from bench.steering_planner import Planner
from pearwell.agreement.transport import MemoryNetwork, Transport
from pearwell.clock import ManualClock
from pearwell.messages import Message
from pearwell.model.membership import Member, MemberState, View
from pearwell.model.placement import Generation, Placement
from pearwell.steering.invariants import Invariant, Invariants
from pearwell.steering.verdict import Action, FlowEvent, Verdict

__all__ = ["Flow", "FlowPlan", "Instance", "Scheme", "SchemeFactory", "Zone"]

PEER_PORT = 6081
MESSAGE_DELAY_S = 0.001
HOP_DELAY_S = 0.0002
ROUND_TRIP_S = 0.002
DETECTION_S = 1.5
FABRIC_LAG_S = 0.3
HEARTBEAT_S = 0.25
TICK_S = 0.25
PLANNER_STEP_S = 0.1
RETRANSMIT_S = 0.2
SYN_RETRANSMIT_S = 1.0
MAX_RETRANSMITS = 40
INNER_TTL = 60


class Scheme(Protocol):
    """A steering scheme at one instance."""

    @property
    def state_bytes(self) -> int:
        """Memory of the flow state in bytes."""

    @property
    def records(self) -> int:
        """Number of flow records."""

    def decide(self, flow_hash: int, event: FlowEvent, from_peer: bool) -> Verdict:
        """Returns the verdict on a packet."""

    def apply_placement(self, placement: Placement) -> None:
        """Applies a placement."""

    def apply_view(self, view: View) -> None:
        """Applies a view."""

    def renew_view(self, now: float) -> None:
        """Renews the view lease."""

    def handle(self, sender: str, message: Message) -> None:
        """Handles a message from a peer."""

    def wake(self) -> None:
        """Runs on each wake-up before any queued packet is processed."""

    def tick(self) -> None:
        """Runs periodic work."""

    @property
    def handed_over(self) -> bool:
        """Whether other instances serve all shards of this one."""


SchemeFactory = Callable[[str, Transport, "Zone"], Scheme]


@dataclass(slots=True)
class FlowPlan:
    """Start times, lifetimes and packet rate of flows.

    Attributes:
        first_s: Earliest start in seconds.
        last_s: Latest start in seconds.
        min_life_s: Minimum lifetime in seconds.
        max_life_s: Maximum lifetime in seconds.
        interval_s: Mean time between two packets in seconds.
    """

    first_s: float = 0.0
    last_s: float = 30.0
    min_life_s: float = 1.0
    max_life_s: float = 12.0
    interval_s: float = 1.0


@dataclass(slots=True)
class Flow:
    """A flow of a caller, or a delayed packet of one that the caller has retransmitted."""

    hash: int
    ends_at: float
    interval_s: float
    target: str = ""
    finished: bool = False
    failure: str = ""
    retransmits: int = 0
    delayed_copy_of: "Flow | None" = None


@dataclass(slots=True)
class Instance:
    """An instance and its state."""

    name: str
    member: Member
    scheme: Scheme
    alive: bool = True
    paused: bool = False
    in_fabric: bool = True
    backlog: list[Callable[[], None]] = field(default_factory=list)
    view_version: int = 0
    generation: Generation = Generation(0, "")  # noqa: RUF009


class Zone:
    """Simulates instances, targets, flows and faults in virtual time.

    Args:
        seed: Seed of all random choices.
        instances: Initial number of instances.
        targets: Initial number of targets.
        scheme: Creates the steering scheme of an instance.
        view_lag_s: Maximum delay in seconds until a view or placement arrives at an instance.
        raising: Whether a broken flow raises InvariantError.
        delivery: Returns the delay in seconds of each delivered copy of a message; one copy
            after 1 ms by default.
    """

    def __init__(
        self,
        seed: int,
        instances: int,
        targets: int,
        scheme: SchemeFactory,
        *,
        view_lag_s: float = 0.8,
        raising: bool = False,
        delivery: Callable[[str, str], tuple[float, ...]] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.invariants = Invariants(raising)
        self.delivery = delivery
        self.isolated: set[str] = set()
        self.network = MemoryNetwork(self.clock, self._message_delays)
        self.instances: dict[str, Instance] = {}
        self.flows: list[Flow] = []
        self.dead_targets: set[str] = set()
        self.packets = 0
        self.passed_to_peer = 0
        self.misrouted = 0
        self.state_bytes_peak = 0
        self.bytes_per_record = 0.0
        self._scheme = scheme
        self._view_lag_s = view_lag_s
        self._view_version = 0
        self._members: dict[str, Member] = {}
        self._last_number = 0
        self._addresses: dict[str, str] = {}
        self.planner = Planner(self, [f"t{number:02}" for number in range(targets)])
        for _ in range(instances):
            self._add_instance()
        self._distribute_view(0.0)
        self.distribute(self.planner.placement, 0.0)
        self._call_every(HEARTBEAT_S, self._heartbeat)
        self._call_every(TICK_S, self._tick)
        self._call_every(PLANNER_STEP_S, self.planner.step)

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self.clock.now()

    @property
    def live(self) -> list[Instance]:
        """Running instances, including paused ones."""
        return [instance for instance in self.instances.values() if instance.alive]

    @property
    def broken(self) -> int:
        """Number of broken flows."""
        return sum(1 for flow in self.flows if flow.failure)

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time in seconds."""
        self.network.call_at(when, action)

    def run_until(self, when: float) -> None:
        """Runs the simulation up to a time in seconds."""
        self.network.run_until(when)

    def all_have_applied(self, generation: Generation) -> bool:
        """Returns whether every member has applied a generation, in place of acknowledgements."""
        instances = [self.instances[name] for name in self._members]
        return all(instance.generation >= generation for instance in instances)

    def distribute(self, placement: Placement, lag_s: float | None = None) -> None:
        """Sends a placement to every instance, each with its own delay."""
        for instance in self.live:
            self._send_placement(instance, placement, lag_s)

    def join(self) -> str:
        """Starts an instance and returns its name."""
        instance = self._add_instance()
        self._distribute_view()
        self._send_placement(instance, self.planner.placement, None)
        return instance.name

    def stop(self, name: str) -> None:
        """Stops an instance gracefully: it leaves, hands over its shards and exits."""
        instance = self.instances[name]
        member = instance.member
        instance.member = Member(
            member.instance,
            member.address,
            member.peer_port,
            member.control_port,
            member.incarnation,
            MemberState.LEAVING,
        )
        self._members[name] = instance.member
        self._distribute_view()
        self.call_at(self.now + FABRIC_LAG_S, lambda: self._update_in_fabric(instance))
        self.call_at(self.now + 2.0, lambda: self._exit_when_handed_over(instance))

    def crash(self, name: str) -> None:
        """Crashes an instance."""
        instance = self.instances[name]
        instance.alive = False
        self.network.detach(name)
        self.call_at(self.now + FABRIC_LAG_S, lambda: self._update_in_fabric(instance))
        self.call_at(self.now + DETECTION_S, lambda: self._remove_member(name))

    def pause(self, name: str, seconds: float) -> None:
        """Pauses an instance; packets and messages queue until it resumes."""
        instance = self.instances[name]
        instance.paused = True
        self.call_at(self.now + FABRIC_LAG_S, lambda: self._update_in_fabric(instance))
        if seconds > DETECTION_S:
            self.call_at(self.now + DETECTION_S, lambda: self._remove_member(name))
        self.call_at(self.now + seconds, lambda: self._resume(instance))

    def isolate(self, name: str, seconds: float) -> None:
        """Isolates an instance from its peers; the fabric and targets still reach it."""
        self.isolated.add(name)
        self.call_at(self.now + DETECTION_S, lambda: self._remove_member(name))
        self.call_at(self.now + DETECTION_S, lambda: self._deliver_singleton_view(name))
        self.call_at(self.now + seconds, lambda: self._reconnect(name))

    def kill_target(self, name: str) -> None:
        """Crashes a target; its flows are lost."""
        self.dead_targets.add(name)
        self.call_at(self.now + DETECTION_S, lambda: self.planner.fail_target(name))

    def open_flows(self, count: int, plan: FlowPlan) -> None:
        """Schedules flows that start at random times."""
        for _ in range(count):
            when = self.rng.uniform(plan.first_s, plan.last_s)
            lifetime = self.rng.uniform(plan.min_life_s, plan.max_life_s)
            flow = Flow(self.rng.getrandbits(64), when + lifetime, plan.interval_s)
            self.flows.append(flow)
            self.call_at(when, lambda flow=flow: self._send_packet(flow, FlowEvent.START))  # type: ignore[misc]

    def _add_instance(self) -> Instance:
        number = self._last_number = self._last_number + 1
        name = f"i{number:03}"
        member = Member(name, f"127.9.0.{number}", PEER_PORT, 0)
        transport = self.network.attach(
            name, lambda sender, m: self._receive_message(name, sender, m)
        )
        instance = Instance(name, member, self._scheme(name, transport, self))
        self.instances[name] = instance
        self._members[name] = member
        self._addresses[member.address] = name
        return instance

    def _call_every(self, seconds: float, action: Callable[[], None]) -> None:
        def run() -> None:
            action()
            self.call_at(self.now + seconds, run)

        self.call_at(self.now + seconds, run)

    def _random_lag(self) -> float:
        return self.rng.uniform(0.0, self._view_lag_s)

    def _heartbeat(self) -> None:
        for instance in self.live:
            connected = instance.name not in self.isolated and instance.name in self._members
            if connected and not instance.paused:
                instance.scheme.renew_view(self.now)

    def _tick(self) -> None:
        for instance in self.live:
            if not instance.paused:
                instance.scheme.tick()
        largest = max(self.live, key=lambda instance: instance.scheme.records, default=None)
        if largest is None or not largest.scheme.records:
            return
        if largest.scheme.state_bytes > self.state_bytes_peak:
            self.state_bytes_peak = largest.scheme.state_bytes
            self.bytes_per_record = self.state_bytes_peak / largest.scheme.records

    def _send_placement(
        self, instance: Instance, placement: Placement, lag_s: float | None
    ) -> None:
        def apply() -> None:
            if placement.generation > instance.generation:
                instance.generation = placement.generation
                instance.scheme.apply_placement(placement)

        def arrive() -> None:
            if instance.name in self.isolated:
                self.call_at(self.now + HEARTBEAT_S, arrive)
            else:
                self._run_when_awake(instance, apply)

        self.call_at(self.now + (self._random_lag() if lag_s is None else lag_s), arrive)

    def _distribute_view(self, lag_s: float | None = None) -> None:
        """Sends the current view to every instance, each with its own delay."""
        self._view_version += 1
        view = View(
            tuple(self._members[name] for name in sorted(self._members)), self._view_version
        )
        for instance in self.live:
            if instance.name in self._members and instance.name not in self.isolated:
                self._deliver_view(instance, view, self._random_lag() if lag_s is None else lag_s)

    def _deliver_view(self, instance: Instance, view: View, lag_s: float) -> None:
        def apply() -> None:
            if view.version > instance.view_version:
                instance.view_version = view.version
                instance.scheme.apply_view(view)

        self.call_at(self.now + lag_s, lambda: self._run_when_awake(instance, apply))

    def _deliver_singleton_view(self, name: str) -> None:
        instance = self.instances[name]
        self._deliver_view(
            instance, View((instance.member,), instance.view_version + 1), self._random_lag()
        )

    def _remove_member(self, name: str) -> None:
        if self._members.pop(name, None) is not None:
            self._distribute_view()

    def _reconnect(self, name: str) -> None:
        self.isolated.discard(name)
        self._members[name] = self.instances[name].member
        self._view_version += 1
        self._distribute_view()

    def _update_in_fabric(self, instance: Instance) -> None:
        instance.in_fabric = (
            instance.alive and not instance.paused and instance.member.state is MemberState.ALIVE
        )

    def _exit_when_handed_over(self, instance: Instance) -> None:
        if not instance.scheme.handed_over:
            self.call_at(self.now + HEARTBEAT_S, lambda: self._exit_when_handed_over(instance))
            return
        self._remove_member(instance.name)
        self.call_at(self.now + 1.0, lambda: self._exit(instance))

    def _exit(self, instance: Instance) -> None:
        instance.alive = False
        self.network.detach(instance.name)

    def _resume(self, instance: Instance) -> None:
        if not instance.alive:
            return
        instance.paused = False
        instance.scheme.wake()
        backlog, instance.backlog = instance.backlog, []
        self.rng.shuffle(backlog)
        for action in backlog:
            action()
        instance.in_fabric = True
        self._members[instance.name] = instance.member
        self._distribute_view()

    def _run_when_awake(self, instance: Instance, action: Callable[[], None]) -> None:
        """Runs an action at an instance, or queues it while the instance is paused."""
        if instance.paused:
            instance.backlog.append(action)
        elif instance.alive:
            instance.scheme.wake()
            action()

    def _message_delays(self, sender: str, to: str, message: Message) -> tuple[float, ...]:
        if sender in self.isolated or to in self.isolated:
            return ()
        return self.delivery(sender, to) if self.delivery else (MESSAGE_DELAY_S,)

    def _receive_message(self, name: str, sender: str, message: Message) -> None:
        instance = self.instances[name]
        self._run_when_awake(instance, lambda: instance.scheme.handle(sender, message))

    def _send_packet(self, flow: Flow, event: FlowEvent) -> None:
        """Sends one packet of a flow to a random instance in the fabric."""
        if flow.finished:
            return
        candidates = [instance for instance in self.instances.values() if instance.in_fabric]
        self._receive_packet(self.rng.choice(candidates), flow, event, INNER_TTL, False)

    def _receive_packet(
        self, instance: Instance, flow: Flow, event: FlowEvent, ttl: int, from_peer: bool
    ) -> None:
        if not instance.alive:
            self._handle_loss(flow, event)
        elif instance.paused:
            delayed = Flow(flow.hash, 0.0, 0.0, delayed_copy_of=flow)
            instance.backlog.append(
                lambda: self._receive_packet(instance, delayed, event, ttl, from_peer)
            )
            self._handle_loss(flow, event)
        else:
            instance.scheme.wake()
            self._decide(instance, flow, event, ttl, from_peer)

    def _decide(
        self, instance: Instance, flow: Flow, event: FlowEvent, ttl: int, from_peer: bool
    ) -> None:
        self.packets += 1
        verdict = instance.scheme.decide(flow.hash, event, from_peer)
        if verdict.action is Action.FORWARD:
            self._arrive_at_target(flow, event, verdict.target)
        elif verdict.action is Action.REFUSE:
            self._refuse(flow)
        elif verdict.action is Action.PASS and ttl > 0 and verdict.address is not None:
            self._pass_to_peer(instance, flow, event, ttl, verdict.address[0])
        else:
            self._handle_loss(flow, event)

    def _pass_to_peer(
        self, instance: Instance, flow: Flow, event: FlowEvent, ttl: int, address: str
    ) -> None:
        self.passed_to_peer += 1
        peer = self.instances[self._addresses[address]]
        if instance.name in self.isolated or peer.name in self.isolated:
            self._handle_loss(flow, event)
            return
        self.call_at(
            self.now + HOP_DELAY_S, lambda: self._receive_packet(peer, flow, event, ttl - 1, True)
        )

    def _arrive_at_target(self, flow: Flow, event: FlowEvent, target: str) -> None:
        if target in self.dead_targets:
            self._handle_loss(flow, event)
        elif flow.delayed_copy_of is not None:
            self._arrive_delayed_at_target(flow.delayed_copy_of, target)
        elif flow.target and target != flow.target:
            self.misrouted += 1
            self._fail(flow, f"{event!r} reached {target} instead of {flow.target}")
        elif event & FlowEvent.START:
            self._accept(flow, target)
        elif event & FlowEvent.END:
            flow.finished = True
        else:
            flow.retransmits = 0
            self._schedule_next_packet(flow)

    def _arrive_delayed_at_target(self, flow: Flow, target: str) -> None:
        """Handles a delayed packet that the caller has already retransmitted."""
        if flow.target and target != flow.target and not flow.finished:
            self.misrouted += 1
            self._fail(flow, f"a delayed packet reached {target} instead of {flow.target}")

    def _accept(self, flow: Flow, target: str) -> None:
        if not flow.target:
            flow.target = target
            flow.retransmits = 0
            self.call_at(self.now + ROUND_TRIP_S, lambda: self._send_packet(flow, FlowEvent.NONE))

    def _schedule_next_packet(self, flow: Flow) -> None:
        when = self.now + self.rng.uniform(0.5, 1.5) * flow.interval_s
        event = FlowEvent.NONE if when < flow.ends_at else FlowEvent.END
        self.call_at(when, lambda: self._send_packet(flow, event))

    def _handle_loss(self, flow: Flow, event: FlowEvent) -> None:
        """Schedules the retransmission of a lost packet, up to the retransmission limit."""
        if flow.finished or flow.delayed_copy_of is not None:
            return
        if flow.target in self.dead_targets:
            flow.finished = True
            return
        flow.retransmits += 1
        if flow.retransmits > MAX_RETRANSMITS:
            self._fail(flow, f"{event!r} exceeded the retransmission limit")
            return
        started = event & FlowEvent.START
        wait = SYN_RETRANSMIT_S if started else RETRANSMIT_S
        self.call_at(self.now + wait, lambda: self._send_packet(flow, event))

    def _refuse(self, flow: Flow) -> None:
        if flow.target in self.dead_targets or flow.delayed_copy_of is not None:
            flow.finished = True
        else:
            self._fail(flow, "refused")

    def _fail(self, flow: Flow, reason: str) -> None:
        flow.finished = True
        flow.failure = flow.failure or reason
        invariant = Invariant.ONE_TARGET_PER_FLOW
        detail = f"flow {flow.hash:x} at {self.now:.3f} s: {reason}"
        self.invariants.require(False, invariant, detail)
