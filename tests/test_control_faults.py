"""Fault matrix and random runs of the control plane in virtual time."""

import asyncio
import random

import pytest

from bench.control_zone import ControlZone
from pearwell.configuration.document import Document, encode_document
from pearwell.messages import (
    Ack,
    Digest,
    HoldersQuery,
    HoldersReply,
    Join,
    MemberUpdates,
    Offer,
    Ping,
    Pull,
    Push,
)
from pearwell.model.configuration import Kind
from pearwell.model.group import GroupSpec, TargetSpec
from pearwell.model.membership import MemberState
from pearwell.model.placement import Phase
from pearwell.object_store import Fault, RetryingObjectStore
from pearwell.placement.planner import PlannerSelection
from tests.virtual_time import run

INSTANCE_COUNT = 6
IN_FORCE_S = 3.0
CONVERGENCE_TIMEOUT_S = 20.0
FAULT_DURATION_S = 2.0
MESSAGE_DELAY_S = 0.0005

MESSAGE_FAULTS = {
    "lost": lambda rng: (),
    "delayed": lambda rng: (rng.uniform(0.2, 1.5),),
    "duplicated": lambda rng: (MESSAGE_DELAY_S, MESSAGE_DELAY_S),
    "duplicated late": lambda rng: (MESSAGE_DELAY_S, rng.uniform(2.0, 5.0)),
}


def make_group(count, weight=100):
    return GroupSpec(
        "g",
        tuple(TargetSpec(f"t{n}", f"10.0.0.{n}", "pnw-a", weight=weight) for n in range(count)),
    )


class ZoneHarness:
    """A zone with one group, and the checks that it must pass."""

    def __init__(self, zone):
        self.zone = zone
        self.accepted = {}
        self.rng = random.Random(zone.seed)

    @classmethod
    async def start(cls, seed=1, count=INSTANCE_COUNT):
        harness = cls(ControlZone(asyncio.get_running_loop(), seed))
        await harness.zone.start(*range(count))
        await harness.zone.wait_until_joined()
        await harness.configure(make_group(2))
        await harness.wait_until_converged()
        return harness

    async def configure(self, spec):
        value = encode_document(Document(Kind.GROUP, spec.name, spec=spec))
        store = RetryingObjectStore(self.zone.platform, self.zone.clock, self.rng)
        listed = await store.list("group")
        existing = next((item for item in listed.items if item.name == spec.name), None)
        if existing is None:
            stored = await store.create("group", spec.name, value)
        else:
            stored = await store.update("group", spec.name, value, existing.version)
        self.accepted[spec.name] = (stored.version, asyncio.get_running_loop().time())
        return stored.version

    def inject_fault(self, types, fault):
        """Applies a fault to all messages of the given types for FAULT_DURATION_S."""
        zone, ends_at = self.zone, self.zone.clock.now() + FAULT_DURATION_S

        def deliver(sender, to, message):
            if isinstance(message, types) and zone.clock.now() < ends_at:
                return MESSAGE_FAULTS[fault](self.rng)
            return (MESSAGE_DELAY_S,)

        zone.faults.delivery = deliver

    def planner_name(self):
        view = next(iter(self.zone.instances.values())).membership.swim.view
        return PlannerSelection(view).planning_instance("g")

    def has_converged(self):
        instances = list(self.zone.instances.values())
        placements = [i.placement.placement("g") for i in instances]
        targets = {t.name for t in self.group_spec().targets}
        names = sorted(self.zone.instances)
        return (
            all(i.members == names for i in instances)
            and all(m.state is MemberState.ALIVE for i in instances for m in i.view.members)
            and all(i.observer.versions.get("g") == self.accepted["g"][0] for i in instances)
            and len({p.generation for p in placements if p is not None}) == 1
            and None not in placements
            and placements[0].phase is not Phase.PREPARED
            and targets == {placements[0].targets[index].name for index in placements[0].current}
        )

    def group_spec(self):
        return next(iter(self.zone.instances.values())).configuration.configuration.groups["g"]

    async def wait_until_converged(self):
        """Waits until all instances agree; checks that versions never decreased or conflicted."""
        await self.zone.wait_until(
            lambda: "g" in next(iter(self.zone.instances.values())).observer.versions
        )
        await self.zone.wait_until(self.has_converged, CONVERGENCE_TIMEOUT_S)
        self.check_invariants()

    def check_invariants(self):
        zone = self.zone
        assert [v for i in zone.instances.values() for v in i.observer.violations] == []
        assert zone.adopted_entries.conflicts == []

    async def wait_until_in_force(self, since=0.0):
        """Waits until the accepted version is in force everywhere; fails after IN_FORCE_S."""
        version, at = self.accepted["g"]
        instances = self.zone.instances
        await self.zone.wait_until(
            lambda: all(i.observer.versions.get("g", 0) >= version for i in instances.values())
        )
        assert asyncio.get_running_loop().time() - max(at, since) <= IN_FORCE_S + 0.02


