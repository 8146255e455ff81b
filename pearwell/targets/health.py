"""Target health: the majority verdict of three probers combined with passive health checks.

The passive health check detects SYN retransmissions and doesn't depend on the health endpoint. It
marks a target suspect although its probes succeed, and it confirms a failure when most of a group
fails its probes at once.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from pearwell.clock import Clock
from pearwell.model.group import TargetIntent, TargetSpec
from pearwell.model.placement import TargetState
from pearwell.targets.drain import TargetDrain

__all__ = ["PROBERS_PER_TARGET", "GroupHealth"]

PROBERS_PER_TARGET = 3
VERDICT_LIFETIME_S = 900.0
# Time after a failure for which it counts towards a correlated failure.
CORRELATION_WINDOW_S = 10.0


@dataclass(slots=True)
class _ReceivedVerdict:
    """A prober's verdict and when this instance received it."""

    state: TargetState
    received_at: float


@dataclass(slots=True)
class _TargetHealth:
    """Health of one target.

    Attributes:
        spec: Its configuration.
        drain: Its drain state.
        silent_until: Time in seconds until which the passive health check counts it as silent.
        silent: Whether it was silent at the last evaluation.
        verdicts: Latest verdicts by prober.
        majority_verdict: Latest majority verdict of its probers.
        evidence: The majority verdict combined with the passive health check.
        failed_at: Time in seconds at which the evidence last changed from working to failed.
        distrusted: Whether the evidence is ignored as part of a correlated failure.
        state: The resulting state, which the placement uses.
    """

    spec: TargetSpec
    drain: TargetDrain
    silent_until: float = -math.inf
    silent: bool = False
    verdicts: dict[str, _ReceivedVerdict] = field(default_factory=dict)
    majority_verdict: TargetState = TargetState.WORKING
    evidence: TargetState = TargetState.WORKING
    failed_at: float = 0.0
    distrusted: bool = False
    state: TargetState = TargetState.WORKING


