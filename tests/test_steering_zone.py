"""Tests real steering cores in virtual time with faults at each step of a placement change."""

import logging
import random
from functools import partial

import pytest
import structlog
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from bench.steering_schemes import FlowTable, Pearwell, Stateless
from bench.steering_zone import FlowPlan, Zone
from pearwell.model.placement import Phase

IDLE_TIMEOUT_S = 2.0
TARGETS = [f"t{number:02}" for number in range(6)]
SCHEME = partial(Pearwell, idle_timeout_s=IDLE_TIMEOUT_S)


@pytest.fixture(autouse=True, scope="module")
def _silence_logs():
    previous_config = structlog.get_config()
    level = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=level)
    yield
    structlog.configure(**previous_config)


def build_zone(seed, flows=70, scheme=SCHEME, raising=True, last_s=9.5):
    zone = Zone(seed, 5, 3, scheme, raising=raising)
    zone.open_flows(flows, FlowPlan(last_s=last_s, max_life_s=4.5, interval_s=0.4))
    return zone


def run_until_idle(zone, until):
    """Runs until the zone is idle; checks that no flow broke and no flow record remains."""
    while zone.now < until and not is_idle(zone):
        zone.run_until(zone.now + 1.0)
    assert zone.broken == 0
    assert zone.invariants.violations == {}
    assert is_idle(zone)


def is_idle(zone):
    return (
        all(flow.finished for flow in zone.flows)
        and zone.planner.placement.phase is Phase.STABLE
        and sum(node.scheme.steering.records for node in zone.live) == 0
    )


def instance_with_most_records(zone):
    """Returns the running instance that holds the most flow records."""
    nodes = [node for node in zone.live if not node.paused and node.in_fabric]
    return max(nodes, key=lambda node: (node.scheme.steering.records, node.name)).name


def run_once_when(zone, condition, action):
    """Runs an action once, as soon as a condition holds."""
    if condition():
        action()
    else:
        zone.call_at(zone.now + 0.02, lambda: run_once_when(zone, condition, action))


def all_hold_phase(zone, phase):
    placement = zone.planner.placement
    return placement.phase is phase and zone.all_have_applied(placement.generation)


def new_instance_serves_shards(zone):
    return any(n.name == "i006" and n.scheme.steering.shards_served for n in zone.live)


STEPS = {
    "prepare sent": lambda zone: zone.planner.placement.phase is Phase.PREPARED,
    "prepare acknowledged": lambda zone: all_hold_phase(zone, Phase.PREPARED),
    "activated": lambda zone: zone.planner.placement.phase is Phase.ACTIVE,
    "instance joined": lambda zone: "i006" in zone.instances,
    "records pulled": new_instance_serves_shards,
    "first release": lambda zone: zone.planner.placement.generation.counter > 3,
    "planner replaced": lambda zone: zone.planner.placement.phase is Phase.PREPARED,
}


def inject_message_faults(zone, choose_delays):
    rng = random.Random(5)
    zone.delivery = lambda sender, to: choose_delays(rng)
    zone.call_at(zone.now + 3.0, lambda: setattr(zone, "delivery", None))


def diverge_views(zone):
    """Starts one instance and stops another; members learn of it at different times."""
    zone.join()
    zone.stop("i001")


