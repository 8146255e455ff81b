"""Tests of pearwell.steering.flow_meter."""

import pytest

from pearwell.clock import ManualClock
from pearwell.messages import FlowsStarted, SynRepeated
from pearwell.steering.flow_meter import RECENT_LIMIT, FlowMeter, RecentHashes


@pytest.mark.parametrize(("syns", "repeated"), [(1, 0), (2, 1), (4, 3)])
def test_a_repeated_syn_is_no_start(syns, repeated):
    meter = FlowMeter(ManualClock())
    for _ in range(syns):
        meter.start("intake", "one", 7)
    expected = [FlowsStarted("intake", (("one", 1),), ())]
    if repeated:
        expected.append(SynRepeated("intake", "one", repeated))
    assert meter.take() == expected
    assert meter.take() == []


def test_starts_and_ends_are_counted_by_target():
    meter = FlowMeter(ManualClock())
    meter.start("intake", "two", 1)
    meter.start("intake", "one", 2)
    meter.start("tables", "one", 3)
    assert meter.end("tables", "one", 3)
    assert not meter.end("tables", "one", 3)
    assert meter.take() == [
        FlowsStarted("intake", (("one", 1), ("two", 1)), ()),
        FlowsStarted("tables", (("one", 1),), (("one", 1),)),
    ]


@pytest.mark.parametrize(("pause", "seen"), [(1.0, True), (9.0, True), (17.0, False)])
def test_hashes_are_forgotten_after_a_while(pause, seen):
    clock = ManualClock()
    recent = RecentHashes(clock)
    assert not recent.add(7)
    clock.advance(pause)
    assert recent.add(7) is seen


def test_memory_is_bounded():
    recent = RecentHashes(ManualClock())
    for flow_hash in range(3 * RECENT_LIMIT):
        recent.add(flow_hash)
    assert recent.size <= 2 * RECENT_LIMIT
