"""Objects of the platform's store with their history, free of I/O, for its stand-ins."""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["Copy", "ObjectHistory", "RevisionConflictError"]

PAGE_SIZE = 50

_Objects = dict[str, dict[str, dict[str, Any]]]


class RevisionConflictError(Exception):
    """A write under a condition found another revision.

    Attributes:
        item: The object as it is; None if there is none.
    """

    def __init__(self, item: dict[str, Any] | None) -> None:
        super().__init__("revision conflict")
        self.item = item


@dataclass(frozen=True, slots=True)
class _Event:
    revision: int
    kind: str
    item: dict[str, Any]
    deleted: bool


@dataclass(frozen=True, slots=True)
class Copy:
    """A copy of the store's data, from which it can be restored."""

    revision: int
    objects: _Objects
    events: tuple[_Event, ...]
    compacted_revision: int


@dataclass(slots=True)
class ObjectHistory:
    """Objects by kind and name, and the events that led to them.

    Attributes:
        era: Number of times that the data was restored from a copy.
        revision: Revision of the latest change. It is issued again after a restore.
    """

    era: int = 1
    revision: int = 1
    _objects: _Objects = field(default_factory=dict)
    _events: tuple[_Event, ...] = ()
    _compacted_revision: int = 0
    # Objects that have not been written since the latest restore, by kind and name.
    _unconfirmed: set[tuple[str, str]] = field(default_factory=set)

    @property
    def unconfirmed(self) -> frozenset[tuple[str, str]]:
        """Kind and name of each object that nobody has written since the latest restore."""
        return frozenset(self._unconfirmed)

    def write(self, kind: str, name: str, spec: Any, expected: int | None = None) -> bool:
        """Creates or replaces an object; returns whether this changed it.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: Its content.
            expected: Revision that the object must have; 0 if it must not exist; None for any.

        Raises:
            RevisionConflictError: If the object has another revision.
        """
        current = self._objects.get(kind, {}).get(name)
        revision = current["meta"]["Revision"] if current else 0
        if expected not in (None, revision):
            raise RevisionConflictError(current)
        self._unconfirmed.discard((kind, name))
        if current is not None and _without_sequence(current["spec"]) == _without_sequence(spec):
            return False
        self._record_event(kind, name, spec, deleted=False)
        return True

    def remove(self, kind: str, name: str) -> bool:
        """Removes an object; returns False if there is none."""
        self._unconfirmed.discard((kind, name))
        current = self._objects.get(kind, {}).get(name)
        if current is None:
            return False
        self._record_event(kind, name, current["spec"], deleted=True)
        return True

    def compact(self) -> None:
        """Drops the events, which expires watches from earlier revisions."""
        self._events = ()
        self._compacted_revision = self.revision

    def copy(self) -> Copy:
        """Returns a copy of the data."""
        objects = {kind: dict(items) for kind, items in self._objects.items()}
        return Copy(self.revision, objects, self._events, self._compacted_revision)

    def restore(self, copy: Copy) -> None:
        """Replaces the data with an earlier copy; later changes and their revisions are lost."""
        self.era += 1
        self.revision = copy.revision
        self._objects = {kind: dict(items) for kind, items in copy.objects.items()}
        self._events = copy.events
        self._compacted_revision = copy.compacted_revision
        self._unconfirmed = {(kind, name) for kind, items in copy.objects.items() for name in items}

    def page(self, kind: str, after: str) -> dict[str, Any]:
        """Returns the fields of a list's page, which starts behind a name."""
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        return {
            "items": [objects[name] for name in names[:PAGE_SIZE]],
            "HasMore": len(names) > PAGE_SIZE,
            "AsOf": self.revision,
        }

    def events_after(self, kind: str, revision: int) -> list[dict[str, Any]] | None:
        """Returns the events of a kind after a revision; None if the history does not have it."""
        if not self._compacted_revision <= revision <= self.revision:
            return None
        return [
            {"Object": event.item, "Deleted": event.deleted}
            for event in self._events
            if event.kind == kind and event.revision > revision
        ]

    def _record_event(self, kind: str, name: str, spec: Any, deleted: bool) -> None:
        self.revision += 1
        item = {"meta": {"Name": name, "Revision": self.revision}, "spec": spec}
        objects = self._objects.setdefault(kind, {})
        if deleted:
            del objects[name]
        else:
            objects[name] = item
        self._events += (_Event(self.revision, kind, item, deleted),)


def _without_sequence(spec: Any) -> Any:
    """Returns what counts as a change: an entry changes when more than its Sequence changes."""
    if not isinstance(spec, dict):
        return spec
    return {key: value for key, value in spec.items() if key != "Sequence"}
