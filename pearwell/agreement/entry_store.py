"""Interface through which services write replicated entries."""

from typing import Protocol

import msgspec

from pearwell.messages.gossip import Entry, EntryVersion

__all__ = ["EntryStore", "put_next_version"]


class EntryStore(Protocol):
    """Subset of EntryTable for services that write entries."""

    def put(self, entry: Entry) -> bool:
        """Adopts an entry whose version is higher than the held one and replicates it."""

    def get(self, key: str) -> Entry | None:
        """Returns the held entry of a key, or None."""


def put_next_version(store: EntryStore, key: str, instance: str, value: msgspec.Struct) -> None:
    """Writes a value with the version that follows the held one.

    Args:
        store: Store to write to.
        key: Key of the entry.
        instance: Id of the writer, which breaks ties between equal counters.
        value: Value to write, encoded as MessagePack.
    """
    held = store.get(key)
    counter = held.version.counter + 1 if held is not None else 1
    store.put(Entry(key, EntryVersion(counter, instance), msgspec.msgpack.encode(value)))
