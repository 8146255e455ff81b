"""Model of targets, callers and probers in virtual time for the balance benchmark."""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from pearwell.clock import ManualClock
from pearwell.model.group import HealthCheck, TargetIntent, TargetSpec
from pearwell.model.load_report import LoadReport
from pearwell.model.placement import TargetState
from pearwell.targets.health import GroupHealth
from pearwell.targets.probe_history import ProbeHistory, ProbeOutcome
from pearwell.targets.silence import SilenceDetector

__all__ = ["FAULTS", "PROFILES", "Fault", "Flow", "Model", "Profile", "Scheme", "Target"]

STEP_S = 0.5
SAMPLE_S = 10.0
PROBERS = ("a", "b", "c")
SYN_RETRANSMIT_TIMES_S = (1.0, 3.0, 7.0)
MAX_RECONNECT_DELAY_S = 5.0
UTILISATION = 0.6
WARMUP_SLOWDOWN = 4.0
WARMUP_S = 60.0
SHEDDING_LIMIT_FRACTION = 0.6
MISREPORTING_S = 600.0
LOAD_LAG_S = 120.0
FLAP_PERIOD_S = 15.0
FLAP_FAILING_S = 5.0
SHEDDING_S = 3600.0
FIN_SEEN_FRACTION = 0.9


@dataclass(frozen=True, slots=True)
class Profile:
    """Size of one service.

    Attributes:
        targets: Number of targets in the zone.
        slots: Requests that a target serves concurrently.
        flows: Open flows per target.
        instances: Number of instances in the zone.
    """

    targets: int
    slots: int
    flows: int
    instances: int


PROFILES = {"bureau": Profile(7, 3, 4300, 17), "quillmere": Profile(7, 2, 4400, 17)}


@dataclass(slots=True)
class Flow:
    """One flow; slot_load is the mean number of slots that it uses."""

    flow_hash: int
    target: str
    slot_load: float
    ends_at: float
    recorded: bool = False
    open: bool = True


@dataclass(slots=True)
class Target:
    """A simulated target and its injected faults."""

    spec: TargetSpec
    alive: bool = True
    responds_to_syn: bool = True
    probe_outcome: ProbeOutcome | None = None
    max_flows: int = 0
    warmup_ends_at: float = 0.0
    flows: set[int] = field(default_factory=set)
    slot_load: float = 0.0
    history: deque[tuple[float, int, float]] = field(default_factory=deque)

    def busy_slots(self, now: float) -> float:
        """Returns the mean number of slots in use."""
        slot_load = self.slot_load * (WARMUP_SLOWDOWN if now < self.warmup_ends_at else 1.0)
        return min(float(self.spec.slots), slot_load)


class Scheme(Protocol):
    """A load balancing scheme."""

    moved_buckets: int

    @property
    def extra_hop_share(self) -> float:
        """Fraction of the flows whose packets pass through a second instance."""

    def choose(self, flow: Flow, instance: int) -> str:
        """Returns the target of a new flow; empty if none is available."""

    def route(self, flow: Flow) -> str:
        """Returns the target that a later packet of a flow reaches."""

    def set_states(self, specs: list[TargetSpec], states: dict[str, TargetState]) -> bool:
        """Updates the health states; returns whether routes may have changed."""

    def flow_started(self, flow: Flow) -> None:
        """Records an accepted flow."""

    def flow_ended(self, flow: Flow, seen: bool) -> None:
        """Records the end of a flow; seen tells whether the scheme observed it."""

    def report(self, target: str, report: LoadReport) -> None:
        """Records a load report."""

    def tick(self) -> bool:
        """Runs periodic work; returns whether routes may have changed."""


