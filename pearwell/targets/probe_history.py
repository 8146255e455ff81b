"""Hysteresis of one prober over the outcomes of its probes of one target."""

from collections.abc import Mapping
from enum import IntEnum

from pearwell.clock import Clock
from pearwell.model.group import HealthCheck
from pearwell.model.placement import TargetState

__all__ = ["Outcome", "ProbeHistory"]

FLAP_WINDOW_S = 60.0
MAX_FLAP_FACTOR = 8
DEAD_FAILURE_FACTOR = 2


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