FAULTS = {
    "instance crashes": lambda zone: zone.crash(instance_with_most_records(zone)),
    "instance joins": lambda zone: zone.join(),
    "instance pauses": lambda zone: zone.pause(instance_with_most_records(zone), 4.0),
    "instance pauses briefly": lambda zone: zone.pause(instance_with_most_records(zone), 1.2),
    "messages lost": lambda zone: inject_message_faults(
        zone, lambda r: () if r.random() < 0.3 else (0.001,)
    ),
    "messages delayed": lambda zone: inject_message_faults(zone, lambda r: (0.4,)),
    "messages duplicated": lambda zone: inject_message_faults(
        zone, lambda r: (0.001, r.uniform(0, 0.5))
    ),
    "messages reordered": lambda zone: inject_message_faults(
        zone, lambda r: (r.uniform(0.001, 0.3),)
    ),
    "target crashes": lambda zone: zone.kill_target("t01"),
    "second change": lambda zone: zone.planner.set_targets("t00", "t02", "t04"),
    "views diverge": diverge_views,
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
def test_no_flow_breaks_with_each_fault_at_each_step(step, fault):
    zone = build_zone(seed=7)
    zone.call_at(3.0, lambda: zone.planner.set_targets(*TARGETS[:4]))
    zone.call_at(5.0, zone.join)
    if step == "planner replaced":
        zone.call_at(3.1, zone.planner.restart)
    fault_times = []

    def inject_fault():
        fault_times.append(zone.now)
        FAULTS[fault](zone)

    zone.call_at(3.0, lambda: run_once_when(zone, lambda: STEPS[step](zone), inject_fault))
    run_until_idle(zone, 40.0)
    assert fault_times


@pytest.mark.parametrize("seed", range(2))
def test_no_flow_breaks_with_random_changes_and_faults(seed):
    zone = build_zone(seed, flows=150, last_s=25.0)
    rng = random.Random(seed)
    for number in range(8):
        names = sorted(rng.sample(TARGETS, rng.randint(2, 5)))
        zone.call_at(rng.uniform(2.0, 25.0), partial(zone.planner.set_targets, *names))
        if number < 3:
            fault = rng.choice(["instance crashes", "instance pauses", "views diverge"])
            zone.call_at(3.0 + 8.0 * number, partial(FAULTS[fault], zone))
            zone.call_at(3.5 + 8.0 * number, zone.join)
    run_until_idle(zone, 70.0)


@pytest.mark.parametrize("scheme", [Stateless, FlowTable])
def test_baseline_schemes_break_flows(scheme):
    zone = build_zone(seed=1, scheme=scheme, raising=False)
    zone.call_at(6.0, lambda: zone.planner.set_targets(*TARGETS[:4]))
    zone.run_until(30.0)
    assert zone.broken > 0


def test_no_flow_records_and_no_extra_hops_without_a_change():
    zone = build_zone(seed=2)
    zone.run_until(1.0)
    zone.passed_to_peer = 0
    run_until_idle(zone, 25.0)
    assert zone.state_bytes_peak == 0
    assert zone.passed_to_peer == 0


def test_partitioned_instance_keeps_serving_its_flows():
    zone = build_zone(seed=3)
    zone.call_at(4.0, lambda: zone.isolate("i002", 8.0))
    run_until_idle(zone, 30.0)


def test_loss_of_both_owners_breaks_only_recorded_flows_and_is_counted():
    zone = build_zone(seed=4, flows=300, raising=False)
    zone.call_at(3.0, lambda: zone.planner.set_targets(*TARGETS[:4]))

    def crash_two():
        zone.crash("i001")
        zone.crash("i002")

    zone.call_at(7.0, crash_two)
    zone.run_until(40.0)
    orphaned = sum(n.scheme.steering.counts.get("buckets_orphaned", 0) for n in zone.live)
    assert orphaned > 0
    assert all("t03" in flow.failure for flow in zone.flows if flow.failure)


class ZoneMachine(RuleBasedStateMachine):
    """Runs random sequences of changes and single faults."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        self.zone = build_zone(seed, flows=100, last_s=30.0)
        self.recovered_at = 2.0

    @property
    def recovered(self):
        return self.zone.now >= self.recovered_at

    def inject_fault(self, fault):
        FAULTS[fault](self.zone)
        self.recovered_at = self.zone.now + 6.0

    @rule(names=st.sets(st.sampled_from(TARGETS), min_size=1))
    def change_targets(self, names):
        self.zone.planner.set_targets(*sorted(names))

    @rule(weight=st.integers(10, 300))
    def change_weight(self, weight):
        self.zone.planner.set_weight(next(iter(self.zone.planner.desired_targets)), weight)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def wait(self, seconds):
        self.zone.run_until(self.zone.now + seconds)

    @rule()
    def join(self):
        if len(self.zone.live) < 8:
            self.zone.join()

    @rule()
    def replace_planner(self):
        self.zone.planner.restart()

    @precondition(lambda self: self.recovered)
    @rule(fault=st.sampled_from(["instance crashes", "instance pauses", "messages lost"]))
    def fail(self, fault):
        if len([node for node in self.zone.live if node.in_fabric]) > 3:
            self.inject_fault(fault)

    def teardown(self):
        if hasattr(self, "zone"):
            run_until_idle(self.zone, self.zone.now + 60.0)


TestZoneMachine = ZoneMachine.TestCase
TestZoneMachine.settings = settings(
    derandomize=True, max_examples=5, stateful_step_count=20, deadline=None
)
