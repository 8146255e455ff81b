"""Tests of pearwell.targets.admission and pearwell.targets.rate_limit."""

import random
from dataclasses import replace

import pytest

from pearwell.agreement.rendezvous import rank
from pearwell.clock import ManualClock
from pearwell.errors import Code, InvariantError
from pearwell.model.configuration import Configuration
from pearwell.model.group import GroupSpec, TargetIntent, TargetSpec
from pearwell.model.service import FlowLimits, ServiceSpec, TransportProtocol
from pearwell.targets.admission import Admission
from pearwell.targets.rate_limit import DECISIONS_PER_GENERATION, RecentDecisions

GROUP = GroupSpec("g", tuple(TargetSpec(f"t{i}", f"10.0.0.{i}", "z") for i in range(7)))


def make_admission(limits, clock, seed=1, live=1):
    service = ServiceSpec("s", "192.0.2.1", 80, TransportProtocol.TCP, "g", limits=limits)
    admission = Admission(clock, random.Random(seed))
    admission.set_live_instances(live)
    admission.configure(Configuration(services={"s": service}, groups={"g": GROUP}))
    return admission


def offer_flows(admission, clock, rng, count, seconds, prefix=b"p", target=None):
    """Offers new flows at a constant rate and returns the decisions."""
    decisions = []
    for _ in range(count):
        clock.advance(seconds / count)
        name = target or f"t{rng.randrange(7)}"
        decisions.append(admission.admit("s", prefix, name, rng.getrandbits(64)))
    return decisions


@pytest.mark.parametrize(
    ("limits", "refusal"),
    [
        (FlowLimits(new_flows_per_s=100), Code.REFUSED_SERVICE_RATE),
        (FlowLimits(prefix_new_flows_per_s=100), Code.REFUSED_PREFIX_RATE),
        (FlowLimits(target_new_flows_per_s=100), Code.REFUSED_TARGET_RATE),
    ],
)
@pytest.mark.parametrize("load", [1, 2, 5, 10])
def test_accepted_rate_holds_at_any_load(limits, refusal, load):
    clock, rng = ManualClock(), random.Random(load)
    admission = make_admission(limits, clock)
    offer_flows(admission, clock, rng, 100 * load * 5, 5.0, target="t0")
    decisions = offer_flows(admission, clock, rng, 100 * load * 20, 20.0, target="t0")
    assert set(decisions) <= {Code.OK, refusal}
    assert 0.95 * 2000 <= decisions.count(Code.OK) <= 1.05 * 2000


@pytest.mark.parametrize(
    ("limits", "refusal"),
    [
        (FlowLimits(open_flows=50), Code.REFUSED_SERVICE_OPEN_FLOWS),
        (FlowLimits(target_open_flows=50), Code.REFUSED_TARGET_OPEN_FLOWS),
    ],
)
@pytest.mark.parametrize(("reported", "ends", "admitted"), [(0, 0, 50), (30, 0, 20), (90, 0, 0)])
def test_open_flows_are_limited_and_corrected_by_reports(limits, refusal, reported, ends, admitted):
    clock, rng = ManualClock(), random.Random(3)
    admission = make_admission(limits, clock)
    offer_flows(admission, clock, rng, 500, 1.0, target="t0")
    admission.update_open_flows("s", {"t0": reported})
    decisions = offer_flows(admission, clock, rng, 500, 1.0, target="t0")
    assert decisions.count(Code.OK) == pytest.approx(admitted, abs=1)
    assert decisions.count(refusal) == 500 - decisions.count(Code.OK)
    for _ in range(10):
        admission.ended("s", "t0")
    room = offer_flows(admission, clock, rng, 100, 1.0, target="t0").count(Code.OK)
    assert room == pytest.approx(max(0, 10 + min(0, 50 - reported)), abs=1)


def test_flood_from_one_prefix_does_not_affect_other_prefixes():
    clock, rng = ManualClock(), random.Random(4)
    admission = make_admission(FlowLimits(new_flows_per_s=100, prefix_new_flows_per_s=20), clock)
    accepted = {b"flood": 0, b"good1": 0, b"good2": 0, b"good3": 0}
    for _ in range(20_000):
        clock.advance(0.001)
        for prefix in (b"flood", *(p for p in accepted if p != b"flood" and rng.random() < 0.015)):
            decision = admission.admit("s", prefix, "t0", rng.getrandbits(64))
            accepted[prefix] += decision is Code.OK
    assert accepted[b"flood"] <= 1.1 * 20 * 20
    assert min(accepted[p] for p in accepted if p != b"flood") >= 0.9 * 15 * 20


