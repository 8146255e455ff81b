"""Messages of the membership protocol."""

from pearwell.messages.base import Message, wire
from pearwell.model.membership import Member

__all__ = ["Ack", "IndirectAck", "Join", "MemberUpdates", "Ping", "ProbeRequest"]


@wire
class Ping(Message, frozen=True):
    """Asks whether the receiver works.

    Attributes:
        sequence: Number that the answer repeats.
        view_checksum: Hash over the sender's members.
        state_checksum: Hash over the state that every instance must share.
    """

    sequence: int
    view_checksum: int = 0
    state_checksum: int = 0


@wire
class Ack(Message, frozen=True):
    """Answers a Ping; the checksums are the answering instance's."""

    sequence: int
    view_checksum: int = 0
    state_checksum: int = 0


@wire
class ProbeRequest(Message, frozen=True):
    """Asks the receiver to ping a third instance that didn't answer the sender."""

    sequence: int
    target: str


@wire
class IndirectAck(Message, frozen=True):
    """Tells the sender of a ProbeRequest that the third instance answered."""

    sequence: int
    target: str


@wire
class Join(Message, frozen=True):
    """Asks for all members; the sender need not be known yet."""

    member: Member


@wire
class MemberUpdates(Message, frozen=True):
    """What the sender knows of some members.

    Attributes:
        members: Members with their incarnation and state.
        complete: Whether these are all members of the sender's view and its tombstones.
    """

    members: tuple[Member, ...]
    complete: bool = False
