"""Tests of starts of the role under trouble from outside, which ended the process."""

import asyncio
import os
import resource
import shutil
import signal
import socket

import pytest

from pearwell.affinity.hints import encode_hint
from pearwell.platform.metrics_endpoint import METRICS_PORT
from pearwell.soak.processes import ROOT
from pearwell.standins.object_server import ObjectServer
from tests.platform.role_process import (
    CONTROL_PORT,
    EVENT_TIMEOUT_S,
    IP,
    PACKET_PORT,
    READY_PORT,
    STORE_IP,
    STORE_PORT,
    RoleProcess,
    settings,
)

HINT_PORT = 20831


async def start_store():
    server = ObjectServer()
    await server.start(STORE_IP, STORE_PORT)
    await server.write("config", "main", {"Version": 4, "Routes": [], "Limits": {}})
    return server


@pytest.fixture
async def store():
    server = await start_store()
    yield server
    await server.stop()


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text(settings())
    return path


async def request(port, start_line):
    """Returns the first line of the response to a request."""
    async with asyncio.timeout(EVENT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(f"{start_line}\r\nConnection: close\r\n\r\n".encode())
        line = await reader.readline()
        writer.close()
        return line.decode()


async def served(port, start_line):
    """Returns the first line of the response to a request, once the port is open."""
    async with asyncio.timeout(EVENT_TIMEOUT_S):
        while True:
            try:
                return await request(port, start_line)
            except OSError:
                await asyncio.sleep(0.05)


def held(kind, port):
    """Returns a socket that holds a port of the role."""
    sock = socket.socket(socket.AF_INET, kind)
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((IP, port))
    if kind == socket.SOCK_STREAM:
        sock.listen()
    return sock


async def send_hints():
    """Sends hints again and again, as the role opens its socket at a time of its own."""
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        while True:
            sock.sendto(encode_hint("i-00000001", False), (IP, HINT_PORT))
            await asyncio.sleep(0.1)


async def stop(role):
    """Stops the role, which must end in order."""
    role.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(EVENT_TIMEOUT_S):
        await role.process.communicate()
    assert role.process.returncode == 0


async def test_a_hangup_during_the_start_ended_the_process(tmp_path, store):
    """Settings from a pipe hold the start where it reads them."""
    path = tmp_path / "node.conf"
    os.mkfifo(path)
    async with RoleProcess(path) as role:
        writer = await asyncio.to_thread(open, path, "w")
        role.process.send_signal(signal.SIGHUP)
        regular = tmp_path / "regular.conf"
        regular.write_text(settings())
        regular.replace(path)
        with writer:
            writer.write(settings())
        assert await role.logged("reload")
        assert await role.logged("ready")
        await stop(role)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_a_start_that_waits_can_be_stopped(tmp_path, number):
    async with RoleProcess(tmp_path / "missing.conf") as role:
        assert "code=101" in await role.logged("start_waiting")
        role.process.send_signal(number)
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            assert await role.process.wait() == 0


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (None, 101),
        ("", 108),
        (settings()[: settings().index("platform.Address")], 108),
        (settings(Bounds__DrainMs="x"), 107),
        (settings(platform__Address="1" * 5000), 107),
        (settings(ListenAddrs__Ready=f"192.0.2.1:{READY_PORT}"), 107),
        (settings(Ip="edge.."), 107),
    ],
    ids=["missing", "empty", "half", "number", "port", "address", "name"],
)
async def test_settings_that_are_wrong_for_a_moment_ended_the_process(text, code, path, store):
    if text is None:
        path.unlink()
    else:
        path.write_text(text)
    async with RoleProcess(path) as role:
        assert f"code={code}" in await role.logged("start_waiting")
        path.write_text(settings())
        assert await role.logged("ready")
        await stop(role)