async def join(harness):
    await harness.zone.start(INSTANCE_COUNT)


async def change_configuration(harness):
    await harness.configure(make_group(3))


async def crash_planner(harness):
    await harness.configure(make_group(3))
    await asyncio.sleep(0.05)
    await harness.zone.kill(harness.planner_name())


async def leave(harness):
    name = sorted(harness.zone.instances)[-1]
    instance = harness.zone.instances[name]
    instance.membership.leave()
    await asyncio.sleep(0.5)
    del harness.zone.instances[name]
    await instance.kernel.stop()


STEPS = {
    "join": (join, [(Join,), (MemberUpdates,), (Push, Offer), (Digest,), (Ping, Ack)]),
    "configuration change": (
        change_configuration,
        [(Push, Offer), (Pull,), (Digest,), (HoldersReply, HoldersQuery)],
    ),
    "planner crash": (
        crash_planner,
        [(MemberUpdates,), (Ping, Ack), (Push, Offer, Pull), (HoldersReply,)],
    ),
    "leave": (leave, [(MemberUpdates,), (Ping, Ack)]),
}
MATRIX = [
    pytest.param(step, types, fault, id=f"{name}-{'+'.join(t.__name__ for t in types)}-{fault}")
    for name, (step, messages) in STEPS.items()
    for types in messages
    for fault in MESSAGE_FAULTS
]


@pytest.mark.parametrize(("step", "types", "fault"), MATRIX)
def test_zone_converges_with_each_message_fault_at_each_step(step, types, fault):
    async def scenario():
        harness = await ZoneHarness.start()
        harness.inject_fault(types, fault)
        began = harness.zone.clock.now()
        await step(harness)
        await harness.wait_until_in_force(since=began + (FAULT_DURATION_S if step is join else 0.0))
        await harness.wait_until_converged()
        await harness.zone.stop()

    run(scenario())


PLATFORM_FAULTS = {
    "outage": Fault.OUTAGE,
    "lost request": Fault.LOST_REQUEST,
    "lost response": Fault.LOST_ANSWER,
    "stale read": Fault.STALE,
    "slow": Fault.SLOW,
}


@pytest.mark.parametrize("call", range(6))
@pytest.mark.parametrize("fault", PLATFORM_FAULTS.values(), ids=PLATFORM_FAULTS.keys())
def test_change_converges_with_each_platform_fault_at_each_call(fault, call):
    async def scenario():
        harness = await ZoneHarness.start()
        harness.zone.platform.freeze()
        await harness.configure(make_group(3))
        harness.zone.platform.faults.plan.extend([Fault.NONE] * call + [fault])
        await harness.wait_until_in_force()
        await harness.wait_until_converged()
        await harness.zone.stop()

    run(scenario())


@pytest.mark.parametrize("role", ["planner", "other"])
@pytest.mark.parametrize("pause_s", [0.9, 1.6, 6.0, 30.0])
def test_zone_converges_after_an_instance_pauses_during_a_change(role, pause_s):
    async def scenario():
        harness = await ZoneHarness.start()
        zone = harness.zone
        await harness.configure(make_group(3))
        await zone.wait_until(
            lambda: any(
                i.placement.placement("g").phase is Phase.PREPARED for i in zone.instances.values()
            )
        )
        planner = harness.planner_name()
        name = planner if role == "planner" else min(set(zone.instances) - {planner})
        paused = zone.instances[name]
        paused.pause()
        await asyncio.sleep(pause_s)
        unpaused = [i for i in zone.instances.values() if i is not paused]
        if pause_s > 5.0:
            assert {i.placement.placement("g").phase for i in unpaused} == {Phase.ACTIVE}
            assert all(name not in i.members for i in unpaused)
        resumed_at = zone.clock.now()
        paused.resume()
        assert paused.observer.view_confirmed_at <= resumed_at - pause_s + 0.3
        await harness.wait_until_converged()
        await zone.wait_until(lambda: paused.observer.view_confirmed_at >= resumed_at, IN_FORCE_S)
        await zone.stop()

    run(scenario())


