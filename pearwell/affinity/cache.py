"""Objects of one kind as a relay holds them for other instances.

Load pattern: hundreds of instances follow the same objects of a store that prices and limits every
call. The instances that the settings name as seeds ask the store; the others ask them.
"""

import json
from collections import deque

__all__ = ["MAX_AGE_S", "MAX_EVENT_BYTES", "ObjectCache"]

# Age of the latest answer of the store up to which a relay answers others. Relays ask at least
# each 1.5 s; with a slow answer (0.35 s) and a pause it stays below.
MAX_AGE_S = 2.2
# Largest event that a relay passes on. A relay serves a third of the fleet, some forty instances,
# and the smallest links carry 5 Mbit/s: 16 kB to each take a second.
MAX_EVENT_BYTES = 16_000
# Batches of events kept for instances that are behind, about one each half second.
MAX_BATCHES = 64


class ObjectCache:
    """The latest events of one kind, as JSON gave them.

    A large event is replaced by None, which tells of a change without the object; whoever asks gets
    it from the store.
    """

    def __init__(self) -> None:
        self._batches: deque[tuple[int, int, list[object]]] = deque(maxlen=MAX_BATCHES)
        self._revision = -1
        self._verified_at = float("-inf")

    @property
    def revision(self) -> int:
        """Revision up to which everything is known; -1 before the first list."""
        return self._revision

    def fresh(self, now: float) -> bool:
        """Whether the store has confirmed the objects lately."""
        return now - self._verified_at <= MAX_AGE_S

    def stale_at(self) -> float:
        """Returns when the objects stop to be fresh, in seconds of the clock."""
        return self._verified_at + MAX_AGE_S

    def restart(self, revision: int, now: float) -> bool:
        """Takes that the store was listed; returns whether that is newer than what was held."""
        self._verified_at = now
        if revision <= self._revision:
            return False
        self._batches.clear()
        self._revision = revision
        return True

    def extend(self, events: list[object], revision: int, now: float) -> bool:
        """Takes the answer of a watch from the held revision; returns whether anything is new.

        Args:
            events: The events as JSON gave them.
            revision: Revision up to which the answer is complete.
            now: Current time in seconds of the clock.
        """
        self._verified_at = now
        if revision <= self._revision:
            return False
        if events:
            kept = [event if _is_small(event) else None for event in events]
            self._batches.append((self._revision, revision, kept))
        elif self._batches and not self._batches[-1][2]:
            first, _, _ = self._batches.pop()
            self._batches.append((first, revision, []))
        else:
            self._batches.append((self._revision, revision, []))
        self._revision = revision
        return bool(events)

    def events_after(self, revision: int) -> list[object] | None:
        """Returns the events after a revision, or None if they aren't held any more.

        Events before the revision may be among them, in order and without a gap, so that whoever
        takes them all ends with what the cache holds.
        """
        if revision >= self._revision:
            return []
        if not self._batches or revision < self._batches[0][0]:
            return None
        return [event for _, last, batch in self._batches if last > revision for event in batch]


def _is_small(event: object) -> bool:
    return len(json.dumps(event)) <= MAX_EVENT_BYTES
