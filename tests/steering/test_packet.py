"""Tests of pearwell.steering.packet."""

import struct

import dpkt
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearwell.errors import Code, PacketError
from pearwell.steering.ip import unpack_packet
from pearwell.steering.packet import (
    caller_prefix,
    decrement_ttl,
    parse,
    service_key,
    try_fast_parse,
)
from pearwell.steering.verdict import FlowEvent
from tests.packets import SERVICE_ADDRESSES, tcp_packet, udp_packet


@pytest.mark.parametrize("version", [4, 6])
@pytest.mark.parametrize(
    ("flags", "data", "event", "has_payload"),
    [
        (0x02, b"", FlowEvent.START, False),
        (0x12, b"", FlowEvent.NONE, False),
        (0x10, b"x", FlowEvent.NONE, True),
        (0x11, b"", FlowEvent.END, False),
        (0x14, b"", FlowEvent.RESET, False),
        (0xC2, b"", FlowEvent.START, False),
    ],
)
def test_tcp_flags_determine_the_event(version, flags, data, event, has_payload):
    parsed = parse(tcp_packet(version, flags=flags, data=data))
    assert parsed.event == event
    assert parsed.has_payload is has_payload
    assert parsed.service_key == service_key(SERVICE_ADDRESSES[version], 443, 6)
    assert len(parsed.flow_key) == {4: 13, 6: 37}[version]


@pytest.mark.parametrize("version", [4, 6])
def test_a_udp_packet_is_a_datagram(version):
    parsed = parse(udp_packet(version, data=b"x", port=53))
    assert parsed.event == FlowEvent.DATAGRAM
    assert parsed.has_payload
    assert parsed.service_key == service_key(SERVICE_ADDRESSES[version], 53, 17)


def test_flow_key_has_the_five_tuple_in_network_order():
    expected = bytes([203, 0, 113, 5, 198, 51, 100, 10]) + struct.pack("!HHB", 40000, 443, 6)
    assert parse(tcp_packet()).flow_key == expected


@pytest.mark.parametrize(
    ("version", "prefix"), [(4, b"\xcb\x00\x71"), (6, bytes.fromhex("20010db8000100"))]
)
def test_caller_prefix_is_24_bits_of_ipv4_and_56_bits_of_ipv6(version, prefix):
    assert caller_prefix(parse(tcp_packet(version)).flow_key) == prefix


def _patched(packet, offset, value):
    return packet[:offset] + value + packet[offset + len(value) :]


def _fragment6(offset):
    packet = udp_packet(6, data=b"12345678")
    header = struct.pack("!BxHI", 17, offset << 3 | 1, 1)
    plen = struct.pack("!H", len(packet) - 40 + len(header))
    return _patched(_patched(packet, 4, plen), 6, b"\x2c")[:40] + header + packet[40:]


@pytest.mark.parametrize(
    ("packet", "code"),
    [
        (b"", Code.PACKET_TRUNCATED),
        (b"\x45", Code.PACKET_TRUNCATED),
        (b"\x60" + bytes(10), Code.PACKET_TRUNCATED),
        (b"\x50" + bytes(60), Code.PACKET_BAD_VERSION),
        (tcp_packet()[:-1], Code.PACKET_TRUNCATED),
        (tcp_packet() + b"x", Code.PACKET_BAD_HEADER),
        (tcp_packet(6)[:-1], Code.PACKET_TRUNCATED),
        (tcp_packet(6) + b"x", Code.PACKET_BAD_HEADER),
        (_patched(tcp_packet(), 0, b"\x44"), Code.PACKET_BAD_HEADER),
        (_patched(tcp_packet(), 0, b"\x4f"), Code.PACKET_BAD_HEADER),
        (_patched(tcp_packet(), 6, b"\x00\x01"), Code.PACKET_FRAGMENT),
        (_patched(tcp_packet(), 6, b"\x3f\xff"), Code.PACKET_FRAGMENT),
        (_fragment6(1), Code.PACKET_FRAGMENT),
        (_patched(tcp_packet(), 9, b"\x01"), Code.PACKET_UNSUPPORTED_PROTOCOL),
        (_patched(tcp_packet(6), 6, b"\x00"), Code.PACKET_UNSUPPORTED_PROTOCOL),
        (_patched(tcp_packet(), 32, b"\x40"), Code.PACKET_BAD_HEADER),
        (_patched(tcp_packet(), 32, b"\x60"), Code.PACKET_BAD_HEADER),
        (tcp_packet(flags=0x03), Code.PACKET_BAD_HEADER),
        (tcp_packet(flags=0x06), Code.PACKET_BAD_HEADER),
        (_patched(udp_packet(), 24, b"\x00\x07"), Code.PACKET_BAD_HEADER),
    ],
)
def test_malformed_and_unsupported_packets_are_rejected(packet, code):
    with pytest.raises(PacketError) as caught:
        parse(packet)
    assert caught.value.code is code


