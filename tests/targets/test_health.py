"""Tests of pearwell.targets.health."""

import pytest

from pearwell.clock import ManualClock
from pearwell.model.group import TargetIntent, TargetSpec
from pearwell.model.placement import TargetState
from pearwell.targets.health import VERDICT_LIFETIME_S, GroupHealth

W, S, L, D = TargetState.WORKING, TargetState.SUSPECT, TargetState.LEAVING, TargetState.DEAD


def make_health(count, clock, leaving=()):
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
            health.record_verdict(name, prober, W)
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
    health = make_health(7, clock, ("t0",) if leaving else ())
    health.evaluate()
    clock.advance(VERDICT_LIFETIME_S + 1.0)
    for name in ("t1", "t2", "t3", "t4", "t5", "t6"):
        for prober in "abc":
            health.record_verdict(name, prober, W)
    for prober, state in zip("abc", verdicts, strict=True):
        if state is not None:
            health.record_verdict("t0", prober, state)
    health.evaluate()
    assert health.states["t0"] is (expected if expected is D or not leaving else L)


def test_verdicts_of_other_instances_do_not_count():
    health = make_health(3, ManualClock(100.0))
    for prober in "xyz":
        health.record_verdict("t0", prober, D)
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
def test_correlated_failure_is_distrusted_unless_confirmed(failing, spacing_s, silent, expected):
    clock = ManualClock(100.0)
    health = make_health(7, clock)
    for index in range(failing):
        for prober in "abc":
            health.record_verdict(f"t{index}", prober, S)
        if index < silent:
            health.record_silence(f"t{index}", 1000.0)
        health.evaluate()
        clock.advance(spacing_s)
    health.evaluate()
    states = list(health.states.values())
    assert {state: states.count(state) for state in set(states)} == expected
    assert health.all_failed is (failing == 7)


@pytest.mark.parametrize(("verdict", "expected"), [(W, S), (S, S), (D, D)])
def test_silence_marks_a_target_suspect_and_confirms_that_it_is_dead(verdict, expected):
    clock = ManualClock(100.0)
    health = make_health(7, clock)
    health.record_verdict("t0", "a", verdict)
    health.record_silence("t0", 10.0)
    assert health.evaluate() == {"t0": expected}
    clock.advance(60.0)
    health.record_verdict("t0", "a", W)
    assert health.evaluate() == {"t0": W}


@pytest.mark.parametrize(("may_spill", "expected"), [(False, W), (True, S)])
def test_failure_of_all_is_trusted_where_flows_may_spill_over(may_spill, expected):
    health = GroupHealth(ManualClock(100.0), may_spill)
    health.set_targets([TargetSpec("t0", "10.0.0.1", "z"), TargetSpec("t1", "10.0.0.2", "z")])
    for target in ("t0", "t1"):
        for prober in "abc":
            health.record_verdict(target, prober, S)
    health.evaluate()
    assert set(health.states.values()) == {expected}


@pytest.mark.parametrize(
    ("deadline_s", "after_s", "expected"),
    [(0.0, 1e6, L), (30.0, 29.0, L), (30.0, 30.0, D)],
)
def test_flows_of_a_leaving_target_are_reset_at_its_deadline(deadline_s, after_s, expected):
    clock = ManualClock(100.0)
    health = GroupHealth(clock)
    leaving = TargetSpec(
        "t0", "10.0.0.1", "z", intent=TargetIntent.LEAVING, drain_deadline_s=deadline_s
    )
    health.set_targets([leaving, TargetSpec("t1", "10.0.0.2", "z")])
    health.evaluate()
    clock.advance(after_s)
    health.evaluate()
    assert health.states["t0"] is expected
    health.set_targets([TargetSpec("t0", "10.0.0.1", "z"), TargetSpec("t1", "10.0.0.2", "z")])
    health.evaluate()
    assert health.states["t0"] is W
