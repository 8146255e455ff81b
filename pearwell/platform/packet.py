"""Codec for the platform's packets: a header of 32 bytes, then data.

    seq 0:4   ack 4:8   len 8:10   sport 10:12   src 12:16   dport 16:18   dst 18:22
    flags 22  pad 23    sum 24:28  echo 28:32

The field `echo` carries the token. On a SYN, `ack` counts the earlier transmissions by the client.
"""

from struct import Struct

from pearwell.affinity.director import Packet
from pearwell.errors import Code, PacketError

__all__ = [
    "HEADER_BYTES",
    "client_ip",
    "decode_packet",
    "encode_forwarded",
    "encode_reset",
    "flow_packet",
]

HEADER_BYTES = 32
_FIELDS = Struct(">IIH12sBB4sI")
_ECHO = Struct(">I")
_FLAG_RST = 16


def decode_packet(data: bytes) -> Packet:
    """Returns the decoded header of a packet.

    Raises:
        PacketError: PACKET_TRUNCATED or PACKET_BAD_HEADER.
    """
    if len(data) < HEADER_BYTES:
        raise PacketError(Code.PACKET_TRUNCATED, f"{len(data)} bytes are less than a header")
    seq, ack, length, key, flags, _, _, echo = _FIELDS.unpack_from(data)
    if length != len(data) - HEADER_BYTES:
        raise PacketError(Code.PACKET_BAD_HEADER, f"length {length} in {len(data)} bytes")
    return key, key[6:], flags, seq, ack, length, echo


def encode_forwarded(data: bytes, tag: bytes, token: int, packet_token: int) -> bytes:
    """Returns the datagram for a target: the target's tag, then the packet with its token.

    Args:
        data: The packet.
        tag: The 8 bytes that identify the target.
        token: Token of the target.
        packet_token: Token in the packet, which on most packets already is the target's.
    """
    if packet_token == token:
        return tag + data
    return b"".join((tag, data[:28], _ECHO.pack(token), data[32:]))


def encode_reset(packet: Packet) -> bytes:
    """Returns the reset in response to a client's packet; a reset needs no valid checksum."""
    key, _, _, _, ack, _, _ = packet
    return _FIELDS.pack(ack, 0, 0, key[6:] + key[:6], _FLAG_RST, 0, b"\0\0\0\0", 0)


def flow_packet(key: bytes, ack: int) -> Packet:
    """Returns a decoded packet of a flow, for a reset without a packet to respond to.

    Args:
        key: Ports and addresses of the flow.
        ack: Latest acknowledgement number of the client.
    """
    return key, key[6:], 0, 0, ack, 0, 0


def client_ip(key: bytes) -> str:
    """Returns the client's IP address from a flow key."""
    return ".".join(map(str, key[2:6]))
