"""Tests of pearwell.health."""

import pytest

from pearwell.clock import ManualClock
from pearwell.group import HealthCheck, TargetIntent, TargetSpec
from pearwell.health import GroupHealth, Outcome, ProbeHistory, SilenceDetector
from pearwell.placement import TargetState

W, S, L, D = TargetState.WORKING, TargetState.SUSPECT, TargetState.LEAVING, TargetState.DEAD
OUTCOMES = {
    ".": Outcome.OK,
    "f": Outcome.FAILING,
    "h": Outcome.HANGING,
    "r": Outcome.REFUSED,
    "s": Outcome.SILENT,
    "g": Outcome.GONE,
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
def test_opinion_has_hysteresis_and_only_silence_is_death(outcomes, expected):
    clock = ManualClock()
    history = ProbeHistory(HealthCheck(), clock)
    for letter in outcomes:
        clock.advance(1.0)
        state = history.observe(OUTCOMES[letter])
    assert state is expected


@pytest.mark.parametrize(
    ("starts", "repeats", "silent"),
    [(10, 4, False), (10, 5, True), (100, 20, False), (100, 30, True), (0, 5, True)],
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
        detector.repeated(10)
        began = clock.now()
        while detector.silent:
            clock.advance(1.0)
        holds.append(clock.now() - began)
        clock.advance(10.0)
    assert holds == [10.0, 20.0, 40.0, 80.0, 80.0]


def group(count, clock, leaving=()):
    health = GroupHealth(clock)
    names = [f"t{i}" for i in range(count)]
    health.set_targets(
        TargetSpec(
            n, f"10.0.0.{i}", "z", intent=TargetIntent(n in leaving and "leaving" or "serving")
        )
        for i, n in enumerate(names)
    )
    for name in names:
        health.set_probers(name, ("a", "b", "c"))
        for prober in "abc":
            health.take_verdict(name, prober, W)
    return health


@pytest.mark.parametrize(
    ("verdicts", "expected"),
    [
        ((W, W, D), W),
        ((W, S, S), S),
        ((W, S, D), S),
        ((W, D, D), D),
        ((S, S, D), S),
        ((D, D, None), D),
        ((D, None, None), W),
        ((None, None, None), W),
    ],
)
@pytest.mark.parametrize("leaving", [False, True])
def test_majority_of_probers_decides(verdicts, expected, leaving):
    clock = ManualClock(100.0)
    health = group(7, clock, ("t0",) if leaving else ())
    health.evaluate()
    clock.advance(100.0)
    for name in ("t1", "t2", "t3", "t4", "t5", "t6"):
        for prober in "abc":
            health.take_verdict(name, prober, W)
    for prober, state in zip("abc", verdicts, strict=True):
        if state is not None:
            health.take_verdict("t0", prober, state)
    health.evaluate()
    assert health.states["t0"] is (expected if expected is D or not leaving else L)


def test_verdicts_of_other_instances_do_not_count():
    health = group(3, ManualClock(100.0))
    for prober in "xyz":
        health.take_verdict("t0", prober, D)
    assert health.evaluate() == {}


@pytest.mark.parametrize(
    ("failing", "spacing_s", "silent", "expected"),
    [
        (3, 0.0, 0, {S: 3, W: 4}),
        (4, 0.0, 0, {W: 7}),
        (4, 1.0, 0, {W: 7}),
        (7, 0.0, 0, {W: 7}),
        (4, 20.0, 0, {S: 4, W: 3}),
        (6, 20.0, 0, {S: 6, W: 1}),
        (7, 20.0, 0, {S: 6, W: 1}),
        (4, 0.0, 4, {S: 4, W: 3}),
        (7, 0.0, 7, {W: 7}),
    ],
)
def test_common_failure_is_distrusted_unless_confirmed(failing, spacing_s, silent, expected):
    clock = ManualClock(100.0)
    health = group(7, clock)
    for index in range(failing):
        for prober in "abc":
            health.take_verdict(f"t{index}", prober, S)
        if index < silent:
            health.take_repeated_syns(f"t{index}", 50)
        health.evaluate()
        clock.advance(spacing_s)
    health.evaluate()
    states = list(health.states.values())
    assert {state: states.count(state) for state in set(states)} == expected
    assert health.all_failed is (failing == 7)


@pytest.mark.parametrize(("verdict", "expected"), [(W, S), (S, S), (D, D)])
def test_silence_makes_a_target_suspect_and_confirms_death(verdict, expected):
    clock = ManualClock(100.0)
    health = group(7, clock)
    health.take_verdict("t0", "a", verdict)
    health.take_starts("t0", 20)
    health.take_repeated_syns("t0", 20)
    assert health.evaluate() == {"t0": expected}
    clock.advance(60.0)
    health.take_verdict("t0", "a", W)
    assert health.evaluate() == {"t0": W}
