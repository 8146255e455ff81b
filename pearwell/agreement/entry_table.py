"""Interface to the versioned entries that are replicated within a zone."""

from collections.abc import Mapping
from typing import Protocol

from pearwell.messages.gossip import Entry, EntryVersion

__all__ = ["EntryTable"]


class EntryTable(Protocol):
    """Holds the highest version of each entry and replicates it in the zone; see Gossip."""

    def put(self, entry: Entry) -> bool:
        """Adopts an entry whose version is higher than the held one; returns whether it did."""

    def get(self, key: str) -> Entry | None:
        """Returns the held entry of a key, or None."""

    def entries(self, prefix: str) -> list[Entry]:
        """Returns all held entries whose key starts with a prefix, sorted by key."""

    def holders(self, key: str) -> Mapping[str, EntryVersion]:
        """Returns the version of a key that each instance is known to hold."""
