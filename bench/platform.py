"""Packet cost of the platform's role, compared with a minimal relay in the same process.

Packets are queued in the socket's receive buffer, then read and forwarded in batches; only the
latter is timed. Prints one JSON line per kind of packet with microseconds of CPU time and the ratio
to the minimal relay.
"""

import json
import socket
import statistics
import time
from collections.abc import Callable

from absl import app, flags

from pearwell.affinity.director import Director
from pearwell.affinity.directory import Directory
from pearwell.affinity.routes import Route, Routes, RouteTable
from pearwell.affinity.target import Target
from pearwell.platform.packet import decode_packet, encode_forwarded
from pearwell.standins.token_packet import ACK, SYN, TokenPacket, flow_address

__all__ = ["main"]

_BATCHES = flags.DEFINE_integer("batches", 300, "Batches of each kind of packet.", lower_bound=1)
_TARGETS = flags.DEFINE_integer("targets", 30, "Number of targets of the service.", lower_bound=1)
_OCTET = flags.DEFINE_integer("octet", 96, "Second octet of the loopback addresses.")

PACKETS_PER_BATCH = 64
ROUTE = flow_address("198.18.0.1", 443)
DATA = bytes(900)

Relay = Callable[[socket.socket], None]


def _packets(flags_: int, ack: int, data: bytes) -> list[bytes]:
    clients = [flow_address("100.64.0.7", 1024 + number) for number in range(PACKETS_PER_BATCH)]
    return [TokenPacket(client, ROUTE, flags_, 1, ack, 0, data).encode() for client in clients]


def _with_tokens(packets: list[bytes], tokens: list[int]) -> list[bytes]:
    pairs = zip(packets, tokens, strict=True)
    return [packet[:28] + token.to_bytes(4, "big") + packet[32:] for packet, token in pairs]


def _new_director(address: tuple[str, int]) -> Director:
    directory, routes = Directory(), RouteTable()
    directory.replace(
        [
            Target(f"i-{number:08x}", number.to_bytes(8, "big"), "s", address, "z")
            for number in range(1, _TARGETS.value + 1)
        ],
        0.0,
    )
    routes.apply(Routes(1, {ROUTE[4:] + ROUTE[:4]: Route("r", (("s", 1),))}), 0.0)
    return Director(
        "z",
        routes,
        directory,
        lambda now: True,
        lambda *_, **__: None,
        lambda: 1.0,
        lambda: float("inf"),
    )


def _role_relay(director: Director) -> Relay:
    decide = director.on_packet

    def relay(sock: socket.socket) -> None:
        now = time.monotonic()
        for _ in range(PACKETS_PER_BATCH):
            data = sock.recv(2048)
            packet = decode_packet(data)
            verdict = decide(packet, data, now)
            if isinstance(verdict, Target):
                sock.sendto(
                    encode_forwarded(data, verdict.tag, verdict.token, packet[6]), verdict.address
                )

    return relay


def _minimal_relay(address: tuple[str, int]) -> Relay:
    def relay(sock: socket.socket) -> None:
        for _ in range(PACKETS_PER_BATCH):
            sock.sendto(sock.recv(2048), address)

    return relay


def _packet_us(relay: Relay, packets: list[bytes], sock: socket.socket) -> float:
    """Returns the median CPU time per packet in microseconds."""
    times = []
    for batch in range(_BATCHES.value):
        for packet in packets:
            # Each batch is the next request of all flows, so sequence and ack numbers advance.
            rest = packet[8:] if packet[22] & ACK else packet[4:]
            sequence = (1 + batch * len(DATA)).to_bytes(4, "big")
            head = sequence + sequence if packet[22] & ACK else sequence
            sock.sendto(head + rest, sock.getsockname())
        started = time.process_time()
        relay(sock)
        times.append((time.process_time() - started) / PACKETS_PER_BATCH * 1e6)
    return statistics.median(times)


def _main(_: list[str]) -> None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((f"127.{_OCTET.value}.0.1", 0))
    # All targets share one address, whose socket is never read.
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind((f"127.{_OCTET.value}.0.2", 0))
    address = sink.getsockname()
    director = _new_director(address)
    starts = _packets(SYN, 0, b"")
    verdicts = [director.on_packet(decode_packet(data), data, 0.0) for data in starts]
    tokens = [target.token for target in verdicts if isinstance(target, Target)]
    data = _with_tokens(_packets(ACK, 1, DATA), tokens)
    for name, packets in (("data", data), ("syn", starts)):
        bare_us = _packet_us(_minimal_relay(address), packets, sock)
        role_us = _packet_us(
            _role_relay(director if name == "data" else _new_director(address)), packets, sock
        )
        results = {
            "packet": name,
            "role_us": round(role_us, 2),
            "bare_us": round(bare_us, 2),
            "ratio": round(bare_us / role_us, 3),
        }
        print(json.dumps(results))


def main() -> None:
    """Runs the benchmark."""
    app.run(_main)


if __name__ == "__main__":
    main()
