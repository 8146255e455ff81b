"""Tests of pearwell.targets.balancer."""

import pytest

from pearwell.clock import ManualClock
from pearwell.kernel import Kernel
from pearwell.messages import (
    ConfigurationChanged,
    PeerMessage,
    SynsSampled,
    TargetStateChanged,
    ViewChanged,
    WeightsChanged,
)
from pearwell.messages.local import EntryAdopted
from pearwell.messages.targets import LoadReported, OpenFlowsReported
from pearwell.model.configuration import Configuration
from pearwell.model.group import GroupSpec, TargetSpec
from pearwell.model.load_report import LoadReport
from pearwell.model.membership import Member, View
from pearwell.model.placement import TargetState
from pearwell.model.service import FlowLimits, Preference, ServiceSpec, TransportProtocol
from pearwell.model.syn_sample import MAX_SAMPLED_SYNS
from pearwell.targets.balancer import Balancer
from pearwell.targets.zone_health import silence_key

NAMES = ("i0", "i1", "i2")
GROUP = GroupSpec("g", tuple(TargetSpec(f"t{i}", f"10.0.0.{i}", "a") for i in range(7)))


class SimulatedZone:
    """Three balancers with in-memory gossip and transport."""

    def __init__(self, limits=None):
        self.clock = ManualClock(100.0)
        self.entries = {}
        self.pending = []
        self.published = {name: [] for name in NAMES}
        self.balancers = {name: self.make_balancer(name) for name in NAMES}
        service = ServiceSpec(
            "s", "192.0.2.1", 80, TransportProtocol.TCP, "g",
            preference=Preference.EVEN, limits=limits or FlowLimits(),
        )  # fmt: skip
        self.configuration = Configuration(services={"s": service}, groups={"g": GROUP})

    def make_balancer(self, name):
        zone = self

        class Transport:
            def send(self, to, message):
                zone.pending.append((to, PeerMessage(name, message)))

        balancer = Balancer(name, "a", self.clock, self, Transport())
        kernel = Kernel()
        kernel.publish = self.published[name].append
        balancer._kernel = kernel
        return balancer

    def get(self, key):
        return self.entries.get(key)

    def put(self, entry):
        self.entries[entry.key] = entry
        self.pending += [(name, EntryAdopted(entry)) for name in NAMES]
        return True

    async def publish(self, message, names=NAMES):
        for name in names:
            await self.balancers[name].handle(message)

    async def start(self, live=NAMES):
        members = tuple(Member(name, "10.9.0.1", 1, 2) for name in live)
        await self.publish(ViewChanged(View(members)), live)
        await self.publish(ConfigurationChanged(self.configuration), live)

    async def run(self, seconds):
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            for balancer in self.balancers.values():
                await balancer.tick()
            while self.pending:
                to, message = self.pending.pop(0)
                await self.balancers[to].handle(message)

    @property
    def owners(self):
        return [name for name, b in self.balancers.items() if b.owned_groups]

    def last(self, kind, name):
        return [m for m in self.published[name] if isinstance(m, kind)][-1]


async def report(zone, flows):
    for sender in NAMES:
        for target, count in flows.items():
            await zone.publish(LoadReported("g", target, LoadReport(count)), (sender,))
    await zone.run(10)


EVEN_LOAD = {f"t{i}": 4300 for i in range(7)}


async def test_one_owner_sets_the_weights_of_all_instances():
    zone = SimulatedZone()
    await zone.start()
    assert len(zone.owners) == 1
    for _ in range(3):
        await report(zone, EVEN_LOAD | {"t0": 6000})
    for name in NAMES:
        weights = dict(zone.last(WeightsChanged, name).weights)
        assert weights["t0"] < 80 < weights["t1"]


@pytest.mark.parametrize("state", [TargetState.SUSPECT, TargetState.DEAD, TargetState.LEAVING])
async def test_only_working_targets_have_weights(state):
    zone = SimulatedZone()
    await zone.start()
    await zone.publish(TargetStateChanged("g", "t3", state))
    await zone.run(2)
    assert set(dict(zone.last(WeightsChanged, "i0").weights)) == set(EVEN_LOAD) - {"t3"}


async def test_new_owner_continues_with_the_weights_in_force():
    zone = SimulatedZone()
    await zone.start()
    for _ in range(3):
        await report(zone, EVEN_LOAD | {"t0": 6000})
    before = zone.last(WeightsChanged, "i0")
    live = tuple(name for name in NAMES if name not in zone.owners)
    del zone.balancers[zone.owners[0]]
    members = tuple(Member(name, "10.9.0.1", 1, 2) for name in live)
    await zone.publish(ViewChanged(View(members)), live)
    assert len(zone.owners) == 1
    new = zone.balancers[zone.owners[0]]
    assert dict(new._group_balancers["g"]._weights.weights) == dict(before.weights)


async def test_syn_retransmissions_across_instances_mark_a_target_silent():
    zone = SimulatedZone()
    await zone.start()
    for name in NAMES:
        await zone.publish(SynsSampled("g", "t0", (1, 2, 3, 4, 5, 6, 7, 8)), (name,))
        await zone.publish(SynsSampled("g", "t1", (NAMES.index(name),)), (name,))
    await zone.run(4)
    assert silence_key("g", "t0") in zone.entries
    assert silence_key("g", "t1") not in zone.entries


async def test_counts_carry_a_bounded_sample_of_syns():
    zone = SimulatedZone()
    await zone.start()
    balancer = zone.balancers["i0"]
    for first in range(0, 400, 4):
        await balancer.handle(SynsSampled("g", "t0", tuple(range(first, first + 4))))
    assert balancer._counts["g"]["t0"].syns == tuple(range(MAX_SAMPLED_SYNS))


@pytest.mark.parametrize(
    ("limits", "reported"),
    [(FlowLimits(), False), (FlowLimits(open_flows=50_000), True)],
)
async def test_open_flows_are_gossiped_only_where_they_are_limited(limits, reported):
    zone = SimulatedZone(limits)
    await zone.start()
    await report(zone, EVEN_LOAD)
    messages = [m for m in zone.published["i1"] if isinstance(m, OpenFlowsReported)]
    assert bool(messages) is reported
    if reported:
        assert dict(messages[-1].open_flows) == EVEN_LOAD
