"""Tests of pearwell.configuration.service in virtual time: a zone of instances and its platform."""

import asyncio
import contextlib
import random
from collections import deque
from dataclasses import replace

import pytest

from pearwell.configuration import edits
from pearwell.configuration.applied import key_of
from pearwell.configuration.audit import Action
from pearwell.configuration.editor import WriteRequest
from pearwell.configuration.in_force import wait_until_in_force
from pearwell.configuration.relay import RELAY_COUNT
from pearwell.configuration.tombstones import RETENTION_S
from pearwell.errors import PearwellError, PlatformError
from pearwell.messages import ViewChanged
from pearwell.model.configuration import Kind
from pearwell.model.membership import Member, View
from pearwell.object_store import Fault
from tests.configuration_zone import (
    GROUP,
    IN_FORCE_LIMIT_S,
    MESSAGE_DELAY_S,
    WRITES_PER_OPERATOR,
    Instance,
    Spy,
    Zone,
    check_versions,
    instance_names,
    start_zone,
    write_in_other_zone,
)
from tests.virtual_time import run


def test_calls_to_the_platform_dont_grow_with_instances():
    async def scenario(count):
        store, zone, _ = await start_zone(count)
        await asyncio.sleep(60.0)
        watching = sum(i.service.is_relay for i in zone.running_instances())
        await zone.stop()
        return watching, store.calls

    few, many = run(scenario(4)), run(scenario(12))
    assert few[0] == many[0] == RELAY_COUNT
    assert many[1]["watch"] == few[1]["watch"] == RELAY_COUNT * len(Kind)
    assert sum(many[1].values()) <= sum(few[1].values()) + 2


# Faults of the platform, as attributes of the store's faults and their values.
FAULTS = {
    "none": {},
    "outage": {"outage": True},
    "slow": {"delay_s": 1.2},
    "lost-requests": {"lose_requests": 9},
    "duplicate-events": {"duplicate_events": True},
    "old-events": {"repeat_old_events": True},
    "late-events": {"event_delay_s": 1.0},
    "stale-lists": {"stale": True},
}
FAULT_TIMES = ["before-the-list", "while-watching"]


@pytest.mark.parametrize("fault_time", FAULT_TIMES)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_is_in_force_within_three_seconds_of_any_fault_of_the_platform(fault, fault_time):
    async def scenario():
        store, zone, editor = await start_zone()
        store.freeze()
        versions = [await write_in_other_zone(editor, n) for n in (1.0, 2.0)]
        if fault_time == "before-the-list":
            for watch in (w for i in zone.running_instances() for w in i.service._watches):
                watch._relay.reset_cursor(watch._kind)
            store.faults.outage = True
            store.wake_watches()
            await asyncio.sleep(0.5)
            store.faults.outage = False
        for name, value in FAULTS[fault].items():
            setattr(store.faults, name, value)
        store.wake_watches()
        with contextlib.suppress(PearwellError):
            await write_in_other_zone(editor, 3.0)
        await asyncio.sleep(10.0)
        for name in FAULTS[fault]:
            setattr(store.faults, name, type(FAULTS[fault][name])(0))
        store.wake_watches()
        versions.append(await write_in_other_zone(editor, 4.0))
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        check_versions(zone, versions[-1])
        assert all(i.deadline_s == 4.0 for i in zone.running_instances())
        assert all(i.service.rejected == 0 for i in zone.running_instances())
        await zone.stop()

    run(scenario())


def test_a_watch_that_expired_lists_again():
    async def scenario():
        store, zone, editor = await start_zone(history=3)
        store.faults.outage = True
        store.wake_watches()
        await asyncio.sleep(1.0)
        store.faults.outage = False
        for n in range(9):
            version = await write_in_other_zone(editor, float(n))
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        check_versions(zone, version)
        await zone.stop()

    run(scenario())


def test_old_tombstones_are_removed_and_a_later_creation_is_applied():
    async def scenario():
        store, zone, _ = await start_zone()
        one = zone.instances["pnw-a-1"]
        for name in ("old", "young"):
            spec = replace(GROUP, name=name)
            await one.editor.write(write_request(name, Action.CREATE, name), edits.create(spec))
        await one.editor.write(write_request("old", Action.DELETE, "d1"), edits.remove("old"))
        zone.wall_offset_s = RETENTION_S / 2
        await one.editor.write(write_request("young", Action.DELETE, "d2"), edits.remove("young"))
        assert [s.name for s in (await store.list("group")).items] == ["g", "old", "young"]
        zone.wall_offset_s = RETENTION_S + 10.0
        await force_relist(store, zone)
        assert [s.name for s in (await store.list("group")).items] == ["g", "young"]
        edit = edits.create(replace(GROUP, name="old"))
        version = (await one.editor.write(write_request("old", Action.CREATE, "c2"), edit)).version
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        found = {
            i.recorder.configuration.versions[Kind.GROUP, "old"] for i in zone.running_instances()
        }
        assert found == {version}
        assert all("old" in i.recorder.configuration.groups for i in zone.running_instances())
        await zone.stop()

    run(scenario())


