"""Messages between the instances that own bucket shards."""

import msgspec

from pearwell.messages.base import Message, wire_message
from pearwell.model.placement import Generation

__all__ = [
    "DeleteFlows",
    "OwnershipGrant",
    "OwnershipOffer",
    "OwnershipPull",
    "OwnershipReply",
    "PlacementQuery",
    "PlacementState",
    "Replicate",
    "ReplicateAck",
    "ReplicateClear",
    "ShardState",
]


class ShardState(msgspec.Struct, frozen=True, array_like=True):
    """State of one group's buckets in one shard, as known to an owner.

    Attributes:
        group: Name of the group.
        generation: Generation of the sender's placement.
        watched: Buckets and the whole seconds for which their owners have seen every packet.
        cleared: Clear buckets and the tag of the target that all their live flows are on.
        records: Packed flow records.
    """

    group: str
    generation: Generation
    watched: tuple[tuple[int, int], ...] = ()
    cleared: tuple[tuple[int, int], ...] = ()
    records: bytes = b""


@wire_message
class Replicate(Message, frozen=True, tag="r"):
    """Flow records to replicate to the backup, which acknowledges the sequence number."""

    sequence: int
    records: bytes


@wire_message
class ReplicateClear(Message, frozen=True, tag="c"):
    """Clear buckets to replicate to the backup, which acknowledges the sequence number.

    Attributes:
        sequence: Sequence number.
        group: Name of the group.
        generation: Generation of the sender's placement.
        cleared: Clear buckets and the tag of the target that all their live flows are on.
    """

    sequence: int
    group: str
    generation: Generation
    cleared: tuple[tuple[int, int], ...]


@wire_message
class ReplicateAck(Message, frozen=True, tag="a"):
    """Acknowledges Replicate and ReplicateClear messages."""

    sequences: tuple[int, ...]


@wire_message
class DeleteFlows(Message, frozen=True, tag="f"):
    """Ended flows whose records the backup deletes.

    Attributes:
        after: Last sequence number sent before this message; a receiver of a later one ignores
            the message.
        group: Name of the group.
        flows: Flow hashes of 8 bytes each, little-endian.
    """

    after: int
    group: str
    flows: bytes


@wire_message
class OwnershipPull(Message, frozen=True, tag="p"):
    """Requests the state of shards of which the sender is the primary in its own view.

    Attributes:
        round: Number of the attempt, incremented by the sender.
        shards: Shard numbers, one byte each.
    """

    round: int
    shards: bytes


@wire_message
class OwnershipReply(Message, frozen=True, tag="w"):
    """Reply to OwnershipPull for shards that the sender doesn't grant.

    Attributes:
        round: Round of the OwnershipPull.
        idle: Shards that the sender isn't serving.
        serving: Shards that it serves and doesn't grant, as its view differs.
        hints: Shards and the instance that recently claimed each.
        copies: Shards and the replicated state that the sender holds.
    """

    round: int
    idle: bytes = b""
    serving: bytes = b""
    hints: tuple[tuple[int, str], ...] = ()
    copies: tuple[tuple[int, tuple[ShardState, ...]], ...] = ()


@wire_message
class OwnershipGrant(Message, frozen=True, tag="g"):
    """Transfers one shard to the receiver; the sender no longer makes decisions for it."""

    round: int
    shard: int
    groups: tuple[ShardState, ...]


@wire_message
class OwnershipOffer(Message, frozen=True, tag="o"):
    """Shards that the sender serves but whose primary, in its view, is the receiver."""

    shards: bytes


@wire_message
class PlacementQuery(Message, frozen=True, tag="q"):
    """Checks whether the receiver knows placements that the sender lacks.

    Attributes:
        number: Number of the query.
        checksum: Hash over the sender's generations.
    """

    number: int
    checksum: int


@wire_message
class PlacementState(Message, frozen=True, tag="s"):
    """Reply to PlacementQuery.

    Attributes:
        number: Number of the query.
        generations: The sender's generation by group; empty if the checksums are equal.
    """

    number: int
    generations: tuple[tuple[str, Generation], ...] = ()
