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

__all__ = ["Flow", "FlowPlan", "Node", "Scheme", "SchemeFactory", "Zone"]

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

    def heard(self, now: float) -> None:
        """Renews the view lease."""

    def handle(self, sender: str, message: Message) -> None:
        """Handles a message from a peer."""

    def wake(self) -> None:
        """Runs on each wake-up before any queued packet is processed."""

    def tick(self) -> None:
        """Runs periodic work."""

    @property
    def handed_over(self) -> bool:
        """Whether the instance may stop."""


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
    late_for: "Flow | None" = None


@dataclass(slots=True)
class Node:
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
        self.faults = delivery
        self.cut: set[str] = set()
        self.network = MemoryNetwork(self.clock, self._deliver_message)
        self.nodes: dict[str, Node] = {}
        self.flows: list[Flow] = []
        self.dead_targets: set[str] = set()
        self.packets = 0
        self.passed = 0
        self.misrouted = 0
        self.state_bytes_peak = 0
        self.bytes_per_record = 0.0
        self._scheme = scheme
        self._view_lag_s = view_lag_s
        self._version = 0
        self._members: dict[str, Member] = {}
        self._numbers = 0
        self._addresses: dict[str, str] = {}
        self.planner = Planner(self, [f"t{number:02}" for number in range(targets)])
        for _ in range(instances):
            self._add()
        self._spread_view(0.0)
        self.spread(self.planner.placement, 0.0)
        self._every(HEARTBEAT_S, self._heartbeat)
        self._every(TICK_S, self._tick)
        self._every(PLANNER_STEP_S, self.planner.step)

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self.clock.now()

    @property
    def live(self) -> list[Node]:
        """Running instances, including paused ones."""
        return [node for node in self.nodes.values() if node.alive]

    @property
    def broken(self) -> int:
        """Number of broken flows."""
        return sum(1 for flow in self.flows if flow.failure)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time in seconds."""
        self.network.call_at(when, action)

    def run_until(self, when: float) -> None:
        """Runs the simulation up to a time in seconds."""
        self.network.run_until(when)

    def all_hold(self, generation: Generation) -> bool:
        """Returns whether every member has applied a generation, in place of acknowledgements."""
        nodes = [self.nodes[name] for name in self._members]
        return all(node.generation >= generation for node in nodes)

    def spread(self, placement: Placement, lag_s: float | None = None) -> None:
        """Sends a placement to every instance, each with its own delay."""
        for node in self.live:
            self._spread_to(node, placement, lag_s)

    def join(self) -> str:
        """Starts an instance and returns its name."""
        node = self._add()
        self._spread_view()
        self._spread_to(node, self.planner.placement, None)
        return node.name

    def stop(self, name: str) -> None:
        """Stops an instance gracefully: it leaves, hands over its shards and exits."""
        node = self.nodes[name]
        member = node.member
        node.member = Member(
            member.instance,
            member.address,
            member.peer_port,
            member.control_port,
            member.incarnation,
            MemberState.LEAVING,
        )
        self._members[name] = node.member
        self._spread_view()
        self.at(self.now + FABRIC_LAG_S, lambda: self._leave_fabric(node))
        self.at(self.now + 2.0, lambda: self._end_when_handed_over(node))

    def crash(self, name: str) -> None:
        """Crashes an instance."""
        node = self.nodes[name]
        node.alive = False
        self.network.detach(name)
        self.at(self.now + FABRIC_LAG_S, lambda: self._leave_fabric(node))
        self.at(self.now + DETECTION_S, lambda: self._lose(name))

    def pause(self, name: str, seconds: float) -> None:
        """Pauses an instance; packets and messages queue until it resumes."""
        node = self.nodes[name]
        node.paused = True
        self.at(self.now + FABRIC_LAG_S, lambda: self._leave_fabric(node))
        if seconds > DETECTION_S:
            self.at(self.now + DETECTION_S, lambda: self._lose(name))
        self.at(self.now + seconds, lambda: self._resume(node))

    def separate(self, name: str, seconds: float) -> None:
        """Isolates an instance from its peers; the fabric and targets still reach it."""
        self.cut.add(name)
        self.at(self.now + DETECTION_S, lambda: self._lose(name))
        self.at(self.now + DETECTION_S, lambda: self._show_alone(name))
        self.at(self.now + seconds, lambda: self._rejoin(name))

    def kill_target(self, name: str) -> None:
        """Crashes a target; its flows are lost."""
        self.dead_targets.add(name)
        self.at(self.now + DETECTION_S, lambda: self.planner.kill(name))

    def open_flows(self, count: int, plan: FlowPlan) -> None:
        """Schedules flows that start at random times."""
        for _ in range(count):
            when = self.rng.uniform(plan.first_s, plan.last_s)
            life = self.rng.uniform(plan.min_life_s, plan.max_life_s)
            flow = Flow(self.rng.getrandbits(64), when + life, plan.interval_s)
            self.flows.append(flow)
            self.at(when, lambda flow=flow: self._send(flow, FlowEvent.START))  # type: ignore[misc]

    def _add(self) -> Node:
        number = self._numbers = self._numbers + 1
        name = f"i{number:03}"
        member = Member(name, f"127.9.0.{number}", PEER_PORT, 0)
        transport = self.network.attach(name, lambda sender, m: self._receive(name, sender, m))
        node = Node(name, member, self._scheme(name, transport, self))
        self.nodes[name] = node
        self._members[name] = member
        self._addresses[member.address] = name
        return node

    def _every(self, seconds: float, action: Callable[[], None]) -> None:
        def run() -> None:
            action()
            self.at(self.now + seconds, run)

        self.at(self.now + seconds, run)

    def _lag(self) -> float:
        return self.rng.uniform(0.0, self._view_lag_s)

    def _heartbeat(self) -> None:
        for node in self.live:
            connected = node.name not in self.cut and node.name in self._members
            if connected and not node.paused:
                node.scheme.heard(self.now)

    def _tick(self) -> None:
        for node in self.live:
            if not node.paused:
                node.scheme.tick()
        fullest = max(self.live, key=lambda node: node.scheme.records, default=None)
        if fullest is None or not fullest.scheme.records:
            return
        if fullest.scheme.state_bytes > self.state_bytes_peak:
            self.state_bytes_peak = fullest.scheme.state_bytes
            self.bytes_per_record = self.state_bytes_peak / fullest.scheme.records

    def _spread_to(self, node: Node, placement: Placement, lag_s: float | None) -> None:
        def apply() -> None:
            if placement.generation > node.generation:
                node.generation = placement.generation
                node.scheme.apply_placement(placement)

        def arrive() -> None:
            if node.name in self.cut:
                self.at(self.now + HEARTBEAT_S, arrive)
            else:
                self._wake(node, apply)

        self.at(self.now + (self._lag() if lag_s is None else lag_s), arrive)

    def _spread_view(self, lag_s: float | None = None) -> None:
        """Sends the current view to every instance, each with its own delay."""
        self._version += 1
        view = View(tuple(self._members[name] for name in sorted(self._members)), self._version)
        for node in self.live:
            if node.name in self._members and node.name not in self.cut:
                self._show(node, view, self._lag() if lag_s is None else lag_s)

    def _show(self, node: Node, view: View, lag_s: float) -> None:
        def apply() -> None:
            if view.version > node.view_version:
                node.view_version = view.version
                node.scheme.apply_view(view)

        self.at(self.now + lag_s, lambda: self._wake(node, apply))

    def _show_alone(self, name: str) -> None:
        node = self.nodes[name]
        self._show(node, View((node.member,), node.view_version + 1), self._lag())

    def _lose(self, name: str) -> None:
        if self._members.pop(name, None) is not None:
            self._spread_view()

    def _rejoin(self, name: str) -> None:
        self.cut.discard(name)
        self._members[name] = self.nodes[name].member
        self._version += 1
        self._spread_view()

    def _leave_fabric(self, node: Node) -> None:
        node.in_fabric = node.alive and not node.paused and node.member.state is MemberState.ALIVE

    def _end_when_handed_over(self, node: Node) -> None:
        if not node.scheme.handed_over:
            self.at(self.now + HEARTBEAT_S, lambda: self._end_when_handed_over(node))
            return
        self._lose(node.name)
        self.at(self.now + 1.0, lambda: self._end(node))

    def _end(self, node: Node) -> None:
        node.alive = False
        self.network.detach(node.name)

    def _resume(self, node: Node) -> None:
        if not node.alive:
            return
        node.paused = False
        node.scheme.wake()
        backlog, node.backlog = node.backlog, []
        self.rng.shuffle(backlog)
        for action in backlog:
            action()
        node.in_fabric = True
        self._members[node.name] = node.member
        self._spread_view()

    def _wake(self, node: Node, action: Callable[[], None]) -> None:
        """Runs an action at an instance, or queues it while the instance is paused."""
        if node.paused:
            node.backlog.append(action)
        elif node.alive:
            node.scheme.wake()
            action()

    def _deliver_message(self, sender: str, to: str, message: Message) -> tuple[float, ...]:
        if sender in self.cut or to in self.cut:
            return ()
        return self.faults(sender, to) if self.faults else (MESSAGE_DELAY_S,)

    def _receive(self, name: str, sender: str, message: Message) -> None:
        node = self.nodes[name]
        self._wake(node, lambda: node.scheme.handle(sender, message))

    def _send(self, flow: Flow, event: FlowEvent) -> None:
        """Sends one packet of a flow to a random instance in the fabric."""
        if flow.finished:
            return
        entries = [node for node in self.nodes.values() if node.in_fabric]
        self._arrive(self.rng.choice(entries), flow, event, INNER_TTL, False)

    def _arrive(self, node: Node, flow: Flow, event: FlowEvent, ttl: int, from_peer: bool) -> None:
        if not node.alive:
            self._lost(flow, event)
        elif node.paused:
            late = Flow(flow.hash, 0.0, 0.0, late_for=flow)
            node.backlog.append(lambda: self._arrive(node, late, event, ttl, from_peer))
            self._lost(flow, event)
        else:
            node.scheme.wake()
            self._decide(node, flow, event, ttl, from_peer)

    def _decide(self, node: Node, flow: Flow, event: FlowEvent, ttl: int, from_peer: bool) -> None:
        self.packets += 1
        verdict = node.scheme.decide(flow.hash, event, from_peer)
        if verdict.action is Action.FORWARD:
            self._at_target(flow, event, verdict.target)
        elif verdict.action is Action.REFUSE:
            self._refused(flow)
        elif verdict.action is Action.PASS and ttl > 0 and verdict.address is not None:
            self._pass(node, flow, event, ttl, verdict.address[0])
        else:
            self._lost(flow, event)

    def _pass(self, node: Node, flow: Flow, event: FlowEvent, ttl: int, address: str) -> None:
        self.passed += 1
        peer = self.nodes[self._addresses[address]]
        if node.name in self.cut or peer.name in self.cut:
            self._lost(flow, event)
            return
        self.at(self.now + HOP_DELAY_S, lambda: self._arrive(peer, flow, event, ttl - 1, True))

    def _at_target(self, flow: Flow, event: FlowEvent, target: str) -> None:
        if target in self.dead_targets:
            self._lost(flow, event)
        elif flow.late_for is not None:
            self._at_target_late(flow.late_for, target)
        elif flow.target and target != flow.target:
            self.misrouted += 1
            self._fail(flow, f"{event!r} reached {target} instead of {flow.target}")
        elif event & FlowEvent.START:
            self._accepted(flow, target)
        elif event & FlowEvent.END:
            flow.finished = True
        else:
            flow.retransmits = 0
            self._plan_next(flow)

    def _at_target_late(self, flow: Flow, target: str) -> None:
        """Handles a delayed packet that the caller has already retransmitted."""
        if flow.target and target != flow.target and not flow.finished:
            self.misrouted += 1
            self._fail(flow, f"a delayed packet reached {target} instead of {flow.target}")

    def _accepted(self, flow: Flow, target: str) -> None:
        if not flow.target:
            flow.target = target
            flow.retransmits = 0
            self.at(self.now + ROUND_TRIP_S, lambda: self._send(flow, FlowEvent.NONE))

    def _plan_next(self, flow: Flow) -> None:
        when = self.now + self.rng.uniform(0.5, 1.5) * flow.interval_s
        event = FlowEvent.NONE if when < flow.ends_at else FlowEvent.END
        self.at(when, lambda: self._send(flow, event))

    def _lost(self, flow: Flow, event: FlowEvent) -> None:
        """Schedules the retransmission of a lost packet, up to the retransmission limit."""
        if flow.finished or flow.late_for is not None:
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
        self.at(self.now + wait, lambda: self._send(flow, event))

    def _refused(self, flow: Flow) -> None:
        if flow.target in self.dead_targets or flow.late_for is not None:
            flow.finished = True
        else:
            self._fail(flow, "refused")

    def _fail(self, flow: Flow, why: str) -> None:
        flow.finished = True
        flow.failure = flow.failure or why
        invariant = Invariant.ONE_TARGET_PER_FLOW
        detail = f"flow {flow.hash:x} at {self.now:.3f} s: {why}"
        self.invariants.require(False, invariant, detail)
