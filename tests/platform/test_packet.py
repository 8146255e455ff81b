"""Tests of pearwell.platform.packet."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearwell.affinity.director import SYN
from pearwell.errors import Code, PacketError
from pearwell.event_log import flow_name
from pearwell.platform.packet import (
    HEADER_BYTES,
    client_ip,
    decode_packet,
    encode_forwarded,
    encode_reset,
    flow_packet,
)

# The examples in the platform's packet documentation.
SYN_BYTES = bytes.fromhex(
    "11223344 00000000 0000 9c41 64400007 01bb c6120001 01 00 a1b2c3d5 00000000"
)
RESET_BYTES = bytes.fromhex(
    "00000000 00000000 0000 01bb c6120001 9c41 64400007 10 00 00000000 00000000"
)


def test_the_example_of_a_syn():
    key, address, flags, seq, ack, length, token = decode_packet(SYN_BYTES)
    assert flow_name(key) == "100.64.0.7:40001>198.18.0.1:443"
    assert address == key[6:]
    assert (flags, seq, ack, length, token) == (SYN, 0x11223344, 0, 0, 0)
    assert client_ip(key) == "100.64.0.7"


def test_the_example_of_a_reset():
    assert encode_reset(decode_packet(SYN_BYTES)) == RESET_BYTES


@pytest.mark.parametrize("ack", [0, 1, 0x7FFFFFFF, 0xFFFFFFFF])
def test_a_reset_has_the_acknowledgement_number_of_the_client(ack):
    key = decode_packet(SYN_BYTES)[0]
    reset = encode_reset(flow_packet(key, ack))
    assert int.from_bytes(reset[0:4], "big") == ack
    assert reset[4:] == RESET_BYTES[4:]


@given(st.binary(min_size=HEADER_BYTES, max_size=1300), st.integers(0, 2**32 - 1))
def test_forwarding_changes_nothing_but_the_token(data, token):
    packet_token = int.from_bytes(data[28:32], "big")
    sent = encode_forwarded(data, b"12345678", token, packet_token)
    assert sent[:8] == b"12345678"
    assert sent[8:36] == data[:28]
    assert sent[36:40] == token.to_bytes(4, "big")
    assert sent[40:] == data[32:]


def test_a_packet_with_the_token_is_forwarded_unchanged():
    token = int.from_bytes(SYN_BYTES[28:32], "big")
    assert encode_forwarded(SYN_BYTES, b"12345678", token, token) == b"12345678" + SYN_BYTES


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused_with_a_code(data):
    try:
        packet = decode_packet(data)
    except PacketError as error:
        assert error.code in (Code.PACKET_TRUNCATED, Code.PACKET_BAD_HEADER)
    else:
        assert packet[5] == len(data) - HEADER_BYTES
        assert len(encode_reset(packet)) == HEADER_BYTES


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"", Code.PACKET_TRUNCATED),
        (SYN_BYTES[:31], Code.PACKET_TRUNCATED),
        (SYN_BYTES + b"x", Code.PACKET_BAD_HEADER),
    ],
)
def test_malformed_packets(data, code):
    with pytest.raises(PacketError) as caught:
        decode_packet(data)
    assert caught.value.code is code
