"""Schemes of the balance benchmark: pearwell, plain hashing and per-instance round robin."""

from collections import Counter

from bench.balance_model import Flow, Model, Scheme
from pearwell.errors import Code, InvariantError
from pearwell.model.group import TargetIntent, TargetSpec
from pearwell.model.load_report import LoadReport
from pearwell.model.placement import Generation, PlacedTarget, Placement, TargetState
from pearwell.placement.change import activate, fail, initial, prepare, release
from pearwell.targets.drain import TargetDrain
from pearwell.targets.weights import WeightController, WeightPolicy

__all__ = ["SCHEMES", "Pearwell", "PlainHashing", "RoundRobin"]

ACTIVATION_DELAY_S = 1.5
RELEASE_INTERVAL_S = 5.0


class Pearwell:
    """Weights, placements and drains of pearwell, with exact knowledge of the live flows."""

    def __init__(self, model: Model, policy: WeightPolicy) -> None:
        self._model = model
        self._weights = WeightController(model.clock, policy)
        self._specs: dict[str, TargetSpec] = {}
        self._states: dict[str, TargetState] = {}
        self._placement: Placement | None = None
        self._activate_at: float | None = None
        self._release_at = 0.0
        self._change_pending = False
        self._change_is_urgent = False
        self._flows_by_bucket: dict[int, set[int]] = {}
        self._drains: dict[str, TargetDrain] = {}
        self.moved_buckets = 0

    @property
    def placement(self) -> Placement:
        """The current placement."""
        return self._current_placement()

    @property
    def extra_hop_share(self) -> float:
        """Fraction of the flows in buckets that aren't stable."""
        placement = self._current_placement()
        flows = self._flows_by_bucket
        unstable = sum(
            len(flows.get(bucket, ()))
            for bucket, index in enumerate(placement.base)
            if not index == placement.current[bucket] == placement.upcoming[bucket]
            or bucket in placement.returned
        )
        return unstable / max(1, len(self._model.flows))

    def choose(self, flow: Flow, instance: int) -> str:
        """Returns the target of a new flow."""
        placement = self._current_placement()
        target = placement.targets[placement.current[self._bucket(flow.flow_hash)]]
        draining = not self._drains[target.name].accepts_new_flows
        if target.state is TargetState.DEAD or draining:
            return ""
        return target.name

    def route(self, flow: Flow) -> str:
        """Returns the target that a later packet of a flow reaches."""
        placement = self._current_placement()
        if flow.recorded:
            return flow.target
        return placement.targets[placement.base[self._bucket(flow.flow_hash)]].name

    def set_states(self, specs: list[TargetSpec], states: dict[str, TargetState]) -> bool:
        """Updates the health states."""
        self._specs = {spec.name: spec for spec in specs}
        for spec in specs:
            self._update_drain(spec)
        dead = [n for n, s in states.items() if s is TargetState.DEAD and n in self._states]
        newly_dead = [n for n in dead if self._states[n] is not TargetState.DEAD]
        self._change_is_urgent |= any(
            state is not TargetState.WORKING and self._states.get(name) is TargetState.WORKING
            for name, state in states.items()
        )
        self._states = states
        self._weights.set_targets(
            spec for spec in specs if states.get(spec.name) is TargetState.WORKING
        )
        if self._placement is None:
            self._apply(initial("g", "z", self._placed_targets(), 0, Generation(1, "")))
        for name in newly_dead:
            self._apply(fail(self._current_placement(), name, self._next_generation()))
        self._change_pending = True
        if self._change_is_urgent:
            self._plan()
        return bool(newly_dead)

    def _update_drain(self, spec: TargetSpec) -> None:
        drain = self._drains.setdefault(spec.name, TargetDrain(spec.name, self._model.clock))
        if spec.intent is TargetIntent.LEAVING:
            drain.start(spec.drain_deadline_s)
        else:
            drain.cancel()

    def flow_started(self, flow: Flow) -> None:
        """Records an accepted flow; its owner keeps a record while its bucket isn't stable.

        Raises:
            InvariantError: Its target has been draining for longer than the grace time.
        """
        self._drains[flow.target].check_new_flow()
        placement = self._current_placement()
        bucket = self._bucket(flow.flow_hash)
        stable = (
            placement.base[bucket] == placement.current[bucket] == placement.upcoming[bucket]
            and bucket not in placement.returned
        )
        flow.recorded = not stable
        self._flows_by_bucket.setdefault(bucket, set()).add(flow.flow_hash)
        self._weights.record_flows(flow.target, 1)

    def flow_ended(self, flow: Flow, seen: bool) -> None:
        """Records the end of a flow."""
        if seen:
            self._weights.record_flows(flow.target, 0, 1)
        self._flows_by_bucket[self._bucket(flow.flow_hash)].discard(flow.flow_hash)

    def report(self, target: str, report: LoadReport) -> None:
        """Records a load report."""
        self._weights.record_report(target, report)

    def tick(self) -> bool:
        """Plans and activates changes and releases clear buckets."""
        now = self._model.clock.now()
        changed = False
        if self._activate_at is not None and now >= self._activate_at:
            self._apply(activate(self._current_placement(), self._next_generation()))
            self._activate_at = None
            changed = True
        if now >= self._release_at:
            self._release_at = now + RELEASE_INTERVAL_S
            changed |= self._release_clear_buckets()
        self._change_pending |= self._weights.adjust() is not None
        if self._change_pending and self._activate_at is None:
            self._plan()
        return changed

    def _plan(self) -> None:
        """Prepares a change, which replaces one that isn't active yet."""
        self._change_pending = self._change_is_urgent = False
        self._apply(
            prepare(self._current_placement(), self._placed_targets(), self._next_generation())
        )
        self._activate_at = self._model.clock.now() + ACTIVATION_DELAY_S

    def _release_clear_buckets(self) -> bool:
        placement = self._current_placement()
        if self._activate_at is not None:
            return False
        clear = [
            bucket
            for bucket, index in enumerate(placement.base)
            if (index != placement.current[bucket] or bucket in placement.returned)
            and self._is_clear(bucket, placement.targets[placement.current[bucket]].name)
        ]
        if not clear:
            return False
        self._apply(release(placement, clear, self._next_generation()))
        for bucket in clear:
            for flow_hash in self._flows_by_bucket.get(bucket, ()):
                if flow_hash in self._model.flows:
                    self._model.flows[flow_hash].recorded = False
        return True

    def _is_clear(self, bucket: int, target: str) -> bool:
        flows = (self._model.flows.get(h) for h in self._flows_by_bucket.get(bucket, ()))
        return all(flow is None or flow.target == target for flow in flows)

    def _apply(self, placement: Placement) -> None:
        if self._placement is not None and len(placement.current) == len(self._placement.current):
            before = [self._placement.targets[i].name for i in self._placement.current]
            after = [placement.targets[i].name for i in placement.current]
            self.moved_buckets += sum(b != a for b, a in zip(before, after, strict=True))
        resized = self._placement is not None and len(placement.current) != len(
            self._placement.current
        )
        self._placement = placement
        if resized:
            self._rebuild_buckets()

    def _rebuild_buckets(self) -> None:
        self._flows_by_bucket = {}
        for flow in self._model.flows.values():
            self._flows_by_bucket.setdefault(self._bucket(flow.flow_hash), set()).add(
                flow.flow_hash
            )

    def _bucket(self, flow_hash: int) -> int:
        return flow_hash & (len(self._current_placement().current) - 1)

    def _placed_targets(self) -> tuple[PlacedTarget, ...]:
        return tuple(self._placed_target(spec) for spec in self._specs.values())

    def _placed_target(self, spec: TargetSpec) -> PlacedTarget:
        state = self._states.get(spec.name, TargetState.WORKING)
        weight = self._weights.weights.get(spec.name, spec.weight)
        effective_weight = weight if state is TargetState.WORKING else 0
        return PlacedTarget(spec.name, spec.address, spec.port, effective_weight, state)

    def _next_generation(self) -> Generation:
        return Generation(self._current_placement().generation.counter + 1, "")

    def _current_placement(self) -> Placement:
        if self._placement is None:
            raise InvariantError(Code.INVARIANT_VIOLATED, "no placement has been applied yet")
        return self._placement


