"""Fault matrix and random runs of health, weights, admission and draining on real placements.

The model of the balance bench sends flows to small simulated targets in virtual time. The code
under test raises if an invariant is violated: no packet of a refused flow is forwarded to a target,
a leaving target receives no new flows after its grace period, and weights stay within their bounds.
The model counts flows whose packets would reach a target other than their own.
"""

import random
from dataclasses import replace

import pytest

from bench.balance_model import Model, Profile
from bench.balance_schemes import Pearwell
from pearwell.errors import Code
from pearwell.model.configuration import Configuration
from pearwell.model.group import GroupSpec, TargetIntent, TargetSpec
from pearwell.model.placement import TargetState
from pearwell.model.service import FlowLimits, Preference, ServiceSpec, TransportProtocol
from pearwell.targets.admission import Admission
from pearwell.targets.probe_history import ProbeOutcome
from pearwell.targets.weights import POLICIES

SMALL_PROFILE = Profile(targets=7, slots=3, flows=40, instances=5)
TURNOVER_S = 60.0


class LimitedPearwell(Pearwell):
    """Pearwell with admission limits."""

    def __init__(self, model):
        super().__init__(model, POLICIES[Preference.EVEN])
        targets = tuple(TargetSpec(f"t{i}", f"10.0.0.{i}", "z") for i in range(12))
        limits = FlowLimits(new_flows_per_s=5, target_new_flows_per_s=2, prefix_new_flows_per_s=5)
        service = ServiceSpec("s", "192.0.2.1", 80, TransportProtocol.TCP, "g", limits=limits)
        self.admission = Admission(model.clock, random.Random(1))
        self.configuration = Configuration({"s": service}, {"g": GroupSpec("g", targets)})
        self.refused = 0

    def apply_limits(self):
        self.admission.configure(self.configuration)

    def choose(self, flow, instance):
        target = super().choose(flow, instance)
        code = self.admission.admit("s", b"p", target, flow.flow_hash)
        self.refused += code is not Code.OK
        return target if code is Code.OK else ""

    def flow_started(self, flow):
        self.admission.check_forwarded("s", flow.flow_hash)
        super().flow_started(flow)


def crash(model, name):
    model.crash(name)


def cold_start(model, name):
    if not model.targets[name].alive:
        model.restart(name)
    model.targets[name].warmup_ends_at = model.clock.now() + 60.0


def ignore_syns(model, name):
    model.targets[name].responds_to_syn = False


def fail_probes(model, name):
    model.targets[name].probe_outcome = ProbeOutcome.FAILING


def ignore_probes(model, name):
    model.targets[name].probe_outcome = ProbeOutcome.NO_RESPONSE


def refuse_flows(model, name):
    model.targets[name].max_flows = 20


def delay_load_reports(model, name):
    model.load_lag_s = 60.0


def drain(model, name):
    model.start_drain(name)


def drain_and_restore(model, name):
    model.start_drain(name)
    for _ in range(6):
        model.step()
    restore(model, name)


def add_target(model, name):
    index = len(model.targets)
    model.add_target(index)


def restore(model, name):
    target = model.targets[name]
    if not target.alive:
        model.restart(name)
    target.responds_to_syn = True
    target.probe_outcome = None
    target.max_flows = 0
    target.spec = replace(target.spec, intent=TargetIntent.SERVING)
    model._watch_targets()


ENTER_STATE = {
    TargetState.WORKING: lambda model, name: None,
    TargetState.SUSPECT: fail_probes,
    TargetState.LEAVING: drain,
    TargetState.DEAD: crash,
}
FAULTS = [
    crash,
    cold_start,
    ignore_syns,
    fail_probes,
    ignore_probes,
    refuse_flows,
    delay_load_reports,
    drain,
    drain_and_restore,
    add_target,
]


def make_model(seed, scheme=None):
    policy = POLICIES[Preference.EVEN]
    return Model(SMALL_PROFILE, seed, TURNOVER_S, scheme or (lambda model: Pearwell(model, policy)))


def run_for(model, seconds):
    for _ in range(int(seconds * 2)):
        model.step()


def assert_flows_intact(model):
    """Checks that no live flow broke, most flows are open and some target is working."""
    model.check_routes()
    assert model.broken == 0
    open_flows = sum(len(target.flows) for target in model.targets.values())
    assert open_flows == len(model.flows)
    assert open_flows > 0.7 * SMALL_PROFILE.targets * SMALL_PROFILE.flows
    working_targets = {
        t.name for t in model.scheme.placement.targets if t.state is TargetState.WORKING
    }
    assert working_targets


@pytest.mark.parametrize("state", ENTER_STATE)
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_targets_recover_from_each_fault_in_each_state_and_a_second_change(state, fault):
    model = make_model(seed=1)
    run_for(model, 10)
    ENTER_STATE[state](model, "t0")
    run_for(model, 15)
    assert model.target_states["t0"] is state
    fault(model, "t0")
    run_for(model, 1)
    drain(model, "t1")
    run_for(model, 1)
    add_target(model, "")
    run_for(model, 60)
    restore(model, "t0")
    restore(model, "t1")
    model.load_lag_s = 0.0
    run_for(model, 120)
    assert_flows_intact(model)
    states = set(model.target_states.values())
    assert states == {TargetState.WORKING}


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_keep_the_invariants(seed):
    rng = random.Random(seed)
    model = make_model(seed, LimitedPearwell)
    run_for(model, 10)
    model.scheme.apply_limits()
    for _ in range(25):
        name = f"t{rng.randrange(SMALL_PROFILE.targets)}"
        healthy = sum(state is TargetState.WORKING for state in model.target_states.values())
        fault = rng.choice([restore, restore, *FAULTS]) if healthy > 3 else restore
        if fault is not add_target or len(model.targets) < 12:
            fault(model, name)
        run_for(model, rng.uniform(0.5, 20.0))
    model.check_routes()
    assert model.broken == 0
    assert model.scheme.refused > 0


@pytest.mark.parametrize("fault", [fail_probes, ignore_syns, ignore_probes])
def test_misleading_health_of_most_targets_keeps_the_group_in_use(fault):
    model = make_model(seed=3)
    run_for(model, 10)
    for index in range(5):
        fault(model, f"t{index}")
    run_for(model, 60)
    assert model.broken == model.lost_with_target == 0
    working = sum(state is TargetState.WORKING for state in model.target_states.values())
    assert working >= (7 if fault is not ignore_syns else 2)
