"""Entry table: versioned entries that a zone shares, as its users see them."""

from collections.abc import Mapping
from typing import Protocol

from pearwell.messages.gossip import Entry, EntryVersion

__all__ = ["EntryTable"]


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
