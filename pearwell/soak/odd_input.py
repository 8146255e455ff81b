"""Input that no well-behaved caller sends to the role's ports."""

import random

from pearwell.affinity.hints import encode_hint
from pearwell.standins.token_packet import ACK, FIN, RST, SYN, TokenPacket, flow_address

__all__ = ["draw_datagrams", "draw_requests"]

COUNT = 50
MAX_BYTES = 1400
LONG_NUMBER = "7" * 5_000
_PATHS = (
    "/ready",
    "/metrics",
    "/objects/servers",
    f"/objects/servers?Watch={LONG_NUMBER}&WaitMs=5",
    f"/objects/config?Watch=1&WaitMs={LONG_NUMBER}",
    f"/objects/config?Watch=1&Era={LONG_NUMBER}",
    "/objects/servers?Watch=\u00b2&WaitMs=-1",
    "/" + "a" * 70_000,
    "//%00%ff?&&==",
)
_HEADS = (
    "GET {path} HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET {path} HTTP/1.1\r\nHost: x\r\n",
    "GET {path}",
    "POST {path} HTTP/1.1\r\nContent-Length: -5\r\n\r\nabc",
    "POST {path} HTTP/1.1\r\nContent-Length: " + LONG_NUMBER + "\r\n\r\nabc",
    "PUT {path} HTTP/9.9\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "\r\n\r\n\r\n{path}\x00",
    "GET {path} HTTP/1.1\r\n" + "X: y\r\n" * 3_000,
)


def draw_datagrams(rng: random.Random) -> list[bytes]:
    """Returns datagrams: random bytes, and packets and hints with some bytes changed."""
    return [rng.choice(_DATAGRAMS)(rng) for _ in range(COUNT)]


def draw_requests(rng: random.Random) -> list[bytes]:
    """Returns what is sent on a connection each: whole and half requests, and random bytes."""
    requests = [rng.choice(_HEADS).format(path=rng.choice(_PATHS)).encode() for _ in range(COUNT)]
    return [rng.choice((request, _spoil(rng, request))) for request in requests]


def _spoil(rng: random.Random, data: bytes) -> bytes:
    """Changes some bytes, and cuts off the end."""
    changed = bytearray(data)
    for _ in range(rng.randint(0, 3)):
        changed[rng.randrange(len(changed))] = rng.randrange(256)
    return bytes(changed[: rng.choice((len(changed), rng.randrange(len(changed))))])


def _draw_noise(rng: random.Random) -> bytes:
    return rng.randbytes(rng.choice((0, 1, rng.randrange(MAX_BYTES), 60_000)))


def _draw_packet(rng: random.Random) -> bytes:
    # No client or host has these addresses.
    source, target = (flow_address("198.51.100.1", rng.randrange(1 << 16)) for _ in range(2))
    flags = rng.choice((0, SYN, ACK, RST, FIN, SYN | ACK, 255))
    seq, ack, echo = (rng.getrandbits(32) for _ in range(3))
    packet = TokenPacket(source, target, flags, seq, ack, echo, rng.randbytes(20))
    return _spoil(rng, packet.encode())


def _draw_hint(rng: random.Random) -> bytes:
    return _spoil(rng, encode_hint(rng.choice(("i-00000001", "nobody", "\x00")), True))


_DATAGRAMS = (_draw_noise, _draw_packet, _draw_hint)
