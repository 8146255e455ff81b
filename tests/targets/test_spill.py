"""Tests of pearwell.targets.spill."""

import pytest

from pearwell.clock import ManualClock
from pearwell.model.group import GroupSpec, TargetIntent, TargetSpec
from pearwell.model.placement import TargetState
from pearwell.targets.spill import SpillOver, candidate_targets

GROUP = GroupSpec(
    "g",
    (
        TargetSpec("a1", "10.0.0.1", "a"),
        TargetSpec("a2", "10.0.0.2", "a", intent=TargetIntent.LEAVING),
        TargetSpec("b1", "10.0.0.3", "b"),
        TargetSpec("c1", "10.0.0.4", "c"),
        TargetSpec("d1", "10.0.0.5", "d"),
    ),
)


@pytest.mark.parametrize(
    ("zones", "failed", "expected"),
    [
        ((), "", "a1"),
        ((), "a1", ""),
        (("b", "c"), "", "a1"),
        (("b", "c"), "a1", "b1"),
        (("c", "b"), "a1", "c1"),
        (("b", "c"), "a1 b1", "c1"),
        (("b", "c"), "a1 b1 c1", ""),
    ],
)
def test_new_flows_spill_only_to_named_zones_in_order(zones, failed, expected):
    clock = ManualClock()
    spill = SpillOver("a", zones, clock)
    states = dict.fromkeys(failed.split(), TargetState.DEAD)
    spill.choose(GROUP, states)
    clock.advance(2.0)
    assert [target.name for target in spill.choose(GROUP, states)] == expected.split()


def test_short_failures_and_recoveries_do_not_change_the_selection():
    clock = ManualClock()
    spill = SpillOver("a", ("b",), clock)
    chosen = []
    for failed in [True] + [False] + [True] * 4 + [False] * 5 + [True] + [False] * 17:
        states = {"a1": TargetState.SUSPECT} if failed else {}
        chosen.append("".join(t.name for t in spill.choose(GROUP, states)))
        clock.advance(1.0)
    assert chosen == ["", "a1", "", ""] + ["b1"] * 23 + ["a1", "a1"]


def test_candidate_targets_are_those_of_the_zone_and_its_spill_zones():
    assert [t.name for t in candidate_targets(GROUP, "a", ("c",))] == ["a1", "a2", "c1"]
