"""Tests of the role as a process: start, probes, metrics, reload, stop, invalid settings."""

import asyncio
import signal

import pytest

from pearwell.affinity.token import token_of
from pearwell.platform.metrics_endpoint import METRICS_PORT
from pearwell.soak.processes import ROOT
from pearwell.standins.object_server import ObjectServer
from pearwell.standins.token_packet import ACK, SYN, TokenPacket, flow_address
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

HOST_PORT = 20825


async def test_lifecycle_of_the_role(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text(settings())
    store = ObjectServer()
    await store.start(STORE_IP, STORE_PORT)
    try:
        async with RoleProcess(path) as role:
            await role.logged("listed")
            assert (await get(READY_PORT, "/ready"))[0] == 503
            await store.write("config", "main", {"Version": 4, "Routes": [], "Limits": {}})
            assert "version=4" in await role.logged("ready")
            assert (await get(READY_PORT, "/ready"))[0] == 200
            status, page = await get(METRICS_PORT, "/metrics")
            assert (status, "pearwell_configuration_version 4" in page) == (200, True)
            assert "pearwell_store_list_seconds_bucket" in page
            assert (await get(METRICS_PORT, "/"))[0] == 404
            role.process.send_signal(signal.SIGHUP)
            assert await role.logged("reload")
            path.write_text("Zone=\n")
            assert "code=108" in await role.logged("reload_failed")
            role.process.send_signal(signal.SIGTERM)
            assert await role.logged("stopping")
            await role.logged("end of the log")
            assert await role.process.wait() == 0
    finally:
        await store.stop()


async def test_open_flows_are_forwarded_before_the_configuration_is_known(tmp_path):
    """A SYN that comes before it waits for it."""
    loop = asyncio.get_running_loop()
    received: asyncio.Queue[bytes] = asyncio.Queue()

    class Host(asyncio.DatagramProtocol):
        def datagram_received(self, data, addr):
            received.put_nowait(data)

    path = tmp_path / "node.conf"
    path.write_text(settings())
    store = ObjectServer()
    await store.start(STORE_IP, STORE_PORT)
    host, _ = await loop.create_datagram_endpoint(Host, local_addr=(STORE_IP, HOST_PORT))
    client, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, local_addr=(CLIENT_IP, PACKET_PORT)
    )
    entry = {
        "Service": "s",
        "Address": f"{STORE_IP}:{HOST_PORT}",
        "Zone": "z",
        "Version": "v1",
        "Concurrency": 2,
        "State": "ready",
        "WarmupLeftMs": 0,
        "Sequence": 1,
        "born": 1,
    }
    route = {"Name": "r", "Host": "198.18.0.1", "PathPrefix": "/443/", "Service": "s"}
    route_address = flow_address("198.18.0.1", 443)
    ends = [(flow_address(CLIENT_IP, port), route_address) for port in (50_001, 50_002)]
    try:
        await store.write("servers", "i-00000001", entry)
        async with RoleProcess(path) as role, asyncio.timeout(EVENT_TIMEOUT_S):
            await role.logged("forwarding")
            token = token_of("i-00000001")
            for packet in (
                TokenPacket(*ends[0], SYN, 1, 0, 0),
                TokenPacket(*ends[1], ACK, 1, 1, token, b"data"),
            ):
                client.sendto(packet.encode(), (IP, PACKET_PORT))
            assert b"data" in await received.get()
            assert (await get(READY_PORT, "/ready"))[0] == 503
            assert received.empty()
            await store.write("config", "main", {"Version": 4, "Routes": [route], "Limits": {}})
            assert "held=1" in await role.logged("ready")
            assert TokenPacket(*ends[0], SYN, 1, 0, 0).encode()[:28] in await received.get()
    finally:
        host.close()
        client.close()
        await store.stop()


