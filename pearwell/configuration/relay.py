"""Relay: turns lists and watch events of the platform into entries of the zone."""

from collections.abc import Callable, Collection

from pearwell.agreement.entry_table import EntryTable
from pearwell.agreement.rendezvous import rank
from pearwell.configuration.applied import (
    CONFIG_PREFIX,
    entry_of,
    is_tombstone,
    key_of,
    tombstone_entry,
)
from pearwell.errors import Code, InvariantError, PearwellError
from pearwell.messages.gossip import Entry
from pearwell.model.configuration import Kind
from pearwell.model.membership import MemberState, View
from pearwell.object_store import ObjectList, StoredObject, WatchEvent, WatchEventType

__all__ = ["RELAY_COUNT", "Relay", "select_relays"]

# Instances of a zone that watch the platform.
RELAY_COUNT = 3


def select_relays(zone: str, view: View, instance: str) -> tuple[str, ...]:
    """Returns the instances that watch the platform for a zone; the first one reports its status.

    Args:
        zone: Availability zone.
        view: Members of the zone.
        instance: Id of the local instance, which counts as a member even before its view shows it.
    """
    candidates = {m.instance for m in view.members if m.state < MemberState.LEAVING}
    local_member = view.find(instance)
    if local_member is None or local_member.state < MemberState.LEAVING or not candidates:
        candidates.add(instance)
    return rank(f"relay/{zone}", candidates, RELAY_COUNT)


class Relay:
    """Relay state of one instance: puts objects into the entry table and tracks watch cursors.

    A version in the entry table never decreases.

    Args:
        table: The zone's entries.
        on_rejected: Called with the error of each object that isn't put into the table:
            CONFIG_INVALID if it isn't a configuration object, INVARIANT_VIOLATED if the table has
            the same version with a different value.
    """

    def __init__(self, table: EntryTable, on_rejected: Callable[[PearwellError], None]) -> None:
        self._table = table
        self._on_rejected = on_rejected
        self._cursors: dict[Kind, int] = {}

    def cursor(self, kind: Kind) -> int | None:
        """Returns the version from which the watch of a kind resumes; None if it has to list."""
        return self._cursors.get(kind)

    def reset_cursor(self, kind: Kind) -> None:
        """Removes the cursor of a kind when the platform can't resume from it."""
        self._cursors.pop(kind, None)

    def apply_list(self, kind: Kind, listed: ObjectList) -> int:
        """Applies a full list of a kind.

        An object in the table that the list omits was removed, unless the list is older than it.

        Args:
            kind: The kind.
            listed: All objects of the kind in the platform.

        Returns:
            The number of entries that changed the table.
        """
        changed = sum(self._put_stored(stored) for stored in listed.items)
        tombstones = self._missing_tombstones(
            kind, {stored.name for stored in listed.items}, listed.version
        )
        self._cursors[kind] = listed.version
        return changed + sum(self._table.put(entry) for entry in tombstones)

    def apply_event(self, kind: Kind, event: WatchEvent) -> bool:
        """Applies one event of a watch.

        Args:
            kind: The watched kind.
            event: The event, which may be old or a duplicate.

        Returns:
            Whether it changed the table.
        """
        self._cursors[kind] = max(self._cursors.get(kind, 0), event.stored.version)
        if event.type is WatchEventType.BOOKMARK:
            return False
        if event.type is WatchEventType.DELETED:
            key = key_of(event.stored.kind, event.stored.name)
            return self._table.put(tombstone_entry(key, event.stored.version))
        return self._put_stored(event.stored)

    def _put_stored(self, stored: StoredObject) -> bool:
        try:
            entry = entry_of(stored)
            self._check_value(entry)
        except PearwellError as error:
            self._on_rejected(error)
            return False
        return self._table.put(entry)

    def _check_value(self, entry: Entry) -> None:
        existing = self._table.get(entry.key)
        if (
            existing is not None
            and existing.version == entry.version
            and existing.payload != entry.payload
        ):
            detail = f"{entry.key} has two different values at version {entry.version.counter}"
            raise InvariantError(Code.INVARIANT_VIOLATED, detail)

    # The table ignores a tombstone that is older than its entry.
    def _missing_tombstones(self, kind: Kind, names: Collection[str], version: int) -> list[Entry]:
        prefix = f"{CONFIG_PREFIX}{kind}/"
        return [
            tombstone_entry(existing.key, version)
            for existing in self._table.entries(prefix)
            if existing.key.removeprefix(prefix) not in names and not is_tombstone(existing)
        ]
