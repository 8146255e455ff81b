"""Tests of pearwell.silence."""

import pytest

from pearwell.clock import ManualClock
from pearwell.silence import SilenceDetector


@pytest.mark.parametrize(
    ("starts", "repeats", "seen_share", "silent"),
    [
        (5, 2, 1.0, False),
        (5, 3, 1.0, True),
        (100, 20, 1.0, False),
        (100, 30, 1.0, True),
        (0, 5, 1.0, True),
        (100, 3, 0.05, True),
        (1000, 10, 0.05, False),
    ],
)
def test_silence_needs_many_repeats_among_the_starts(starts, repeats, seen_share, silent):
    detector = SilenceDetector(ManualClock(100.0), seen_share)
    detector.started(starts)
    detector.repeated(repeats)
    assert detector.silent is silent


def test_silence_hold_doubles_with_each_relapse():
    clock = ManualClock(100.0)
    detector = SilenceDetector(clock)
    holds = []
    for _ in range(5):
        detector.repeated(10)
        began = clock.now()
        while detector.silent:
            clock.advance(1.0)
        holds.append(clock.now() - began)
        clock.advance(10.0)
    assert holds == [10.0, 20.0, 40.0, 80.0, 80.0]
