"""Tests of pearwell.retry."""

import random

import pytest

from pearwell.errors import InvariantError
from pearwell.retry import MAX_TRACKED_FLOWS, FlowProgress, RetryRule


@pytest.mark.parametrize(
    ("progress", "working", "moves"),
    [
        ({"repeated_syn": True}, ["u", "v"], True),
        ({}, ["u", "v"], False),
        ({"repeated_syn": True, "other_packets": True}, ["u"], False),
        ({"repeated_syn": True, "payload": True}, ["u"], False),
        ({"repeated_syn": True}, ["t", "u"], False),
        ({"repeated_syn": True}, [], False),
    ],
)
def test_only_an_unanswered_flow_on_a_failed_target_moves(progress, working, moves):
    rule = RetryRule()
    rule.started(100)
    flow = FlowProgress(1, "t", **progress)
    target = rule.reassign(flow, working)
    assert (target in working and target != "t") is moves
    if target is not None:
        rule.check_move(flow, target)


def test_a_flow_never_returns_to_a_target_it_tried():
    rule = RetryRule()
    rule.started(1000)
    targets = ["t", "u", "v", "w", "x"]
    at, tried = "t", []
    while at is not None:
        tried.append(at)
        at = rule.reassign(FlowProgress(7, at, True), [t for t in targets if t != at])
    assert len(tried) == len(set(tried)) == 4


@pytest.mark.parametrize("seed", range(5))
def test_retries_stay_within_a_tenth_of_starts(seed):
    rng, rule = random.Random(seed), RetryRule()
    starts = retries = 0
    for flow in range(MAX_TRACKED_FLOWS * 3):
        rule.started()
        starts += 1
        if rng.random() < 0.5:
            retries += rule.reassign(FlowProgress(flow, "t", True), ["u"]) is not None
    assert 0.09 * starts <= retries <= 0.1 * starts


@pytest.mark.parametrize("seen", [{"payload": True}, {"other_packets": True}])
def test_moving_an_established_flow_is_a_defect(seen):
    with pytest.raises(InvariantError):
        RetryRule.check_move(FlowProgress(1, "t", **seen), "u")
