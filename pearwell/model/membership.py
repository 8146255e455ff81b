"""Membership: the instances of one availability zone as one instance sees them."""

from enum import IntEnum

import msgspec

__all__ = ["Member", "MemberState", "View"]


class MemberState(IntEnum):
    """States of a member; at equal incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One instance of the zone.

    Attributes:
        instance: Unique instance id.
        address: IP address of the instance.
        peer_port: UDP port for packets forwarded by peers.
        control_port: gRPC port for peer messages.
        incarnation: Raised by the instance itself to refute a suspicion.
        state: Alive, suspect, leaving or dead.
    """

    instance: str
    address: str
    peer_port: int
    control_port: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE


class View(msgspec.Struct, frozen=True, array_like=True):
    """The members that take part in decisions, in order of instance id.

    Attributes:
        members: Alive, suspect and leaving members, the own instance included.
        version: Raised locally with every change.
    """

    members: tuple[Member, ...] = ()
    version: int = 0

    def find(self, instance: str) -> Member | None:
        """Returns the member with an instance id, or None."""
        return next((m for m in self.members if m.instance == instance), None)
