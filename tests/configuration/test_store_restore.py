"""Tests of a zone whose platform comes back from an older copy, in virtual time."""

import asyncio

import pytest

from tests.configuration_zone import IN_FORCE_LIMIT_S, start_zone, write_in_other_zone
from tests.virtual_time import run


@pytest.mark.parametrize("lost_changes", [0, 1, 3])
def test_a_change_after_a_restore_is_in_force_in_time(lost_changes):
    """Versions go back and are issued again, so a new change may have the version of a lost one."""

    async def scenario():
        store, zone, editor = await start_zone()
        copy = store.copy()
        for number in range(lost_changes):
            await write_in_other_zone(editor, 1.0 + number)
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        store.restore(copy)
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        await write_in_other_zone(editor, 9.0)
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        in_force = {instance.deadline_s for instance in zone.running_instances()}
        await zone.stop()
        assert in_force == {9.0}

    run(scenario())
