"""Tests of evacuations from the store to the choices of all instances, in virtual time."""

import asyncio
import random

import pytest

from tests.affinity.builders import syn
from tests.platform.store_fleet import BOUNDS as OTHER_BOUNDS
from tests.platform.store_fleet import EVACUATION_BOUNDS as BOUNDS
from tests.platform.store_fleet import Fleet
from tests.virtual_time import run

ZONES = ("a", "b", "c")
# The fleet's route: port 8443 of 198.18.0.1.
ROUTE = b"\x20\xfb\xc6\x12\x00\x01"
# No failure lasts longer.
MAX_FAILURE_S = 8.0


def now():
    return asyncio.get_running_loop().time()


async def started_fleet(relays=3, clients=3, offset_s=0.0):
    fleet = Fleet(relays, clients, BOUNDS)
    await fleet.configure()
    for number in range(1, 10):
        await fleet.put_target(number, zone=ZONES[number % 3])
    await asyncio.sleep(20.0 + offset_s)
    return fleet


def zones_of_starts(node):
    """Returns the zones of the targets that 30 new flows get at an instance."""
    found = set()
    for number in range(30):
        packet = syn(number, seq=int(1000 * now()), route=ROUTE)
        found.add(node.instance.director.on_packet(packet, b"", now()).zone)
    return found


def check_in_force(fleet, nodes):
    """Checks that no new flow gets a target of an evacuated zone."""
    for node in nodes:
        feed = node.instance.evacuation_feed
        assert set(feed.evacuations.zones) == fleet.evacuated
        if len(fleet.evacuated) < len(ZONES):
            assert not zones_of_starts(node) & fleet.evacuated


def check_no_gap(nodes, zone, since):
    """Checks that an evacuation stayed in force from a time on."""
    for node in nodes:
        assert all(zone in zones for at, zones in node.evacuated if at >= since)


async def change(fleet, nodes):
    """Evacuates two zones that overlap and takes one back, each in force within its bound."""
    for step, zone in ((fleet.evacuate, "b"), (fleet.evacuate, "a"), (fleet.take_back, "b")):
        await step(zone)
        await asyncio.sleep(BOUNDS.evacuate_s)
        check_in_force(fleet, nodes)
    await fleet.take_back("a")
    await asyncio.sleep(BOUNDS.evacuate_s)
    check_in_force(fleet, nodes)