class Model:
    """Simulates flows to targets under one scheme."""

    def __init__(
        self, profile: Profile, seed: int, mean_flow_s: float, make_scheme: Callable[..., Scheme]
    ) -> None:
        self.clock = ManualClock(1000.0)
        self.profile = profile
        self.mean_flow_s = mean_flow_s
        self.rng = random.Random(seed)
        self.targets = {f"t{i}": self._new_target(i) for i in range(profile.targets)}
        self.health = GroupHealth(self.clock)
        self.histories: dict[tuple[str, str], ProbeHistory] = {}
        self.detectors: dict[str, SilenceDetector] = {}
        self.flows: dict[int, Flow] = {}
        self.scheduled_ends: list[tuple[float, int]] = []
        self.scheduled_starts: list[tuple[float, int, int, str]] = []
        self.arrivals_per_s = profile.targets * profile.flows / mean_flow_s
        self.next_arrival = self.clock.now()
        self.broken = self.lost_with_target = self.refused = self.unanswered = 0
        self.load_lag_s = 0.0
        self.target_states: dict[str, TargetState] = {}
        self.scheme = make_scheme(self)
        self._watch_targets()
        self._open_initial_flows()

    def spec_of(self, index: int) -> TargetSpec:
        """Returns the configuration of a target by index."""
        return TargetSpec(f"t{index}", f"10.0.0.{index}", "z", slots=self.profile.slots)

    def add_target(self, index: int, warmup_s: float = 0.0) -> None:
        """Adds a target without flows that warms up for warmup_s seconds."""
        self.targets[f"t{index}"] = self._new_target(index)
        self.targets[f"t{index}"].warmup_ends_at = self.clock.now() + warmup_s
        self._watch_targets()

    def start_drain(self, name: str) -> None:
        """Starts draining a target."""
        target = self.targets[name]
        target.spec = replace(target.spec, intent=TargetIntent.LEAVING)
        self._watch_targets()

    def crash(self, name: str) -> None:
        """Makes a target and its flows unresponsive."""
        target = self.targets[name]
        target.alive = False
        target.probe_outcome = ProbeOutcome.NO_CONNECTION

    def restart(self, name: str) -> None:
        """Restarts a crashed target without flows and in warm-up."""
        target = self.targets[name]
        self._lose_flows(name)
        target.alive = True
        target.probe_outcome = None
        target.warmup_ends_at = self.clock.now() + WARMUP_S

    def serving(self) -> list[Target]:
        """Returns the targets that should receive new flows."""
        serving = (t for t in self.targets.values() if t.spec.intent is TargetIntent.SERVING)
        return [target for target in serving if target.alive]

    def step(self) -> None:
        """Advances the simulation by one step."""
        self.clock.advance(STEP_S)
        now = self.clock.now()
        while self.next_arrival <= now:
            heapq.heappush(
                self.scheduled_starts, (self.next_arrival, self.rng.getrandbits(64), 0, "")
            )
            self.next_arrival += self.rng.expovariate(self.arrivals_per_s)
        while self.scheduled_ends and self.scheduled_ends[0][0] <= now:
            self._end(heapq.heappop(self.scheduled_ends)[1])
        while self.scheduled_starts and self.scheduled_starts[0][0] <= now:
            _, flow_hash, attempt, target = heapq.heappop(self.scheduled_starts)
            self._start(flow_hash, attempt, target)
        if now % 1.0 < STEP_S:
            self._probe()
        if self.scheme.tick():
            self.check_routes()

    def check_routes(self) -> None:
        """Counts and restarts the flows whose packets would reach a different target."""
        for flow in list(self.flows.values()):
            reached = self.scheme.route(flow)
            if reached != flow.target and self.targets[flow.target].alive:
                self.broken += 1
                self._restart_flow(flow)

    def _new_target(self, index: int) -> Target:
        return Target(self.spec_of(index))

    def _watch_targets(self) -> None:
        specs = [target.spec for target in self.targets.values()]
        self.health.set_targets(specs)
        for name in self.targets:
            self.health.set_probers(name, PROBERS)
            self.detectors.setdefault(name, SilenceDetector(self.clock))
            for prober in PROBERS:
                history = ProbeHistory(HealthCheck(), self.clock)
                self.histories.setdefault((name, prober), history)
        self.health.evaluate()
        self.target_states = dict(self.health.states)
        if self.scheme.set_states(specs, self.target_states):
            self.check_routes()

    def _open_initial_flows(self) -> None:
        for _ in range(self.profile.targets * self.profile.flows):
            self._start(self.rng.getrandbits(64), 0, "")

    def _start(self, flow_hash: int, attempt: int, previous_target: str) -> None:
        now = self.clock.now()
        slot_load = self.rng.expovariate(self.profile.flows / (UTILISATION * self.profile.slots))
        lifetime = self.rng.expovariate(1.0 / self.mean_flow_s)
        flow = Flow(flow_hash, "", slot_load, now + lifetime)
        flow.target = self.scheme.choose(flow, self.rng.randrange(self.profile.instances))
        target = self.targets.get(flow.target)
        if target is None:
            self._refuse()
            return
        if attempt == 0 or flow.target == previous_target:
            self.detectors[flow.target].record_syns((flow_hash,))
        if not target.alive or not target.responds_to_syn:
            self._retransmit_syn(flow, attempt)
        elif target.max_flows and len(target.flows) >= target.max_flows:
            self.scheme.flow_started(flow)
            self._refuse()
        else:
            self._open(flow, target)

    def _open(self, flow: Flow, target: Target) -> None:
        self.scheme.flow_started(flow)
        self.flows[flow.flow_hash] = flow
        target.flows.add(flow.flow_hash)
        target.slot_load += flow.slot_load
        heapq.heappush(self.scheduled_ends, (flow.ends_at, flow.flow_hash))

    def _retransmit_syn(self, flow: Flow, attempt: int) -> None:
        now = self.clock.now()
        if attempt == len(SYN_RETRANSMIT_TIMES_S):
            self.unanswered += 1
            heapq.heappush(self.scheduled_starts, (now, self.rng.getrandbits(64), 0, ""))
            return
        wait = SYN_RETRANSMIT_TIMES_S[attempt] - (
            SYN_RETRANSMIT_TIMES_S[attempt - 1] if attempt else 0.0
        )
        heapq.heappush(
            self.scheduled_starts, (now + wait, flow.flow_hash, attempt + 1, flow.target)
        )

    def _refuse(self) -> None:
        self.refused += 1
        when = self.clock.now() + MAX_RECONNECT_DELAY_S * self.rng.random()
        heapq.heappush(self.scheduled_starts, (when, self.rng.getrandbits(64), 0, ""))

    def _end(self, flow_hash: int) -> None:
        flow = self.flows.get(flow_hash)
        if flow is not None and flow.open and flow.ends_at <= self.clock.now():
            self._close(flow)

    def _close(self, flow: Flow) -> None:
        flow.open = False
        del self.flows[flow.flow_hash]
        target = self.targets[flow.target]
        target.flows.discard(flow.flow_hash)
        target.slot_load -= flow.slot_load
        self.scheme.flow_ended(flow, self.rng.random() < FIN_SEEN_FRACTION)

    def _restart_flow(self, flow: Flow) -> None:
        self._close(flow)
        when = self.clock.now() + MAX_RECONNECT_DELAY_S * self.rng.random()
        heapq.heappush(self.scheduled_starts, (when, self.rng.getrandbits(64), 0, ""))

    def _lose_flows(self, name: str) -> None:
        for flow_hash in sorted(self.targets[name].flows):
            self.lost_with_target += 1
            self._restart_flow(self.flows[flow_hash])

    def _probe(self) -> None:
        now = self.clock.now()
        for name, target in self.targets.items():
            self.health.record_silence(name, self.detectors[name].hold_s)
            outcome = ProbeOutcome.OK if target.probe_outcome is None else target.probe_outcome
            for prober in PROBERS:
                state = self.histories[name, prober].observe(outcome)
                self.health.record_verdict(name, prober, state)
            target.history.append((now, len(target.flows), target.busy_slots(now)))
            self._report_load(name, target)
        changed = self.health.evaluate()
        if changed:
            self.target_states = dict(self.health.states)
            specs = [target.spec for target in self.targets.values()]
            if self.scheme.set_states(specs, self.target_states):
                self.check_routes()
            for name, state in changed.items():
                if state is TargetState.DEAD and not self.targets[name].alive:
                    self._lose_flows(name)

    def _report_load(self, name: str, target: Target) -> None:
        until = self.clock.now() - self.load_lag_s
        while len(target.history) > 1 and target.history[1][0] <= until:
            target.history.popleft()
        if not target.alive or target.history[0][0] > until:
            return
        _, flows, busy = target.history[0]
        slots = target.spec.slots
        in_use = sum(self.rng.random() < busy / slots for _ in range(slots))
        self.scheme.report(name, LoadReport(flows, in_use, slots))


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and its end, as actions on the model.

    Attributes:
        begin: Called once at the time of the fault.
        during: Called at each later step with the seconds since the fault.
    """

    begin: Callable[[Model], None] = lambda model: None
    during: Callable[[Model, float], None] = lambda model, elapsed: None


def _is_step_at(elapsed: float, when: float) -> bool:
    return when <= elapsed < when + STEP_S


def _join(model: Model) -> None:
    model.add_target(model.profile.targets)


def _join_with_lagging_load(model: Model) -> None:
    model.load_lag_s = LOAD_LAG_S
    _join(model)


def _cold_start(model: Model, elapsed: float) -> None:
    if _is_step_at(elapsed, WARMUP_S):
        model.restart("t0")


def _shed(model: Model, elapsed: float) -> None:
    shedding = elapsed < SHEDDING_S
    model.targets["t0"].max_flows = (
        int(SHEDDING_LIMIT_FRACTION * model.profile.flows) if shedding else 0
    )


def _misreport_health(model: Model, elapsed: float) -> None:
    misreporting = elapsed < MISREPORTING_S
    model.targets["t0"].responds_to_syn = not misreporting
    model.targets["t1"].probe_outcome = ProbeOutcome.FAILING if misreporting else None


def _flap(model: Model, elapsed: float) -> None:
    failing = elapsed < MISREPORTING_S and elapsed % FLAP_PERIOD_S < FLAP_FAILING_S
    model.targets["t0"].probe_outcome = ProbeOutcome.FAILING if failing else None


FAULTS = {
    "none": Fault(),
    "join": Fault(_join),
    "leave": Fault(lambda model: model.start_drain("t0")),
    "crash": Fault(lambda model: model.crash("t0")),
    "cold-start": Fault(lambda model: model.crash("t0"), _cold_start),
    "shed": Fault(during=_shed),
    "lying-health": Fault(during=_misreport_health),
    "lagging-load": Fault(_join_with_lagging_load),
    "flap": Fault(during=_flap),
}
