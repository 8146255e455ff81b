"""Health of targets: hysteresis of one prober, and the combined verdict of three.

A probe tells more than success or failure. A host that answers at all, even with an error, still
serves the flows that it has, so only silence lets a target count as dead, which resets its flows.

Repeated SYNs are a second signal that doesn't depend on the health endpoint. It makes a target
suspect that claims to work, and it is what confirms a failure when most of a group looks failed.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from pearwell.clock import Clock
from pearwell.group import HealthCheck, TargetIntent, TargetSpec
from pearwell.placement import TargetState

__all__ = [
    "PROBERS_PER_TARGET",
    "GroupHealth",
    "Outcome",
    "ProbeHistory",
    "SilenceDetector",
]

PROBERS_PER_TARGET = 3
VERDICT_LIFETIME_S = 90.0
CORRELATION_WINDOW_S = 10.0
FLAP_WINDOW_S = 60.0
MAX_FLAP_FACTOR = 8
DEAD_FAILURE_FACTOR = 2

SILENCE_WINDOW_S = 3.0
MIN_REPEATED_SYNS = 5
MIN_REPEAT_RATIO = 0.3
SILENCE_HOLD_S = 10.0
MAX_SILENCE_HOLD_S = 80.0


class Outcome(IntEnum):
    """What one probe of a target found.

    OK and FAILING are HTTP answers; HANGING accepted the connection but didn't answer in time;
    REFUSED is a closed health port; SILENT got no connection at all; GONE is a closed health port
    on a host whose encapsulation port is closed too.
    """

    OK = 0
    FAILING = 1
    HANGING = 2
    REFUSED = 3
    SILENT = 4
    GONE = 5


class _Evidence(IntEnum):
    """What the outcomes of a prober add up to."""

    WELL = 0
    FAILING = 1
    UNREACHABLE = 2


_UNREACHABLE_OUTCOMES = frozenset({Outcome.SILENT, Outcome.GONE})

_OPINIONS: Mapping[tuple[TargetState, _Evidence], TargetState] = {
    (TargetState.WORKING, _Evidence.WELL): TargetState.WORKING,
    (TargetState.WORKING, _Evidence.FAILING): TargetState.SUSPECT,
    (TargetState.WORKING, _Evidence.UNREACHABLE): TargetState.DEAD,
    (TargetState.SUSPECT, _Evidence.WELL): TargetState.WORKING,
    (TargetState.SUSPECT, _Evidence.FAILING): TargetState.SUSPECT,
    (TargetState.SUSPECT, _Evidence.UNREACHABLE): TargetState.DEAD,
    (TargetState.DEAD, _Evidence.WELL): TargetState.WORKING,
    (TargetState.DEAD, _Evidence.FAILING): TargetState.SUSPECT,
    (TargetState.DEAD, _Evidence.UNREACHABLE): TargetState.DEAD,
}


class ProbeHistory:
    """The opinion of one prober on one target.

    A target that fails again soon after it recovered needs more successes each time, so that a
    flapping target costs few changes of placement.

    Args:
        check: Thresholds of the group.
        clock: Source of monotonic time.
        initial: The zone's verdict when this prober takes the target over.
    """

    def __init__(
        self, check: HealthCheck, clock: Clock, initial: TargetState = TargetState.WORKING
    ) -> None:
        self._check = check
        self._clock = clock
        self._state = initial
        self._failures = 0
        self._unreachable = 0
        self._successes = 0
        self._flap_factor = 1
        self._recovered_at = -FLAP_WINDOW_S

    @property
    def state(self) -> TargetState:
        """Working, suspect or dead, in the opinion of this prober."""
        return self._state

    @property
    def successes_needed(self) -> int:
        """Consecutive successes until a failed target counts as working."""
        return self._check.successes * self._flap_factor

    def observe(self, outcome: Outcome) -> TargetState:
        """Takes the outcome of a probe and returns the opinion after it."""
        self._count(outcome)
        evidence = self._evidence()
        if evidence is not None:
            self._move(_OPINIONS[self._state, evidence])
        return self._state

    def _count(self, outcome: Outcome) -> None:
        ok = outcome is Outcome.OK
        self._successes = self._successes + 1 if ok else 0
        self._failures = 0 if ok else self._failures + 1
        unreachable = outcome in _UNREACHABLE_OUTCOMES
        self._unreachable = self._unreachable + 1 if unreachable else 0

    def _evidence(self) -> _Evidence | None:
        if self._unreachable >= self._check.failures * DEAD_FAILURE_FACTOR:
            return _Evidence.UNREACHABLE
        if self._state is TargetState.DEAD and self._unreachable:
            return None
        if self._failures >= self._check.failures:
            return _Evidence.FAILING
        if self._successes >= self.successes_needed:
            return _Evidence.WELL
        return None

    def _move(self, state: TargetState) -> None:
        now = self._clock.now()
        if state is TargetState.WORKING and self._state is not TargetState.WORKING:
            self._recovered_at = now
        if state is not TargetState.WORKING and self._state is TargetState.WORKING:
            flapping = now - self._recovered_at < FLAP_WINDOW_S * self._flap_factor
            grown = min(self._flap_factor * 2, MAX_FLAP_FACTOR)
            self._flap_factor = grown if flapping else 1
        self._state = state


class SilenceDetector:
    """Judges from repeated SYNs whether a target leaves flow starts unanswered.

    While a target counts as silent it gets no new flows, so there is no further evidence. After a
    hold it is tried again; each relapse doubles the hold.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_start = clock.now()
        self._started = 0
        self._repeated = 0
        self._silent_until = -math.inf
        self._hold_s = SILENCE_HOLD_S

    @property
    def silent(self) -> bool:
        """Whether the target counts as silent now."""
        return self._clock.now() < self._silent_until

    def started(self, count: int) -> None:
        """Takes a number of flow starts towards the target."""
        self._roll()
        self._started += count

    def repeated(self, count: int) -> None:
        """Takes a number of repeated SYNs towards the target."""
        self._roll()
        self._repeated += count
        starts = max(self._started, 1)
        if self._repeated >= MIN_REPEATED_SYNS and self._repeated / starts >= MIN_REPEAT_RATIO:
            self._mark_silent()

    def _mark_silent(self) -> None:
        now = self._clock.now()
        if not self.silent:
            relapsed = now - self._silent_until < FLAP_WINDOW_S
            doubled = min(self._hold_s * 2, MAX_SILENCE_HOLD_S)
            self._hold_s = doubled if relapsed else SILENCE_HOLD_S
        self._silent_until = now + self._hold_s

    def _roll(self) -> None:
        now = self._clock.now()
        if now - self._window_start >= SILENCE_WINDOW_S:
            self._window_start = now
            self._started //= 2
            self._repeated //= 2


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
        silence: The second signal.
        verdicts: Verdicts by prober.
        believed: What the majority of its probers said last.
        evidence: That, joined with the second signal.
        failed_at: When the evidence turned from working, in seconds.
        distrusted: Whether the evidence is set aside.
        state: What the placement acts on.
    """

    spec: TargetSpec
    silence: SilenceDetector
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
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
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
            tracked = known.get(spec.name) or _Tracked(spec, SilenceDetector(self._clock))
            tracked.spec = spec
            self._targets[spec.name] = tracked

    def set_probers(self, target: str, probers: tuple[str, ...]) -> None:
        """Sets the instances whose verdicts on a target count."""
        self._probers[target] = probers

    def take_verdict(self, target: str, prober: str, state: TargetState) -> None:
        """Takes a prober's verdict on a target; an unknown target is ignored."""
        tracked = self._targets.get(target)
        if tracked is not None:
            tracked.verdicts[prober] = _Held(state, self._clock.now())

    def take_starts(self, target: str, count: int) -> None:
        """Takes a number of flow starts that this instance sent to a target."""
        if target in self._targets:
            self._targets[target].silence.started(count)

    def take_repeated_syns(self, target: str, count: int) -> None:
        """Takes a number of repeated SYNs that this instance sent to a target."""
        if target in self._targets:
            self._targets[target].silence.repeated(count)

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
        counted = self._fresh_verdicts(name, tracked)
        probers = len(self._probers.get(name, ())) or PROBERS_PER_TARGET
        evidence = _majority(counted, probers, tracked.believed)
        tracked.believed = evidence
        if tracked.silence.silent:
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
            if tracked.evidence is TargetState.WORKING or tracked.silence.silent:
                tracked.distrusted = False
        common = [t for t in failed if self._is_recent(t) and not t.silence.silent]
        distrust = len(common) * 2 > len(common) + working
        for tracked in common:
            tracked.distrusted = distrust
        if working == 0 and not any(t.distrusted for t in serving):
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


def _final_state(tracked: _Tracked) -> TargetState:
    """Returns the state that the placement acts on."""
    if tracked.distrusted:
        return _INTENDED[tracked.spec.intent]
    if tracked.evidence is TargetState.DEAD:
        return TargetState.DEAD
    if tracked.spec.intent is TargetIntent.LEAVING:
        return TargetState.LEAVING
    return tracked.evidence


_INTENDED: Mapping[TargetIntent, TargetState] = {
    TargetIntent.SERVING: TargetState.WORKING,
    TargetIntent.LEAVING: TargetState.LEAVING,
}
