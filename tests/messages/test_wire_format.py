"""Tests of the bytes of messages between instances: releases run side by side during an upgrade."""

import pytest

from pearwell.messages import HoldersReply, decode, encode
from pearwell.messages.gossip import EntryVersion
from pearwell.messages.steering import DeleteFlows, OwnershipReply, ReplicateClear
from pearwell.messages.targets import FlowCounts, FlowsCounted
from pearwell.model.placement import Generation


# Messages whose class name differs from the tag that identifies them on the wire.
@pytest.mark.parametrize(
    ("message", "expected"),
    [
        (HoldersReply((("k", EntryVersion(1, "i")),)), "92a448656c649192a16b9201a169"),
        (
            FlowsCounted("g", (FlowCounts("t", 1, 2, (3,)),)),
            "93ad537461727473436f756e746564a1679194a17401029103",
        ),
        (ReplicateClear(1, "g", Generation(2, "i"), ((3, 4),)), "95a16301a1679202a16991920304"),
        (DeleteFlows(1, "g", b"12345678"), "94a16601a167c4083132333435363738"),
        (OwnershipReply(1, b"a", b"b"), "96a17701c40161c401629090"),
    ],
    ids=lambda value: type(value).__name__,
)
def test_bytes_stay_the_same_across_releases(message, expected):
    assert encode(message).hex() == expected
    assert decode(bytes.fromhex(expected)) == message
