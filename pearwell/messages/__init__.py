"""Typed messages: local ones between services, wire ones between instances."""

from pearwell.messages.base import Message, decode, encode, wire
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
    "FlowsStarted",
    "Message",
    "PeerMessage",
    "PlacementChanged",
    "SynRepeated",
    "TargetJudged",
    "ViewChanged",
    "ViewRenewed",
    "WeightsChanged",
    "decode",
    "encode",
    "wire",
]
