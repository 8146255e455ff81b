"""Health of targets: the combined verdict of three probers and a second signal.

Repeated SYNs are the second signal; it doesn't depend on the health endpoint. It makes a target
suspect that claims to work, and it is what confirms a failure when most of a group looks failed.
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
CORRELATION_WINDOW_S = 10.0


@dataclass(slots=True)
class _Held:
    """A prober's verdict as this instance holds it."""

    state: TargetState
    heard_at: float


@dataclass(slots=True)
class _Tracked:
    """What is known of one target.

    Attributes:
        spec: Its configuration.
        drain: Whether it is leaving, and since when.
        silent_until: End of the time in which the second signal calls it silent, in seconds.
        silent: Whether it was so at the last evaluation.
        verdicts: Verdicts by prober.
        believed: What the majority of its probers said last.
        evidence: That, joined with the second signal.
        failed_at: When the evidence turned from working, in seconds.
        distrusted: Whether the evidence is set aside.
        state: What the placement acts on.
    """

    spec: TargetSpec
    drain: TargetDrain
    silent_until: float = -math.inf
    silent: bool = False
    verdicts: dict[str, _Held] = field(default_factory=dict)
    believed: TargetState = TargetState.WORKING
    evidence: TargetState = TargetState.WORKING
    failed_at: float = 0.0
    distrusted: bool = False
    state: TargetState = TargetState.WORKING


class GroupHealth:
    """Combines all evidence on the targets of one group.

    Args:
        clock: Source of monotonic time.
        may_spill: Whether new flows may go to another zone when every target has failed; the
            evidence is then believed.
    """

    def __init__(self, clock: Clock, may_spill: bool = False) -> None:
        self._clock = clock
        self._may_spill = may_spill
        self._targets: dict[str, _Tracked] = {}
        self._probers: dict[str, tuple[str, ...]] = {}

    @property
    def states(self) -> Mapping[str, TargetState]:
        """States of all targets as of the last evaluation."""
        return {name: tracked.state for name, tracked in self._targets.items()}

    @property
    def all_failed(self) -> bool:
        """Whether the evidence is against every target, whether it is trusted or not."""
        tracked = self._targets.values()
        return bool(tracked) and all(t.evidence is not TargetState.WORKING for t in tracked)

    @property
    def distrusted(self) -> frozenset[str]:
        """Targets in use although their probes fail, since most of the group fails together."""
        return frozenset(name for name, tracked in self._targets.items() if tracked.distrusted)

    def set_targets(self, targets: Iterable[TargetSpec]) -> None:
        """Sets the targets to judge; those that stay keep their evidence."""
        known = self._targets
        self._targets = {}
        for spec in targets:
            drain = TargetDrain(spec.name, self._clock)
            tracked = known.get(spec.name) or _Tracked(spec, drain)
            tracked.spec = spec
            _apply_intent(tracked)
            self._targets[spec.name] = tracked

    def set_probers(self, target: str, probers: tuple[str, ...]) -> None:
        """Sets the instances whose verdicts on a target count."""
        self._probers[target] = probers

    def take_verdict(self, target: str, prober: str, state: TargetState) -> None:
        """Takes a prober's verdict on a target; an unknown target is ignored."""
        tracked = self._targets.get(target)
        if tracked is not None:
            tracked.verdicts[prober] = _Held(state, self._clock.now())

    def take_silence(self, target: str, hold_s: float) -> None:
        """Takes the second signal: a target leaves flow starts unanswered.

        Args:
            target: Name of the target; an unknown one is ignored.
            hold_s: Time in seconds for which it counts as silent; 0 ends it.
        """
        if target in self._targets:
            self._targets[target].silent_until = self._clock.now() + hold_s

    def evaluate(self) -> dict[str, TargetState]:
        """Judges all targets anew.

        Returns:
            The targets whose state changed, with their new state.
        """
        for name, tracked in self._targets.items():
            self._weigh(name, tracked)
        self._distrust_common_failures()
        changed = {}
        for name, tracked in self._targets.items():
            state = _final_state(tracked)
            if state is not tracked.state:
                changed[name] = state
            tracked.state = state
        return changed

    def _weigh(self, name: str, tracked: _Tracked) -> None:
        tracked.silent = self._clock.now() < tracked.silent_until
        counted = self._fresh_verdicts(name, tracked)
        probers = len(self._probers.get(name, ())) or PROBERS_PER_TARGET
        evidence = _majority(counted, probers, tracked.believed)
        tracked.believed = evidence
        if tracked.silent:
            unreachable = TargetState.DEAD in counted
            evidence = TargetState.DEAD if unreachable else max(evidence, TargetState.SUSPECT)
        if evidence is not TargetState.WORKING and tracked.evidence is TargetState.WORKING:
            tracked.failed_at = self._clock.now()
        tracked.evidence = evidence

    def _fresh_verdicts(self, name: str, tracked: _Tracked) -> list[TargetState]:
        oldest = self._clock.now() - VERDICT_LIFETIME_S
        probers = self._probers.get(name)
        return [
            held.state
            for prober, held in tracked.verdicts.items()
            if held.heard_at >= oldest and (probers is None or prober in probers)
        ]

    def _distrust_common_failures(self) -> None:
        serving = [t for t in self._targets.values() if t.spec.intent is TargetIntent.SERVING]
        working = sum(t.evidence is TargetState.WORKING for t in serving)
        failed = [t for t in serving if t.evidence is not TargetState.WORKING]
        for tracked in self._targets.values():
            if tracked.evidence is TargetState.WORKING or tracked.silent:
                tracked.distrusted = False
        common = [t for t in failed if self._is_recent(t) and not t.silent]
        distrust = len(common) * 2 > len(common) + working
        if working == 0 and self._may_spill:
            distrust = False
        for tracked in common:
            tracked.distrusted = distrust
        if working == 0 and not self._may_spill and not any(t.distrusted for t in serving):
            for tracked in failed:
                tracked.distrusted = tracked.evidence is not TargetState.DEAD

    def _is_recent(self, tracked: _Tracked) -> bool:
        recent = self._clock.now() - tracked.failed_at <= CORRELATION_WINDOW_S
        return recent or tracked.distrusted


def _majority(states: list[TargetState], probers: int, previous: TargetState) -> TargetState:
    """Returns the worst state that a majority of the probers supports; too few change nothing."""
    needed = probers // 2 + 1
    if len(states) < needed:
        return previous
    return sorted(states, reverse=True)[needed - 1]


def _apply_intent(tracked: _Tracked) -> None:
    """Starts or cancels the drain as the operator wants it."""
    if tracked.spec.intent is TargetIntent.LEAVING:
        tracked.drain.leave(tracked.spec.drain_deadline_s)
    else:
        tracked.drain.cancel()


def _final_state(tracked: _Tracked) -> TargetState:
    """Returns the state that the placement acts on; a drain's deadline ends like a death."""
    leaving = tracked.spec.intent is TargetIntent.LEAVING
    if leaving and not tracked.drain.keeps_old:
        return TargetState.DEAD
    if tracked.distrusted:
        return TargetState.LEAVING if leaving else TargetState.WORKING
    if tracked.evidence is TargetState.DEAD:
        return TargetState.DEAD
    return TargetState.LEAVING if leaving else tracked.evidence
