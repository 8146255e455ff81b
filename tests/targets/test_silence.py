"""Tests of pearwell.targets.silence."""

import pytest

from pearwell.clock import ManualClock
from pearwell.targets.silence import SilenceDetector


@pytest.mark.parametrize(
    ("starts", "repeats", "silent"),
    [(0, 23, False), (0, 24, True), (80, 24, True), (200, 59, False), (200, 60, True)],
)
def test_silence_needs_many_repeats_among_the_starts(starts, repeats, silent):
    detector = SilenceDetector(ManualClock(100.0))
    detector.started(starts)
    detector.repeated(repeats)
    assert detector.silent is silent


def test_silence_hold_doubles_with_each_relapse():
    clock = ManualClock(100.0)
    detector = SilenceDetector(clock)
    holds = []
    for _ in range(5):
        detector.repeated(30)
        began = clock.now()
        while detector.silent:
            clock.advance(1.0)
        holds.append(clock.now() - began)
        clock.advance(10.0)
    assert holds == [30.0, 60.0, 120.0, 240.0, 480.0]
