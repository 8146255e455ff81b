"""Typed messages: local ones between services, wire ones between instances."""

from pearwell.messages.base import Message, decode, encode, wire
from pearwell.messages.gossip import Digest, Entry, EntryVersion, Pull, Push
from pearwell.messages.local import (
    BucketsClear,
    ConfigurationChanged,
    FlowsStarted,
    PeerMessage,
    PlacementChanged,
    SynRepeated,
    TargetJudged,
    ViewChanged,
    ViewRenewed,
    WeightsChanged,
)

__all__ = [
    "BucketsClear",
    "ConfigurationChanged",
    "Digest",
    "Entry",
    "EntryVersion",
    "FlowsStarted",
    "Message",
    "PeerMessage",
    "PlacementChanged",
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