def test_first_fragments_are_accepted():
    assert parse(_patched(udp_packet(data=b"x"), 6, b"\x20\x00")).event == FlowEvent.DATAGRAM
    assert parse(_fragment6(0)).service_key == service_key(SERVICE_ADDRESSES[6], 443, 17)


@settings(derandomize=True, max_examples=300)
@given(st.integers(0, 0xFFFF), st.integers(2, 255))
def test_decremented_ttl_keeps_the_checksum_valid(identification, ttl):
    packet = tcp_packet()
    header = dpkt.ip.IP(packet, id=identification)
    header.id, header.ttl, header.sum = identification, ttl, 0
    buffer = bytearray(bytes(header))
    decrement_ttl(buffer)
    decremented = unpack_packet(bytes(buffer))
    assert decremented.ttl == ttl - 1
    checksum, decremented.sum = decremented.sum, 0
    assert unpack_packet(bytes(decremented)).sum == checksum


@pytest.mark.parametrize(("version", "offset"), [(4, 8), (6, 7)])
@pytest.mark.parametrize("ttl", [0, 1])
def test_a_ttl_that_would_reach_zero_is_rejected(version, offset, ttl):
    buffer = bytearray(_patched(tcp_packet(version), offset, bytes([ttl])))
    with pytest.raises(PacketError) as caught:
        decrement_ttl(buffer)
    assert caught.value.code is Code.PACKET_TTL_EXPIRED


def test_ipv6_hop_limit_is_decremented():
    buffer = bytearray(tcp_packet(6))
    decrement_ttl(buffer)
    assert buffer[7] == 63


SHORT_TCP6 = _patched(tcp_packet(6)[:50], 4, b"\x00\x0a")


@pytest.mark.parametrize(
    ("packet", "accepted"),
    [
        (tcp_packet(flags=0x10, data=b"x"), True),
        (tcp_packet(6, flags=0x10, data=b"x"), True),
        (udp_packet(data=b"x"), True),
        (udp_packet(6), True),
        (tcp_packet(flags=0x12), False),
        (tcp_packet(flags=0x11), False),
        (tcp_packet(6, flags=0x14), False),
        (SHORT_TCP6, False),
        (_fragment6(0), False),
        (_patched(udp_packet(), 6, b"\x20\x00"), False),
        (_patched(tcp_packet(flags=0x10), 8, b"\x01"), False),
        (_patched(tcp_packet(6, flags=0x10), 7, b"\x01"), False),
    ],
)
def test_fast_parse_accepts_plain_packets_that_neither_start_nor_end_a_flow(packet, accepted):
    expected = parse(packet)[:2] if accepted else None
    assert try_fast_parse(bytearray(packet), len(packet)) == expected
    assert try_fast_parse(bytearray(packet) + bytes(60), len(packet)) == expected


@settings(derandomize=True, max_examples=3000)
@given(
    st.sampled_from((tcp_packet, udp_packet)),
    st.sampled_from((4, 6)),
    st.lists(st.tuples(st.integers(0, 70), st.integers(0, 255)), max_size=3),
    st.integers(0, 60),
)
def test_fast_parse_accepts_only_what_parse_accepts(build, version, changes, cut):
    packet = bytearray(build(version, data=b"x" * 50))
    if build is tcp_packet:
        packet[-50 - 7] = 0x10
    for offset, value in changes:
        packet[offset] = value
    del packet[len(packet) - cut :]
    keys = try_fast_parse(packet, len(packet))
    if keys is not None:
        parsed = parse(packet)
        assert parsed[:2] == keys
        assert parsed.event in (FlowEvent.NONE, FlowEvent.DATAGRAM)
