"""Tests of pearwell.steering.retry."""

import random

import pytest
from msgspec.structs import replace

from pearwell.clock import ManualClock
from pearwell.errors import InvariantError
from pearwell.model.membership import Member, View
from pearwell.model.placement import Generation, PlacedTarget, TargetState
from pearwell.placement.change import activate, initial, prepare
from pearwell.steering.retry import MAX_TRACKED_FLOWS, FlowProgress, RetryPolicy
from pearwell.steering.steering import Steering
from pearwell.steering.verdict import FlowEvent


def record_starts(policy, flows):
    for flow in range(flows):
        policy.record_start(flow)


@pytest.mark.parametrize(
    ("progress", "working", "moves"),
    [
        ({"retransmitted_syn": True}, ["u", "v"], True),
        ({}, ["u", "v"], False),
        ({"retransmitted_syn": True, "other_packets": True}, ["u"], False),
        ({"retransmitted_syn": True, "payload": True}, ["u"], False),
        ({"retransmitted_syn": True}, ["t", "u"], False),
        ({"retransmitted_syn": True}, [], False),
    ],
)
def test_only_an_unanswered_flow_on_a_failed_target_moves(progress, working, moves):
    policy = RetryPolicy()
    record_starts(policy, 100)
    flow = FlowProgress(1, "t", **progress)
    target = policy.reassign(flow, working)
    assert (target in working and target != "t") is moves
    if target is not None:
        policy.check_reassignment(flow, target)


def test_a_flow_never_returns_to_a_target_it_tried():
    policy = RetryPolicy()
    record_starts(policy, 1000)
    targets = ["t", "u", "v", "w", "x"]
    target, tried = "t", []
    while target is not None:
        tried.append(target)
        target = policy.reassign(FlowProgress(7, target, True), [t for t in targets if t != target])
    assert len(tried) == len(set(tried)) == 4


@pytest.mark.parametrize("seed", range(5))
def test_retries_stay_within_a_tenth_of_starts(seed):
    rng, policy = random.Random(seed), RetryPolicy()
    starts = retries = 0
    for flow in range(MAX_TRACKED_FLOWS * 3):
        policy.record_start(flow)
        starts += 1
        if rng.random() < 0.5:
            retries += policy.reassign(FlowProgress(flow, "t", True), ["u"]) is not None
    assert 0.09 * starts <= retries <= 0.1 * starts


@pytest.mark.parametrize("progress", [{"payload": True}, {"other_packets": True}])
def test_moving_an_established_flow_violates_an_invariant(progress):
    with pytest.raises(InvariantError):
        RetryPolicy.check_reassignment(FlowProgress(1, "t", **progress), "u")


@pytest.mark.parametrize(
    ("tracked", "progressed", "unanswered"),
    [(True, False, True), (True, True, False), (False, False, False)],
)
def test_only_a_flow_with_nothing_but_its_syn_is_unanswered(tracked, progressed, unanswered):
    policy = RetryPolicy()
    if tracked:
        policy.record_start(7)
    if progressed:
        policy.record_progress(7)
    assert policy.progress(7, "t").unanswered is unanswered


def make_steering_with_suspect_target(clock):
    """Returns the steering core of a single instance while t0 is suspect and gets no new flows."""
    steering = Steering(
        "i0", "z", NullTransport(), clock, random.Random(1), publish=lambda message: None
    )
    steering.apply_view(View((Member("i0", "127.0.0.1", 1, 2),)))
    targets = tuple(PlacedTarget(f"t{i}", f"10.0.0.{i}", 6080, 100) for i in range(4))
    placement = initial("g", "z", targets, 0, Generation(1))
    steering.apply_placement(placement)
    suspect = (replace(targets[0], state=TargetState.SUSPECT), *targets[1:])
    placement = prepare(placement, suspect, Generation(2))
    steering.apply_placement(placement)
    steering.apply_placement(activate(placement, Generation(3)))
    return steering


class NullTransport:
    """Discards all messages."""

    def send(self, to, message):
        pass


@pytest.mark.parametrize(
    ("later_events", "within_budget", "moves"),
    [((), True, True), ((FlowEvent.NONE,), True, False), ((), False, False)],
)
def test_owner_moves_only_unanswered_flows_within_the_budget(later_events, within_budget, moves):
    clock = ManualClock(100.0)
    steering = make_steering_with_suspect_target(clock)
    table = steering.table("g")
    hashes = [b for b in sorted(table.moving) if table.placement.base[b] == 0]
    for flow_hash in hashes[: 30 if within_budget else 5]:
        verdict = steering.decide(table, flow_hash, FlowEvent.START)
        assert verdict.target == "t0"
    for event in later_events:
        steering.decide(table, hashes[0], event)
    clock.advance(2.0)
    verdict = steering.decide(table, hashes[0], FlowEvent.START)
    assert (verdict.target != "t0") is moves
    after = steering.decide(table, hashes[0], FlowEvent.NONE)
    assert after.target == verdict.target
