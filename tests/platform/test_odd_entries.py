"""Tests of the role as processes with odd entries of other writers among those of the targets."""

import asyncio
import contextlib

import pytest

from pearwell.errors import Code
from pearwell.platform.metrics_endpoint import METRICS_PORT
from tests.platform.raw_store import RawStore
from tests.platform.role_process import (
    CLIENT_IP,
    CONTROL_PORT,
    EVENT_TIMEOUT_S,
    IP,
    PACKET_PORT,
    READY_PORT,
    STORE_IP,
    STORE_PORT,
    RoleProcess,
    get,
    settings,
)
from tests.platform.test_extreme_values import ODD

HOST = (
    b'{"Service":"intake","Address":"10.128.0.9:8080","Zone":"pnw-a","State":"ready",'
    b'"Version":"v1","Concurrency":3,"WarmupLeftMs":0,"Sequence":4,"born":1764800000000%b}'
)
# Size of odd entries that are written at once.
BATCH_BYTES = 1_200_000
CONFIG = b'{"Version":4,"Routes":[],"Limits":{}}'
CALLER = {
    "Ip": CLIENT_IP,
    "ListenAddrs__DatagramAddr": f"{CLIENT_IP}:{PACKET_PORT}",
    "ListenAddrs__Ready": f"{CLIENT_IP}:{READY_PORT}",
    "ListenAddrs__Control": f"{CLIENT_IP}:{CONTROL_PORT}",
}


def field(key, value):
    """Returns the spec of a target of which one field is odd; of duplicate keys the last counts."""
    return HOST % (b',"%b":%b' % (key, value))


# Names and specs of odd entries.
ENTRIES = {
    **{
        f"unknown field: {key}": (b'"i-0000dddd"', field(b"x", value)) for key, value in ODD.items()
    },
    **{
        f"{key.decode()} {value.decode()[:20]}": (b'"i-0000dddd"', field(key, value))
        for key, values in {
            b"Address": [
                b'"10.128.0.9:%b"' % port
                for port in (b"0", b"65536", b"1000000000", b"-1", b"9" * 9_000, b" 80 ")
            ]
            + [
                b'"10.128.0.9:\xd9\xa8\xd9\xa0"',
                b'"10.128.0.9:"',
                b'":80"',
                b'"x"',
                b"80",
                b"[[]]",
            ],
            b"Service": [b'"\\udcff"', b'"a\\nb"', b'"%b"' % (b"s" * 1_000_000), b"{}", b"1e999"],
            b"Zone": [b'"\\ud800"', b'"\\u0000"', b'"%b"' % (b"z" * 1_000_000), b"[]", b"NaN"],
            b"State": [b'"gone"', b"[]", b"9" * 4_300],
            b"Concurrency": [b"-1", b"1e999", b"9" * 4_300, b'"3"', b"{}"],
            b"WarmupLeftMs": [b"-1e999", b"9" * 4_300, b"NaN", b"1e300", b'"x"'],
            b"born": [b"-1", b"1e999", b"9" * 4_300, b"NaN", b"[]", b"1.5"],
        }.items()
        for value in values
    },
    "a name without end": (b'"%b-01"' % (b"n" * 900_000), field(b"x", b"1")),
    "a name with a lone surrogate": (b'"i-\\ud800"', field(b"x", b"1")),
    "a name with a line break": (b'"i-\\n0001"', field(b"x", b"1")),
    "a name with bytes": (b'"i-\xff\xfe"', field(b"x", b"1")),
    "no name": (b'""', field(b"x", b"1")),
    "no object": (b'"i-0000dddd"', b"[]"),
    "null": (b'"i-0000dddd"', b"null"),
}


@contextlib.asynccontextmanager
async def running_instance(tmp_path, store):
    """Starts the store and an instance, which is a relay."""
    await store.start(STORE_IP, STORE_PORT)
    path = tmp_path / "relay.conf"
    path.write_text(settings(Bounds__EvacuateMs="5000"))
    try:
        async with RoleProcess(path) as role:
            yield role
    finally:
        await store.stop()


async def follows(role, event, name):
    """Waits until an instance logs an event of a target; fails if its process ends."""
    async with asyncio.timeout(EVENT_TIMEOUT_S):
        while f"target={name} " not in (line := await role.logged(event)):
            assert line, role.lines[-3:]


def failed(role):
    """Returns the lines of an instance that show an error beyond one entry.

    A connection may be lost on a busy machine, but not for what a response holds.
    """
    lost = ("event=store_lost ", "event=relay_lost ")
    found = [line for line in role.lines if any(event in line for event in lost)]
    found = [line for line in found if f"code={int(Code.PLATFORM_BAD_ANSWER)} " in line]
    errors = ("event=task_failed ", "event=entry_failed ")
    return found + [line for line in role.lines if any(event in line for event in errors)]


def count_lost(role):
    """Returns how often an instance has lost the store or a relay."""
    return sum("event=store_lost " in line or "event=relay_lost " in line for line in role.lines)


