"""Tests of pearwell.daemon: two instances on loopback sockets, and stand-ins in this process."""

import asyncio
import json
import random
import time

import pytest

from pearwell.admin import porcelain
from pearwell.admin.client import AdminClient
from pearwell.admin.porcelain import WriteOptions
from pearwell.agreement.instance_list import InstanceList
from pearwell.daemon import Daemon
from pearwell.model.group import GroupSpec, TargetSpec
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.object_store.platform_client import PlatformClient
from pearwell.settings import Settings
from pearwell.standins.caller import CallerCore, CallerService, FlowOutcome, FlowPlan
from pearwell.standins.fabric import Fabric
from pearwell.standins.platform import PlatformStandin
from pearwell.standins.target import TargetConfig, TargetCore
from pearwell.steering.packet_path import bind_udp
from tests.addresses import loopback_address
from tests.test_entry import SETTINGS

PLATFORM = (loopback_address(), 20205)
RETURN_ENDPOINT = (loopback_address(1), 20206)
TARGET_PORT = 20207
INSTANCES = (loopback_address(2), loopback_address(3))
TARGETS = {"one": loopback_address(4), "two": loopback_address(5)}
INTAKE = CallerService("intake", "198.51.100.10", 443, "203.0.113.5")
FLOWS = 40
REQUESTS = 3


def make_settings(number, address):
    endpoint = {"address": PLATFORM[0], "port": PLATFORM[1]}
    changes = {
        "instance": f"entry-{number}",
        "address": address,
        "platform": endpoint,
        "stop_quiet_s": 0.3,
        "stop_deadline_s": 8.0,
    }
    return Settings.model_validate_json(json.dumps({**SETTINGS, **changes}))


class Network:
    """Callers, fabric and targets on sockets of the test process."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._sockets = []
        self.callers_socket = self._open(RETURN_ENDPOINT, self._deliver_to_callers)
        self.fabric = Fabric(self.callers_socket, random.Random(1))
        self.callers = CallerCore(self.fabric.send, random.Random(2))
        self.targets = [self._make_target(*target) for target in TARGETS.items()]

    def close(self):
        for sock in self._sockets:
            self._loop.remove_reader(sock)
            sock.close()

    async def run_flows(self):
        now = time.monotonic()
        for number in range(FLOWS):
            self.callers.add(FlowPlan(INTAKE, now + number * 0.02, REQUESTS, 0.3))
        while self.callers.open_flows:
            self.callers.tick(time.monotonic())
            await asyncio.sleep(0.01)

    def _open(self, address, receive):
        sock = bind_udp(*address)
        self._sockets.append(sock)
        self._loop.add_reader(sock, self._read_packets, sock, receive)
        return sock

    def _make_target(self, name, address):
        config = TargetConfig(name, address, TARGET_PORT, 0, ((INTAKE.address, INTAKE.port),))
        core = TargetCore(
            config, lambda packet: self.callers_socket.sendto(packet, RETURN_ENDPOINT)
        )
        self._open((address, TARGET_PORT), lambda packet: core.receive(packet, time.time()))
        return core

    def _read_packets(self, sock, receive):
        while True:
            try:
                receive(sock.recv(65535))
            except BlockingIOError:
                return

    def _deliver_to_callers(self, packet):
        self.callers.receive(packet, time.monotonic())


async def configure_service():
    """Creates group and service through the admin API; waits until both instances apply them."""
    targets = tuple(TargetSpec(*target, "pnw-a", TARGET_PORT) for target in TARGETS.items())
    service = ServiceSpec("intake", INTAKE.address, INTAKE.port, TransportProtocol.TCP, "intake")
    servers = [f"{address}:{SETTINGS['admin_port']}" for address in INSTANCES]
    async with AdminClient(servers) as client:
        await porcelain.create_group(client, GroupSpec("intake", targets), WriteOptions("test"))
        await porcelain.create_service(client, service, WriteOptions("test", wait_s=10.0))
    for server in servers:
        async with AdminClient([server]) as client:
            while not await porcelain.list_placements(client):
                await asyncio.sleep(0.05)
            while not (await porcelain.get_status(client)).services:
                await asyncio.sleep(0.05)


@pytest.fixture
async def platform():
    standin = PlatformStandin()
    await standin.start(*PLATFORM)
    yield standin
    await standin.stop()


async def test_flows_survive_the_graceful_stop_of_an_instance(platform):
    network = Network()
    daemons = []
    try:
        for number, address in enumerate(INSTANCES, 1):
            daemons.append(Daemon(make_settings(number, address)))
            await daemons[-1].start()
        await configure_service()
        network.fabric.set_instances((a, SETTINGS["fabric_port"]) for a in INSTANCES)
        flows = asyncio.ensure_future(network.run_flows())
        await asyncio.sleep(0.5)
        # Unlike the real fabric, the stand-in applies the list of instances without delay.
        stopping = asyncio.ensure_future(daemons.pop().stop())
        async with PlatformClient(f"http://{PLATFORM[0]}:{PLATFORM[1]}") as client:
            listed = InstanceList(client, "pnw-a", random.Random(3))
            while [e.state for e in (await listed.read()).instances].count("live") > 1:
                await asyncio.sleep(0.05)
        network.fabric.set_instances([(INSTANCES[0], SETTINGS["fabric_port"])])
        await stopping
        await flows
        assert dict(network.callers.outcomes) == {FlowOutcome.DONE: FLOWS}
        runs = [n for core in network.targets for n in core.ledger.runs.values()]
        assert runs == [1] * (FLOWS * REQUESTS)
        assert all(core.ledger.started for core in network.targets)
    finally:
        for daemon in daemons:
            await daemon.stop()
        network.close()
