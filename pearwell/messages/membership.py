"""Messages of the membership protocol."""

from pearwell.messages.base import Message, wire_message
from pearwell.model.membership import Member

__all__ = ["Ack", "IndirectAck", "Join", "MemberUpdates", "Ping", "ProbeRequest"]


@wire_message
class Ping(Message, frozen=True):
    """Checks that the receiver is alive.

    Attributes:
        sequence: Sequence number, echoed in the reply.
        view_checksum: Hash over the members in the sender's view.
        state_checksum: Hash over the state that all instances must agree on.
    """

    sequence: int
    view_checksum: int = 0
    state_checksum: int = 0


@wire_message
class Ack(Message, frozen=True):
    """Reply to Ping; the checksums are those of the replying instance."""

    sequence: int
    view_checksum: int = 0
    state_checksum: int = 0


@wire_message
class ProbeRequest(Message, frozen=True):
    """Requests a relayed ping: the receiver pings an instance that didn't reply to the sender."""

    sequence: int
    target: str


@wire_message
class IndirectAck(Message, frozen=True):
    """Reply to ProbeRequest: the instance replied to the relayed ping."""

    sequence: int
    target: str


@wire_message
class Join(Message, frozen=True):
    """Requests all members; the receiver may not know the sender yet."""

    member: Member


@wire_message
class MemberUpdates(Message, frozen=True):
    """The states of some members as known to the sender.

    Attributes:
        members: Members with their incarnation and state.
        complete: Whether these are all members in the sender's view and all its tombstones.
    """

    members: tuple[Member, ...]
    complete: bool = False
