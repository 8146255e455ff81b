"""When to list and when to watch one kind of object in the platform's store.

Load pattern: calls are priced and limited for the whole fleet, while some hundred instances follow
the same objects. Events come in bursts (a release replaces targets one after the other), so a
watch is taken up again only after a pause; what happened meanwhile comes in one answer. After an
outage the instances come back spread over time.
"""

from collections.abc import Callable

from pearwell.errors import Code

__all__ = ["Call", "Follower"]

# First pause after a failure in seconds, doubled with each further one, with full jitter.
FIRST_BACKOFF_S = 0.1
# Longest pause. Changes made during an outage have to be in force 3 s after it, calls may take
# over a second, so the next attempt has to start soon.
MAX_BACKOFF_S = 1.2
# What is left of the time to regain touch after an outage of the store for a watch that the outage
# has swallowed: the time-out of its answer, the first pause and the list that follows.
REGAIN_MARGIN_S = 1.6
MIN_WATCH_S = 1.0


class Call:
    """The next call to the store.

    Attributes:
        delay_s: Pause in seconds before it.
        revision: Revision to watch from; None for a list.
        wait_s: Longest time in seconds that a watch waits for events.
    """

    __slots__ = ("delay_s", "revision", "wait_s")

    def __init__(self, delay_s: float, revision: int | None, wait_s: float) -> None:
        self.delay_s = delay_s
        self.revision = revision
        self.wait_s = wait_s


class Follower:
    """Follows one kind.

    A store that was silent answers no watch that it got meanwhile, and one that drops its history
    may let a watch wait without events. So watches are short, and every failure is followed by a
    list.

    Args:
        pace_s: Least time in seconds between two watches if there are events.
        regain_s: Time in seconds after an outage of the store in which changes must be known.
        jitter: Returns numbers between 0 and 1.
    """

    def __init__(self, pace_s: float, regain_s: float, jitter: Callable[[], float]) -> None:
        self._pace_s = pace_s
        self._watch_s = max(MIN_WATCH_S, regain_s - REGAIN_MARGIN_S)
        self._jitter = jitter
        self._revision: int | None = None
        self._failures = 0
        self._called_at = float("-inf")
        self._good_since = float("inf")

    @property
    def good_since(self) -> float:
        """Since when every call has succeeded, in seconds of the clock; infinity if none has."""
        return self._good_since

    @property
    def revision(self) -> int | None:
        """Revision that is known to be complete."""
        return self._revision

    def next_call(self, now: float) -> Call:
        """Returns the next call and the pause before it."""
        if self._failures:
            bound = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(self._failures - 1, 10))
            delay = bound * (0.5 + 0.5 * self._jitter())
        else:
            delay = max(0.0, self._called_at + self._pace_s - now)
        return Call(delay, self._revision, self._watch_s)

    def listed(self, revision: int, now: float) -> None:
        """Takes the end of a complete list."""
        self._succeeded(now)
        self._revision = revision
        self._called_at = now

    def watched(self, events: int, revision: int, now: float) -> None:
        """Takes the answer of a watch; without events the next watch starts at once."""
        self._succeeded(now)
        if self._revision is None or revision > self._revision:
            self._revision = revision
        if events:
            self._called_at = now

    def failed(self, code: Code, now: float) -> None:
        """Takes a call that failed; an expired watch is followed by a list without a pause."""
        self._revision = None
        if code is Code.PLATFORM_WATCH_EXPIRED:
            return
        self._failures += 1
        self._good_since = float("inf")

    def _succeeded(self, now: float) -> None:
        if self._failures or self._good_since > now:
            self._good_since = now
        self._failures = 0
