"""Tests of pearwell.object_store.platform_client against the stand-in, on real sockets."""

import asyncio
import contextlib

import aiohttp
import pytest

from pearwell.errors import Code, PlatformError
from pearwell.object_store import MemoryObjectStore, WatchEventType
from pearwell.object_store.platform_client import PlatformClient
from pearwell.standins.platform import PlatformStandin
from tests.addresses import loopback_address

ADDRESS = loopback_address()
PORT = 20800
URL = f"http://{ADDRESS}:{PORT}"


@contextlib.asynccontextmanager
async def platform(**arguments):
    standin = PlatformStandin(MemoryObjectStore(**arguments))
    await standin.start(ADDRESS, PORT)
    try:
        async with PlatformClient(URL) as client:
            yield standin, client
    finally:
        await standin.stop()


async def test_objects_are_created_updated_listed_and_deleted():
    async with platform() as (_, client):
        created = await client.create("group", "a", {"n": 1})
        updated = await client.update("group", "a", {"n": 2}, created.version)
        assert updated.version > created.version
        assert await client.get("group", "a") == updated
        await client.create("group", "b", {})
        page = await client.list("group", limit=1)
        assert [s.name for s in page.items] == ["a"]
        assert page.next_token
        assert [s.name for s in (await client.list("group")).items] == ["a", "b"]
        await client.delete("group", "a", updated.version)
        assert [s.name for s in (await client.list("group")).items] == ["b"]
        assert client.calls == {"create": 2, "update": 1, "get": 1, "list": 3, "delete": 1}


@pytest.mark.parametrize(
    ("operation", "code"),
    [
        (lambda c: c.get("group", "none"), Code.PLATFORM_NOT_FOUND),
        (lambda c: c.create("group", "a", {}), Code.PLATFORM_ALREADY_EXISTS),
        (lambda c: c.update("group", "a", {}, 999), Code.PLATFORM_CONFLICT),
        (lambda c: c.delete("group", "a", 999), Code.PLATFORM_CONFLICT),
        (lambda c: c.create("group", "big", {"x": "y" * 1_000_001}), Code.PLATFORM_TOO_LARGE),
        (lambda c: anext(c.watch("group", 0)), Code.PLATFORM_WATCH_EXPIRED),
    ],
)
async def test_rejected_calls_have_codes(operation, code):
    async with platform(history=1) as (standin, client):
        await standin.store.create("service", "s", {})
        await standin.store.create("group", "a", {})
        with pytest.raises(PlatformError) as rejected:
            await operation(client)
        assert rejected.value.code is code


@pytest.mark.parametrize(
    ("switches", "code", "effect"),
    [
        ({"outage": True}, Code.PLATFORM_UNAVAILABLE, False),
        ({"lose_requests": 1}, Code.PLATFORM_UNAVAILABLE, False),
        ({"lose_answers": 1}, Code.PLATFORM_UNAVAILABLE, True),
    ],
)
async def test_fault_switches_are_set_over_http(switches, code, effect):
    async with platform() as (standin, client), aiohttp.ClientSession() as session:
        async with session.put(f"{URL}/standin/faults", json=switches) as response:
            assert response.status == 200
        with pytest.raises(PlatformError) as failed:
            await client.create("group", "a", {})
        assert failed.value.code is code
        assert (standin.store.version == 1) == effect
        async with session.put(f"{URL}/standin/faults", json={"nonsense": 1}) as response:
            assert response.status == 400


async def test_watch_streams_large_events_resumes_and_ends_with_an_outage():
    async with platform() as (standin, client):
        await standin.store.create("group", "a", {"x": "y" * 900_000})
        events = client.watch("group", 0)
        first = await anext(events)
        waiting = asyncio.ensure_future(anext(events))
        await standin.store.update("group", "a", {"x": ""}, 1)
        await standin.store.delete("group", "a", 2)
        kinds = [first.type, (await waiting).type, (await anext(events)).type]
        assert kinds == [WatchEventType.ADDED, WatchEventType.MODIFIED, WatchEventType.DELETED]
        resumed = client.watch("group", 1)
        assert (await anext(resumed)).stored.version == 2
        await resumed.aclose()
        await standin.store.create("service", "s", {})
        bookmark = await anext(events)
        assert (bookmark.type, bookmark.stored.version) == (WatchEventType.BOOKMARK, 4)
        standin.store.faults.outage = True
        standin.store.wake_watches()
        with pytest.raises(PlatformError) as ended:
            await anext(events)
        assert ended.value.code is Code.PLATFORM_UNAVAILABLE
        assert client.calls == {"watch": 2}


async def restored_platform(standin, client):
    """Loses two updates of an object, and updates another one up to their last revision."""
    await client.create("group", "a", {"n": 1})
    copy = standin.store.copy()
    lost = await client.create("group", "b", {"n": 2})
    lost = await client.update("group", "b", {"n": 3}, lost.version)
    standin.store.restore(copy)
    await standin.store.create("group", "b", {"n": 7})
    await standin.store.update("group", "b", {"n": 8}, standin.store.version)
    return lost


async def test_versions_increase_across_a_restore():
    async with platform() as (standin, client):
        lost = await restored_platform(standin, client)
        found = await client.get("group", "b")
        assert found.version > lost.version
        assert (await client.list("group")).version >= found.version


async def test_a_watch_does_not_resume_in_another_era():
    """The platform has issued the revision again, and would resume from it."""
    async with platform() as (standin, client):
        lost = await restored_platform(standin, client)
        with pytest.raises(PlatformError) as caught:
            await anext(client.watch("group", lost.version))
        assert caught.value.code is Code.PLATFORM_WATCH_EXPIRED


@pytest.mark.parametrize("era_known", [True, False])
@pytest.mark.parametrize(
    "write",
    [
        lambda client, version: client.update("group", "b", {"n": 9}, version),
        lambda client, version: client.delete("group", "b", version),
    ],
    ids=["update", "delete"],
)
async def test_a_condition_on_a_lost_version_conflicts(write, era_known):
    async with platform() as (standin, client):
        lost = await restored_platform(standin, client)
        if era_known:
            await client.list("group")
        with pytest.raises(PlatformError) as caught:
            await write(client, lost.version)
        assert caught.value.code is Code.PLATFORM_CONFLICT
        if era_known:
            assert (await client.get("group", "b")).value == {"n": 8}
