"""Tests of instances whose relays stop responding, in virtual time."""

import asyncio

import pytest

from tests.platform.store_fleet import BOUNDS, Fleet
from tests.virtual_time import run


@pytest.mark.parametrize("fault", ["freeze", "cut"])
@pytest.mark.parametrize("relays", [[0], [0, 1], [0, 1, 2]])
@pytest.mark.parametrize("offset_s", [0.0, 0.3, 0.6, 0.9])
def test_a_change_is_in_force_in_time_while_relays_hang(fault, relays, offset_s):
    """Each relay that hangs costs a timeout; two in a row must not use up the bound."""

    async def scenario():
        fleet = Fleet(3, 2)
        await fleet.configure()
        await asyncio.sleep(20.0 + offset_s)
        faults = [asyncio.ensure_future(getattr(fleet.relays[n], fault)(8.0)) for n in relays]
        for _ in range(4):
            await fleet.configure()
            written_at, version = asyncio.get_running_loop().time(), fleet.version
            await asyncio.sleep(BOUNDS.config_s)
            for client in fleet.clients:
                assert client.versions[-1] >= (written_at, version)
                assert client.versions[-1][1] == version
        await asyncio.gather(*faults)
        await fleet.stop()

    run(scenario())
