"""Tests of writes of targets that the store executes late, in virtual time."""

import asyncio

import pytest

from pearwell.affinity.target import Target
from tests.affinity.builders import data, syn
from tests.platform.store_fleet import BOUNDS, HEARTBEAT_S, Fleet
from tests.virtual_time import run

ROUTE = bytes.fromhex("20fbc6120001")
NAME = "i-00000001"
STEP_S = 0.1


class Flow:
    """A client's flow through an instance, which uses it all the time."""

    def __init__(self, node):
        self.node = node
        self.seq, self.ack = 1001, 500
        target = node.send(syn(1, route=ROUTE))
        assert isinstance(target, Target)
        self.token = target.token
        self.use()

    def use(self):
        """Sends a request, which the target answers before the next one."""
        packet = data(1, self.token, seq=self.seq, ack=self.ack, route=ROUTE)
        self.seq, self.ack = self.seq + 100, self.ack + 100
        return self.node.send(packet)


async def use_flows(flows, seconds):
    """Uses flows for a time; fails if an instance resets one."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        for flow in flows:
            assert flow.node.take_resets() == []
            if flow.node.instance.lifecycle.forwards:
                assert isinstance(flow.use(), Target)
        await asyncio.sleep(STEP_S)


async def restarted_fleet(late_s):
    """Returns a fleet with a target that has restarted, and an earlier write that is still due."""
    fleet = Fleet(2, 3, BOUNDS)
    await fleet.configure()
    await fleet.put_target(1, born=1_000)
    await asyncio.sleep(10.0)
    fleet.lose_write(1, late_s)
    await asyncio.sleep(0.8)
    await fleet.put_target(1, born=9_000)
    await asyncio.sleep(1.5)
    return fleet


@pytest.mark.parametrize("late_s", [2.5, 3.0, 3.7, 5.5])
def test_a_late_write_of_before_a_restart_resets_no_flow(late_s):
    """All flows on the target were reset, and again at its next heartbeat."""

    async def scenario():
        fleet = await restarted_fleet(late_s)
        await use_flows([Flow(node) for node in fleet.nodes], 10.0)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("start_after_s", [0.05, 0.2, 0.4, 0.6])
@pytest.mark.parametrize("victim", [0, 2])
def test_an_instance_that_starts_at_a_late_write_resets_no_flow(start_after_s, victim):
    """It lists the earlier incarnation and doesn't know that a later one lives."""

    async def scenario():
        late_s = 4.0
        fleet = await restarted_fleet(late_s)
        flows = [Flow(node) for node in fleet.nodes]
        await use_flows(flows, late_s - 2.3 - 0.1)
        kill = asyncio.ensure_future(fleet.nodes[victim].kill(0.1 + start_after_s))
        await use_flows(flows, 10.0)
        await kill
        await fleet.stop()

    run(scenario())


def test_a_target_that_restarts_with_its_clock_set_back_gets_flows_again():
    """Its entry looks older than that of its earlier start, and is told once."""

    async def scenario():
        fleet = Fleet(2, 3, BOUNDS)
        await fleet.configure()
        await fleet.put_target(1, born=9_000)
        await asyncio.sleep(10.0)
        await fleet.put_target(1, born=1_000, host=9)
        await asyncio.sleep(6 * HEARTBEAT_S + BOUNDS.config_s + 2.0)
        for node in fleet.nodes:
            assert node.instance.directory.find_by_name(NAME).address == ("10.0.0.9", 8000)
            assert isinstance(node.send(syn(1, route=ROUTE)), Target)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("late_s", [0.9, 3.3, 5.9])
def test_a_late_write_of_before_a_drain_brings_no_new_flows(late_s):
    """Flows opened on the target until its next heartbeat, 6 s after the drain was told."""

    async def scenario():
        fleet = Fleet(2, 3, BOUNDS)
        await fleet.configure()
        await fleet.put_target(1)
        await fleet.put_target(2)
        await asyncio.sleep(10.0)
        fleet.lose_write(1, late_s)
        await asyncio.sleep(0.1)
        await fleet.put_target(1, state="draining")
        await asyncio.sleep(BOUNDS.drain_s)
        loop, number = asyncio.get_running_loop(), 0
        end = loop.time() + 6.0
        while loop.time() < end:
            number += 1
            for node in fleet.nodes:
                assert node.send(syn(number, route=ROUTE)).name == "i-00000002"
            await asyncio.sleep(0.03)
        await fleet.stop()

    run(scenario())
