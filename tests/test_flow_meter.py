"""Tests of pearwell.flow_meter."""

import pytest

from pearwell.clock import ManualClock
from pearwell.flow_meter import RECENT_LIMIT, SAMPLED_SHARE, FlowMeter, RecentHashes, is_sampled
from pearwell.messages import FlowsStarted, SynRepeated

SAMPLED, OTHER = (
    next(hash_ << 40 for hash_ in range(9) if is_sampled(hash_ << 40) is wanted)
    for wanted in (True, False)
)


@pytest.mark.parametrize(
    ("hashes", "repeated"),
    [
        ((SAMPLED,), 0),
        ((SAMPLED, SAMPLED), 0),
        ((SAMPLED, SAMPLED, SAMPLED), SAMPLED_SHARE),
        ((OTHER, OTHER, OTHER), 0),
    ],
)
def test_a_repeated_syn_is_no_start_and_counts_from_the_second_repeat(hashes, repeated):
    meter = FlowMeter(ManualClock())
    for flow_hash in hashes:
        meter.start("intake", "one", flow_hash)
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


@pytest.mark.parametrize(("pause", "seen"), [(1.0, 1), (9.0, 1), (17.0, 0)])
def test_hashes_are_forgotten_after_a_while(pause, seen):
    clock = ManualClock()
    recent = RecentHashes(clock)
    assert recent.add(7) == 0
    clock.advance(pause)
    assert recent.add(7) == seen


def test_memory_is_bounded():
    recent = RecentHashes(ManualClock())
    for flow_hash in range(3 * RECENT_LIMIT):
        recent.add(flow_hash)
    assert recent.size <= 2 * RECENT_LIMIT
