"""Tests of pearwell.affinity.zone_queues."""

import random

import pytest

from pearwell.affinity.zone_queues import (
    BASELINE_SAMPLES,
    MIN_BASELINE_SAMPLES,
    QUEUEING_HOLD_S,
    RECENT_SAMPLES,
    ResponseTimes,
)

RESPONSES = [
    # Seconds between responses, response times in seconds, whether they indicate queueing.
    (0.05, [0.15] * RECENT_SAMPLES, True),
    (0.05, [0.1] * RECENT_SAMPLES, True),
    (0.05, [0.07] * RECENT_SAMPLES, False),
    (0.05, [2.0] * (RECENT_SAMPLES // 3) + [0.04] * (RECENT_SAMPLES - RECENT_SAMPLES // 3), False),
    (0.05, [0.15] * (RECENT_SAMPLES - 1), False),
    (0.15, [0.15] * RECENT_SAMPLES, False),
]


@pytest.mark.parametrize(("gap_s", "times", "queueing"), RESPONSES)
def test_many_slow_responses_in_a_short_time_indicate_queueing(gap_s, times, queueing):
    responses, now = ResponseTimes(), 100.0
    for seconds in [0.04] * 100:
        responses.add(seconds, now)
    now += 60.0
    for seconds in times:
        now += gap_s
        responses.add(seconds, now)
    assert responses.is_queueing(now) is queueing
    assert not responses.is_queueing(now + QUEUEING_HOLD_S)


def test_requests_that_are_shed_indicate_queueing():
    """Their responses are fast, although the targets are full."""
    responses, now = ResponseTimes(), 100.0
    for _ in range(100):
        responses.add(0.04, now)
    for number in range(RECENT_SAMPLES):
        now += 0.05
        responses.add(0.003, now, is_shed=number % 2 == 0)
    assert responses.is_queueing(now)
    assert responses.baseline_s > 0.03


def test_mixed_short_and_long_requests_do_not_indicate_queueing():
    responses, rng = ResponseTimes(), random.Random(1)
    for number in range(2_000):
        now = 100.0 + number / 20
        responses.add(0.008 if rng.random() < 0.6 else 0.064, now)
        assert not responses.is_queueing(now)


def test_too_few_responses_are_no_baseline():
    responses = ResponseTimes()
    for number in range(MIN_BASELINE_SAMPLES):
        responses.add(0.008 if number < 10 else 0.06, 100.0 + number / 20)
    assert not responses.is_queueing(100.0 + MIN_BASELINE_SAMPLES / 20)


def test_baseline_adapts_slowly():
    responses = ResponseTimes()
    assert (responses.baseline_s, responses.recent_mean_s) == (0.0, 0.0)
    for number in range(BASELINE_SAMPLES + 50):
        responses.add(0.04 if number < BASELINE_SAMPLES else 0.16, float(number))
    assert responses.baseline_s < 0.08
    assert responses.recent_mean_s == pytest.approx(0.16)
