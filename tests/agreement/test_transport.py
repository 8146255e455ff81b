"""Tests of pearwell.agreement.transport."""

import pytest

from pearwell.agreement.transport import MemoryNetwork
from pearwell.clock import ManualClock
from pearwell.messages import Message, wire_message


@wire_message
class Note(Message, frozen=True):
    """A message type that only these tests use."""

    text: str


@pytest.mark.parametrize(
    ("delays", "expected"),
    [((0.5,), ["a"]), ((), []), ((0.1, 0.2), ["a", "a"]), ((2.0,), [])],
)
def test_delivery_sets_copies_and_delays(delays, expected):
    clock = ManualClock()
    network = MemoryNetwork(clock, lambda sender, to, message: delays)
    received = []
    sender = network.attach("one", lambda *_: None)
    network.attach("two", lambda origin, message: received.append(message.text))
    sender.send("two", Note("a"))
    network.run_until(1.0)
    assert received == expected
    assert clock.now() == 1.0