def batches():
    """Returns the odd entries, each with a name of its own, in parts that fit into one response."""
    found, size = [[]], 0
    for number, (name, spec) in enumerate(ENTRIES.values()):
        size += len(spec) + len(name)
        if size > BATCH_BYTES:
            found.append([])
            size = len(spec) + len(name)
        found[-1].append((name.replace(b"dddd", b"d%03d" % number), spec))
    return found


async def test_the_list_is_followed_beside_odd_entries(tmp_path):
    """One made the instances end, or stop following the list: at their start or as it arrives."""
    store = RawStore()
    store.put("config", b'"main"', CONFIG)
    store.put("config", b'"other"', field(b"x", ODD["120,000 levels"]))
    store.put("evacuations", b'"pnw-z"', ODD["500,000 levels"])
    for batch in batches():
        for name, spec in batch:
            store.put("servers", name, spec)
    store.put("servers", b'"i-00000001"', HOST % b"")
    async with running_instance(tmp_path, store) as role:
        await follows(role, "target_listed", "i-00000001")
        await role.logged("ready")
        for number, batch in enumerate(batches()):
            good = b"i-0001%04d" % number
            for name, spec in batch:
                store.put("servers", name, spec)
            store.put("servers", b'"%b"' % good, HOST % b"")
            await follows(role, "target_listed", good.decode())
        assert not failed(role)
        assert (await get(READY_PORT, "/ready"))[0] == 200
        assert (await get(METRICS_PORT, "/metrics"))[0] == 200
        assert any("event=zone_evacuated" in line for line in role.lines)


async def test_callers_of_a_relay_follow_the_list_beside_odd_entries(tmp_path):
    """The relay tells them what is left of each, so that they list the store for none of them."""
    store = RawStore()
    store.put("config", b'"main"', CONFIG)
    path = tmp_path / "caller.conf"
    path.write_text(settings(Bounds__EvacuateMs="5000", **CALLER))
    async with running_instance(tmp_path, store) as relay:
        await relay.logged("ready")
        # The caller starts once the relay serves, and needs the store for its start only.
        async with RoleProcess(path) as caller:
            await caller.logged("ready")
            await check_callers(store, relay, caller)


async def check_callers(store, *roles):
    """Checks that instances follow the list beside odd entries, without listing it again."""
    store.put("servers", b'"i-00000001"', HOST % b"")
    for role in roles:
        await follows(role, "target_listed", "i-00000001")
    lists = store.calls.count(("servers", "list"))
    for number, batch in enumerate(batches()):
        good = b"i-0001%04d" % number
        for name, spec in batch:
            store.put("servers", name, spec)
        store.put("servers", b'"%b"' % good, HOST % b"")
        for role in roles:
            await follows(role, "target_listed", good.decode())
        for name, _ in batch:
            store.remove("servers", name)
    # A list follows only the loss of a connection.
    made = store.calls.count(("servers", "list")) - lists
    assert made <= sum(map(count_lost, roles))
    assert not [line for role in roles for line in failed(role)]


@pytest.mark.parametrize(
    "value", [ODD["500,000 levels"], ODD["control characters"], ODD["4301 digits"]], ids=range(3)
)
async def test_an_entry_that_becomes_odd_names_no_target(value, tmp_path):
    store = RawStore()
    store.put("config", b'"main"', CONFIG)
    store.put("servers", b'"i-00000001"', HOST % b"")
    async with running_instance(tmp_path, store) as role:
        await follows(role, "target_listed", "i-00000001")
        await role.logged("ready")
        store.put("servers", b'"i-00000001"', field(b"x", value))
        await follows(role, "target_unlisted", "i-00000001")
        store.put("servers", b'"i-00000001"', HOST % b"")
        await follows(role, "target_listed", "i-00000001")
        assert not failed(role)


DIGITS = b"f" * 9_000
REQUESTS = {
    "length": b"GET /ready HTTP/1.1\r\nContent-Length: %b\r\n\r\n" % (b"9" * 9_000),
    "chunk": b"GET /ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%b\r\n" % DIGITS,
    "chunk without end": b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1" * 9_000,
    **{
        f"{key} of {len(digits)} digits": b"GET /objects/servers?%b HTTP/1.1\r\n\r\n" % query
        for digits in (b"9" * 400, b"9" * 5_000)
        for key, query in (
            ("revision", b"Watch=%b&WaitMs=0&Era=0" % digits),
            ("wait", b"Watch=0&WaitMs=%b&Era=0" % digits),
            ("era", b"Watch=0&WaitMs=0&Era=%b" % digits),
        )
    },
}


async def test_no_request_ends_an_instance(tmp_path):
    """One with numbers of thousands of digits did."""
    store = RawStore()
    store.put("config", b'"main"', CONFIG)
    async with running_instance(tmp_path, store) as role:
        await role.logged("ready")
        for request in REQUESTS.values():
            for port in (READY_PORT, CONTROL_PORT, METRICS_PORT):
                reader, writer = await asyncio.open_connection(IP, port)
                writer.write(request)
                async with asyncio.timeout(EVENT_TIMEOUT_S):
                    with contextlib.suppress(ConnectionError):
                        await reader.read(1_000)
                writer.close()
        assert (await get(READY_PORT, "/ready"))[0] == 200
        assert role.process.returncode is None
        assert not failed(role)
