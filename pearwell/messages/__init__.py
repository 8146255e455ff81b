"""Typed messages: local ones between services, wire ones between instances."""

from pearwell.messages.base import Message, decode, encode, wire
from pearwell.messages.gossip import (
    Digest,
    Entry,
    EntryVersion,
    Held,
    HoldersQuery,
    Pull,
    Push,
)
from pearwell.messages.local import (
    BucketsClear,
    ConfigurationChanged,
    EntryAdopted,
    FlowsStarted,
    PeerMessage,
    PlacementChanged,
    SynRepeated,
    TargetJudged,
    ViewChanged,
    ViewRenewed,
    WeightsChanged,
)
from pearwell.messages.membership import (
    Ack,
    IndirectAck,
    Join,
    MemberUpdates,
    Ping,
    ProbeRequest,
)

__all__ = [
    "Ack",
    "BucketsClear",
    "ConfigurationChanged",
    "Digest",
    "Entry",
    "EntryAdopted",
    "EntryVersion",
    "FlowsStarted",
    "Held",
    "HoldersQuery",
    "IndirectAck",
    "Join",
    "MemberUpdates",
    "Message",
    "PeerMessage",
    "Ping",
    "PlacementChanged",
    "ProbeRequest",
    "Pull",
    "Push",
    "SynRepeated",
    "TargetJudged",
    "ViewChanged",
    "ViewRenewed",
    "WeightsChanged",
    "decode",
    "encode",
    "wire",
]
