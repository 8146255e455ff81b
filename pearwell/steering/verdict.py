"""Verdicts on packets, and the lifecycle events of flows that packets signal."""

from enum import IntEnum, IntFlag
from typing import NamedTuple

from pearwell.errors import Code

__all__ = ["Action", "Address", "FlowEvent", "Verdict"]

Address = tuple[str, int]


class FlowEvent(IntFlag):
    """Lifecycle event of a flow that a packet signals."""

    NONE = 0
    START = 1
    END = 2
    RESET = 4
    DATAGRAM = 8


class Action(IntEnum):
    """What to do with a packet."""

    FORWARD = 0
    PASS = 1
    REFUSE = 2
    DROP = 3


class Verdict(NamedTuple):
    """The decision on one packet.

    Attributes:
        action: Forward to a target, pass to a peer, refuse with a reply, or drop.
        address: IP address and UDP port to send it to; None for refuse and drop.
        target: Name of the target; empty unless it is forwarded.
        code: Reason for a refuse or drop.
    """

    action: Action
    address: Address | None = None
    target: str = ""
    code: Code = Code.OK