class GroupHealth:
    """Combines active and passive health checks of the targets of one group.

    Args:
        clock: Source of monotonic time.
        may_spill: Whether new flows may spill over to another zone when every target has failed;
            the evidence is then trusted.
    """

    def __init__(self, clock: Clock, may_spill: bool = False) -> None:
        self._clock = clock
        self._may_spill = may_spill
        self._targets: dict[str, _TargetHealth] = {}
        self._probers: dict[str, tuple[str, ...]] = {}

    @property
    def states(self) -> Mapping[str, TargetState]:
        """States of all targets as of the last evaluation."""
        return {name: health.state for name, health in self._targets.items()}

    @property
    def all_failed(self) -> bool:
        """Whether the evidence is that every target has failed, trusted or not."""
        targets = self._targets.values()
        return bool(targets) and all(t.evidence is not TargetState.WORKING for t in targets)

    @property
    def distrusted(self) -> frozenset[str]:
        """Targets that stay in use despite failed probes, since most of the group fails at once."""
        return frozenset(name for name, health in self._targets.items() if health.distrusted)

    def set_targets(self, targets: Iterable[TargetSpec]) -> None:
        """Sets the targets to evaluate; targets that remain keep their evidence."""
        previous = self._targets
        self._targets = {}
        for spec in targets:
            drain = TargetDrain(spec.name, self._clock)
            health = previous.get(spec.name) or _TargetHealth(spec, drain)
            health.spec = spec
            _apply_intent(health)
            self._targets[spec.name] = health

    def set_probers(self, target: str, probers: tuple[str, ...]) -> None:
        """Sets the instances whose verdicts on a target are counted."""
        self._probers[target] = probers

    def record_verdict(self, target: str, prober: str, state: TargetState) -> None:
        """Records a prober's verdict on a target; an unknown target is ignored."""
        health = self._targets.get(target)
        if health is not None:
            health.verdicts[prober] = _ReceivedVerdict(state, self._clock.now())

    def record_silence(self, target: str, hold_s: float) -> None:
        """Records the result of a passive health check: whether a target is silent.

        Args:
            target: Name of the target; an unknown one is ignored.
            hold_s: Time in seconds for which it counts as silent; 0 clears the state.
        """
        if target in self._targets:
            self._targets[target].silent_until = self._clock.now() + hold_s

    def evaluate(self) -> dict[str, TargetState]:
        """Evaluates all targets.

        Returns:
            New states by name of the targets whose state changed.
        """
        for name, health in self._targets.items():
            self._evaluate_target(name, health)
        self._distrust_correlated_failures()
        changed = {}
        for name, health in self._targets.items():
            state = _final_state(health)
            if state is not health.state:
                changed[name] = state
            health.state = state
        return changed

    def _evaluate_target(self, name: str, health: _TargetHealth) -> None:
        health.silent = self._clock.now() < health.silent_until
        fresh_verdicts = self._fresh_verdicts(name, health)
        probers = len(self._probers.get(name, ())) or PROBERS_PER_TARGET
        evidence = _majority(fresh_verdicts, probers, health.majority_verdict)
        health.majority_verdict = evidence
        if health.silent:
            unreachable = TargetState.DEAD in fresh_verdicts
            evidence = TargetState.DEAD if unreachable else max(evidence, TargetState.SUSPECT)
        if evidence is not TargetState.WORKING and health.evidence is TargetState.WORKING:
            health.failed_at = self._clock.now()
        health.evidence = evidence

    def _fresh_verdicts(self, name: str, health: _TargetHealth) -> list[TargetState]:
        oldest = self._clock.now() - VERDICT_LIFETIME_S
        probers = self._probers.get(name)
        return [
            verdict.state
            for prober, verdict in health.verdicts.items()
            if verdict.received_at >= oldest and (probers is None or prober in probers)
        ]

    def _distrust_correlated_failures(self) -> None:
        serving = [t for t in self._targets.values() if t.spec.intent is TargetIntent.SERVING]
        working = sum(t.evidence is TargetState.WORKING for t in serving)
        failed = [t for t in serving if t.evidence is not TargetState.WORKING]
        for health in self._targets.values():
            if health.evidence is TargetState.WORKING or health.silent:
                health.distrusted = False
        correlated = [t for t in failed if self._failed_recently(t) and not t.silent]
        distrust = len(correlated) * 2 > len(correlated) + working
        if working == 0 and self._may_spill:
            distrust = False
        for health in correlated:
            health.distrusted = distrust
        if working == 0 and not self._may_spill and not any(t.distrusted for t in serving):
            for health in failed:
                health.distrusted = health.evidence is not TargetState.DEAD

    def _failed_recently(self, health: _TargetHealth) -> bool:
        recent = self._clock.now() - health.failed_at <= CORRELATION_WINDOW_S
        return recent or health.distrusted


def _majority(states: list[TargetState], probers: int, previous: TargetState) -> TargetState:
    """Returns the worst state that a majority agrees on; previous if too few verdicts exist."""
    needed = probers // 2 + 1
    if len(states) < needed:
        return previous
    return sorted(states, reverse=True)[needed - 1]


def _apply_intent(health: _TargetHealth) -> None:
    """Starts or cancels the drain according to the operator's intent."""
    if health.spec.intent is TargetIntent.LEAVING:
        health.drain.start(health.spec.drain_deadline_s)
    else:
        health.drain.cancel()


def _final_state(health: _TargetHealth) -> TargetState:
    """Returns the resulting state; a target past its drain deadline counts as dead."""
    leaving = health.spec.intent is TargetIntent.LEAVING
    if leaving and not health.drain.keeps_existing_flows:
        return TargetState.DEAD
    if health.distrusted:
        return TargetState.LEAVING if leaving else TargetState.WORKING
    if health.evidence is TargetState.DEAD:
        return TargetState.DEAD
    return TargetState.LEAVING if leaving else health.evidence
