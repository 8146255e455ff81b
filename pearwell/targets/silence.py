"""Silence of targets: repeated SYNs as a sign that flow starts go unanswered."""

import math

from pearwell.clock import Clock

__all__ = ["SilenceDetector"]

RELAPSE_WINDOW_S = 120.0
SILENCE_WINDOW_S = 10.0
MIN_REPEATED_SYNS = 24
MIN_REPEAT_RATIO = 0.3
SILENCE_HOLD_S = 30.0
MAX_SILENCE_HOLD_S = 480.0


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

    @property
    def hold_s(self) -> float:
        """Time in seconds for which the target goes on to count as silent."""
        return max(0.0, self._silent_until - self._clock.now())

    def started(self, count: int) -> None:
        """Takes a number of flow starts towards the target."""
        self._roll()
        self._started += count

    def repeated(self, count: int) -> None:
        """Takes a number of repeated SYNs towards the target."""
        self._roll()
        self._repeated += count
        if self._repeated >= max(MIN_REPEATED_SYNS, MIN_REPEAT_RATIO * self._started):
            self._mark_silent()

    def _mark_silent(self) -> None:
        now = self._clock.now()
        if not self.silent:
            relapsed = now - self._silent_until < RELAPSE_WINDOW_S
            doubled = min(self._hold_s * 2, MAX_SILENCE_HOLD_S)
            self._hold_s = doubled if relapsed else SILENCE_HOLD_S
        self._silent_until = now + self._hold_s

    def _roll(self) -> None:
        now = self._clock.now()
        if now - self._window_start >= SILENCE_WINDOW_S:
            self._window_start = now
            self._started //= 2
            self._repeated //= 2
