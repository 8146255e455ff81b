"""Messages of the gossip protocol that replicates versioned entries within a zone."""

import msgspec

from pearwell.messages.base import Message, wire_message

__all__ = [
    "Digest",
    "Entry",
    "EntryVersion",
    "HoldersQuery",
    "HoldersReply",
    "Offer",
    "Pull",
    "Push",
]


class EntryVersion(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Version of the value of one key; the higher one wins.

    Attributes:
        counter: A platform version, or a counter that the writer increments.
        instance: Id of the writer, to break ties; empty for platform versions.
    """

    counter: int
    instance: str = ""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A versioned value that is replicated to every instance of the zone.

    Attributes:
        key: Name, with the owning service as its first path element.
        version: Version of the value.
        payload: The encoded value.
        age_s: Seconds since the value was written; set only when sent, 0 otherwise.
    """

    key: str
    version: EntryVersion
    payload: bytes
    age_s: int = 0


@wire_message
class Push(Message, frozen=True):
    """Entries that the receiver probably doesn't hold yet."""

    entries: tuple[Entry, ...]


@wire_message
class Offer(Message, frozen=True):
    """Versions of large entries; the receiver pulls the ones that it lacks."""

    versions: tuple[tuple[str, EntryVersion], ...]


@wire_message
class Digest(Message, frozen=True):
    """Summary of the entries that the sender holds, more detailed in each round of a comparison.

    Attributes:
        checksum: Hash over all keys and versions; the receiver doesn't reply if its own is equal.
        versions: Versions by key in the listed shards; the receiver replies with Push and Pull.
        shards: Checksum of each shard of the key space; empty in the first round.
        listed: Indices of the shards whose versions are given; empty before the last round.
        urgent: Hash over the urgent entries, in the first round.
    """

    checksum: int
    versions: tuple[tuple[str, EntryVersion], ...] = ()
    shards: tuple[int, ...] = ()
    listed: tuple[int, ...] = ()
    urgent: int = 0


@wire_message
class Pull(Message, frozen=True):
    """Requests entries by key."""

    keys: tuple[str, ...]


@wire_message
class HoldersQuery(Message, frozen=True):
    """Requests the versions that the receiver holds and subscribes the sender to their changes."""

    keys: tuple[str, ...]


@wire_message
class HoldersReply(Message, frozen=True, tag="Held"):
    """Reply to HoldersQuery, also sent after a change: the versions that the sender holds."""

    versions: tuple[tuple[str, EntryVersion], ...]
