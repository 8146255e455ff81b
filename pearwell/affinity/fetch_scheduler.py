"""Schedules the list and watch calls for one kind of object, and selects the store or a relay.

Calls to the store are charged for and rate-limited across the whole fleet, while hundreds of
instances watch the same objects. A few of them, the relays, call the store; the others call a
relay, and the store only while no relay responds. Events come in bursts (a release replaces targets
one after the other), so the next watch starts after a pause and returns the events of the pause in
one response. After an outage, jitter spreads the calls over time.
"""

from collections.abc import Callable

from pearwell.affinity.cache import Position
from pearwell.errors import Code

__all__ = ["Call", "FetchScheduler", "WatchLimits"]

# Backoff in seconds after the first failure; doubles with each further one, with jitter.
FIRST_BACKOFF_S = 0.1
# The same for instances that can call relays, which report to them that the store is back.
FIRST_BACKOFF_WITH_RELAYS_S = 0.4
# Maximum backoff. Changes made during an outage must be in force 3 s after it, and a call may take
# over a second, so the next attempt has to start soon.
MAX_BACKOFF_S = 1.2
# Part of the recovery time after a store outage reserved for a watch that was lost in the outage:
# its response timeout, the first backoff and the list that follows.
RECOVERY_MARGIN_S = 1.6
MIN_WATCH_S = 1.0
# Maximum wait of a watch by a relay, so that its cache stays fresh (cache.MAX_AGE_S).
RELAY_MAX_WATCH_S = 1.5
# Minimum time between two watches by a relay while there are events.
RELAY_EVENT_INTERVAL_S = 0.3
# Time between two responses below which the store doesn't let watches wait.
MIN_RESPONSE_INTERVAL_S = 0.1
# Maximum wait of a watch at a relay: a relay that hangs or is unreachable is detected after this
# wait plus a timeout.
WATCH_AT_RELAY_S = 1.0
# Time in seconds after the wait of a watch in which its response has to come; the latter for relays
# while little time is left until the store has to be asked.
RESPONSE_S = 1.0
SHORT_RESPONSE_S = 0.4
# Shortest wait of a watch at a relay in seconds; one that is behind would be called without end.
MIN_WATCH_AT_RELAY_S = 0.1
# Part of the bound on changes reserved for a call to the store, in seconds.
CATCH_UP_S = 0.6
# Times for which a failed relay is not called: one that refuses connections or has lost the store
# may recover soon, while each call to one that does not respond costs a timeout.
RELAY_DOWN_RETRY_S = 1.5
RELAY_TIMEOUT_RETRY_S = 6.0


# Age in seconds up to which a response of the store shows that no relay has withheld changes since.
STORE_FRESH_S = 0.25


class WatchLimits:
    """Limits on the frequency and the duration of watches at the store.

    Attributes:
        min_interval_s: Minimum time in seconds between two watches while there are events.
        max_wait_s: Maximum wait of a watch in seconds.
        relay_wait_s: Maximum wait of a watch at a relay in seconds.
        max_age_s: Age in seconds of what relays have told after which the store is asked; None for
            any.
        max_lag_s: Time in seconds since the instance was level with the store at which a watch at
            the store ends; None for any.
    """

    __slots__ = ("max_age_s", "max_lag_s", "max_wait_s", "min_interval_s", "relay_wait_s")

    def __init__(
        self,
        min_interval_s: float,
        max_wait_s: float,
        relay_wait_s: float = WATCH_AT_RELAY_S,
        max_age_s: float | None = None,
    ) -> None:
        self.min_interval_s = min_interval_s
        self.max_wait_s = max_wait_s
        self.relay_wait_s = relay_wait_s
        self.max_age_s = max_age_s
        self.max_lag_s: float | None = None

    @classmethod
    def for_relay(cls, max_wait_s: float = RELAY_MAX_WATCH_S) -> "WatchLimits":
        """Returns the limits of a relay, whose callers rely on what it knows."""
        limits = cls(RELAY_EVENT_INTERVAL_S, max_wait_s)
        limits.max_lag_s = max_wait_s + RELAY_EVENT_INTERVAL_S
        return limits

    @classmethod
    def for_bounds(
        cls, apply_s: float, recovery_s: float, bound_s: float | None = None
    ) -> "WatchLimits":
        """Returns the limits of an instance that is no relay.

        Args:
            apply_s: Maximum time in seconds until a change is received.
            recovery_s: Maximum time in seconds after an outage until changes are received.
            bound_s: Time in seconds until a change has to be known everywhere; None for any.
        """
        max_wait_s = max(MIN_WATCH_S, recovery_s - RECOVERY_MARGIN_S)
        max_age_s = None if bound_s is None else bound_s - CATCH_UP_S
        return cls(apply_s, max_wait_s, max_age_s=max_age_s)


class _CatchUp:
    """Whether the store has to be asked for changes that a failed relay may have withheld."""

    NONE = "none"
    DUE = "due"
    FAILED = "failed"