async def test_targets_are_checked_where_a_service_has_a_path_for_it(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text(settings())
    store = ObjectServer()
    await store.start(STORE_IP, STORE_PORT)
    services = [{"Name": "intake"}, {"Name": "tables", "HealthPath": "/healthz"}]
    try:
        await store.write("config", "main", {"Version": 4, "Routes": [], "Services": services[:1]})
        async with RoleProcess(path) as role:
            await role.logged("ready")
            await store.write("config", "main", {"Version": 5, "Routes": [], "Services": services})
            assert "version=5" in await role.logged("target_checks_enabled")
    finally:
        await store.stop()


async def test_a_relay_and_its_caller_know_the_size_of_the_fleet(tmp_path):
    """Once a configuration has a rate for cold targets."""
    own = {
        "Ip": CLIENT_IP,
        "ListenAddrs__DatagramAddr": f"{CLIENT_IP}:{PACKET_PORT}",
        "ListenAddrs__Ready": f"{CLIENT_IP}:{READY_PORT}",
        "ListenAddrs__Control": f"{CLIENT_IP}:{CONTROL_PORT}",
    }
    paths = tmp_path / "relay.conf", tmp_path / "client.conf"
    for path, changes in zip(paths, ({}, own), strict=True):
        path.write_text(settings(**changes))
    store = ObjectServer()
    await store.start(STORE_IP, STORE_PORT)
    services = [{"Name": "intake", "WarmupPerS": 5}]
    try:
        await store.write("config", "main", {"Version": 4, "Routes": [], "Services": services})
        async with RoleProcess(paths[0]) as relay, RoleProcess(paths[1]) as client:
            for role in (relay, client):
                await role.logged("ready")
            async with asyncio.timeout(EVENT_TIMEOUT_S):
                for ip in (IP, CLIENT_IP):
                    while (
                        "pearwell_fleet_size_estimate 2\n"
                        not in (await get(METRICS_PORT, "/metrics", ip))[1]
                    ):
                        await asyncio.sleep(0.5)
    finally:
        await store.stop()


async def test_the_role_follows_evacuations_where_the_settings_have_their_bound(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text(settings(Bounds__EvacuateMs="5000"))
    store = ObjectServer()
    await store.start(STORE_IP, STORE_PORT)
    try:
        await store.write("config", "main", {"Version": 4, "Routes": [], "Limits": {}})
        await store.write("evacuations", "pnw-b", {})
        async with RoleProcess(path) as role:
            assert "zone=pnw-b" in await role.logged("zone_evacuated")
            await role.logged("ready")
            status, page = await get(METRICS_PORT, "/metrics")
            assert (status, "pearwell_evacuated_zones 1" in page) == (200, True)
            path_of_kind = "/objects/evacuations?Watch=0&WaitMs=0&Era=0"
            assert (await get(CONTROL_PORT, path_of_kind))[0] == 200
            await store.remove("evacuations", "pnw-b")
            assert "zone=pnw-b" in await role.logged("zone_taken_back")
    finally:
        await store.stop()


@pytest.mark.parametrize(
    ("text", "arguments", "status", "printed"),
    [
        (settings(), ("--check_config",), 0, "instance edge-pnw-a-1 in zone pnw-a"),
        (settings(Zone=None), ("--check_config",), 2, "code=108"),
        (settings(Bounds__DrainMs="x"), ("--check_config",), 2, "code=107"),
        (None, ("--check_config",), 2, "code=101"),
        (settings(), ("--help",), 0, "--check_config"),
        (settings(), ("--nonsense",), 2, "usage"),
    ],
)
async def test_command_line_and_invalid_settings(text, arguments, status, printed, tmp_path):
    path = tmp_path / "node.conf"
    if text is not None:
        path.write_text(text)
    async with RoleProcess(path, *arguments) as role:
        await role.logged("end of the log")
        assert await role.process.wait() == status
    assert printed in "".join(role.lines)


def test_the_deploy_file_names_the_metrics_port():
    assert f'metrics = "{METRICS_PORT}/metrics"' in (ROOT / "deploy/system.toml").read_text()
