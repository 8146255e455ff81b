"""Messages between the owners of buckets."""

import msgspec

from pearwell.messages.base import Message, wire
from pearwell.model.placement import Generation

__all__ = [
    "ClearMark",
    "Forget",
    "OwnershipAnswer",
    "OwnershipGrant",
    "OwnershipOffer",
    "OwnershipPull",
    "PlacementQuery",
    "PlacementState",
    "Replicate",
    "ReplicateAck",
    "ShardState",
]


class ShardState(msgspec.Struct, frozen=True, array_like=True):
    """What an owner knows of one group's buckets in one shard.

    Attributes:
        group: Name of the group.
        generation: Generation of the sender's placement.
        watched: Bucket and whole seconds since its owners began to see all of its packets.
        cleared: Bucket and target tag, where no flow is left off that target.
        records: Packed flow records.
    """

    group: str
    generation: Generation
    watched: tuple[tuple[int, int], ...] = ()
    cleared: tuple[tuple[int, int], ...] = ()
    records: bytes = b""


@wire
class Replicate(Message, frozen=True, tag="r"):
    """Flow records for the backup, which acknowledges the sequence number."""

    sequence: int
    records: bytes


@wire
class ClearMark(Message, frozen=True, tag="c"):
    """Proofs for the backup, which acknowledges the sequence number.

    Attributes:
        sequence: Sequence number.
        group: Name of the group.
        generation: Generation of the sender's placement.
        cleared: Bucket and target tag, where no flow is left off that target.
    """

    sequence: int
    group: str
    generation: Generation
    cleared: tuple[tuple[int, int], ...]


@wire
class ReplicateAck(Message, frozen=True, tag="a"):
    """Acknowledges Replicate and ClearMark messages."""

    sequences: tuple[int, ...]


@wire
class Forget(Message, frozen=True, tag="f"):
    """Flows that ended, for the backup.

    Attributes:
        after: Latest sequence number sent before; a receiver that has a later one ignores this.
        group: Name of the group.
        flows: Flow hashes of 8 bytes each, little-endian.
    """

    after: int
    group: str
    flows: bytes


@wire
class OwnershipPull(Message, frozen=True, tag="p"):
    """The sender's view makes it the primary of these shards and it asks for their state.

    Attributes:
        round: Number of the attempt, raised by the sender.
        shards: Shard numbers, one byte each.
    """

    round: int
    shards: bytes


@wire
class OwnershipAnswer(Message, frozen=True, tag="w"):
    """Answers OwnershipPull for shards that the sender doesn't grant.

    Attributes:
        round: Number of the attempt that is answered.
        idle: Shards that the sender isn't serving.
        serving: Shards that it is serving and doesn't grant, as it holds another view.
        hints: Shards and the instance that claimed each lately.
        copies: Shards and the copies that the sender holds.
    """

    round: int
    idle: bytes = b""
    serving: bytes = b""
    hints: tuple[tuple[int, str], ...] = ()
    copies: tuple[tuple[int, tuple[ShardState, ...]], ...] = ()


@wire
class OwnershipGrant(Message, frozen=True, tag="g"):
    """Hands one shard over; the sender doesn't decide for it any more."""

    round: int
    shard: int
    groups: tuple[ShardState, ...]


@wire
class OwnershipOffer(Message, frozen=True, tag="o"):
    """The sender serves shards whose primary, by its view, is the receiver."""

    shards: bytes


@wire
class PlacementQuery(Message, frozen=True, tag="q"):
    """Asks whether the receiver knows placements that the sender doesn't.

    Attributes:
        number: Number of the query.
        checksum: Hash over the sender's generations.
    """

    number: int
    checksum: int


@wire
class PlacementState(Message, frozen=True, tag="s"):
    """Answers PlacementQuery.

    Attributes:
        number: Number of the query.
        generations: The sender's generation by group; empty if the checksums are equal.
    """

    number: int
    generations: tuple[tuple[str, Generation], ...] = ()
