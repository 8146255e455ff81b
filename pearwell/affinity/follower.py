"""When to list and when to watch one kind of object, and whom to ask.

Load pattern: calls to the store are priced and limited for the whole fleet, while hundreds of
instances follow the same objects. Few of them, the relays, ask the store; the others ask a relay
and turn to the store while none of them answers. Events come in bursts (a release replaces targets
one after the other), so a watch is taken up again only after a pause, and what happened meanwhile
comes in one answer. After an outage the calls are spread over time.
"""

from collections.abc import Callable

from pearwell.errors import Code

__all__ = ["Call", "Follower", "Pace"]

# First pause after a failure in seconds, doubled with each further one, with jitter.
FIRST_BACKOFF_S = 0.1
# The same for instances that may ask relays: they are told of the store's return by these.
FIRST_BACKOFF_OF_MANY_S = 0.4
# Longest pause. Changes made during an outage have to be in force 3 s after it, calls may take
# over a second, so the next attempt has to start soon.
MAX_BACKOFF_S = 1.2
# What is left of the time to regain touch after an outage of the store for a watch that the outage
# has swallowed: the time-out of its answer, the first pause and the list that follows.
REGAIN_MARGIN_S = 1.6
MIN_WATCH_S = 1.0
# Longest wait of a watch by a relay, so that its objects stay fresh (cache.MAX_AGE_S).
RELAY_WATCH_S = 1.5
# Least time between two watches of a relay if there are events.
RELAY_PACE_S = 0.3
# Wait of a watch at a relay: one that is frozen or cut off is noticed after it and a time-out.
RELAYED_WATCH_S = 1.0
# Times for which a relay isn't asked: one that can't be connected to or has lost the store may be
# back soon, one that is silent has cost a time-out already.
RELAY_DOWN_S = 1.5
RELAY_SILENT_S = 6.0


class Pace:
    """How often the store may be asked and how old the answers may be.

    Attributes:
        events_s: Least time in seconds between two watches if there are events.
        watch_s: Longest wait of a watch in seconds.
    """

    __slots__ = ("events_s", "watch_s")

    def __init__(self, events_s: float, watch_s: float) -> None:
        self.events_s = events_s
        self.watch_s = watch_s

    @classmethod
    def of_relay(cls) -> "Pace":
        """Returns the pace of an instance that others ask."""
        return cls(RELAY_PACE_S, RELAY_WATCH_S)

    @classmethod
    def of_bounds(cls, apply_s: float, regain_s: float) -> "Pace":
        """Returns the pace of an instance that nobody asks.

        Args:
            apply_s: Time in seconds that may pass until a change is known.
            regain_s: Time in seconds after an outage in which changes must be known.
        """
        return cls(apply_s, max(MIN_WATCH_S, regain_s - REGAIN_MARGIN_S))


class Call:
    """The next call.

    Attributes:
        delay_s: Pause in seconds before it.
        relay: Index of the relay to ask; None for the store.
        revision: Revision to watch from; None for a list.
        wait_s: Longest time in seconds that a watch waits for events.
    """

    __slots__ = ("delay_s", "relay", "revision", "wait_s")

    def __init__(
        self, delay_s: float, relay: int | None, revision: int | None, wait_s: float
    ) -> None:
        self.delay_s = delay_s
        self.relay = relay
        self.revision = revision
        self.wait_s = wait_s


class Follower:
    """Follows one kind.

    A store that was silent answers no watch that it got meanwhile, and one that drops its history
    may let a watch wait without events. So watches are short, and every failure is followed by a
    list of the store.

    Args:
        pace: How often to ask the store.
        relays: Number of relays that may be asked instead, in order of preference.
        zone: Own availability zone, whose relays come first: bytes between zones are dear.
        jitter: Returns numbers between 0 and 1.
    """

    def __init__(self, pace: Pace, relays: int, zone: str, jitter: Callable[[], float]) -> None:
        self._pace = pace
        self._zone = zone
        # Zones of the relays; they tell with their answers.
        self._zones: list[str | None] = [None] * relays
        self._barred_until = [float("-inf")] * relays
        self._jitter = jitter
        self._revision: int | None = None
        self._failures = 0
        self._events_at = float("-inf")
        self._good_since = float("inf")

    @property
    def good_since(self) -> float:
        """Since when every call has succeeded, in seconds of the clock; infinity if none has."""
        return self._good_since

    @property
    def revision(self) -> int | None:
        """Revision up to which everything is known; None if the next call is a list."""
        return self._revision

    def next_call(self, now: float) -> Call:
        """Returns the next call and the pause before it."""
        if self._failures:
            first = FIRST_BACKOFF_OF_MANY_S if self._barred_until else FIRST_BACKOFF_S
            bound = min(MAX_BACKOFF_S, first * 2 ** min(self._failures - 1, 10))
            return Call(bound * (0.5 + 0.5 * self._jitter()), None, None, 0.0)
        if self._revision is None:
            return Call(0.0, None, None, 0.0)
        relay = self._relay(now)
        if relay is not None:
            return Call(0.0, relay, self._revision, RELAYED_WATCH_S)
        delay = max(0.0, self._events_at + self._pace.events_s - now)
        return Call(delay, None, self._revision, self._pace.watch_s)

    def listed(self, revision: int, now: float) -> None:
        """Takes the end of a complete list of the store."""
        if self._failures or self._good_since > now:
            self._good_since = now
        self._failures = 0
        self._revision = revision
        self._events_at = now

    def watched(self, events: int, revision: int, now: float) -> None:
        """Takes the answer of a watch; without events the next watch starts at once."""
        if self._revision is None or revision > self._revision:
            self._revision = revision
        if events:
            self._events_at = now

    def relay_told(self, relay: int, zone: str, good_since: float) -> None:
        """Takes what a relay tells of itself.

        Args:
            relay: Index of the relay.
            zone: Its availability zone.
            good_since: Since when it has had the store, in seconds of the clock; this may be later
                than here.
        """
        self._zones[relay] = zone
        self._good_since = max(self._good_since, good_since)

    def changed(self) -> None:
        """Takes that there are changes which only a list of the store tells."""
        self._revision = None

    def failed(self, call: Call, code: Code, now: float) -> None:
        """Takes a failure; another relay is asked next, else the store for a list."""
        if call.relay is not None:
            silent = code is Code.PLATFORM_TIMEOUT
            penalty = RELAY_SILENT_S if silent else RELAY_DOWN_S
            self._barred_until[call.relay] = now + penalty * (0.75 + 0.5 * self._jitter())
            if self._relay(now) is None:
                self._revision = None
            return
        self._revision = None
        if code is not Code.PLATFORM_WATCH_EXPIRED:
            self._failures += 1
            self._good_since = float("inf")

    def _relay(self, now: float) -> int | None:
        """Returns the relay to ask: of the own zone, else one of unknown zone, else any."""
        open_ones = [index for index, until in enumerate(self._barred_until) if now >= until]
        ranks = {self._zone: 0, None: 1}
        return min(open_ones, key=lambda index: ranks.get(self._zones[index], 2), default=None)
