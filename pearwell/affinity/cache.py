"""Objects of one kind as a relay holds them for other instances.

Load pattern: hundreds of instances follow the same objects of a store that prices and limits every
call. The instances that the settings name as seeds ask the store; the others ask them.
"""

from collections import deque

__all__ = ["MAX_AGE_S", "ObjectCache"]

# Age of the latest answer of the store up to which a relay answers others. Relays ask at least
# each 1.5 s; with a slow answer (0.35 s) and a pause it stays below.
MAX_AGE_S = 2.2
# Batches of events kept for instances that are behind, about one each half second.
MAX_BATCHES = 64


class ObjectCache:
    """The objects and the latest events of one kind, as JSON gave them.

    Args:
        whole: Whether answers hold whole objects. Otherwise they only tell that there was a change,
            and whoever asks gets the objects from the store: a large configuration sent to dozens
            of instances would fill a relay's link for seconds.
    """

    def __init__(self, whole: bool) -> None:
        self._whole = whole
        self._items: dict[str, object] = {}
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

    def replace(self, items: dict[str, object], revision: int, now: float) -> bool:
        """Takes a list of the store; returns whether it is newer than what was held."""
        self._verified_at = now
        if revision <= self._revision:
            return False
        self._items = items if self._whole else {}
        self._batches.clear()
        self._revision = revision
        return True

    def extend(
        self,
        events: list[object],
        names: list[tuple[str, object | None]],
        revision: int,
        now: float,
    ) -> bool:
        """Takes the answer of a watch from the held revision; returns whether anything is new.

        Args:
            events: The events as JSON gave them.
            names: For each event the object's name, and the object or None if it was removed.
            revision: Revision up to which the answer is complete.
            now: Current time in seconds of the clock.
        """
        self._verified_at = now
        if revision <= self._revision:
            return False
        if events:
            if self._whole:
                for name, item in names:
                    if item is None:
                        self._items.pop(name, None)
                    else:
                        self._items[name] = item
            kept: list[object] = list(events) if self._whole else [None]
            self._batches.append((self._revision, revision, kept))
        elif self._batches and not self._batches[-1][2]:
            first, _, _ = self._batches.pop()
            self._batches.append((first, revision, []))
        else:
            self._batches.append((self._revision, revision, []))
        self._revision = revision
        return bool(events)

    def items(self) -> list[object]:
        """Returns all objects in order of name."""
        return [self._items[name] for name in sorted(self._items)]

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
