"""Tests of pearwell.agreement.instance_list."""

import asyncio
import json
import random

import pytest

from pearwell.agreement.instance_list import (
    INSTANCE_LIST_KIND,
    InstanceEntry,
    InstanceList,
    InstanceRegistration,
    ListedState,
    local_entry,
)
from pearwell.errors import Code, PlatformError
from pearwell.kernel import Kernel
from pearwell.object_store import MemoryObjectStore
from pearwell.settings import Settings
from tests.test_settings import VALID

ZONE = "pnw-a"


def entry(name, state=ListedState.LIVE):
    return InstanceEntry(name, "127.10.9.1", 1, 2, 3, state)


def make_list(store, seed=1):
    return InstanceList(store, ZONE, random.Random(seed))


async def listed_states(store):
    return {e.instance: e.state for e in (await make_list(store).read()).instances}


async def test_entries_are_added_replaced_and_removed():
    store = MemoryObjectStore()
    instances = make_list(store)
    assert await listed_states(store) == {}
    await instances.put(entry("a"))
    await instances.put(entry("b"))
    await instances.put(entry("a", ListedState.LEAVING))
    assert await listed_states(store) == {"a": ListedState.LEAVING, "b": ListedState.LIVE}
    await instances.remove("a")
    assert await listed_states(store) == {"b": ListedState.LIVE}


async def test_repeated_change_writes_nothing():
    store = MemoryObjectStore()
    instances = make_list(store)
    await instances.put(entry("a"))
    version = store.version
    await instances.put(entry("a"))
    await instances.remove("none")
    assert store.version == version


async def test_concurrent_registrations_are_all_listed():
    store = MemoryObjectStore()
    started = [make_list(store, seed).put(entry(f"entry-{seed}")) for seed in range(12)]
    await asyncio.gather(*started)
    assert len(await listed_states(store)) == 12


@pytest.mark.parametrize("value", [{"instances": 1}, {"instances": [{"instance": "a"}]}])
async def test_malformed_list_raises_bad_answer(value):
    store = MemoryObjectStore()
    await store.create(INSTANCE_LIST_KIND, ZONE, value)
    with pytest.raises(PlatformError) as caught:
        await make_list(store).read()
    assert caught.value.code is Code.PLATFORM_BAD_ANSWER


async def test_registration_retries_during_an_outage_and_marks_the_instance_leaving(monkeypatch):
    monkeypatch.setattr("pearwell.agreement.instance_list.REGISTER_RETRY_S", 0.0)
    settings = Settings.model_validate_json(json.dumps(VALID))
    store = MemoryObjectStore()
    store.faults.outage = True
    registration = InstanceRegistration(settings, make_list(store))
    await registration.start(Kernel())
    while store.calls.get("get", 0) < 3:
        await asyncio.sleep(0)
    store.faults.outage = False
    while not registration.registered:
        await asyncio.sleep(0)
    assert (await make_list(store).read()).instances == (local_entry(settings),)
    assert await registration.mark_leaving()
    assert await listed_states(store) == {"a": ListedState.LEAVING}
    assert await registration.remove()
    assert await listed_states(store) == {}
    store.faults.outage = True
    assert not await registration.mark_leaving()