@pytest.mark.parametrize("relays", [0, 1, 3])
def test_all_instances_evacuate_within_half_a_second_in_calm(relays):
    """Of the flows that are open none is reset."""

    async def scenario():
        fleet = await started_fleet(relays)
        assert all(zones_of_starts(node) == {"a"} for node in fleet.nodes)
        await fleet.evacuate("a")
        await asyncio.sleep(0.5)
        check_in_force(fleet, fleet.nodes)
        assert all(node.instance.director.take_resets() == [] for node in fleet.nodes)
        await change(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("fault", ["freeze", "cut", "cut_from_store", "kill"])
@pytest.mark.parametrize("count", [1, 2, 3])
@pytest.mark.parametrize("offset_s", [0.0, 0.7, 1.4])
def test_relays_that_fail(fault, count, offset_s):
    async def scenario():
        fleet = await started_fleet(offset_s=offset_s)
        failing = fleet.relays[:count]
        running = [asyncio.ensure_future(getattr(relay, fault)(MAX_FAILURE_S)) for relay in failing]
        for zone in ("b", "a"):
            await fleet.evacuate(zone)
            await asyncio.sleep(BOUNDS.evacuate_s)
            check_in_force(fleet, set(fleet.nodes) - set(failing))
        await asyncio.gather(*running)
        await asyncio.sleep(BOUNDS.contact_s)
        check_in_force(fleet, fleet.nodes)
        await change(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


async def be_down(store, seconds):
    store.away = True
    await asyncio.sleep(seconds)
    store.away = False


async def be_slow(store, seconds):
    async def delay(number, stage):
        if stage == "response":
            await asyncio.sleep(0.35)

    store.on_call = delay
    await asyncio.sleep(seconds)
    store.on_call = None


async def be_silent(store, seconds):
    """Calls that arrive meanwhile are never answered."""

    async def hang(number, stage):
        await asyncio.sleep(3600.0)

    store.on_call = hang
    await asyncio.sleep(seconds)
    store.on_call = None


async def lose_history(store, seconds):
    """Watches that start meanwhile wait in vain, and can't be resumed."""
    server = store.server

    async def wait_in_vain(kind, revision, wait_s):
        await asyncio.sleep(wait_s)
        return {"events": [], "AsOf": revision}

    server.watch = wait_in_vain
    await asyncio.sleep(seconds)
    del server.watch
    server.compact()


@pytest.mark.parametrize("failure", [be_down, be_slow, be_silent, lose_history])
@pytest.mark.parametrize("relays", [0, 3])
@pytest.mark.parametrize("seconds", [0.5, 3.0])
@pytest.mark.parametrize("lead_s", [-0.3, 0.0, 0.2])
def test_a_store_that_fails_around_the_acknowledgement(failure, relays, seconds, lead_s):
    """What is acknowledged is in force when the store has been healthy for the time of contact."""

    async def scenario():
        fleet = await started_fleet(relays)
        await fleet.evacuate("c")
        await asyncio.sleep(BOUNDS.evacuate_s)
        since = now()
        failing = asyncio.ensure_future(failure(fleet.store, seconds))
        await asyncio.sleep(max(0.0, -lead_s))
        await fleet.evacuate("a")
        await failing
        await asyncio.sleep(BOUNDS.contact_s)
        check_in_force(fleet, fleet.nodes)
        check_no_gap(fleet.nodes, "c", since)
        await change(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("relays", [0, 2])
@pytest.mark.parametrize("away_s", [0.0, 3.0])
@pytest.mark.parametrize("rewrite_s", [0.0, 0.3, 2.0])
def test_an_evacuation_that_a_restored_store_has_lost(relays, away_s, rewrite_s):
    """The operator writes it again; meanwhile it stays in force."""

    async def scenario():
        fleet = await started_fleet(relays)
        fleet.copy()
        await fleet.evacuate("a")
        await asyncio.sleep(BOUNDS.evacuate_s)
        since = now()
        await fleet.restore(away_s, rewrite_s)
        await asyncio.sleep(BOUNDS.contact_s + rewrite_s)
        check_in_force(fleet, fleet.nodes)
        check_no_gap(fleet.nodes, "a", since)
        await fleet.evacuate("b")
        await asyncio.sleep(BOUNDS.evacuate_s)
        check_in_force(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("relays", [0, 2])
def test_an_evacuation_that_a_restored_store_has_lost_for_good_ends(relays):
    async def scenario():
        fleet = await started_fleet(relays)
        fleet.copy()
        await fleet.evacuate("a")
        await asyncio.sleep(BOUNDS.evacuate_s)
        fleet.evacuated.discard("a")
        await fleet.restore()
        await asyncio.sleep(BOUNDS.contact_s)
        check_in_force(fleet, fleet.nodes)
        assert all(zones_of_starts(node) == {"a"} for node in fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("relays", [0, 2])
def test_a_zone_taken_back_that_a_restored_store_holds_again(relays):
    """It is evacuated until the operator removes the object again."""

    async def scenario():
        fleet = await started_fleet(relays)
        await fleet.evacuate("a")
        await asyncio.sleep(1.0)
        fleet.copy()
        await fleet.take_back("a")
        await asyncio.sleep(1.0)
        await fleet.restore()
        await asyncio.sleep(BOUNDS.contact_s)
        check_in_force(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("seed", range(10))
def test_an_instance_that_starts_in_the_midst(seed):
    """It gets no flow before it knows the evacuations, from whatever it calls first."""

    async def scenario():
        rng = random.Random(seed)
        fleet = await started_fleet(rng.choice((0, 1, 3)), 1)
        await fleet.evacuate("a")
        await asyncio.sleep(rng.uniform(0.0, 0.1))

        async def delay(number, stage):
            await asyncio.sleep(rng.uniform(0.0, 0.3) if stage == "response" else 0.0)

        # The lists of the three kinds are answered in any order.
        fleet.store.on_call = delay
        node = fleet.add_client()
        failing = asyncio.ensure_future(asyncio.sleep(0.0))
        if rng.random() < 0.7:
            failing = asyncio.ensure_future(be_down(fleet.store, rng.uniform(0.0, 3.0)))
        await asyncio.sleep(rng.uniform(0.0, 0.02))
        if rng.random() < 0.5 and not fleet.store.away:
            await fleet.evacuate("b")
        async with asyncio.timeout(MAX_FAILURE_S):
            while not node.instance.lifecycle.ready:
                await asyncio.sleep(0.001)
        # Zone "b" may have been evacuated after the list.
        assert "a" not in zones_of_starts(node)
        await failing
        await asyncio.sleep(BOUNDS.contact_s)
        check_in_force(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("delay_s", [0.0, 0.002, 0.05, 0.3, 1.0])
@pytest.mark.parametrize("relays", [0, 3])
def test_a_zone_that_is_taken_back_before_all_instances_know(relays, delay_s):
    async def scenario():
        fleet = await started_fleet(relays)
        for again in (False, True):
            await fleet.evacuate("a")
            await asyncio.sleep(delay_s)
            await fleet.take_back("a")
            await asyncio.sleep(delay_s)
            if again:
                await fleet.evacuate("a")
            await asyncio.sleep(BOUNDS.evacuate_s)
            check_in_force(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("seed", range(12))
def test_random_evacuations_under_one_failure_at_a_time(seed):
    """Each failure is followed by calm; what was written by then is in force at its end."""

    async def scenario():
        rng = random.Random(seed)
        fleet = await started_fleet(rng.choice((0, 1, 3)), 2)
        for _ in range(4):
            node = rng.choice(fleet.nodes)
            kind = rng.choice(("freeze", "cut", "cut_from_store", "kill"))
            seconds = rng.uniform(0.2, 3.0)
            failure = rng.choice(
                (
                    lambda kind=kind, node=node, s=seconds: getattr(node, kind)(s),
                    lambda s=seconds: be_down(fleet.store, s),
                    lambda s=seconds: be_silent(fleet.store, s),
                    lambda s=seconds: lose_history(fleet.store, s),
                    lambda s=seconds: fleet.restore(s, rng.uniform(0.0, 0.5)),
                )
            )
            fleet.copy()
            running = asyncio.ensure_future(failure())
            for _ in range(rng.randrange(1, 5)):
                zone = rng.choice(ZONES)
                if not fleet.store.away:
                    step = fleet.take_back if zone in fleet.evacuated else fleet.evacuate
                    await step(zone)
                await asyncio.sleep(rng.uniform(0.0, 0.6))
            await running
            await asyncio.sleep(BOUNDS.contact_s)
            check_in_force(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("clients", [1, 20])
def test_the_steady_calls_do_not_grow_with_the_fleet(clients):
    """Three relays watch for 2 s each, and so do their clients at them."""

    async def calls_per_s(bounds):
        fleet = Fleet(3, clients, bounds)
        await fleet.configure()
        await asyncio.sleep(10.0)
        calls = fleet.store.calls
        await asyncio.sleep(60.0)
        calls = fleet.store.calls - calls
        await fleet.stop()
        return calls / 60.0

    async def scenario():
        added = await calls_per_s(BOUNDS) - await calls_per_s(OTHER_BOUNDS)
        assert added == pytest.approx(1.5, abs=0.1)

    run(scenario())


def test_a_fleet_without_the_bound_makes_no_further_call():
    async def scenario():
        fleet = Fleet(1, 1)
        await fleet.configure()
        await fleet.put_target(1)
        kinds = set()
        respond = fleet.store.server.watch

        async def watch(kind, revision, wait_s):
            kinds.add(kind)
            return await respond(kind, revision, wait_s)

        fleet.store.server.watch = watch
        await fleet.evacuate("a")
        await asyncio.sleep(10.0)
        assert kinds == {"config", "servers"}
        for node in fleet.nodes:
            assert node.instance.evacuation_feed is None
            assert node.instance.director.on_packet(syn(1, route=ROUTE), b"", now()).zone == "a"
        await fleet.stop()

    run(scenario())