@pytest.mark.parametrize("outage", [False, True])
def test_partitioned_zone_converges_after_the_partition_heals(outage):
    async def scenario():
        harness = await ZoneHarness.start()
        zone = harness.zone
        half = set(sorted(zone.instances)[:3])
        zone.disconnected_from_platform = set(half)
        zone.faults.delivery = lambda s, t, m: (
            () if (s in half) != (t in half) else (MESSAGE_DELAY_S,)
        )
        await asyncio.sleep(6.0)
        assert {len(i.members) for i in zone.instances.values()} == {3}
        version = await harness.configure(make_group(3))
        await asyncio.sleep(1.0)
        zone.platform.faults.outage = outage
        zone.platform.wake_watches()
        await asyncio.sleep(6.0)
        connected = [i for name, i in zone.instances.items() if name not in half]
        assert {i.observer.versions["g"] for i in connected} == {version}
        zone.disconnected_from_platform = set()
        zone.faults.delivery = lambda s, t, m: (MESSAGE_DELAY_S,)
        await asyncio.sleep(10.0)
        zone.platform.faults.outage = False
        await harness.wait_until_converged()
        await zone.stop()

    run(scenario())


REPLACEMENTS = {"one": 1, "half of the zone": 3, "all": INSTANCE_COUNT}


@pytest.mark.parametrize("outage", [False, True], ids=["platform up", "platform down"])
@pytest.mark.parametrize("count", REPLACEMENTS.values(), ids=REPLACEMENTS.keys())
def test_instances_replaced_within_a_minute_keep_placement_and_configuration(count, outage):
    async def scenario():
        harness = await ZoneHarness.start()
        zone = harness.zone
        (before,) = {i.placement.placement("g") for i in zone.instances.values()}
        zone.platform.faults.outage = outage
        zone.platform.wake_watches()
        names = sorted(zone.instances)[:count]
        pause_s = 50.0 / count
        for number, name in enumerate(names):
            await zone.start(100 + number)
            await asyncio.sleep(pause_s)
            await zone.kill(name)
        await harness.wait_until_converged()
        assert {i.placement.placement("g") for i in zone.instances.values()} == {before}
        await zone.stop()

    run(scenario())


@pytest.mark.parametrize("outage", [False, True], ids=["platform up", "platform down"])
def test_placement_is_kept_when_half_of_the_instances_crash_at_once(outage):
    async def scenario():
        harness = await ZoneHarness.start()
        zone = harness.zone
        (before,) = {i.placement.placement("g") for i in zone.instances.values()}
        zone.platform.faults.outage = outage
        zone.platform.wake_watches()
        await zone.kill(*sorted(zone.instances)[:3])
        await zone.start(100, 101, 102)
        await harness.wait_until_converged()
        assert {i.placement.placement("g") for i in zone.instances.values()} == {before}
        await zone.stop()

    run(scenario())


def test_placement_is_restored_from_the_platform_after_all_instances_crash():
    async def scenario():
        harness = await ZoneHarness.start()
        zone = harness.zone
        (before,) = {i.placement.placement("g") for i in zone.instances.values()}
        await zone.kill(*zone.instances)
        await zone.start(*range(100, 104))
        await harness.wait_until_converged()
        assert {i.placement.placement("g") for i in zone.instances.values()} == {before}
        await zone.stop()

    run(scenario())


@pytest.mark.parametrize("seed", range(1, 5))
def test_random_runs_keep_the_invariants(seed):
    async def scenario():
        harness = await ZoneHarness.start(seed)
        zone, rng = harness.zone, harness.rng
        kinds = [*MESSAGE_FAULTS, "", "", "", ""]
        zone.faults.delivery = lambda s, t, m: (
            MESSAGE_FAULTS[kind](rng)
            if (kind := rng.choice(kinds * 3 + [""] * 20))
            else (MESSAGE_DELAY_S,)
        )
        number = 100
        for _ in range(25):
            action = rng.choice(["configure", "start", "kill", "pause", "outage", "lost"])
            if action == "configure" and not zone.platform.faults.outage:
                await harness.configure(make_group(rng.randint(1, 4), rng.randint(50, 150)))
            elif action == "start" and len(zone.instances) < 8:
                number += 1
                await zone.start(number)
            elif action == "kill" and len(zone.instances) > 4:
                await zone.kill(rng.choice(sorted(zone.instances)))
            elif action == "pause":
                rng.choice(sorted(zone.instances.items()))[1].pause()
            elif action == "outage":
                zone.platform.faults.outage = not zone.platform.faults.outage
                zone.platform.wake_watches()
            elif action == "lost":
                zone.platform.faults.lose_answers = 1
            await asyncio.sleep(rng.uniform(0.1, 3.0))
            for instance in zone.instances.values():
                if rng.random() < 0.5:
                    instance.resume()
            harness.check_invariants()
        for instance in zone.instances.values():
            instance.resume()
        zone.platform.faults.outage = False
        zone.faults.delivery = lambda s, t, m: (MESSAGE_DELAY_S,)
        await asyncio.sleep(10.0)
        await harness.configure(make_group(2))
        await harness.wait_until_in_force()
        await harness.wait_until_converged()
        await zone.stop()

    run(scenario())
