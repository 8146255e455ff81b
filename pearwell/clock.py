"""Clocks: the monotonic system clock and a manual clock for virtual time."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "MonotonicClock"]


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Returns the current time in seconds from an arbitrary origin."""


class MonotonicClock:
    """The system's monotonic clock; it keeps running while the process is paused."""

    def now(self) -> float:
        """Returns the current time in seconds from an arbitrary origin."""
        return time.monotonic()


class ManualClock:
    """A clock for virtual time that advances only when a caller advances it.

    Args:
        start: Initial time in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Returns the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advances the clock by a number of seconds."""
        self._now += seconds

    def advance_to(self, when: float) -> None:
        """Advances the clock to a time in seconds; never moves it back."""
        self._now = max(self._now, when)
