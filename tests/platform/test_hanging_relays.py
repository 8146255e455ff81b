"""Tests of instances whose relays stop responding, in virtual time."""

import asyncio

import pytest

from pearwell.affinity.target import Target
from pearwell.affinity.token import token_of
from pearwell.errors import Code
from tests.affinity.builders import data
from tests.platform.store_fleet import BOUNDS, EVACUATION_BOUNDS, Fleet
from tests.virtual_time import run


@pytest.mark.parametrize(
    "faults",
    [
        ["freeze"],
        ["cut"],
        ["freeze", "freeze"],
        ["cut", "cut"],
        ["freeze", "freeze", "freeze"],
        ["cut", "cut", "cut"],
        ["cut_from_store", "freeze"],
        ["cut_from_store", "cut"],
        ["cut_from_store", "cut_from_store", "freeze"],
        ["freeze", "cut_from_store", "cut"],
    ],
    ids="-".join,
)
@pytest.mark.parametrize("offset_s", [0.0, 0.3, 0.6, 0.9])
def test_a_change_is_in_force_in_time_while_relays_hang(faults, offset_s):
    """Each relay costs a timeout, or up to 2.2 s if it has lost the store; two use up the bound."""

    async def scenario():
        fleet = Fleet(3, 2)
        await fleet.configure()
        await asyncio.sleep(20.0 + offset_s)
        running = [
            asyncio.ensure_future(getattr(relay, fault)(8.0))
            for relay, fault in zip(fleet.relays, faults, strict=False)
        ]
        for _ in range(4):
            await fleet.configure()
            written_at, version = asyncio.get_running_loop().time(), fleet.version
            await asyncio.sleep(BOUNDS.config_s)
            for client in fleet.clients:
                assert client.versions[-1] >= (written_at, version)
                assert client.versions[-1][1] == version
        await asyncio.gather(*running)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("offset_s", [0.0, 0.25, 0.5, 0.75])
@pytest.mark.parametrize("then", ["freeze", "cut"])
@pytest.mark.parametrize("after_s", [0.4, 0.8, 1.2, 1.5, 1.7, 1.9, 2.1, 2.3])
def test_what_a_relay_tells_is_never_older_than_the_bound(after_s, then, offset_s):
    """Its cache was up to 2.2 s old when it stopped, and each caller waited for 2 s more."""

    async def scenario():
        fleet = Fleet(3, 4)
        await fleet.configure()
        await fleet.put_target(1)
        await fleet.put_target(2)
        await asyncio.sleep(20.0 + offset_s)
        relay = fleet.relays[0]
        running = [asyncio.ensure_future(relay.cut_from_store(9.0))]
        await asyncio.sleep(0.05)
        await fleet.configure()
        await fleet.put_target(1, state="draining")
        await fleet.remove_target(2)
        written_at = asyncio.get_running_loop().time()
        await asyncio.sleep(after_s - 0.05)
        running.append(asyncio.ensure_future(getattr(relay, then)(5.0)))
        await asyncio.sleep(written_at + BOUNDS.config_s - asyncio.get_running_loop().time())
        for client in fleet.clients:
            assert client.versions[-1][1] == fleet.version
            directory = client.instance.directory
            assert directory.find_by_name("i-00000001").draining
            assert not directory.find_by_name("i-00000002").listed
        await asyncio.gather(*running)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("bounds", [BOUNDS, EVACUATION_BOUNDS], ids=["3 s", "5 s"])
@pytest.mark.parametrize("pause_s", [0.1, 0.4, 1.3, 20.0])
def test_callers_of_relays_that_respond_do_not_ask_the_store(bounds, pause_s):
    """Hundreds of them would, for each kind, if what relays tell looked old in calm or change."""

    async def scenario():
        fleet = Fleet(3, 10, bounds)
        await fleet.configure()
        await fleet.put_target(1)
        await asyncio.sleep(10.0)
        calls = [client.store_calls for client in fleet.clients]
        for change in range(max(1, round(20.0 / pause_s))):
            await fleet.put_target(1, state=("draining", "ready")[change % 2])
            await fleet.configure()
            await asyncio.sleep(pause_s)
        assert [client.store_calls for client in fleet.clients] == calls
        await fleet.stop()

    run(scenario())


# Time between two transmissions of a client's packet, and in which one has to be answered: a call
# to the store, and the next transmission.
TRANSMISSION_S, ANSWER_S = 0.2, 0.5
ROUTE = bytes.fromhex("20fbc6120001")
FAULTS = [
    [],
    ["freeze"],
    ["cut"],
    ["freeze", "freeze", "freeze"],
    ["cut", "cut", "cut"],
    ["cut_from_store"] * 3,
    ["cut_from_store", "freeze", "cut"],
]


async def send_until_answered(client, name):
    """Sends a packet with a target's token, as its client does; returns decision and time."""
    started = client.now()
    packet = data(1, token_of(name), route=ROUTE)
    while True:
        decision = client.send(packet)
        if decision is not Code.FLOW_UNSETTLED:
            return decision, client.now() - started
        resume_at = client.now() + TRANSMISSION_S
        while client.now() < resume_at:
            await asyncio.sleep(0.01)
            if client.take_resets():
                return Code.FLOW_UNKNOWN_TOKEN, client.now() - started


@pytest.mark.parametrize("faults", FAULTS, ids="-".join)
@pytest.mark.parametrize("heard_after_s", [0.0, 0.05, 0.4, 1.0, 1.9])
def test_flows_on_a_target_not_yet_known_are_not_reset(faults, heard_after_s):
    """Instances whose relay stood still or had lost the store reset flows on a new target."""

    async def scenario():
        fleet = Fleet(3, 4)
        await fleet.configure()
        await fleet.put_target(1)
        for offset_s in (0.0, 0.3, 0.7):
            await asyncio.sleep(20.0 + offset_s)
            running = [
                asyncio.ensure_future(getattr(relay, fault)(3.0))
                for relay, fault in zip(fleet.relays, faults, strict=False)
            ]
            number = 2 + round(10 * offset_s)
            await fleet.put_target(number)
            await asyncio.sleep(heard_after_s)
            sent = [send_until_answered(client, f"i-{number:08x}") for client in fleet.clients]
            for decision, seconds in await asyncio.gather(*sent):
                assert isinstance(decision, Target)
                assert seconds <= ANSWER_S
            await asyncio.gather(*running)
        await fleet.stop()

    run(scenario())


@pytest.mark.parametrize("faults", FAULTS, ids="-".join)
def test_flows_on_a_target_that_is_gone_are_reset_soon(faults):
    """Their clients would else wait for a response until their deadlines."""

    async def scenario():
        fleet = Fleet(3, 4)
        await fleet.configure()
        await fleet.put_target(1)
        await asyncio.sleep(20.0)
        running = [
            asyncio.ensure_future(getattr(relay, fault)(3.0))
            for relay, fault in zip(fleet.relays, faults, strict=False)
        ]
        await asyncio.sleep(0.3)
        sent = [send_until_answered(client, "i-000000ff") for client in fleet.clients]
        for decision, seconds in await asyncio.gather(*sent):
            assert decision is Code.FLOW_UNKNOWN_TOKEN
            assert seconds <= ANSWER_S
        await asyncio.gather(*running)
        await fleet.stop()

    run(scenario())
