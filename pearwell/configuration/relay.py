"""Relay: turns lists and watch events of the platform into entries of the zone."""

from collections.abc import Callable, Collection

from pearwell.agreement.entry_table import EntryTable
from pearwell.agreement.rendezvous import rank
from pearwell.configuration.applied import CONFIG_PREFIX, entry_of, is_tombstone, key_of, tombstone
from pearwell.errors import Code, InvariantError, PearwellError
from pearwell.messages.gossip import Entry
from pearwell.model.configuration import Kind
from pearwell.model.membership import MemberState, View
from pearwell.object_store import ObjectList, StoredObject, WatchEvent, WatchEventType

__all__ = ["RELAY_COUNT", "Relay", "relays"]

# Instances of a zone that watch the platform.
RELAY_COUNT = 3


def relays(zone: str, view: View, instance: str) -> tuple[str, ...]:
    """Returns the instances that watch the platform for a zone; the first one reports its status.

    Args:
        zone: Availability zone.
        view: Members of the zone.
        instance: Id of the local instance, which counts as a member even before its view shows it.
    """
    lasting = {m.instance for m in view.members if m.state < MemberState.LEAVING}
    own = view.find(instance)
    if own is None or own.state < MemberState.LEAVING or not lasting:
        lasting.add(instance)
    return rank(f"relay/{zone}", lasting, RELAY_COUNT)


class Relay:
    """Relay state of one instance: puts objects into the entry table and tracks watch cursors.

    A version in the entry table never decreases.

    Args:
        table: The zone's entries.
        rejected: Called with the error of each object that isn't put into the table: CONFIG_INVALID
            if it isn't a configuration object, INVARIANT_VIOLATED if the table has the same version
            with a different value.
    """

    def __init__(self, table: EntryTable, rejected: Callable[[PearwellError], None]) -> None:
        self._table = table
        self._rejected = rejected
        self._cursors: dict[Kind, int] = {}

    def cursor(self, kind: Kind) -> int | None:
        """Returns the version from which the watch of a kind resumes; None if it has to list."""
        return self._cursors.get(kind)

    def reset(self, kind: Kind) -> None:
        """Removes the cursor of a kind when the platform can't resume from it."""
        self._cursors.pop(kind, None)

    def listed(self, kind: Kind, found: ObjectList) -> int:
        """Applies a full list of a kind.

        An object in the table that the list omits was removed, unless the list is older than it.

        Args:
            kind: The kind.
            found: All objects of the kind in the platform.

        Returns:
            The number of entries that changed the table.
        """
        news = sum(self._offer(stored) for stored in found.items)
        removed = self._missing(kind, {stored.name for stored in found.items}, found.version)
        self._cursors[kind] = found.version
        return news + sum(self._table.put(entry) for entry in removed)

    def observed(self, kind: Kind, event: WatchEvent) -> bool:
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
            return self._table.put(tombstone(key, event.stored.version))
        return self._offer(event.stored)

    def _offer(self, stored: StoredObject) -> bool:
        try:
            entry = entry_of(stored)
            self._check_value(entry)
        except PearwellError as error:
            self._rejected(error)
            return False
        return self._table.put(entry)

    def _check_value(self, entry: Entry) -> None:
        held = self._table.get(entry.key)
        if held is not None and held.version == entry.version and held.payload != entry.payload:
            detail = f"{entry.key} has two different values at version {entry.version.counter}"
            raise InvariantError(Code.INVARIANT_VIOLATED, detail)

    # The table ignores a tombstone that is older than its entry.
    def _missing(self, kind: Kind, names: Collection[str], version: int) -> list[Entry]:
        prefix = f"{CONFIG_PREFIX}{kind}/"
        return [
            tombstone(held.key, version)
            for held in self._table.entries(prefix)
            if held.key.removeprefix(prefix) not in names and not is_tombstone(held)
        ]
