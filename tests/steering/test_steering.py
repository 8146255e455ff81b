"""Tests of pearwell.steering.steering, with one instance and with several."""

import random

import pytest

from pearwell.agreement.transport import MemoryNetwork
from pearwell.clock import ManualClock
from pearwell.errors import Code, InvariantError
from pearwell.messages import BucketsClear
from pearwell.model.configuration import Configuration
from pearwell.model.membership import Member, View
from pearwell.model.placement import Generation, PlacedTarget
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.placement.change import activate, fail, initial, prepare, release
from pearwell.steering.invariants import Invariant, Invariants
from pearwell.steering.steered_group import SYN_RETRANSMISSION_S
from pearwell.steering.steering import DROP_STARTS_S, ISOLATION_DELAY_S, Steering
from pearwell.steering.verdict import Action, FlowEvent

START, NONE, END = FlowEvent.START, FlowEvent.NONE, FlowEvent.END
RESET, DATAGRAM = FlowEvent.RESET, FlowEvent.DATAGRAM
IDLE_S = 5.0
GRACE_OVER_S = SYN_RETRANSMISSION_S + 0.1


def targets(count):
    return tuple(PlacedTarget(f"t{n}", f"127.9.1.{n + 1}", 6080, 100) for n in range(count))


class Cluster:
    """Several instances with equal views and placements."""

    def __init__(self, count):
        self.clock = ManualClock(100.0)
        self.network = MemoryNetwork(self.clock)
        self.cores = {}
        self.clear_messages = []
        self.members = tuple(Member(f"i{n}", f"127.9.0.{n + 1}", 6081, 0) for n in range(count))
        for member in self.members:
            self._start(member.instance)
        self.placement = initial("g", "z", targets(3), 0, Generation(1, "p"))
        self.publish_placement(self.placement)
        for core in self.cores.values():
            core.apply_view(View(self.members, 1))
        self.run(2.0)

    def _start(self, name):
        def receive(sender, message):
            self.cores[name].handle(sender, message)

        transport = self.network.attach(name, receive)
        core = Steering(
            name,
            "z",
            transport,
            self.clock,
            random.Random(1),
            publish=self.clear_messages.append,
            invariants=Invariants(raising=True),
        )
        service = ServiceSpec("s", "127.9.9.9", 443, TransportProtocol.TCP, "g", IDLE_S)
        core.configure(Configuration({"s": service}))
        self.cores[name] = core

    def publish_placement(self, placement):
        self.placement = placement
        for core in self.cores.values():
            core.apply_placement(placement)

    def step(self, change, *arguments):
        counter = self.placement.generation.counter + 1
        self.publish_placement(change(self.placement, *arguments, Generation(counter, "p")))

    def run(self, seconds):
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.network.run_until(min(self.clock.now() + 0.25, end))
            for core in self.cores.values():
                core.renew_view(self.clock.now())
                core.tick()

    def activate_fourth_target(self):
        """Adds a fourth target, up to its activation; returns a hash in a split bucket."""
        self.step(prepare, targets(4))
        self.run(GRACE_OVER_S)
        self.step(activate)
        tables = zip(self.placement.base, self.placement.current, strict=True)
        return next(b for b, (base, current) in enumerate(tables) if base != current)

    def send(self, flow, event, entry="i0"):
        """Sends a packet and follows it between instances; returns the verdict and the instance."""
        by_address = {member.address: member.instance for member in self.members}
        name, from_peer = entry, False
        for _ in range(20):
            core = self.cores[name]
            core.check_lease()
            verdict = core.decide(core.table("g"), flow, event, from_peer=from_peer)
            if verdict.action is not Action.PASS:
                return verdict, name
            name, from_peer = by_address[verdict.address[0]], True
            self.network.run_until(self.clock.now() + 0.0005)
        raise AssertionError("the packet was passed between instances in a loop")

    def target(self, flow, event, entry="i0"):
        return self.send(flow, event, entry)[0].target

    def base(self, bucket):
        return self.placement.targets[self.placement.base[bucket]].name


@pytest.fixture(params=[1, 4])
def cluster(request):
    return Cluster(request.param)


def test_stable_buckets_are_decided_locally_without_records(cluster):
    for flow in range(300):
        verdict, name = cluster.send(flow, START)
        assert name == "i0"
        assert verdict.target == cluster.base(flow)
    assert cluster.cores["i0"].records == 0


def test_unrecorded_flows_go_to_the_base_target_and_starts_to_the_new_target(cluster):
    flow = cluster.activate_fourth_target()
    old = flow + 4096
    assert cluster.target(old, NONE) == cluster.base(flow)
    assert cluster.target(flow, START) == "t3"
    for entry in cluster.cores:
        assert cluster.target(flow, NONE, entry) == "t3"
        assert cluster.target(flow, START, entry) == "t3"
        assert cluster.target(old, START, entry) == cluster.base(flow)


def test_a_start_soon_after_the_preparation_may_be_a_retransmitted_syn(cluster):
    cluster.step(prepare, targets(4))
    cluster.step(activate)
    tables = zip(cluster.placement.base, cluster.placement.current, strict=True)
    flow = next(b for b, (base, current) in enumerate(tables) if base != current)
    assert cluster.target(flow, START) == cluster.base(flow)
    cluster.run(GRACE_OVER_S)
    assert cluster.target(flow, NONE) == cluster.base(flow)
    assert cluster.target(flow + 4096, START) == "t3"


