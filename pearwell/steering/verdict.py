"""Verdicts: what to do with one packet, and what the packet says about its flow."""

from enum import IntEnum, IntFlag
from typing import NamedTuple

from pearwell.errors import Code

__all__ = ["Action", "Address", "FlowEvent", "Verdict"]

Address = tuple[str, int]


class FlowEvent(IntFlag):
    """What a packet says about the life of its flow."""

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
        action: Forward to a target, pass to a peer, refuse with a reset, or drop.
        address: Where to send it, as IP address and UDP port; None for refuse and drop.
        target: Name of the target; empty unless it is forwarded.
        code: Why it is refused or dropped.
    """

    action: Action
    address: Address | None = None
    target: str = ""
    code: Code = Code.OK