def test_unlimited_service_refuses_only_flows_without_target():
    admission = make_admission(FlowLimits(), ManualClock())
    assert not admission.limited("s")
    assert admission.admit("s", b"p", "t0", 1) is Code.OK
    assert admission.admit("s", b"p", "", 1) is Code.REFUSED_NO_TARGET


def zone_decisions(by_owner, seed):
    """Offers 5x load with retransmitted SYNs to nine instances.

    Returns:
        The number of retransmissions and how many of them got a different decision.
    """
    clock, rng = ManualClock(), random.Random(seed)
    names = [f"i{i}" for i in range(9)]
    zone = {
        n: make_admission(FlowLimits(new_flows_per_s=900), clock, i, 9) for i, n in enumerate(names)
    }
    pending, retransmissions, changed = [], 0, 0
    for step in range(45_000):
        clock.advance(1 / 4500)
        flow = rng.getrandbits(64)
        chosen = rank(f"{flow & 1023}", names, 1)[0] if by_owner else rng.choice(names)
        decision = zone[chosen].admit("s", b"p", f"t{flow % 7}", flow)
        if step > 20_000 and rng.random() < 0.1:
            pending.append((clock.now() + 1.0, flow, chosen, decision))
        while pending and pending[0][0] <= clock.now():
            _, flow, first, decision = pending.pop(0)
            other = first if by_owner else rng.choice(names)
            retransmissions += 1
            changed += zone[other].admit("s", b"p", f"t{flow % 7}", flow) is not decision
    return retransmissions, changed


@pytest.mark.parametrize(("by_owner", "max_changed_fraction"), [(True, 0.0), (False, 0.1)])
def test_retransmitted_syn_gets_the_same_decision(by_owner, max_changed_fraction):
    retransmissions, changed = zone_decisions(by_owner, seed=5)
    assert retransmissions > 1000
    assert changed <= max_changed_fraction * retransmissions


def test_no_packet_of_a_refused_flow_may_be_forwarded():
    clock, rng = ManualClock(), random.Random(6)
    admission = make_admission(FlowLimits(new_flows_per_s=10), clock)
    flows = [rng.getrandbits(64) for _ in range(200)]
    decisions = {flow: admission.admit("s", b"p", "t0", flow) for flow in flows}
    assert set(decisions.values()) == {Code.OK, Code.REFUSED_SERVICE_RATE}
    for flow, decision in decisions.items():
        if decision is Code.OK:
            admission.check_forwarded("s", flow)
        else:
            with pytest.raises(InvariantError):
                admission.check_forwarded("s", flow)


def test_memory_is_bounded_in_a_flood():
    decisions = RecentDecisions()
    for flow in range(10 * DECISIONS_PER_GENERATION):
        decisions.store(flow, Code.REFUSED_SERVICE_RATE, 0.0)
        if flow == 0:
            decisions.store(1 << 63, Code.OK, 0.0)
    assert len(decisions) <= 2 * DECISIONS_PER_GENERATION + 1
    assert decisions.find(1 << 63, 1.0) is Code.OK


def test_unchanged_limits_keep_their_state_across_configurations():
    clock, rng = ManualClock(), random.Random(7)
    admission = make_admission(FlowLimits(new_flows_per_s=10), clock)
    offer_flows(admission, clock, rng, 100, 0.001)
    service = ServiceSpec(
        "s", "192.0.2.1", 80, TransportProtocol.TCP, "g", limits=FlowLimits(new_flows_per_s=10)
    )
    admission.configure(Configuration(services={"s": service}, groups={"g": GROUP}))
    assert Code.OK not in offer_flows(admission, clock, rng, 10, 0.001)


@pytest.mark.parametrize("limits", [FlowLimits(), FlowLimits(new_flows_per_s=1000)])
def test_leaving_target_gets_no_new_flow_after_its_grace_period(limits):
    clock = ManualClock()
    admission = make_admission(limits, clock)
    service = ServiceSpec("s", "192.0.2.1", 80, TransportProtocol.TCP, "g", limits=limits)
    leaving = replace(GROUP.targets[0], intent=TargetIntent.LEAVING)
    group = GroupSpec("g", (leaving, *GROUP.targets[1:]))
    for _ in range(2):
        admission.configure(Configuration(services={"s": service}, groups={"g": group}))
        assert admission.limited("s")
        assert admission.admit("s", b"p", "t0", round(clock.now())) is Code.OK
        clock.advance(1.0)
    assert admission.admit("s", b"p", "t0", 10) is Code.REFUSED_NO_TARGET
    assert admission.admit("s", b"p", "t1", 11) is Code.OK
    admission.configure(Configuration(services={"s": service}, groups={"g": GROUP}))
    assert admission.admit("s", b"p", "t0", 12) is Code.OK