@pytest.mark.parametrize(
    ("kind", "port"),
    [
        (socket.SOCK_DGRAM, PACKET_PORT),
        (socket.SOCK_STREAM, READY_PORT),
        (socket.SOCK_STREAM, CONTROL_PORT),
    ],
    ids=["packets", "ready", "control"],
)
async def test_an_address_held_by_a_predecessor_ended_the_process(kind, port, path, store):
    with held(kind, port) as predecessor:
        async with RoleProcess(path) as role:
            assert "code=106" in await role.logged("start_waiting")
            predecessor.close()
            assert await role.logged("ready")
            await stop(role)


async def test_a_closed_output_ended_the_process(path, store):
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        'exec "$@" <&- >&- 2>&-',
        "sh",
        *RoleProcess.command(),
        cwd=ROOT,
        env={**os.environ, "PEARWELL_BOOT": str(path)},
    )
    try:
        await served(READY_PORT, "GET /ready HTTP/1.1")
        assert " 200 " in await served(METRICS_PORT, "GET /metrics HTTP/1.1")
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@pytest.mark.parametrize("ports", ["77200,77210", "7" * 5000, "x"])
async def test_internal_ports_out_of_range_ended_the_process(ports, path, store):
    path.write_text(settings(InternalPorts=ports))
    async with RoleProcess(path) as role:
        assert "code=107" in await role.logged("setting_ignored")
        assert await role.logged("ready")
        await stop(role)


async def test_a_relay_at_the_metrics_port_never_started(path, store):
    address = f"{IP}:{METRICS_PORT}"
    path.write_text(settings(ListenAddrs__Control=address, Seeds=address))
    async with RoleProcess(path) as role:
        _, line = await role.logged_all("ready", "metrics_unavailable")
        assert "code=106" in line
        watch = "GET /objects/config?Watch=0&WaitMs=0&Era=0 HTTP/1.1"
        assert " 200 " in await request(METRICS_PORT, watch)
        await stop(role)


async def test_metrics_and_hints_come_once_their_ports_are_free(path, store):
    path.write_text(settings(InternalPorts=f"{HINT_PORT},{HINT_PORT + 15}"))
    with (
        held(socket.SOCK_STREAM, METRICS_PORT) as metrics,
        held(socket.SOCK_DGRAM, HINT_PORT) as hints,
    ):
        async with RoleProcess(path) as role:
            for line in await role.logged_all("hints_unavailable", "metrics_unavailable"):
                assert "code=106" in line
            metrics.close()
            hints.close()
            assert " 200 " in await served(METRICS_PORT, "GET /metrics HTTP/1.1")
            sending = asyncio.create_task(send_hints())
            assert await role.logged("target_hinted")
            sending.cancel()
            await stop(role)


async def test_an_instance_goes_on_without_free_descriptors(path, store):
    async with RoleProcess(path) as role:
        await role.logged("ready")
        limits = resource.prlimit(role.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(role.process.pid, resource.RLIMIT_NOFILE, (3, limits[1]))
        connections = [await asyncio.open_connection(IP, READY_PORT) for _ in range(4)]
        # The connections to the store are needed anew.
        await store.stop()
        assert "code=401" in await role.logged("store_lost")
        resource.prlimit(role.process.pid, resource.RLIMIT_NOFILE, limits)
        second_store = await start_store()
        assert await role.logged("store_regained")
        for _, writer in connections:
            writer.close()
        await second_store.stop()
        assert " 200 " in await request(READY_PORT, "GET /ready HTTP/1.1")
        await stop(role)


async def test_modules_that_are_gone_after_the_start_ended_the_process(path, store, tmp_path):
    root = tmp_path / "tree"
    for name in ("pearwell", "deploy"):
        shutil.copytree(ROOT / name, root / name, ignore=shutil.ignore_patterns("__pycache__"))
    path.write_text(settings(platform__Address=f"{STORE_IP}:{STORE_PORT}"))
    async with RoleProcess(path, root=root) as role:
        await role.logged("ready")
        await role.logged("modules_loaded")
        shutil.rmtree(root / "pearwell")
        assert "200" in await request(METRICS_PORT, "GET /metrics HTTP/1.1")
        await stop(role)
