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

SMALL = Profile(targets=7, slots=3, flows=40, instances=5)
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

    def limit(self):
        self.admission.configure(self.configuration)

    def choose(self, flow, instance):
        target = super().choose(flow, instance)
        code = self.admission.admit("s", b"p", target, flow.flow_hash)
        self.refused += code is not Code.OK
        return target if code is Code.OK else ""

    def started(self, flow):
        self.admission.check_forwarded("s", flow.flow_hash)
        super().started(flow)


def crash(model, name):
    model.crash(name)


def cold_start(model, name):
    if not model.targets[name].alive:
        model.restart(name)
    model.targets[name].cold_until = model.clock.now() + 60.0


def lie_healthy(model, name):
    model.targets[name].answers_syn = False


def lie_sick(model, name):
    model.targets[name].probe_outcome = ProbeOutcome.FAILING


def hang(model, name):
    model.targets[name].probe_outcome = ProbeOutcome.NO_RESPONSE


def shed(model, name):
    model.targets[name].max_flows = 20


def lag(model, name):
    model.load_lag_s = 60.0


def drain(model, name):
    model.leave(name)


def drain_and_return(model, name):
    model.leave(name)
    for _ in range(6):
        model.step()
    heal(model, name)


def join(model, name):
    index = len(model.targets)
    model.add_target(index)


def heal(model, name):
    target = model.targets[name]
    if not target.alive:
        model.restart(name)
    target.answers_syn = True
    target.probe_outcome = None
    target.max_flows = 0
    target.spec = replace(target.spec, intent=TargetIntent.SERVING)
    model._watch_targets()


STATES = {
    TargetState.WORKING: lambda model, name: None,
    TargetState.SUSPECT: lie_sick,
    TargetState.LEAVING: drain,
    TargetState.DEAD: crash,
}
FAULTS = [crash, cold_start, lie_healthy, lie_sick, hang, shed, lag, drain, drain_and_return, join]


def make(seed, scheme=None):
    policy = POLICIES[Preference.EVEN]
    return Model(SMALL, seed, TURNOVER_S, scheme or (lambda model: Pearwell(model, policy)))


def run(model, seconds):
    for _ in range(int(seconds * 2)):
        model.step()


def assert_sound(model):
    """Checks that no live flow broke, most flows are open and some target is working."""
    model.check_routes()
    assert model.broken == 0
    held = sum(len(target.flows) for target in model.targets.values())
    assert held == len(model.flows)
    assert held > 0.7 * SMALL.targets * SMALL.flows
    takers = {t.name for t in model.scheme.placement.targets if t.state is TargetState.WORKING}
    assert takers


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_fault_in_each_state_and_a_second_change(state, fault):
    model = make(seed=1)
    run(model, 10)
    STATES[state](model, "t0")
    run(model, 15)
    assert model.verdicts["t0"] is state
    fault(model, "t0")
    run(model, 1)
    drain(model, "t1")
    run(model, 1)
    join(model, "")
    run(model, 60)
    heal(model, "t0")
    heal(model, "t1")
    model.load_lag_s = 0.0
    run(model, 120)
    assert_sound(model)
    states = set(model.verdicts.values())
    assert states == {TargetState.WORKING}


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_keep_the_invariants(seed):
    rng = random.Random(seed)
    model = make(seed, LimitedPearwell)
    run(model, 10)
    model.scheme.limit()
    for _ in range(25):
        name = f"t{rng.randrange(SMALL.targets)}"
        healthy = sum(state is TargetState.WORKING for state in model.verdicts.values())
        fault = rng.choice([heal, heal, *FAULTS]) if healthy > 3 else heal
        if fault is not join or len(model.targets) < 12:
            fault(model, name)
        run(model, rng.uniform(0.5, 20.0))
    model.check_routes()
    assert model.broken == 0
    assert model.scheme.refused > 0


@pytest.mark.parametrize("fault", [lie_sick, lie_healthy, hang])
def test_lies_of_most_targets_leave_the_group_in_use(fault):
    model = make(seed=3)
    run(model, 10)
    for index in range(5):
        fault(model, f"t{index}")
    run(model, 60)
    assert model.broken == model.lost == 0
    working = sum(state is TargetState.WORKING for state in model.verdicts.values())
    assert working >= (7 if fault is not lie_healthy else 2)
