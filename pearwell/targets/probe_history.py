"""Derives one prober's verdict on a target from its probe outcomes, with hysteresis."""

from collections.abc import Mapping
from enum import IntEnum

from pearwell.clock import Clock
from pearwell.model.group import HealthCheck
from pearwell.model.placement import TargetState

__all__ = ["ProbeHistory", "ProbeOutcome"]

FLAP_WINDOW_S = 60.0
MAX_FLAP_FACTOR = 8
# Ratio of the unreachable probes for a dead verdict to the failures for a suspect verdict.
DEAD_FAILURE_FACTOR = 2


class ProbeOutcome(IntEnum):
    """Outcomes of one probe of a target.

    OK and FAILING are HTTP responses. NO_RESPONSE means that the connection was accepted but no
    response came in time. REFUSED means that the health port is closed, PORTS_CLOSED that the
    encapsulation port is closed too. NO_CONNECTION means that no connection could be established.
    """

    OK = 0
    FAILING = 1
    NO_RESPONSE = 2
    REFUSED = 3
    NO_CONNECTION = 4
    PORTS_CLOSED = 5


class _Summary(IntEnum):
    """Summary of the recent probe outcomes."""

    HEALTHY = 0
    FAILING = 1
    UNREACHABLE = 2


_UNREACHABLE_OUTCOMES = frozenset({ProbeOutcome.NO_CONNECTION, ProbeOutcome.PORTS_CLOSED})

_TRANSITIONS: Mapping[tuple[TargetState, _Summary], TargetState] = {
    (TargetState.WORKING, _Summary.HEALTHY): TargetState.WORKING,
    (TargetState.WORKING, _Summary.FAILING): TargetState.SUSPECT,
    (TargetState.WORKING, _Summary.UNREACHABLE): TargetState.DEAD,
    (TargetState.SUSPECT, _Summary.HEALTHY): TargetState.WORKING,
    (TargetState.SUSPECT, _Summary.FAILING): TargetState.SUSPECT,
    (TargetState.SUSPECT, _Summary.UNREACHABLE): TargetState.DEAD,
    (TargetState.DEAD, _Summary.HEALTHY): TargetState.WORKING,
    (TargetState.DEAD, _Summary.FAILING): TargetState.SUSPECT,
    (TargetState.DEAD, _Summary.UNREACHABLE): TargetState.DEAD,
}


class ProbeHistory:
    """Probe outcomes of one target and the verdict of one prober.

    Each time a target fails soon after it recovered, the number of successes that it needs to
    recover doubles, so that a flapping target causes few placement changes.

    Args:
        check: Health check settings of the group.
        clock: Source of monotonic time.
        initial: State of the target when this prober starts to probe it.
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
        """The current verdict: working, suspect or dead."""
        return self._state

    @property
    def successes_needed(self) -> int:
        """Consecutive successes after which a failed target counts as working."""
        return self._check.successes * self._flap_factor

    def observe(self, outcome: ProbeOutcome) -> TargetState:
        """Records the outcome of a probe and returns the resulting verdict."""
        self._count(outcome)
        summary = self._summarize()
        if summary is not None:
            self._set_state(_TRANSITIONS[self._state, summary])
        return self._state

    def _count(self, outcome: ProbeOutcome) -> None:
        ok = outcome is ProbeOutcome.OK
        self._successes = self._successes + 1 if ok else 0
        self._failures = 0 if ok else self._failures + 1
        unreachable = outcome in _UNREACHABLE_OUTCOMES
        self._unreachable = self._unreachable + 1 if unreachable else 0

    def _summarize(self) -> _Summary | None:
        if self._unreachable >= self._check.failures * DEAD_FAILURE_FACTOR:
            return _Summary.UNREACHABLE
        if self._state is TargetState.DEAD and self._unreachable:
            return None
        if self._failures >= self._check.failures:
            return _Summary.FAILING
        if self._successes >= self.successes_needed:
            return _Summary.HEALTHY
        return None

    def _set_state(self, state: TargetState) -> None:
        now = self._clock.now()
        if state is TargetState.WORKING and self._state is not TargetState.WORKING:
            self._recovered_at = now
        if state is not TargetState.WORKING and self._state is TargetState.WORKING:
            flapping = now - self._recovered_at < FLAP_WINDOW_S * self._flap_factor
            doubled = min(self._flap_factor * 2, MAX_FLAP_FACTOR)
            self._flap_factor = doubled if flapping else 1
        self._state = state
