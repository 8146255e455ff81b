"""Forwarding cost per packet on stable buckets, compared with a minimal uvloop UDP relay.

A generator sends inner packets of many flows as fast as it can; a relay in its own process
forwards them to sockets that nobody reads. Both relays run alternately, several times. Prints one
JSON line with the median rates in packets per second of wall-clock time and of CPU time.
"""

import asyncio
import ipaddress
import json
import multiprocessing
import random
import socket
import statistics
import time
from collections.abc import Callable, Sequence
from multiprocessing.connection import Connection
from typing import NamedTuple

import dpkt
import uvloop
from absl import app, flags

from pearwell.clock import MonotonicClock
from pearwell.errors import Code
from pearwell.kernel import Kernel
from pearwell.logs import configure_logs
from pearwell.messages import ConfigurationChanged, Message, PlacementChanged
from pearwell.model.configuration import Configuration
from pearwell.model.placement import Generation, PlacedTarget, Placement
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.placement import change
from pearwell.settings import Endpoint, Settings
from pearwell.steering.flow_meter import FlowMeter
from pearwell.steering.ip import build_packet
from pearwell.steering.packet_path import PacketPath, bind_udp
from pearwell.steering.steering import Steering
from pearwell.steering.verdict import Action
from pearwell.targets.admission import Admission

__all__ = ["main"]

_SECONDS = flags.DEFINE_float("seconds", 2.0, "Measured time of each turn in seconds.")
_TURNS = flags.DEFINE_integer("turns", 5, "Number of turns of each relay.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the flows.")
_IP_VERSION = flags.DEFINE_enum("ip", "4", ["4", "6"], "IP version of the inner packets.")
_OCTET = flags.DEFINE_integer("octet", 10, "Second octet of the loopback addresses.")

RELAY_PORT = 20300
TARGET_PORT = 20310
FLOWS = 2048
PAYLOAD_BYTES = 64
TARGETS = 4
WARMUP_S = 0.3
SERVICES = {"4": "198.51.100.10", "6": "2001:db8::20"}
CALLER_PREFIXES = {"4": "203.0.113.", "6": "2001:db8:1::"}
SERVICE_PORT = 443


Relay = Callable[[int, str, Connection], None]


class Rates(NamedTuple):
    """Packets per second of one turn, by wall-clock time and by CPU time of the relay."""

    per_wall_clock_s: float
    per_cpu_s: float


def main(argv: Sequence[str]) -> None:
    """Measures both relays and prints the result."""
    del argv
    sinks = [bind_udp(_target_address(number), TARGET_PORT) for number in range(TARGETS)]
    relays: dict[str, Relay] = {
        "bare": _run_minimal,
        "pearwell": _run_pearwell,
    }
    turns: dict[str, list[Rates]] = {name: [] for name in relays}
    for _ in range(_TURNS.value):
        for name, relay in relays.items():
            turns[name].append(_measure(relay))
    for sink in sinks:
        sink.close()
    print(json.dumps(_summary(turns)))


def _summary(turns: dict[str, list[Rates]]) -> dict[str, float | str]:
    wall_clock_rates = {
        name: statistics.median(r.per_wall_clock_s for r in rates) for name, rates in turns.items()
    }
    cpu_rates = {
        name: statistics.median(r.per_cpu_s for r in rates) for name, rates in turns.items()
    }
    return {
        "bench": "packet",
        "ip": int(_IP_VERSION.value),
        "bare_packets_per_s": round(wall_clock_rates["bare"]),
        "pearwell_packets_per_s": round(wall_clock_rates["pearwell"]),
        "ratio": round(wall_clock_rates["pearwell"] / wall_clock_rates["bare"], 3),
        "bare_packets_per_cpu_s": round(cpu_rates["bare"]),
        "pearwell_packets_per_cpu_s": round(cpu_rates["pearwell"]),
        "cpu_ratio": round(cpu_rates["pearwell"] / cpu_rates["bare"], 3),
    }


def _measure(relay: Relay) -> Rates:
    """Measures one turn of one relay."""
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    address = _relay_address()
    arguments = (_OCTET.value, SERVICES[_IP_VERSION.value], child_end)
    relay_process = context.Process(target=relay, args=arguments)
    relay_process.start()
    parent_end.recv()
    generator = context.Process(target=_generate, args=(address, _SEED.value, _IP_VERSION.value))
    generator.start()
    try:
        time.sleep(WARMUP_S + 1.0)
        before = _request_counts(parent_end)
        time.sleep(_SECONDS.value)
        after = _request_counts(parent_end)
    finally:
        generator.terminate()
        relay_process.terminate()
        generator.join()
        relay_process.join()
    packets = after[0] - before[0]
    return Rates(packets / (after[1] - before[1]), packets / (after[2] - before[2]))


