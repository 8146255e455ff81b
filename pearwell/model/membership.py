"""Membership: one instance's view of the instances in its availability zone."""

from enum import IntEnum

import msgspec

__all__ = ["Member", "MemberState", "View"]


class MemberState(IntEnum):
    """Member states; at the same incarnation the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One instance of the zone.

    Attributes:
        instance: Unique instance ID.
        address: IP address of the instance.
        peer_port: UDP port for packets forwarded by peers.
        control_port: gRPC port for peer messages.
        incarnation: Incremented by the instance itself to refute a suspicion.
        state: Alive, suspect, leaving or dead.
    """

    instance: str
    address: str
    peer_port: int
    control_port: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE


class View(msgspec.Struct, frozen=True, array_like=True):
    """The members of a zone that aren't dead, sorted by instance ID.

    Attributes:
        members: Alive, suspect and leaving members, including this instance.
        version: Incremented locally with every change.
    """

    members: tuple[Member, ...] = ()
    version: int = 0

    def find(self, instance: str) -> Member | None:
        """Returns the member with the given instance ID, or None."""
        return next((m for m in self.members if m.instance == instance), None)
