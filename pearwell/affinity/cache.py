"""Cache of store events that a relay serves to other instances.

Hundreds of instances watch the same objects of a store that charges for and rate-limits every
call. The instances that the settings name as seeds act as relays: they call the store, and the
other instances call them.
"""

from collections import deque
from collections.abc import Callable

__all__ = ["MAX_AGE_S", "ObjectCache", "Position"]

# Maximum age of the store's latest response for a relay to serve its cache. Relays call the store
# at least every 1.5 s; a slow response (0.35 s) and a pause stay within this limit.
MAX_AGE_S = 2.2
# Event batches kept for clients that lag behind; about one batch arrives every half second.
MAX_BATCHES = 64

# Position in the store's history: era and revision. A store that is restored from a copy raises its
# era and issues revisions again, so a revision alone does not identify a state.
Position = tuple[int, int]


class ObjectCache:
    """The latest events of one kind, as decoded from JSON.

    A large event is replaced by what matters of it, or by None, which announces a change without
    the object; clients then list the store to get the object.

    Args:
        max_age_s: Maximum age in seconds of the store's latest response for a relay to serve it.

    Attributes:
        complete_at: Clock time in seconds until which it has all changes that the store made.
        level_at: Clock time in seconds at which it was last level with a store that doesn't forget
            its watches.
    """

    def __init__(self, max_age_s: float = MAX_AGE_S) -> None:
        self._max_age_s = max_age_s
        self._batches: deque[tuple[int, int, list[object]]] = deque(maxlen=MAX_BATCHES)
        self._era = -1
        self._revision = -1
        self._verified_at = float("-inf")
        self.complete_at = self.level_at = float("-inf")

    @property
    def position(self) -> Position:
        """Position up to which the cache is complete; (-1, -1) before the first list."""
        return self._era, self._revision

    def is_fresh(self, now: float) -> bool:
        """Whether the store has responded within the maximum age."""
        return now - self._verified_at <= self._max_age_s

    def stale_at(self) -> float:
        """Returns the clock time in seconds at which the cache becomes stale."""
        return self._verified_at + self._max_age_s

    def is_behind(self, position: Position) -> bool:
        """Whether a client's position is in a later era, of which the cache knows nothing yet."""
        return position[0] > self._era

    def reset(self, position: Position, now: float) -> bool:
        """Records a list of the store; returns whether it replaces the cached state."""
        era, revision = position
        self._verified_at = now
        if era == self._era and revision <= self._revision:
            return False
        self._batches.clear()
        self._era, self._revision = position
        return True

    def append_events(
        self,
        events: list[object],
        position: Position,
        now: float,
        shorten: Callable[[object], object | None] = lambda event: None,
    ) -> bool:
        """Adds the response to a watch from the cached position; returns whether it had new events.

        Args:
            events: The events as decoded from JSON.
            position: Position up to which the response is complete, in the era of the cache.
            now: Current time in seconds of the clock.
            shorten: Returns what matters of a large event; None if it may all matter.
        """
        era, revision = position
        if era != self._era:
            raise ValueError(f"events of era {era} for a cache of era {self._era}")
        self._verified_at = now
        if revision <= self._revision:
            return False
        if events:
            # Imported with the first events, to keep the start fast.
            from pearwell.affinity.large_events import shorten_large

            kept = shorten_large(events, shorten)
            self._batches.append((self._revision, revision, kept))
        elif self._batches and not self._batches[-1][2]:
            first, _, _ = self._batches.pop()
            self._batches.append((first, revision, []))
        else:
            self._batches.append((self._revision, revision, []))
        self._revision = revision
        return bool(events)

    def events_after(self, position: Position) -> list[object] | None:
        """Returns the events after a position, or None if they are no longer cached.

        The result may include events before the position. They are in order and without gaps, so a
        client that applies all of them ends in the state of the cache. No events lead from an
        earlier era to the cached one; a change without its object is announced then.
        """
        era, revision = position
        if era < self._era:
            return [None]
        if revision >= self._revision:
            return []
        if not self._batches or revision < self._batches[0][0]:
            return None
        return [event for _, last, batch in self._batches if last > revision for event in batch]