@pytest.mark.parametrize("end_event", [END, RESET])
def test_a_start_after_the_end_of_a_flow_is_a_new_flow(cluster, end_event):
    flow = cluster.activate_fourth_target()
    assert cluster.target(flow, end_event) == cluster.base(flow)
    cluster.send(flow, START)
    cluster.run(0.6)
    assert cluster.target(flow, START) == "t3"


def test_datagram_flows_are_learned_before_unknown_ones_count_as_new(cluster):
    cluster.step(prepare, targets(4))
    cluster.step(activate)
    tables = zip(cluster.placement.base, cluster.placement.current, strict=True)
    flow = next(b for b, (base, current) in enumerate(tables) if base != current)
    assert cluster.target(flow, DATAGRAM) == cluster.base(flow)
    cluster.run(2.1)
    assert cluster.target(flow, DATAGRAM) == cluster.base(flow)
    assert cluster.target(flow + 4096, DATAGRAM) == "t3"


def test_buckets_are_cleared_once_every_flow_on_another_target_ended(cluster):
    flow = cluster.activate_fourth_target()
    cluster.run(1.0)
    cluster.send(flow, NONE)
    for _ in range(2 * int(IDLE_S)):
        cluster.run(1.0)
        cluster.send(flow, NONE)
    cleared = {b for message in cluster.clear_messages for b in message.buckets}
    assert cleared
    assert flow not in cleared
    assert all(isinstance(message, BucketsClear) for message in cluster.clear_messages)
    cluster.send(flow, END)
    cluster.run(2 * IDLE_S + 4.0)
    latest = cluster.clear_messages[-1]
    assert latest.generation == cluster.placement.generation.counter
    assert flow in {b for message in cluster.clear_messages for b in message.buckets}
    cluster.step(release, range(1024))
    assert sum(core.records for core in cluster.cores.values()) == 0
    assert cluster.target(flow, NONE) == "t3"


def test_flows_of_a_dead_target_are_refused_and_new_ones_move_immediately(cluster):
    cluster.step(fail, "t1")
    flow = next(b for b, index in enumerate(cluster.placement.base) if index == 1)
    verdict, _ = cluster.send(flow, NONE)
    assert (verdict.action, verdict.code) == (Action.REFUSE, Code.TARGET_DEAD)
    assert cluster.target(flow, START) in ("t0", "t2")


def test_a_start_reaches_its_target_only_after_the_backup_has_the_record():
    cluster = Cluster(4)
    flow = cluster.activate_fourth_target()
    _, name = cluster.send(flow, START)
    holders = [core for core in cluster.cores.values() if core.records]
    assert len(holders) == 2
    assert cluster.cores[name] in holders


def test_a_start_on_a_target_that_only_the_backup_knows_dead_is_dropped_not_refused():
    cluster = Cluster(4)
    flow = cluster.activate_fourth_target()
    verdict, backup = cluster.send(flow, START)
    counter = cluster.placement.generation.counter + 1
    failed = fail(cluster.placement, verdict.target, Generation(counter, "p"))
    core = cluster.cores[backup]
    core.apply_placement(failed)
    assert core.decide(core.table("g"), flow, START, from_peer=True).action is Action.DROP
    cluster.publish_placement(failed)
    cluster.send(flow, START)
    cluster.run(0.6)
    assert cluster.target(flow, START) in ("t0", "t1", "t2")


def test_a_paused_owner_decides_nothing_before_its_view_is_renewed():
    cluster = Cluster(4)
    flow = cluster.activate_fourth_target()
    _, serving = cluster.send(flow, NONE)
    core = cluster.cores[serving]
    cluster.clock.advance(10.0)
    core.check_lease()
    assert core.lapsed
    assert set(core.table("g").slots) == {None}
    assert core.decide(core.table("g"), flow, START).action is Action.DROP
    assert core.decide(core.table("g"), flow, NONE).action is Action.PASS
    assert core.decide(core.table("g"), flow, NONE, from_peer=True).action is Action.DROP
    cluster.run(1.0)
    assert not core.lapsed
    assert cluster.target(flow, NONE, serving) == cluster.base(flow)


def test_membership_alone_does_not_renew_the_lease_after_a_missed_placement():
    cluster = Cluster(4)
    lagging = cluster.cores["i0"]
    counter = cluster.placement.generation.counter
    newer = prepare(cluster.placement, targets(4), Generation(counter + 1, "p"))
    for name in ("i1", "i2", "i3"):
        cluster.cores[name].apply_placement(newer)
    cluster.run(1.5)
    assert lagging.lapsed
    lagging.apply_placement(newer)
    cluster.run(0.5)
    assert not lagging.lapsed


def test_an_isolated_instance_serves_from_local_state():
    cluster = Cluster(4)
    isolated = cluster.cores["i0"]
    for name in ("i1", "i2", "i3"):
        cluster.network.detach(name)
        del cluster.cores[name]
    cluster.run(1.5)
    assert isolated.lapsed
    cluster.run(ISOLATION_DELAY_S + DROP_STARTS_S)
    assert not isolated.lapsed
    assert cluster.target(5, START) == cluster.base(5)


@pytest.mark.parametrize("raising", [False, True])
def test_a_base_that_changes_to_another_than_the_current_target_violates_an_invariant(raising):
    invariants = Invariants(raising)
    before = initial("g", "z", targets(4), 0, Generation(1, "p"))
    after = initial("g", "z", targets(3), 0, Generation(2, "p"))
    if raising:
        with pytest.raises(InvariantError):
            invariants.check_transitions(before, after)
    else:
        invariants.check_transitions(before, after)
        assert invariants.violations[Invariant.BASE_PROVEN] > 0
