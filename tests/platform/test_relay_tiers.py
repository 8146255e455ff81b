"""Tests of fleets whose relays hand clients on to one another, in virtual time."""

import asyncio
import random
from collections import Counter

import pytest

from pearwell.affinity import relay as relay_module
from pearwell.affinity.relay import max_relay_hops
from tests.platform import store_fleet
from tests.platform.store_fleet import started_fleet
from tests.virtual_time import run

ZONES = ("a", "b", "c", "d", "e")
# Time limit of the users' large deployments for a change to be in force.
BOUND_S = 5.0
INSTANCES = 40
TARGETS = 4
# Few clients a relay give a small fleet the tiers of a large one.
MAX_CLIENTS = 3


@pytest.fixture(autouse=True)
def few_clients_for_each_relay(monkeypatch):
    monkeypatch.setattr(relay_module, "MAX_CLIENTS", MAX_CLIENTS)


async def large_fleet(zones=ZONES, hops=1):
    """Starts a fleet of seeds and clients, and waits until each has its relay."""
    return await started_fleet(TARGETS, 8.0, 3, INSTANCES, zones=zones, max_hops=hops)


def clients_of(node):
    return node.relay.clients.active(node.now())


async def check_change_in_time(fleet, nodes):
    await fleet.configure()
    await fleet.put_target(TARGETS + fleet.version)
    await asyncio.sleep(BOUND_S)
    for node in nodes:
        assert node.versions[-1][1] == fleet.version
        assert len(node.instance.directory) == len(fleet.entries)


@pytest.mark.parametrize("zones", [ZONES, ("a",)], ids=len)
def test_no_instance_serves_a_share_of_the_fleet_that_grows(zones):
    async def scenario():
        fleet = await large_fleet(zones, hops=2)
        clients = [len(clients_of(node)) for node in fleet.nodes]
        assert max(clients) <= MAX_CLIENTS + len(zones)
        assert sum(clients) >= INSTANCES
        calls = sum(client.store_calls for client in fleet.clients)
        await check_change_in_time(fleet, fleet.nodes)
        assert sum(client.store_calls for client in fleet.clients) == calls
        await fleet.stop()

    run(scenario())


def test_traffic_between_zones_is_that_of_the_seeds():
    async def scenario():
        fleet = await large_fleet()
        zones = {node.ip: node.zone for node in fleet.nodes}
        crossing = Counter(
            zones[ip] != node.zone for node in fleet.clients for ip in clients_of(node)
        )
        assert crossing[True] == 0 < crossing[False]
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("fault", ["freeze", "cut", "cut_from_store"])
@pytest.mark.parametrize("tier", ["seeds", "relays", "one of each"])
def test_changes_are_in_force_in_time_while_a_tier_fails(fault, tier):
    async def scenario():
        fleet = await large_fleet()
        relays = [client for client in fleet.clients if clients_of(client)]
        assert relays
        failing = {
            "seeds": fleet.relays,
            "relays": relays,
            "one of each": [fleet.relays[0], relays[0]],
        }[tier]
        running = [asyncio.ensure_future(getattr(node, fault)(12.0)) for node in failing]
        others = [node for node in fleet.nodes if node not in failing]
        for offset_s in (0.0, 0.4):
            await asyncio.sleep(offset_s)
            await check_change_in_time(fleet, others)
        await asyncio.gather(*running)
        await asyncio.sleep(store_fleet.BOUNDS.contact_s)
        await check_change_in_time(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("delay_s", [0.3, 1.0, 1.9])
def test_failures_of_two_tiers_one_after_the_other_do_not_add_up(delay_s):
    """The seeds lose the store, and before they tell so, the relays behind them hang."""

    async def scenario():
        fleet = await large_fleet()
        relays = [client for client in fleet.clients if clients_of(client)]
        running = [asyncio.ensure_future(seed.cut_from_store(12.0)) for seed in fleet.relays]
        await asyncio.sleep(0.1)
        await fleet.configure()
        written_at = asyncio.get_running_loop().time()
        await asyncio.sleep(delay_s)
        running += [asyncio.ensure_future(relay.freeze(12.0)) for relay in relays]
        await asyncio.sleep(BOUND_S - delay_s)
        for client in fleet.clients:
            if client not in relays:
                assert client.versions[-1][1] == fleet.version
                assert client.versions[-1][0] <= written_at + BOUND_S
        await asyncio.gather(*running)
        await fleet.stop()

    run(scenario())


def test_relays_that_call_one_another_do_not_keep_a_stale_state():
    """The age counts from the store's response, so that relays in a loop become stale."""

    async def scenario():
        fleet = await large_fleet()
        one, two = [client for client in fleet.clients if clients_of(client)][:2]
        for node, other in ((one, two), (two, one)):
            for scheduler, sync in zip(
                (node.instance.config_scheduler, node.instance.target_scheduler),
                node.syncs,
                strict=True,
            ):
                scheduler.on_handed_on(f"{other.ip}:{store_fleet.PORT}")
                sync._relays[-1].redirect(f"{other.ip}:{store_fleet.PORT}")
        await check_change_in_time(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_instances_that_start_during_growth_and_restarts_are_served_by_relays(share):
    async def scenario():
        fleet = await large_fleet()
        before = fleet.store.calls
        added = [fleet.start_client() for _ in range(int(share * INSTANCES))]
        await asyncio.sleep(1.0)
        for node in added:
            assert node.versions[-1][1] == fleet.version
        assert sum(node.store_calls for node in added) == 0
        assert fleet.store.calls - before < 20
        await check_change_in_time(fleet, fleet.nodes)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_in_all_tiers(seed):
    """Changes made in calm are known in time, and versions never decrease."""

    async def scenario():
        rng = random.Random(seed)
        fleet = await large_fleet()
        running = []
        for _ in range(25):
            relays = [node for node in fleet.nodes if clients_of(node)]
            node = rng.choice(relays if rng.random() < 0.7 else fleet.nodes)
            fault = rng.choice((node.freeze, node.cut, node.cut_from_store))
            running.append(asyncio.ensure_future(fault(rng.uniform(0.2, 4.0))))
            await fleet.configure()
            if rng.random() < 0.1:
                fleet.copy()
            if rng.random() < 0.1:
                running.append(asyncio.ensure_future(fleet.restore(rng.choice((0.0, 1.0)))))
            await asyncio.sleep(rng.uniform(0.0, 0.8))
        await asyncio.gather(*running)
        await asyncio.sleep(store_fleet.BOUNDS.contact_s)
        await check_change_in_time(fleet, fleet.nodes)
        for node in fleet.nodes:
            versions = [version for _, version in node.versions]
            assert versions == sorted(versions)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize(
    ("bound_s", "hops"), [(0.5, 0), (3.0, 0), (4.4, 1), (5.0, 1), (6.0, 2), (20.0, 14)]
)
def test_the_bound_of_changes_limits_the_hops(bound_s, hops):
    assert max_relay_hops(bound_s) == hops
