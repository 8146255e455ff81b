"""Entry table: versioned entries that a zone shares, as its users see them."""

from collections.abc import Callable, Mapping
from typing import Protocol

from pearwell.messages.gossip import Entry, EntryVersion

__all__ = ["EntryTable", "LocalEntryTable"]


class EntryTable(Protocol):
    """Holds the highest version of each entry and spreads it over the zone; see Gossip."""

    def put(self, entry: Entry) -> bool:
        """Adopts an entry that is higher than the held one; returns whether it was."""

    def get(self, key: str) -> Entry | None:
        """Returns the held entry of a key, or None."""

    def entries(self, prefix: str) -> list[Entry]:
        """Returns all held entries whose key starts with a prefix, in order of key."""

    def holders(self, key: str) -> Mapping[str, EntryVersion]:
        """Returns the version of a key that each instance is known to hold."""


class LocalEntryTable:
    """An entry table of one instance without peers.

    Args:
        instance: Id of the instance.
        adopted: Called with every entry that is adopted.
    """

    def __init__(self, instance: str, adopted: Callable[[Entry], None]) -> None:
        self._instance = instance
        self._adopted = adopted
        self._entries: dict[str, Entry] = {}

    def put(self, entry: Entry) -> bool:
        """Adopts an entry that is higher than the held one; returns whether it was."""
        held = self._entries.get(entry.key)
        if held is not None and entry.version <= held.version:
            return False
        self._entries[entry.key] = entry
        self._adopted(entry)
        return True

    def get(self, key: str) -> Entry | None:
        """Returns the held entry of a key, or None."""
        return self._entries.get(key)

    def entries(self, prefix: str) -> list[Entry]:
        """Returns all held entries whose key starts with a prefix, in order of key."""
        return [self._entries[key] for key in sorted(self._entries) if key.startswith(prefix)]

    def holders(self, key: str) -> Mapping[str, EntryVersion]:
        """Returns the version that the instance holds."""
        held = self._entries.get(key)
        return {self._instance: held.version} if held else {}