class Call:
    """The next call.

    Attributes:
        delay_s: Delay in seconds before the call.
        relay: Index of the relay to call; None for the store.
        position: Position to watch from; None for a list.
        wait_s: Maximum time in seconds that a watch waits for events.
        response_s: Time in seconds after the wait in which the response has to come.
    """

    __slots__ = ("delay_s", "position", "relay", "response_s", "wait_s")

    def __init__(
        self,
        delay_s: float,
        relay: int | None,
        position: Position | None,
        wait_s: float,
        response_s: float = RESPONSE_S,
    ) -> None:
        self.delay_s = delay_s
        self.relay = relay
        self.position = position
        self.wait_s = wait_s
        self.response_s = response_s


class FetchScheduler:
    """Schedules the calls for one kind.

    A store that was unresponsive never answers the watches that it received meanwhile, and one that
    drops its history may leave a watch waiting without events. Watches are therefore short, and
    every failure of the store is followed by a list.

    Args:
        limits: Limits on watches at the store.
        relays: Number of relays that can be called instead, in order of preference.
        zone: Availability zone of this instance; its relays are preferred, as traffic between
            zones is expensive.
        jitter: Returns random numbers between 0 and 1.
        leader: Scheduler of another kind; while its calls to the store fail, this one makes none.
    """

    def __init__(
        self,
        limits: WatchLimits,
        relays: int,
        zone: str,
        jitter: Callable[[], float],
        leader: "FetchScheduler | None" = None,
    ) -> None:
        self._leader = leader
        self._limits = limits
        self._zone = zone
        # Availability zones of the relays, as their responses report them.
        self._zones: list[str | None] = [None] * relays
        self._unavailable_until = [float("-inf")] * relays
        self._jitter = jitter
        self._position: Position | None = None
        self._era: int | None = None
        self._synced_at = float("-inf")
        self._complete_at = float("-inf")
        self._level_at: float | None = None
        # Latest response of the store itself; a relay's may be as old as its cache allows.
        self._store_read_at = float("-inf")
        self._failures = 0
        self._catch_up = _CatchUp.NONE
        self._events_at = float("-inf")
        self._list_at = float("-inf")
        self._store_healthy_since = float("inf")

    @property
    def store_healthy_since(self) -> float:
        """Clock time in seconds since which no call has failed; infinity until a list succeeds."""
        return self._store_healthy_since

    @property
    def store_failing(self) -> bool:
        """Whether the latest call to the store has failed."""
        return self._failures > 0

    @property
    def position(self) -> Position | None:
        """Position up to which all changes are known; None if the next call is a list."""
        return self._position

    @property
    def era(self) -> int | None:
        """Era of the store in its latest response; None before the first one."""
        return self._era

    @property
    def synced_at(self) -> float:
        """Clock time in seconds of the latest response, of the store or a relay."""
        return self._synced_at

    @property
    def complete_at(self) -> float:
        """Clock time in seconds until which all changes are known that the store made."""
        return self._complete_at

    def awaits_leader(self, now: float) -> bool:
        """Whether the next call would go to the store while the calls of the leader fail."""
        if self._leader is None or not self._leader.store_failing:
            return False
        return self.next_call(now).relay is None

    def next_call(self, now: float) -> Call:
        """Returns the next call with the delay before it."""
        if self._failures:
            first = FIRST_BACKOFF_WITH_RELAYS_S if self._unavailable_until else FIRST_BACKOFF_S
            bound = min(MAX_BACKOFF_S, first * 2 ** min(self._failures - 1, 10))
            return Call(bound * (0.5 + 0.5 * self._jitter()), None, None, 0.0)
        if self._position is None:
            return Call(max(0.0, self._list_at - now), None, None, 0.0)
        if self._catch_up == _CatchUp.DUE:
            return Call(0.0, None, self._position, 0.0)
        relay = self._select_relay(now)
        if relay is not None:
            return self._call_relay(relay, now)
        delay = max(0.0, self._events_at + self._limits.min_interval_s - now)
        wait_s, max_lag_s = self._limits.max_wait_s, self._limits.max_lag_s
        if max_lag_s is not None and self._level_at is not None:
            wait_s = max(0.0, min(wait_s, self._level_at + max_lag_s - now - delay))
        return Call(delay, None, self._position, wait_s)

    def on_list(self, position: Position, now: float) -> None:
        """Records a complete list of the store."""
        if self._failures or self._store_healthy_since > now:
            self._store_healthy_since = now
        self._failures = 0
        self._catch_up = _CatchUp.NONE
        self._position = position
        self._events_at = now
        self._list_at = now + self._limits.min_interval_s
        self._synced_at = self._store_read_at = now

    def on_watch(
        self, event_count: int, position: Position, now: float, from_store: bool = False
    ) -> None:
        """Records the response to a watch; without events the next watch starts at once.

        A store that doesn't let watches wait would be asked without end.
        """
        self._catch_up = _CatchUp.NONE
        came_at_once = now - self._synced_at < MIN_RESPONSE_INTERVAL_S
        self._synced_at = now
        if from_store:
            self._store_read_at = now
        if self._position is None or position > self._position:
            self._position = position
        if event_count or came_at_once:
            self._events_at = now

    def on_complete(self, at: float) -> None:
        """Records that all changes are known that the store made until a time in seconds."""
        self._complete_at = max(self._complete_at, at)

    def on_level(self, at: float | None) -> None:
        """Records that this instance was level with the store at a time in seconds.

        Unlike on_complete(), this relies on a store that doesn't forget its watches. None stands
        for a relay that doesn't tell, behind which hundreds of instances would ask the store.
        """
        if at is not None and self._level_at is not None:
            at = max(at, self._level_at)
        self._level_at = at

    def require_catch_up(self) -> None:
        """Schedules a call to the store for the changes until now."""
        if self._catch_up == _CatchUp.NONE:
            self._catch_up = _CatchUp.DUE

    def on_relay_status(self, relay: int, zone: str, store_healthy_since: float) -> None:
        """Records the status that a relay reports.

        Args:
            relay: Index of the relay.
            zone: Availability zone of the relay.
            store_healthy_since: Clock time in seconds since which no call of the relay to the
                store has failed; may be later than that of this instance.
        """
        self._zones[relay] = zone
        self._store_healthy_since = max(self._store_healthy_since, store_healthy_since)

    def on_era(self, era: int) -> bool:
        """Records the era that the store reports; returns whether the store was restored.

        After a restore, no watch can be resumed, and objects that were written since the copy are
        missing until they are written again, as after an outage.
        """
        restored = self._era is not None and era != self._era
        self._era = era
        if restored:
            self._position = None
            self._store_healthy_since = float("inf")
            self._complete_at = float("-inf")
            self._level_at = None
        return restored

    def require_list(self) -> None:
        """Schedules a list of the store, as a relay announced a change without its object.

        Lists that are required one after the other keep the interval between watches.
        """
        self._position = None

    def on_failure(self, call: Call, code: Code, now: float) -> None:
        """Records a failure; the next call goes to another relay, else it lists the store.

        A relay that times out or has lost the store may have used up most of the time in which a
        change must be known. The store is therefore asked for changes before another relay, which
        may fail as slowly; once, as relays may still respond where the store does not.

        Load pattern: all instances start at once and find no relay that listens yet, or a relay
        restarts. Relays that refuse connections right after the store has responded have withheld
        nothing, so the store is not asked again.
        """
        if call.relay is not None:
            timed_out = code is Code.PLATFORM_TIMEOUT
            penalty = RELAY_TIMEOUT_RETRY_S if timed_out else RELAY_DOWN_RETRY_S
            self._unavailable_until[call.relay] = now + penalty * (0.75 + 0.5 * self._jitter())
            fresh = now - self._store_read_at <= STORE_FRESH_S
            if fresh and code is Code.PLATFORM_UNAVAILABLE:
                return
            if self._select_relay(now) is None:
                self._position = None
                self._list_at = now
            elif self._catch_up == _CatchUp.NONE:
                self._catch_up = _CatchUp.DUE
            return
        if self._catch_up == _CatchUp.DUE and code is not Code.PLATFORM_WATCH_EXPIRED:
            self._catch_up = _CatchUp.FAILED
            return
        self._position = None
        self._list_at = max(now, self._list_at)
        if code is not Code.PLATFORM_WATCH_EXPIRED:
            self._failures += 1
            self._store_healthy_since = float("inf")

    def _call_relay(self, relay: int, now: float) -> Call:
        """Returns the call to a relay, or to the store if what is known would become too old.

        A relay tells how old its own knowledge is. A call to it must fail early enough to ask the
        store in time, however old that was.
        """
        wait_s, max_age_s = self._limits.relay_wait_s, self._limits.max_age_s
        store_is_away = self._catch_up == _CatchUp.FAILED or (
            self._leader is not None and self._leader.store_failing
        )
        if max_age_s is None or self._level_at is None or store_is_away:
            return Call(0.0, relay, self._position, wait_s)
        left_s = self._level_at + max_age_s - now
        if left_s < MIN_WATCH_AT_RELAY_S + SHORT_RESPONSE_S:
            self._catch_up = _CatchUp.DUE
            return Call(0.0, None, self._position, 0.0)
        wait_s = min(wait_s, left_s - SHORT_RESPONSE_S)
        return Call(0.0, relay, self._position, wait_s, min(RESPONSE_S, left_s - wait_s))

    def _select_relay(self, now: float) -> int | None:
        """Returns the relay to call: one in the local zone, else of unknown zone, else any."""
        available = [index for index, until in enumerate(self._unavailable_until) if now >= until]
        ranks = {self._zone: 0, None: 1}
        return min(available, key=lambda index: ranks.get(self._zones[index], 2), default=None)
