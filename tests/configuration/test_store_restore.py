"""Tests of a zone whose platform comes back from an older copy, in virtual time."""

import asyncio
import random

import pytest

from pearwell.configuration import edits
from pearwell.configuration.audit import Action
from pearwell.configuration.editor import ConfigurationEditor, WriteRequest
from pearwell.model.configuration import Kind
from pearwell.object_store import MemoryObjectStore
from tests.configuration_zone import GROUP, IN_FORCE_LIMIT_S, start_zone, write_in_other_zone
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


class RestoringStore(MemoryObjectStore):
    """Is restored before or after the n-th call of an operator's write."""

    def __init__(self):
        super().__init__()
        self.armed_call = None
        self.after = False
        self.saved = None

    async def _begin_call(self, operation):
        if self.armed_call == 0 and not self.after:
            self.restore(self.saved)
        fault = await super()._begin_call(operation)
        if self.armed_call == 0 and self.after:
            asyncio.get_running_loop().call_soon(self.restore, self.saved)
        if self.armed_call is not None:
            self.armed_call -= 1
        return fault


@pytest.mark.parametrize("call", range(4))
@pytest.mark.parametrize("after", [False, True])
@pytest.mark.parametrize("restores", [1, 2])
def test_a_write_under_a_condition_does_not_undo_what_came_after_a_restore(call, after, restores):
    """The revision of the lost state is issued again for another change."""

    async def scenario():
        store = RestoringStore()
        editor = ConfigurationEditor(store, random.Random(1), "a", lambda: 0.0)
        other = ConfigurationEditor(store, random.Random(2), "b", lambda: 0.0)
        await write(editor, Action.CREATE, "k0", edits.create(GROUP))
        store.saved = store.copy()
        await write(editor, Action.DRAIN_TARGET, "k1", edits.drain_target("g", "t1", 1.0))
        for _ in range(restores):
            store.restore(store.saved)
        await write(other, Action.DRAIN_TARGET, "k2", edits.drain_target("g", "t2", 2.0))
        store.armed_call, store.after = call, after
        for _ in range(5):
            # The operator repeats a change that is lost.
            await write(editor, Action.DRAIN_TARGET, "k3", edits.drain_target("g", "t3", 3.0))
            await asyncio.sleep(0.0)
        await write(other, Action.DRAIN_TARGET, "k2", edits.drain_target("g", "t2", 2.0))
        stored = await store.get("group", "g")
        deadlines = [target.get("drain_deadline_s") for target in stored.value["spec"]["targets"]]
        assert deadlines == [0.0, 2.0, 3.0]

    run(scenario())


async def write(editor, action, key, edit):
    return await editor.write(WriteRequest(Kind.GROUP, "g", action, key, "f" + key, "ada"), edit)
