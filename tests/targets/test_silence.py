"""Tests of pearwell.targets.silence."""

import itertools

import pytest

from pearwell.clock import ManualClock
from pearwell.targets.silence import RELAPSE_WINDOW_S, SILENCE_HOLD_S, SilenceDetector

_flow_hashes = itertools.count()


def feed(detector: SilenceDetector, new_flows: int, retransmissions: int) -> None:
    """Records the SYNs of new flows, then retransmissions of them in round-robin order."""
    new_hashes = [next(_flow_hashes) for _ in range(new_flows)]
    detector.record_syns(new_hashes)
    detector.record_syns(itertools.islice(itertools.cycle(new_hashes), retransmissions))


@pytest.mark.parametrize(
    ("new_flows", "retransmissions", "silent"),
    [
        (1, 5, False),
        (1, 6, True),
        (10, 5, False),
        (10, 6, True),
        (20, 11, False),
        (20, 12, True),
        (60, 23, False),
        (60, 24, True),
        (80, 24, True),
        (200, 59, False),
        (200, 60, True),
    ],
)
def test_silence_requires_many_retransmissions_per_new_flow(new_flows, retransmissions, silent):
    detector = SilenceDetector(ManualClock(100.0))
    feed(detector, new_flows, retransmissions)
    assert detector.silent is silent


def test_silence_hold_doubles_with_each_relapse():
    clock = ManualClock(100.0)
    detector = SilenceDetector(clock)
    holds = []
    for _ in range(5):
        feed(detector, 1, 30)
        started_at = clock.now()
        while detector.silent:
            clock.advance(1.0)
        holds.append(clock.now() - started_at)
        clock.advance(10.0)
    assert holds == [30.0, 60.0, 120.0, 240.0, 480.0]


def _after_first_hold() -> tuple[ManualClock, SilenceDetector]:
    clock = ManualClock(100.0)
    detector = SilenceDetector(clock)
    feed(detector, 10, 24)
    clock.advance(SILENCE_HOLD_S)
    return clock, detector


@pytest.mark.parametrize(
    ("new_flows", "retransmissions", "silent"),
    [(2, 1, False), (2, 2, True), (10, 5, False), (10, 6, True)],
)
def test_target_that_stays_silent_is_held_again_after_few_new_flows(
    new_flows, retransmissions, silent
):
    _, detector = _after_first_hold()
    feed(detector, new_flows, retransmissions)
    assert detector.silent is silent


def test_retransmissions_from_before_a_hold_do_not_count_after_it():
    _, detector = _after_first_hold()
    feed(detector, 30, 2)
    assert not detector.silent


def test_few_retransmissions_long_after_a_hold_do_not_indicate_silence():
    clock, detector = _after_first_hold()
    clock.advance(RELAPSE_WINDOW_S)
    feed(detector, 2, 2)
    assert not detector.silent


def test_retransmissions_during_a_hold_neither_extend_it_nor_hide_a_relapse():
    clock = ManualClock(100.0)
    detector = SilenceDetector(clock)
    feed(detector, 10, 24)
    clock.advance(SILENCE_HOLD_S - 1.0)
    feed(detector, 10, 24)
    clock.advance(1.0)
    assert not detector.silent
    feed(detector, 3, 3)
    assert detector.hold_s == 2 * SILENCE_HOLD_S
