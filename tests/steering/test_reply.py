"""Tests of pearwell.steering.reply."""

import dpkt
import pytest

from pearwell.steering.ip import unpack_packet
from pearwell.steering.reply import build_refusal
from tests.packets import tcp_packet, udp_packet


@pytest.mark.parametrize("version", [4, 6])
@pytest.mark.parametrize(
    ("fields", "flags", "seq", "ack"),
    [
        ({"flags": 0x02, "seq": 7}, 0x14, 0, 8),
        ({"flags": 0x02, "seq": 0xFFFFFFFF}, 0x14, 0, 0),
        ({"flags": 0x10, "seq": 7, "ack": 99, "data": b"abc"}, 0x04, 99, 0),
        ({"flags": 0x01, "seq": 7, "data": b"abc"}, 0x14, 0, 11),
    ],
)
def test_tcp_is_reset(version, fields, flags, seq, ack):
    packet = tcp_packet(version, **fields)
    request, reply = unpack_packet(packet), unpack_packet(build_refusal(packet))
    assert (reply.src, reply.dst) == (request.dst, request.src)
    reset = reply.data
    assert (reset.sport, reset.dport) == (443, 40000)
    assert (reset.flags, reset.seq, reset.ack) == (flags, seq, ack)


@pytest.mark.parametrize(("version", "kind", "code"), [(4, 3, 13), (6, 1, 1)])
def test_udp_is_rejected_as_administratively_prohibited(version, kind, code):
    packet = udp_packet(version, data=b"x" * 2000)
    reply = unpack_packet(build_refusal(packet))
    assert (reply.data.type, reply.data.code) == (kind, code)
    assert len(reply) <= 1280
    quote = {4: lambda: bytes(reply.data.data.data), 6: lambda: bytes(reply.data.data)[4:]}
    assert packet.startswith(quote[version]()[:28])


@pytest.mark.parametrize("packet", [tcp_packet(flags=0x04), b"", b"\x45" * 20, b"\x60" * 50])
def test_no_reply_to_a_reset_or_an_invalid_packet(packet):
    assert build_refusal(packet) is None


def test_checksums_are_filled_in():
    reply = build_refusal(tcp_packet())
    assert dpkt.in_cksum(reply[:20]) == 0
