"""Tests of pearwell.placement.service with the services that it depends on, in virtual time."""

import asyncio

import pytest

from bench.control_zone import ControlZone
from pearwell.configuration.document import Document, encode_document
from pearwell.errors import PlatformError
from pearwell.messages import BucketsClear, TargetStateChanged
from pearwell.model.configuration import Kind
from pearwell.model.group import GroupSpec, TargetIntent, TargetSpec
from pearwell.model.placement import Phase, TargetState
from tests.virtual_time import run


def group(*targets, leaving=()):
    return GroupSpec(
        "g",
        tuple(
            TargetSpec(
                name,
                f"10.0.0.{name[1:]}",
                "pnw-a",
                intent=TargetIntent.LEAVING if name in leaving else TargetIntent.SERVING,
            )
            for name in targets
        ),
    )


async def configure(zone, spec):
    value = encode_document(Document(Kind.GROUP, spec.name, spec=spec))
    try:
        stored = await zone.platform.get("group", spec.name)
    except PlatformError:
        return (await zone.platform.create("group", spec.name, value)).version
    return (await zone.platform.update("group", spec.name, value, stored.version)).version


def placements(zone):
    return {i.placement.placement("g") for i in zone.instances.values()}


def agreed_on(zone, predicate):
    def condition():
        held = placements(zone)
        return len(held) == 1 and None not in held and predicate(*held)

    return condition


def target_names(placement, table):
    return {placement.targets[index].name for index in table}


async def start_zone(count=4, seed=1):
    zone = ControlZone(asyncio.get_running_loop(), seed)
    await zone.start(*range(count))
    await zone.wait_until_joined()
    await configure(zone, group("t1", "t2"))
    await zone.wait_until(agreed_on(zone, lambda p: target_names(p, p.current) == {"t1", "t2"}))
    return zone


async def join_target():
    zone = await start_zone()
    await configure(zone, group("t1", "t2", "t3"))
    prepared_after_s = await zone.wait_until(agreed_on(zone, lambda p: p.phase is Phase.PREPARED))
    active_after_s = await zone.wait_until(agreed_on(zone, lambda p: p.phase is Phase.ACTIVE))
    (placement,) = placements(zone)
    assert target_names(placement, placement.base) == {"t1", "t2"}
    assert target_names(placement, placement.current) == {"t1", "t2", "t3"}
    assert 0.1 <= active_after_s < 0.5 and prepared_after_s < 3.0
    instance = next(iter(zone.instances.values()))
    moving = tuple(b for b, t in enumerate(placement.base) if t != placement.current[b])
    stale = BucketsClear("g", moving, placement.generation.counter - 1)
    instance.kernel.publish(stale)
    await asyncio.sleep(1.0)
    assert placements(zone) == {placement}
    instance.kernel.publish(BucketsClear("g", moving, placement.generation.counter))
    await zone.wait_until(agreed_on(zone, lambda p: p.phase is Phase.STABLE))
    await zone.stop()


def test_a_joining_target_is_prepared_activated_and_released():
    run(join_target())


async def place_group_without_targets():
    zone = ControlZone(asyncio.get_running_loop(), 1)
    await zone.start(*range(4))
    await zone.wait_until_joined()
    other_zone_group = GroupSpec("g", (TargetSpec("t1", "10.0.0.1", "pnw-b"),))
    await configure(zone, other_zone_group)
    await asyncio.sleep(5.0)
    before = zone.platform.calls.get("get", 0)
    await asyncio.sleep(10.0)
    assert zone.platform.calls.get("get", 0) - before <= 1
    assert placements(zone) == {None}
    await configure(zone, group("t1", "t2"))
    elapsed_s = await zone.wait_until(
        agreed_on(zone, lambda p: target_names(p, p.current) == {"t1", "t2"})
    )
    assert elapsed_s < 3.0
    await zone.stop()


def test_a_group_without_targets_in_the_zone_makes_no_calls_until_it_has_some():
    run(place_group_without_targets())