async def force_relist(store, zone):
    for instance in zone.running_instances():
        for watch in instance.service._watches:
            watch._relist_at = 0.0
    store.faults.outage = True
    store.wake_watches()
    await asyncio.sleep(0.1)
    store.faults.outage = False
    await asyncio.sleep(IN_FORCE_LIMIT_S)


def write_request(name, action, key):
    return WriteRequest(Kind.GROUP, name, action, key, "f", "ada")


def test_a_local_change_is_in_force_before_any_watch_event():
    async def scenario():
        store, zone, _ = await start_zone()
        store.faults.event_delay_s = 60.0
        version = await zone.instances["pnw-a-4"].drain(1.0, "k")
        await asyncio.sleep(5 * MESSAGE_DELAY_S)
        check_versions(zone, version)
        await zone.stop()

    run(scenario())


@pytest.mark.parametrize("replaced", [1, 3, 5])
@pytest.mark.parametrize("platform", ["up", "down", "stale"])
def test_replaced_instances_apply_the_same_version_again(replaced, platform):
    async def scenario():
        store, zone, editor = await start_zone()
        store.freeze()
        version = await write_in_other_zone(editor, 7.0)
        await asyncio.sleep(1.0)
        store.faults.outage = platform == "down"
        store.faults.stale = platform == "stale"
        store.wake_watches()
        victims = instance_names(5)[:replaced]
        for victim in victims:
            await zone.stop(victim)
        zone.publish_views()
        await asyncio.sleep(1.0)
        await zone.start(*victims)
        await asyncio.sleep(5.0)
        found = {i.version for i in zone.running_instances()}
        store.faults.outage = store.faults.stale = False
        await asyncio.sleep(5.0)
        later = {i.version for i in zone.running_instances()}
        await zone.stop()
        return version, found, later

    version, found, later = run(scenario())
    # The platform is the only source if every instance is replaced.
    allowed_versions = {"up": {version}, "down": {0}, "stale": {1, version}}[platform]
    assert found <= (allowed_versions if replaced == 5 else {version})
    assert later == {version}


def test_a_joining_instance_with_a_stale_first_peer_never_applies_the_old_version():
    async def scenario():
        store, zone, editor = await start_zone()
        stale_entries = zone.instances["pnw-a-1"].table.entries("")
        version = await write_in_other_zone(editor, 7.0)
        await asyncio.sleep(1.0)
        await zone.stop("pnw-a-5")
        zone.instances["pnw-a-5"] = joiner = Instance(zone, "pnw-a-5")
        joiner.service._publish = publish = Spy(joiner.service._publish, lambda: joiner.version)
        await joiner.kernel.start()
        for entry in stale_entries:
            joiner.table.put(entry)
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        await zone.stop()
        return version, publish.observed

    version, seen = run(scenario())
    assert seen == {0, version}


def test_starting_instances_make_no_platform_calls_while_their_peers_respond():
    async def scenario():
        store, zone, _ = await start_zone(12)
        idle = [n for n, i in zone.instances.items() if not i.service.is_relay]
        before = store.calls
        for name in idle:
            await zone.stop(name)
            joiner = zone.instances[name] = Instance(zone, name)
            await joiner.kernel.start()
            # The full view arrives later, since membership starts with the instance alone.
            joiner.kernel.publish(ViewChanged(View((Member(name, "127.20.0.1", 1, 2),), 1)))
        await asyncio.sleep(0.6)
        zone.publish_views()
        await asyncio.sleep(5.0)
        after = store.calls
        await zone.stop()
        return [after[call] - before[call] for call in ("list", "watch")]

    assert run(scenario()) == [0, 0]


def test_a_healed_partition_ends_at_the_higher_version():
    async def scenario():
        store, zone, editor = await start_zone()
        zone.partitioned = {"pnw-a-1", "pnw-a-2"}
        store.faults.event_delay_s = 5.0
        version = await zone.instances["pnw-a-1"].drain(9.0, "k")
        await asyncio.sleep(1.0)
        assert {i.version for i in zone.running_instances()} == {1, version}
        zone.partitioned = set()
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        check_versions(zone, version)
        await zone.stop()

    run(scenario())


