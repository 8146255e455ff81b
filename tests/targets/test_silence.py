"""Tests of pearwell.targets.silence."""

import itertools

import pytest

from pearwell.clock import ManualClock
from pearwell.targets.silence import RELAPSE_WINDOW_S, SILENCE_HOLD_S, SilenceDetector

_numbers = itertools.count()


def feed(detector: SilenceDetector, starts: int, repeats: int) -> None:
    """Records the SYNs of new flows, then retransmissions of them in round-robin order."""
    fresh = [next(_numbers) for _ in range(starts)]
    detector.take_syns(fresh)
    detector.take_syns(itertools.islice(itertools.cycle(fresh), repeats))


@pytest.mark.parametrize(
    ("starts", "repeats", "silent"),
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
def test_silence_needs_many_repeats_among_the_starts(starts, repeats, silent):
    detector = SilenceDetector(ManualClock(100.0))
    feed(detector, starts, repeats)
    assert detector.silent is silent


def test_silence_hold_doubles_with_each_relapse():
    clock = ManualClock(100.0)
    detector = SilenceDetector(clock)
    holds = []
    for _ in range(5):
        feed(detector, 1, 30)
        began = clock.now()
        while detector.silent:
            clock.advance(1.0)
        holds.append(clock.now() - began)
        clock.advance(10.0)
    assert holds == [30.0, 60.0, 120.0, 240.0, 480.0]


def _after_first_hold() -> tuple[ManualClock, SilenceDetector]:
    clock = ManualClock(100.0)
    detector = SilenceDetector(clock)
    feed(detector, 10, 24)
    clock.advance(SILENCE_HOLD_S)
    return clock, detector


@pytest.mark.parametrize(
    ("starts", "repeats", "silent"),
    [(2, 1, False), (2, 2, True), (10, 5, False), (10, 6, True)],
)
def test_target_that_stays_silent_is_held_again_after_few_starts(starts, repeats, silent):
    _, detector = _after_first_hold()
    feed(detector, starts, repeats)
    assert detector.silent is silent


def test_repeats_from_before_a_hold_do_not_count_after_it():
    _, detector = _after_first_hold()
    feed(detector, 30, 2)
    assert not detector.silent


def test_long_after_a_hold_few_repeats_are_no_sign_again():
    clock, detector = _after_first_hold()
    clock.advance(RELAPSE_WINDOW_S)
    feed(detector, 2, 2)
    assert not detector.silent


def test_repeats_during_a_hold_neither_prolong_it_nor_hide_a_relapse():
    clock = ManualClock(100.0)
    detector = SilenceDetector(clock)
    feed(detector, 10, 24)
    clock.advance(SILENCE_HOLD_S - 1.0)
    feed(detector, 10, 24)
    clock.advance(1.0)
    assert not detector.silent
    feed(detector, 3, 3)
    assert detector.hold_s == 2 * SILENCE_HOLD_S
