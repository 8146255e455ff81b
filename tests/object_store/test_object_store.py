"""Tests of pearwell.object_store: conditional updates, faults, watches, retries."""

import asyncio
import random
from collections import deque

import pytest

from pearwell.errors import Code, PlatformError
from pearwell.object_store import (
    MAX_VALUE_BYTES,
    Fault,
    MemoryObjectStore,
    RetryBudget,
    RetryingObjectStore,
    RetryPolicy,
)
from tests.virtual_time import run

FAULTS = [fault for fault in Fault if fault is not Fault.STALE]


def retrying_store(store, **arguments):
    return RetryingObjectStore(store, asyncio.get_running_loop(), random.Random(1), **arguments)


async def next_events(events, count):
    return [await anext(events) for _ in range(count)]


@pytest.mark.parametrize(
    ("operation", "code"),
    [
        (lambda s: s.get("group", "none"), Code.PLATFORM_NOT_FOUND),
        (lambda s: s.create("group", "a", {}), Code.PLATFORM_ALREADY_EXISTS),
        (lambda s: s.update("group", "a", {}, 7), Code.PLATFORM_CONFLICT),
        (lambda s: s.update("group", "none", {}, 1), Code.PLATFORM_NOT_FOUND),
        (lambda s: s.delete("group", "a", 7), Code.PLATFORM_CONFLICT),
        (lambda s: s.create("group", "b", {"x": "y" * MAX_VALUE_BYTES}), Code.PLATFORM_TOO_LARGE),
        (lambda s: anext(s.watch("group", 0)), Code.PLATFORM_WATCH_EXPIRED),
    ],
)
def test_a_rejected_call_has_a_code_and_changes_nothing(operation, code):
    async def scenario():
        store = MemoryObjectStore(history=2)
        await store.create("group", "a", {"n": 1})
        await store.update("group", "a", {"n": 2}, 1)
        await store.update("group", "a", {"n": 3}, 2)
        with pytest.raises(PlatformError) as rejected:
            await operation(store)
        assert rejected.value.code is code
        assert (await store.get("group", "a")).value == {"n": 3}

    run(scenario())


def test_list_pages_in_order_of_name():
    async def scenario():
        store = MemoryObjectStore()
        for name in "cab":
            await store.create("group", name, {})
        first = await store.list("group", limit=2)
        rest = await store.list("group", limit=2, token=first.next_token)
        return [s.name for s in first.items], [s.name for s in rest.items], rest.next_token

    assert run(scenario()) == (["a", "b"], ["c"], "")


@pytest.mark.parametrize(
    ("switches", "versions"),
    [
        ({}, [1, 2]),
        ({"duplicate_events": True}, [1, 1, 2, 2]),
        ({"repeat_old_events": True}, [1, 2, 1]),
        ({"event_delay_s": 3.0}, [1, 2]),
    ],
)
def test_watch_delivers_events_with_the_injected_faults(switches, versions):
    async def scenario():
        store = MemoryObjectStore()
        for name, value in switches.items():
            setattr(store.faults, name, value)
        await store.create("group", "a", {})
        await store.create("service", "other", {})
        await store.update("group", "a", {}, 1)
        seen = [e.stored.version for e in await next_events(store.watch("group", 0), len(versions))]
        return [1 if version == 1 else 2 for version in seen]

    assert run(scenario()) == versions


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("operation", ["get", "list", "create", "update", "delete"])
def test_a_call_retried_after_a_single_fault_takes_effect_exactly_once(operation, fault):
    async def scenario():
        store = MemoryObjectStore()
        await store.create("group", "a", {"key": "first"})
        store.faults.plan = deque([fault])
        calls = {
            "get": lambda s: s.get("group", "a"),
            "list": lambda s: s.list("group"),
            "create": lambda s: s.create("group", "b", {"key": "second"}),
            "update": lambda s: s.update("group", "a", {"key": "second"}, 1),
            "delete": lambda s: s.delete("group", "a", 1),
        }
        await calls[operation](retrying_store(store))
        return store.version

    assert run(scenario()) == (1 if operation in ("get", "list") else 2)


@pytest.mark.parametrize("operation", ["create", "update"])
def test_retrying_a_lost_request_after_a_concurrent_write_is_a_conflict(operation):
    async def scenario():
        store = MemoryObjectStore()
        await store.create("group", "a", {"key": "first"})
        client = retrying_store(store)
        store.faults.plan = deque([Fault.LOST_REQUEST])
        name = "a" if operation == "update" else "b"
        write = client.update("group", "a", {"key": "mine"}, 1)
        if operation == "create":
            write.close()
            write = client.create("group", "b", {"key": "mine"})
        task = asyncio.ensure_future(write)
        await asyncio.sleep(0)
        concurrent_write = store.update("group", "a", {"key": "theirs"}, 1)
        if operation == "create":
            concurrent_write.close()
            concurrent_write = store.create("group", "b", {"key": "theirs"})
        await concurrent_write
        with pytest.raises(PlatformError) as rejected:
            await task
        return rejected.value.code, (await store.get("group", name)).value["key"]

    code, key = run(scenario())
    assert (code, key) == (
        (Code.PLATFORM_CONFLICT if operation == "update" else Code.PLATFORM_ALREADY_EXISTS),
        "theirs",
    )


def test_retries_in_an_outage_are_bounded_by_the_deadline_and_the_budget():
    async def scenario():
        store = MemoryObjectStore()
        store.faults.outage = True
        budget = RetryBudget(capacity=10, tokens_per_success=0.5)
        client = retrying_store(store, budget=budget)
        codes = []
        for _ in range(5):
            with pytest.raises(PlatformError) as failed:
                await client.get("group", "a")
            codes.append(failed.value.code)
        calls, now = store.calls["get"], asyncio.get_running_loop().now()
        store.faults.outage = False
        await store.create("group", "a", {})
        await client.get("group", "a")
        return calls, now, codes, budget.tokens

    calls, now, codes, tokens = run(scenario())
    assert calls == 15
    assert now <= 5 * RetryPolicy().deadline_s
    assert codes[-1] is Code.PLATFORM_RETRY_BUDGET
    assert tokens == 0.5


def test_an_attempt_timeout_must_be_shorter_than_the_deadline():
    with pytest.raises(ValueError, match="attempt_timeout_s"):
        RetryPolicy(attempt_timeout_s=5.0, deadline_s=5.0)
