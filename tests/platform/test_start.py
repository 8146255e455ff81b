"""Tests of instances that start without calls to the store, in virtual time."""

import asyncio

import pytest

from tests.platform.store_fleet import started_fleet
from tests.virtual_time import run

TARGETS = 60


def check_state(fleet, node):
    assert node.versions[-1][1] == fleet.version
    assert len(node.instance.directory) == len(fleet.entries)


def test_an_instance_that_starts_is_served_by_a_relay():
    async def scenario():
        fleet = await started_fleet(TARGETS, 10.0, 3, 2)
        started = fleet.start_client()
        await asyncio.sleep(0.1)
        check_state(fleet, started)
        assert started.store_calls == 0
        await fleet.configure()
        await asyncio.sleep(1.0)
        check_state(fleet, started)
        assert started.store_calls == 0
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize(
    ("fault", "start_s"), [("freeze", 0.8), ("cut", 0.8), ("cut_from_store", 0.1)]
)
def test_a_start_while_its_relays_fail_is_not_held_up(fault, start_s):
    """A relay that does not respond costs less than half a second; the store is listed then."""

    async def scenario():
        fleet = await started_fleet(TARGETS, 10.0, 3, 2)
        running = [asyncio.ensure_future(getattr(relay, fault)(8.0)) for relay in fleet.relays]
        await asyncio.sleep(3.0)
        await fleet.configure()
        started = fleet.start_client()
        await asyncio.sleep(start_s)
        check_state(fleet, started)
        await asyncio.gather(*running)
        await fleet.stop()

    run(scenario())


def test_a_fleet_that_starts_at_once_makes_few_calls_to_the_store():
    """A relay that is starting too responds once it has listed the store."""

    async def scenario():
        fleet = await started_fleet(TARGETS, 10.0, 3, 0)
        for relay in fleet.relays:
            await relay.stop()
        fleet.relays = [fleet.start_relay() for _ in range(3)]
        clients = [fleet.start_client() for _ in range(40)]
        await asyncio.sleep(5.0)
        for client in clients:
            check_state(fleet, client)
        assert sum(client.store_calls for client in clients) == 0
        await fleet.stop()

    run(scenario())
