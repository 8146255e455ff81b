"""The part of the gossip that other services use to spread entries."""

from typing import Protocol

import msgspec

from pearwell.messages.gossip import Entry, EntryVersion

__all__ = ["EntryStore", "put_next"]


class EntryStore(Protocol):
    """The part of pearwell.agreement.gossip.Gossip that spreads entries."""

    def put(self, entry: Entry) -> bool:
        """Adopts an entry that is higher than the held one and spreads it."""

    def get(self, key: str) -> Entry | None:
        """Returns the held entry of a key."""


def put_next(store: EntryStore, key: str, instance: str, value: msgspec.Struct) -> None:
    """Spreads a value with the next higher version than the held one.

    Args:
        store: Where to put it.
        key: Its key.
        instance: The writer, which breaks ties between versions.
        value: The value, encoded as MessagePack.
    """
    held = store.get(key)
    counter = held.version.counter + 1 if held is not None else 1
    store.put(Entry(key, EntryVersion(counter, instance), msgspec.msgpack.encode(value)))
