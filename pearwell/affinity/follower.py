"""Schedules the list and watch calls for one kind of object, and selects the store or a relay.

Calls to the store are charged for and rate-limited across the whole fleet, while hundreds of
instances watch the same objects. A few of them, the relays, call the store; the others call a
relay, and the store only while no relay responds. Events come in bursts (a release replaces targets
one after the other), so the next watch starts after a pause and returns the events of the pause in
one response. After an outage, jitter spreads the calls over time.
"""

from collections.abc import Callable

from pearwell.errors import Code

__all__ = ["Call", "Follower", "Pace"]

# Backoff in seconds after the first failure; doubles with each further one, with jitter.
FIRST_BACKOFF_S = 0.1
# The same for instances that can call relays, which report to them that the store is back.
FIRST_BACKOFF_OF_MANY_S = 0.4
# Maximum backoff. Changes made during an outage must be in force 3 s after it, and a call may take
# over a second, so the next attempt has to start soon.
MAX_BACKOFF_S = 1.2
# Part of the recovery time after a store outage reserved for a watch that was lost in the outage:
# its response timeout, the first backoff and the list that follows.
REGAIN_MARGIN_S = 1.6
MIN_WATCH_S = 1.0
# Maximum wait of a watch by a relay, so that its cache stays fresh (cache.MAX_AGE_S).
RELAY_WATCH_S = 1.5
# Minimum time between two watches by a relay while there are events.
RELAY_PACE_S = 0.3
# Maximum wait of a watch at a relay: a relay that hangs or is unreachable is detected after this
# wait plus a timeout.
RELAYED_WATCH_S = 1.0
# Times for which a failed relay is not called: one that refuses connections or has lost the store
# may recover soon, while each call to one that does not respond costs a timeout.
RELAY_DOWN_S = 1.5
RELAY_SILENT_S = 6.0


class Pace:
    """Limits on the frequency and the duration of watches at the store.

    Attributes:
        events_s: Minimum time in seconds between two watches while there are events.
        watch_s: Maximum wait of a watch in seconds.
    """

    __slots__ = ("events_s", "watch_s")

    def __init__(self, events_s: float, watch_s: float) -> None:
        self.events_s = events_s
        self.watch_s = watch_s

    @classmethod
    def of_relay(cls) -> "Pace":
        """Returns the limits of a relay."""
        return cls(RELAY_PACE_S, RELAY_WATCH_S)

    @classmethod
    def of_bounds(cls, apply_s: float, regain_s: float) -> "Pace":
        """Returns the limits of an instance that is no relay.

        Args:
            apply_s: Maximum time in seconds until a change is received.
            regain_s: Maximum time in seconds after an outage until changes are received.
        """
        return cls(apply_s, max(MIN_WATCH_S, regain_s - REGAIN_MARGIN_S))


class Call:
    """The next call.

    Attributes:
        delay_s: Delay in seconds before the call.
        relay: Index of the relay to call; None for the store.
        revision: Revision to watch from; None for a list.
        wait_s: Maximum time in seconds that a watch waits for events.
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
    """Schedules the calls for one kind.

    A store that was unresponsive never answers the watches that it received meanwhile, and one that
    drops its history may leave a watch waiting without events. Watches are therefore short, and
    every failure of the store is followed by a list.

    Args:
        pace: Limits on watches at the store.
        relays: Number of relays that can be called instead, in order of preference.
        zone: Availability zone of this instance; its relays are preferred, as traffic between
            zones is expensive.
        jitter: Returns random numbers between 0 and 1.
    """

    def __init__(self, pace: Pace, relays: int, zone: str, jitter: Callable[[], float]) -> None:
        self._pace = pace
        self._zone = zone
        # Availability zones of the relays, as their responses report them.
        self._zones: list[str | None] = [None] * relays
        self._barred_until = [float("-inf")] * relays
        self._jitter = jitter
        self._revision: int | None = None
        self._failures = 0
        self._events_at = float("-inf")
        self._good_since = float("inf")

    @property
    def good_since(self) -> float:
        """Clock time in seconds since which no call has failed; infinity until a list succeeds."""
        return self._good_since

    @property
    def revision(self) -> int | None:
        """Revision up to which all changes are known; None if the next call is a list."""
        return self._revision

    def next_call(self, now: float) -> Call:
        """Returns the next call with the delay before it."""
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
        """Records a complete list of the store."""
        if self._failures or self._good_since > now:
            self._good_since = now
        self._failures = 0
        self._revision = revision
        self._events_at = now

    def watched(self, events: int, revision: int, now: float) -> None:
        """Records the response to a watch; without events the next watch starts at once."""
        if self._revision is None or revision > self._revision:
            self._revision = revision
        if events:
            self._events_at = now

    def relay_told(self, relay: int, zone: str, good_since: float) -> None:
        """Records the status that a relay reports.

        Args:
            relay: Index of the relay.
            zone: Availability zone of the relay.
            good_since: Clock time in seconds since which the relay's calls to the store have not
                failed; may be later than that of this instance.
        """
        self._zones[relay] = zone
        self._good_since = max(self._good_since, good_since)

    def changed(self) -> None:
        """Schedules a list of the store, as a relay announced a change without its object."""
        self._revision = None

    def failed(self, call: Call, code: Code, now: float) -> None:
        """Records a failure; the next call goes to another relay, else it lists the store."""
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
        """Returns the relay to call: one in the local zone, else of unknown zone, else any."""
        open_ones = [index for index, until in enumerate(self._barred_until) if now >= until]
        ranks = {self._zone: 0, None: 1}
        return min(open_ones, key=lambda index: ranks.get(self._zones[index], 2), default=None)