class PlainHashing:
    """Hash modulo the number of working targets."""

    moved_buckets = 0
    extra_hop_share = 0.0

    def __init__(self, model: Model) -> None:
        self._names: list[str] = []

    def choose(self, flow: Flow, instance: int) -> str:
        """Returns the target of a new flow."""
        return self.route(flow)

    def route(self, flow: Flow) -> str:
        """Returns the target that any packet of a flow reaches."""
        return self._names[flow.flow_hash % len(self._names)] if self._names else ""

    def set_states(self, specs: list[TargetSpec], states: dict[str, TargetState]) -> bool:
        """Updates the health states."""
        names = sorted(n for n, state in states.items() if state is TargetState.WORKING)
        changed = names != self._names
        self._names = names
        return changed

    def flow_started(self, flow: Flow) -> None:
        """Ignores an accepted flow."""

    def flow_ended(self, flow: Flow, seen: bool) -> None:
        """Ignores the end of a flow."""

    def report(self, target: str, report: LoadReport) -> None:
        """Ignores a load report."""

    def tick(self) -> bool:
        """Does nothing."""
        return False


class RoundRobin(PlainHashing):
    """Each instance assigns its new flows to the targets in turn."""

    def __init__(self, model: Model) -> None:
        super().__init__(model)
        self._assigned: Counter[int] = Counter()

    def choose(self, flow: Flow, instance: int) -> str:
        """Returns the target of a new flow."""
        if not self._names:
            return ""
        self._assigned[instance] += 1
        return self._names[(instance + self._assigned[instance]) % len(self._names)]

    def route(self, flow: Flow) -> str:
        """Returns the flow's target, as if all its packets arrived at the same instance."""
        return flow.target


SCHEMES: dict[str, type[Scheme]] = {"plain hashing": PlainHashing, "round robin": RoundRobin}