def test_every_zone_reports_what_is_in_force():
    async def scenario():
        store, zone, _ = await start_zone(4)
        other = Zone(store, instance_names(5, "pnw-b"), seed=2, zone="pnw-b")
        await other.start()
        await asyncio.sleep(5.0)
        one = zone.instances["pnw-a-1"]
        partitioned, two = (n for n, i in other.instances.items() if not i.service.is_relay)
        two = other.instances[two]
        version = await one.drain(3.0, "k")
        report = await wait_until_in_force(one.in_force, Kind.GROUP, "g", version, 3.0)
        assert report.everywhere
        found = [(z.zone, z.holding, z.instances) for z in report.zones]
        assert found == [("pnw-a", 4, 4), ("pnw-b", 5, 5)]
        other.partitioned = {partitioned}
        version = await one.drain(4.0, "k2")
        report = await wait_until_in_force(two.in_force, Kind.GROUP, "g", version, 2.0)
        found = {z.zone: (z.holding, z.instances, z.lagging) for z in report.zones}
        assert found["pnw-a"] == (4, 4, ())
        assert found["pnw-b"] == (4, 5, (partitioned,))
        store.faults.outage = True
        report = await wait_until_in_force(two.in_force, Kind.GROUP, "g", version, 0.0)
        assert [z.zone for z in report.zones] == ["pnw-a", "pnw-b"]
        assert not report.everywhere
        with pytest.raises(PlatformError):
            await zone.instances["pnw-a-4"].in_force.zone_reports(Kind.GROUP, "g", version)
        await zone.stop()
        await other.stop()

    run(scenario())


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_never_lower_a_version_and_end_with_one_configuration(seed):
    async def scenario():
        store, zone, _ = await start_zone(6)
        rng = random.Random(seed)
        writers = [asyncio.ensure_future(run_operator(zone, rng, n)) for n in range(2)]
        while not all(writer.done() for writer in writers):
            await asyncio.sleep(rng.uniform(0.1, 1.5))
            await change_faults(store, zone, rng)
        accepted = [version for versions in await asyncio.gather(*writers) for version in versions]
        clear_faults(store, zone)
        await asyncio.sleep(IN_FORCE_LIMIT_S + 4.0)
        final = (await store.get("group", "g")).version
        check_versions(zone, final)
        assert len(accepted) == len(set(accepted)), "two accepted writes of one version"
        assert all(i.service.rejected == 0 for i in zone.running_instances())
        values = {i.table.get(key_of("group", "g")).payload for i in zone.running_instances()}
        assert len(values) == 1
        await zone.stop()

    run(scenario())


async def run_operator(zone, rng, operator):
    accepted = []
    for turn in range(100):
        if len(accepted) == WRITES_PER_OPERATOR:
            return accepted
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        for _ in range(6):
            instance = rng.choice(zone.running_instances())
            try:
                accepted.append(await instance.drain(float(turn), f"{operator}-{turn}"))
                break
            except PearwellError:
                await asyncio.sleep(0.5)
    raise AssertionError(f"only {len(accepted)} of {WRITES_PER_OPERATOR} writes accepted")


async def change_faults(store, zone, rng):
    faults = store.faults
    names = sorted(zone.instances)
    faults.outage = faults.outage and rng.random() < 0.5
    faults.stale = faults.stale and rng.random() < 0.5
    match rng.randrange(8):
        case 0:
            faults.outage = True
        case 1:
            faults.delay_s = rng.choice([0.0, 0.3])
        case 2:
            faults.duplicate_events = not faults.duplicate_events
            faults.repeat_old_events = not faults.repeat_old_events
        case 3:
            faults.event_delay_s = rng.choice([0.0, 1.0])
        case 4:
            store.freeze()
            faults.plan = deque(rng.choices(list(Fault), k=5))
        case 5:
            faults.stale = True
        case 6:
            zone.partitioned = set(rng.sample(names, rng.randrange(3)))
        case 7:
            victim = rng.choice(names)
            await zone.stop(victim)
            await zone.start(victim)
    store.wake_watches()
    zone.publish_views()


def clear_faults(store, zone):
    faults = store.faults
    faults.outage = faults.stale = faults.duplicate_events = faults.repeat_old_events = False
    faults.delay_s = faults.event_delay_s = 0.0
    faults.plan.clear()
    zone.partitioned = set()
    store.wake_watches()
    zone.publish_views()
