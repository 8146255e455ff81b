"""Tests of pearwell.steering.packet_path on loopback sockets."""

import asyncio
import json
import random
import socket

import pytest

from pearwell.clock import ManualClock
from pearwell.errors import Code, SettingsError
from pearwell.kernel import Kernel
from pearwell.messages import ConfigurationChanged, ViewChanged
from pearwell.model.membership import Member, View
from pearwell.settings import Settings
from pearwell.steering.flow_meter import FlowMeter
from pearwell.steering.packet_path import PacketPath, bind_udp
from pearwell.steering.verdict import Action, Verdict
from pearwell.targets.admission import Admission
from tests.packets import tcp_packet
from tests.steering.test_forwarding import ADDRESSES, CONFIGURATION, FakeDecider
from tests.test_entry import SETTINGS

ADDRESS, PEER, UNKNOWN_PEER = "127.10.6.1", "127.10.6.2", "127.10.6.3"
TARGET = ("127.10.6.4", 20207)
RETURN = ("127.10.6.5", 20206)
MEMBERS = tuple(Member(name, name, 1, 2) for name in (ADDRESS, PEER))


class FakeSteering(FakeDecider):
    """Decides like FakeDecider and counts the checks of the view lease."""

    checks = 0

    def check_lease(self):
        self.checks += 1

    def tick(self):
        pass

    def configure(self, configuration):
        pass

    def apply_view(self, view):
        pass


@pytest.fixture
async def start_packet_path(monkeypatch):
    """Starts packet paths whose groups have one target each; returns each with its steering."""
    monkeypatch.setitem(ADDRESSES, "intake", TARGET)
    kernels = []

    async def start_one(verdict=None):
        endpoint = {"address": RETURN[0], "port": RETURN[1]}
        content = {**SETTINGS, "address": ADDRESS, "return_endpoint": endpoint}
        settings = Settings.model_validate_json(json.dumps(content))
        steering, clock = FakeSteering(verdict, stable=verdict is None), ManualClock()
        admission = Admission(clock, random.Random(1))
        path = PacketPath(settings, steering, admission, FlowMeter(clock))
        kernel = Kernel()
        kernel.add(path)
        kernels.append(kernel)
        await kernel.start()
        kernel.publish(ConfigurationChanged(CONFIGURATION))
        kernel.publish(ViewChanged(View(MEMBERS)))
        await asyncio.sleep(0.05)
        return path, steering

    yield start_one
    for kernel in kernels:
        await kernel.stop()


async def receive(sock):
    return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65535), 5.0)


async def wait_until(condition):
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_packet_from_the_fabric_reaches_the_target_with_a_decremented_ttl(
    start_packet_path,
):
    path, steering = await start_packet_path()
    packet = tcp_packet(flags=0x10, data=b"row")
    with bind_udp(*TARGET) as target, bind_udp(UNKNOWN_PEER, 0) as fabric:
        fabric.sendto(packet, (ADDRESS, SETTINGS["fabric_port"]))
        arrived = await receive(target)
    assert (arrived[8], arrived[12:]) == (packet[8] - 1, packet[12:])
    assert path.counts == {(Action.FORWARD, Code.OK): 1}
    assert steering.checks


@pytest.mark.parametrize(
    ("sender", "expected_count"),
    [(PEER, (Action.FORWARD, Code.OK)), (UNKNOWN_PEER, (Action.DROP, Code.PACKET_UNKNOWN_PEER))],
)
async def test_the_peer_port_accepts_members_only(start_packet_path, sender, expected_count):
    path, _ = await start_packet_path()
    with bind_udp(sender, 0) as peer:
        peer.sendto(tcp_packet(flags=0x10), (ADDRESS, SETTINGS["peer_port"]))
        await wait_until(lambda: path.counts.total())
    assert path.counts == {expected_count: 1}


async def test_refusals_are_sent_to_the_return_endpoint(start_packet_path):
    path, _ = await start_packet_path(Verdict(Action.REFUSE, code=Code.TARGET_DEAD))
    with bind_udp(*RETURN) as caller, bind_udp(UNKNOWN_PEER, 0) as fabric:
        fabric.sendto(tcp_packet(flags=0x10), (ADDRESS, SETTINGS["fabric_port"]))
        reset = await receive(caller)
    assert reset[20 + 13] == 0x04
    assert path.counts == {(Action.REFUSE, Code.TARGET_DEAD): 1}


async def test_the_lease_is_checked_again_after_a_pause_within_a_batch(
    start_packet_path, monkeypatch
):
    _, steering = await start_packet_path()
    times = iter([0.0, 0.001, 0.002, 5.0, *[5.001] * 1000])
    monkeypatch.setattr("pearwell.steering.packet_path.monotonic", lambda: next(times))
    with bind_udp(UNKNOWN_PEER, 0) as fabric:
        for _ in range(3):
            fabric.sendto(tcp_packet(flags=0x10), (ADDRESS, SETTINGS["fabric_port"]))
        before = steering.checks
        await wait_until(lambda: steering.checks > before)
    assert steering.checks == before + 2


def test_a_port_in_use_raises_a_settings_error():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind((ADDRESS, 20250))
        with pytest.raises(SettingsError) as caught:
            bind_udp(ADDRESS, 20250)
    assert caught.value.code is Code.SETTINGS_PORT_IN_USE
