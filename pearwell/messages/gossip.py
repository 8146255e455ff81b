"""Messages of the gossip that spreads versioned entries over a zone."""

import msgspec

from pearwell.messages.base import Message, wire

__all__ = ["Digest", "Entry", "EntryVersion", "Held", "HoldersQuery", "Offer", "Pull", "Push"]


class EntryVersion(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Orders the values of one key; the higher one wins.

    Attributes:
        counter: A platform version, or a counter raised by the writer.
        instance: The writer, to break ties; empty for platform versions.
    """

    counter: int
    instance: str = ""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A versioned value that every instance of the zone should hold.

    Attributes:
        key: Name, with the owning service as its first path element.
        version: Orders the values of this key.
        payload: The encoded value.
        age_s: Seconds since it was written, while it is sent; 0 elsewhere.
    """

    key: str
    version: EntryVersion
    payload: bytes
    age_s: int = 0


@wire
class Push(Message, frozen=True):
    """Entries that are news to the receiver, as far as the sender knows."""

    entries: tuple[Entry, ...]


@wire
class Offer(Message, frozen=True):
    """Versions of large entries that may be news to the receiver, which pulls what it lacks."""

    versions: tuple[tuple[str, EntryVersion], ...]


@wire
class Digest(Message, frozen=True):
    """Summary of the entries that the sender holds, finer with every round of a comparison.

    Attributes:
        checksum: Hash over all keys and versions; equal ones need no answer.
        versions: Versions by key in the listed shards; the receiver answers with Push and Pull.
        shards: Checksum of each shard of the key space; empty in the first round.
        listed: Indices of the shards whose versions are given; empty before the last round.
        urgent: Hash over the entries that mustn't be late, in the first round.
    """

    checksum: int
    versions: tuple[tuple[str, EntryVersion], ...] = ()
    shards: tuple[int, ...] = ()
    listed: tuple[int, ...] = ()
    urgent: int = 0


@wire
class Pull(Message, frozen=True):
    """Asks for entries by key."""

    keys: tuple[str, ...]


@wire
class HoldersQuery(Message, frozen=True):
    """Asks which versions the receiver holds, now and whenever they rise in the next seconds."""

    keys: tuple[str, ...]


@wire
class Held(Message, frozen=True):
    """Versions that the sender holds, as an answer to HoldersQuery."""

    versions: tuple[tuple[str, EntryVersion], ...]
