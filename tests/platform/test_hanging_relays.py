"""Tests of instances whose relays stop responding, in virtual time."""

import asyncio

import pytest

from tests.platform.store_fleet import BOUNDS, Fleet
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
