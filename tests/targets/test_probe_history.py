"""Tests of pearwell.targets.probe_history."""

import pytest

from pearwell.clock import ManualClock
from pearwell.model.group import HealthCheck
from pearwell.model.placement import TargetState
from pearwell.targets.probe_history import ProbeHistory, ProbeOutcome

W, S, D = TargetState.WORKING, TargetState.SUSPECT, TargetState.DEAD
OUTCOMES = {
    ".": ProbeOutcome.OK,
    "f": ProbeOutcome.FAILING,
    "h": ProbeOutcome.NO_RESPONSE,
    "r": ProbeOutcome.REFUSED,
    "s": ProbeOutcome.NO_CONNECTION,
    "g": ProbeOutcome.PORTS_CLOSED,
}


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [
        ("..", W),
        ("ff.ff.", W),
        ("fff", S),
        ("ffffffffffff", S),
        ("hhhhhhhhhhhh", S),
        ("rrrrrrrrrrrr", S),
        ("sss", S),
        ("sssss", S),
        ("ssssss", D),
        ("gggggg", D),
        ("sssssf", S),
        ("ssssss.", D),
        ("ssssss..", W),
        ("ssssssfff", S),
        ("fff.f.", S),
        ("fff..", W),
        ("fff..fff..", S),
        ("fff..fff....", W),
    ],
)
def test_verdict_has_hysteresis_and_only_unreachable_targets_are_dead(outcomes, expected):
    clock = ManualClock()
    history = ProbeHistory(HealthCheck(), clock)
    for letter in outcomes:
        clock.advance(1.0)
        state = history.observe(OUTCOMES[letter])
    assert state is expected
