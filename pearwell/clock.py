"""Clocks: the monotonic one of the machine and a manual one for virtual time."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "MonotonicClock"]


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Returns the current time in seconds from an arbitrary origin."""


class MonotonicClock:
    """The machine's monotonic clock; it goes on while the process is paused."""

    def now(self) -> float:
        """Returns the current time in seconds from an arbitrary origin."""
        return time.monotonic()


class ManualClock:
    """A clock that moves only when told to, for virtual time.

    Args:
        start: The first reading in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Returns the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by a number of seconds."""
        self._now += seconds

    def advance_to(self, when: float) -> None:
        """Moves the clock forward to a time in seconds; never back."""
        self._now = max(self._now, when)