def _request_counts(connection: Connection) -> tuple[int, float, float]:
    connection.send(None)
    reply: tuple[int, float, float] = connection.recv()
    return reply


def _relay_address(octet: int | None = None) -> str:
    return f"127.{_OCTET.value if octet is None else octet}.3.1"


def _target_address(number: int, octet: int | None = None) -> str:
    return f"127.{_OCTET.value if octet is None else octet}.4.{number + 1}"


def _generate(address: str, seed: int, version: str) -> None:
    """Sends packets of all flows in rotation until terminated."""
    rng = random.Random(seed)
    packets = [_packet(rng, version) for _ in range(FLOWS)]
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.connect((address, RELAY_PORT))
    while True:
        for packet in packets:
            sock.send(packet)


def _packet(rng: random.Random, version: str) -> bytes:
    segment = dpkt.tcp.TCP(
        sport=rng.randrange(1024, 65536),
        dport=SERVICE_PORT,
        flags=dpkt.tcp.TH_ACK,
        data=bytes(PAYLOAD_BYTES),
    )
    source = ipaddress.ip_address(CALLER_PREFIXES[version] + str(rng.randrange(1, 255))).packed
    destination = ipaddress.ip_address(SERVICES[version]).packed
    return build_packet(source, destination, dpkt.ip.IP_PROTO_TCP, segment)


class _MinimalRelay(asyncio.DatagramProtocol):
    """Forwards every datagram to one target."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.count = 0
        self._target = target

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Forwards a datagram."""
        self.count += 1
        self._transport.sendto(data, self._target)  # type: ignore[attr-defined]


def _run_minimal(octet: int, service_address: str, connection: Connection) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        sock = bind_udp(_relay_address(octet), RELAY_PORT)
        target = (_target_address(0, octet), TARGET_PORT)
        _, relay = await loop.create_datagram_endpoint(lambda: _MinimalRelay(target), sock=sock)
        await _serve_counts(connection, lambda: relay.count)

    uvloop.run(run())


def _run_pearwell(octet: int, service_address: str, connection: Connection) -> None:
    configure_logs("error")

    async def run() -> None:
        kernel = Kernel()
        clock = MonotonicClock()
        admission = Admission(clock, random.Random(0))
        path = PacketPath(_settings(octet), _steering(), admission, FlowMeter(clock))
        kernel.add(path)
        await kernel.start()
        kernel.publish(PlacementChanged(_placement(octet)))
        service = ServiceSpec(
            "intake", service_address, SERVICE_PORT, TransportProtocol.TCP, "intake"
        )
        kernel.publish(ConfigurationChanged(Configuration(services={"intake": service})))
        await _serve_counts(connection, lambda: path.counts[Action.FORWARD, Code.OK])

    uvloop.run(run())


async def _serve_counts(connection: Connection, count: Callable[[], int]) -> None:
    """Replies to each request with the packet count, the wall-clock time and the CPU time."""
    loop = asyncio.get_running_loop()
    requested = asyncio.Event()
    loop.add_reader(connection.fileno(), requested.set)
    connection.send(None)
    while True:
        await requested.wait()
        connection.recv()
        requested.clear()
        connection.send((count(), time.monotonic(), time.process_time()))


class _NoTransport:
    """Drops every message, as the only instance has no peers."""

    def send(self, to: str, message: Message) -> None:
        """Drops a message."""


def _steering() -> Steering:
    return Steering(
        "entry-1",
        "pnw-a",
        _NoTransport(),
        MonotonicClock(),
        random.Random(0),
        publish=lambda message: None,
    )


def _settings(octet: int) -> Settings:
    address = _relay_address(octet)
    return Settings(
        instance="entry-1",
        region="pnw",
        zone="pnw-a",
        address=address,
        fabric_port=RELAY_PORT,
        peer_port=RELAY_PORT + 1,
        control_port=RELAY_PORT + 2,
        admin_port=RELAY_PORT + 3,
        metrics_port=RELAY_PORT + 4,
        platform=Endpoint(address=address, port=RELAY_PORT + 5),
        plaintext=True,
    )


def _placement(octet: int) -> Placement:
    targets = tuple(
        PlacedTarget(f"intake-{number}", _target_address(number, octet), TARGET_PORT, 100)
        for number in range(TARGETS)
    )
    return change.initial("intake", "pnw-a", targets, 1, Generation(1, "entry-1"))


if __name__ == "__main__":
    app.run(main)