async def leave_target():
    zone = await start_zone()
    await configure(zone, group("t1", "t2", leaving=["t2"]))
    elapsed_s = await zone.wait_until(
        agreed_on(zone, lambda p: target_names(p, p.current) == {"t1"})
    )
    assert elapsed_s < 3.0
    await zone.stop()


def test_a_leaving_target_stops_getting_new_flows_within_seconds():
    run(leave_target())


async def fail_target():
    zone = await start_zone()
    for instance in zone.instances.values():
        instance.kernel.publish(TargetStateChanged("g", "t1", TargetState.DEAD))
    elapsed_s = await zone.wait_until(
        agreed_on(zone, lambda p: target_names(p, p.current) == {"t2"})
    )
    assert elapsed_s < 0.3
    await zone.stop()


def test_a_dead_target_is_replaced_at_once():
    run(fail_target())


async def activate_without_acknowledgement():
    zone = await start_zone()
    receiving_names = set(zone.instances) - {"i0"}
    zone.faults.delivery = lambda sender, to, message: (
        () if to == "i0" and type(message).__name__ in ("Push", "Digest", "Offer") else (0.001,)
    )
    await configure(zone, group("t1", "t2", "t3"))
    receiving = [zone.instances[name] for name in receiving_names]
    phase = lambda p: p is not None and p.phase  # noqa: E731
    await zone.wait_until(
        lambda: all(phase(i.placement.placement("g")) is Phase.PREPARED for i in receiving)
    )
    elapsed_s = await zone.wait_until(
        lambda: all(phase(i.placement.placement("g")) is Phase.ACTIVE for i in receiving)
    )
    assert 1.3 < elapsed_s < 2.0
    await zone.stop()


def test_activation_waits_a_bounded_time_for_a_member_that_does_not_acknowledge():
    run(activate_without_acknowledgement())


async def write_back_after_outage():
    zone = await start_zone()
    zone.platform.faults.outage = True
    for instance in zone.instances.values():
        instance.kernel.publish(TargetStateChanged("g", "t1", TargetState.DEAD))
    await zone.wait_until(agreed_on(zone, lambda p: target_names(p, p.current) == {"t2"}))
    (placement,) = placements(zone)
    zone.platform.faults.outage = False
    await zone.wait_until(lambda: all(i.placement.unsaved == 0 for i in zone.instances.values()))
    stored = await zone.platform.get("placement", "g.pnw-a")
    assert stored.value["counter"] == placement.generation.counter
    assert placements(zone) == {placement}
    await zone.stop()


def test_the_zone_plans_during_a_platform_outage_and_writes_back_afterwards():
    run(write_back_after_outage())


async def partition_and_heal(seed):
    zone = await start_zone(6, seed)
    half = {"i0", "i1", "i2"}
    zone.disconnected_from_platform = set(half)
    zone.faults.delivery = lambda s, t, m: () if (s in half) != (t in half) else (0.001,)
    await zone.wait_until(lambda: all(len(i.members) == 3 for i in zone.instances.values()))
    for name in half:
        zone.instances[name].kernel.publish(TargetStateChanged("g", "t1", TargetState.SUSPECT))
    await configure(zone, group("t1", "t2", "t3"))
    await asyncio.sleep(5.0)
    zone.disconnected_from_platform = set()
    zone.faults.delivery = lambda s, t, m: (0.001,)
    for name in half:
        zone.instances[name].kernel.publish(TargetStateChanged("g", "t1", TargetState.WORKING))
    await zone.wait_until(
        agreed_on(zone, lambda p: target_names(p, p.upcoming) == {"t1", "t2", "t3"}), timeout_s=40.0
    )
    await zone.wait_until(agreed_on(zone, lambda p: p.phase is not Phase.PREPARED))
    await zone.stop()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_partitioned_zone_converges_to_the_accepted_configuration(seed):
    run(partition_and_heal(seed))
