"""Inner IP packets: reads the 5-tuple at fixed offsets and decrements the TTL in place.

The formats are those of RFC 791 (IPv4), RFC 8200 (IPv6), RFC 9293 (TCP) and RFC 768 (UDP).
"""

import ipaddress
import struct
from typing import NamedTuple

from pearwell.errors import Code, PacketError
from pearwell.steering.verdict import FlowEvent

__all__ = [
    "MAX_PACKET_BYTES",
    "ParsedPacket",
    "caller_prefix",
    "decrement_ttl",
    "parse",
    "service_key",
    "try_fast_parse",
]

MAX_PACKET_BYTES = 65535

Buffer = bytes | bytearray | memoryview

_IPV4_HEADER_BYTES = 20
# IP and UDP headers.
_SHORTEST_PACKET_BYTES = 28
_SHORTEST_IPV6_PACKET_BYTES = 48
_IPV4_WITHOUT_OPTIONS = 0x45
_IPV6_HEADER_BYTES = 40
_IPV6_FRAGMENT_BYTES = 8
_TCP_HEADER_BYTES = 20
_UDP_HEADER_BYTES = 8
_TCP_DATA_OFFSET = 12
_TCP_FLAGS_OFFSET = 13
_UDP_LENGTH_OFFSET = 4

_TCP = 6
_UDP = 17
_IPV6_FRAGMENT = 44
_FRAGMENT_OFFSET_MASK = 0x1FFF
_ANY_FRAGMENT_MASK = 0x3FFF
_IPV6_FRAGMENT_OFFSET_MASK = 0xFFF8
_IPV4_PREFIX_BYTES = 3
_IPV6_PREFIX_BYTES = 7

# Version and length, total length, fragment field, protocol, both addresses.
_IPV4 = struct.Struct("!BxHxxHxBxx8s")
# Total length, fragment field, TTL, protocol, addresses and ports in one piece.
_PLAIN_IPV4 = struct.Struct("!2xHxxHBBxx12s")
# Payload length, next header, hop limit, addresses and ports in one piece.
_PLAIN_IPV6 = struct.Struct("!4xHBB36s")
_TTL_TO_CHECKSUM = struct.Struct("!BBH")
# Payload length, next header, both addresses.
_IPV6 = struct.Struct("!4xHBx32s")
# Next header, fragment offset.
_IPV6_FRAGMENT_HEADER = struct.Struct("!BxH")
# Both ports, data offset, flags.
_TCP_HEADER = struct.Struct("!4s8xBB")
# Both ports, length.
_UDP_HEADER = struct.Struct("!4sH")

_TTL_OFFSET = 8
# The TTL is the upper byte of its 16-bit checksum word.
_TTL_STEP = 0x0100

_PROTOCOL_BYTES = {_TCP: b"\x06", _UDP: b"\x11"}

_FIN = 0x01
_SYN = 0x02
_RST = 0x04
_ACK = 0x10
_EVENT_FLAGS = _FIN | _SYN | _RST | _ACK
_LIFECYCLE_FLAGS = _FIN | _SYN | _RST


def _tcp_event(flags: int) -> FlowEvent | None:
    if flags & _SYN and flags & (_FIN | _RST):
        return None
    event = FlowEvent.NONE
    if flags & _SYN and not flags & _ACK:
        event |= FlowEvent.START
    if flags & _FIN:
        event |= FlowEvent.END
    if flags & _RST:
        event |= FlowEvent.RESET
    return event


# Indexed by the TCP flags of interest; None for combinations that no valid segment has.
_TCP_EVENTS = tuple(_tcp_event(flags) for flags in range(_EVENT_FLAGS + 1))


class ParsedPacket(NamedTuple):
    """The fields of a packet that steering uses.

    Attributes:
        flow_key: Source and destination address, source and destination port, protocol.
        service_key: Destination address, destination port, protocol.
        event: Lifecycle event of the flow that the packet signals.
        has_payload: Whether it carries data beyond the transport header.
    """

    flow_key: bytes
    service_key: bytes
    event: FlowEvent
    has_payload: bool


def parse(packet: Buffer) -> ParsedPacket:
    """Parses an inner packet.

    Args:
        packet: A whole IPv4 or IPv6 packet, without trailing bytes.

    Returns:
        The flow, the service and the flow event of the packet.

    Raises:
        PacketError: 201 to 205 if the packet is malformed or unsupported.
    """
    if not len(packet):
        raise PacketError(Code.PACKET_TRUNCATED)
    version = packet[0] >> 4
    if version == 4:
        return _parse_ipv4(packet)
    if version == 6:
        return _parse_ipv6(packet)
    raise PacketError(Code.PACKET_BAD_VERSION)


def try_fast_parse(buffer: bytearray, length: int) -> tuple[bytes, bytes] | None:
    """Returns the flow and service key of a packet that neither starts nor ends a flow.

    This is the fast path for most packets, those with plain headers. It accepts only packets that
    parse accepts with the same keys and without a start or end, and whose TTL doesn't expire.

    Args:
        buffer: Starts with the packet.
        length: Bytes of the packet.

    Returns:
        The keys as in ParsedPacket, or None for any other packet.
    """
    if length < _SHORTEST_PACKET_BYTES:
        return None
    version = buffer[0]
    if version == _IPV4_WITHOUT_OPTIONS:
        total, fragment, ttl, protocol, key = _PLAIN_IPV4.unpack_from(buffer)
        if total != length or fragment & _ANY_FRAGMENT_MASK or ttl <= 1:
            return None
        offset, address = _IPV4_HEADER_BYTES, key[4:8]
    elif version >> 4 == 6 and length >= _SHORTEST_IPV6_PACKET_BYTES:
        payload, protocol, ttl, key = _PLAIN_IPV6.unpack_from(buffer)
        if payload + _IPV6_HEADER_BYTES != length or ttl <= 1:
            return None
        offset, address = _IPV6_HEADER_BYTES, key[16:32]
    else:
        return None
    if protocol == _TCP:
        if length < offset + _TCP_HEADER_BYTES:
            return None
        if buffer[offset + _TCP_FLAGS_OFFSET] & _LIFECYCLE_FLAGS:
            return None
        header = (buffer[offset + _TCP_DATA_OFFSET] >> 4) * 4
        if not _TCP_HEADER_BYTES <= header <= length - offset:
            return None
    elif protocol == _UDP:
        datagram_length = (
            buffer[offset + _UDP_LENGTH_OFFSET] << 8 | buffer[offset + _UDP_LENGTH_OFFSET + 1]
        )
        if not min(datagram_length, length - offset) >= _UDP_HEADER_BYTES:
            return None
    else:
        return None
    rest = _PROTOCOL_BYTES[protocol]
    return key + rest, address + key[-2:] + rest


def decrement_ttl(packet: bytearray | memoryview) -> None:
    """Decrements the TTL or hop limit of a parsed packet in place.

    The IPv4 header checksum is updated incrementally (RFC 1624), so an invalid one stays invalid.

    Args:
        packet: A packet that parse accepted.

    Raises:
        PacketError: PACKET_TTL_EXPIRED if the TTL or hop limit would reach zero.
    """
    if packet[0] >> 4 == 6:
        if packet[7] <= 1:
            raise PacketError(Code.PACKET_TTL_EXPIRED)
        packet[7] -= 1
        return
    ttl, protocol, checksum = _TTL_TO_CHECKSUM.unpack_from(packet, _TTL_OFFSET)
    if ttl <= 1:
        raise PacketError(Code.PACKET_TTL_EXPIRED)
    checksum += _TTL_STEP
    if checksum >= 0xFFFF:
        checksum -= 0xFFFF
    _TTL_TO_CHECKSUM.pack_into(packet, _TTL_OFFSET, ttl - 1, protocol, checksum)


def service_key(address: str, port: int, protocol: int) -> bytes:
    """Returns the key of a service, as in ParsedPacket.

    Args:
        address: IPv4 or IPv6 address that callers connect to.
        port: Transport port.
        protocol: IANA protocol number.
    """
    return ipaddress.ip_address(address).packed + struct.pack("!HB", port, protocol)


def caller_prefix(flow_key: bytes) -> bytes:
    """Returns the caller's network prefix of a flow: /24 for IPv4, /56 for IPv6."""
    is_ipv4 = len(flow_key) == 2 * 4 + 5
    return flow_key[: _IPV4_PREFIX_BYTES if is_ipv4 else _IPV6_PREFIX_BYTES]


def _parse_ipv4(packet: Buffer) -> ParsedPacket:
    length = len(packet)
    if length < _IPV4_HEADER_BYTES:
        raise PacketError(Code.PACKET_TRUNCATED)
    version_ihl, total, fragment, protocol, addresses = _IPV4.unpack_from(packet)
    header = (version_ihl & 0x0F) * 4
    if total > length:
        raise PacketError(Code.PACKET_TRUNCATED)
    if total < length or header < _IPV4_HEADER_BYTES or header > total:
        raise PacketError(Code.PACKET_BAD_HEADER)
    if fragment & _FRAGMENT_OFFSET_MASK:
        raise PacketError(Code.PACKET_FRAGMENT)
    return _parse_transport(packet, header, protocol, addresses, 4)


def _parse_ipv6(packet: Buffer) -> ParsedPacket:
    length = len(packet)
    if length < _IPV6_HEADER_BYTES:
        raise PacketError(Code.PACKET_TRUNCATED)
    payload, protocol, addresses = _IPV6.unpack_from(packet)
    total = payload + _IPV6_HEADER_BYTES
    if total > length:
        raise PacketError(Code.PACKET_TRUNCATED)
    if total < length:
        raise PacketError(Code.PACKET_BAD_HEADER)
    header = _IPV6_HEADER_BYTES
    if protocol == _IPV6_FRAGMENT:
        header += _IPV6_FRAGMENT_BYTES
        if length < header:
            raise PacketError(Code.PACKET_TRUNCATED)
        protocol, offset = _IPV6_FRAGMENT_HEADER.unpack_from(packet, _IPV6_HEADER_BYTES)
        if offset & _IPV6_FRAGMENT_OFFSET_MASK:
            raise PacketError(Code.PACKET_FRAGMENT)
    return _parse_transport(packet, header, protocol, addresses, 16)


def _parse_transport(
    packet: Buffer, offset: int, protocol: int, addresses: bytes, address_bytes: int
) -> ParsedPacket:
    length = len(packet)
    if protocol == _TCP:
        if length < offset + _TCP_HEADER_BYTES:
            raise PacketError(Code.PACKET_TRUNCATED)
        ports, data_offset, flags = _TCP_HEADER.unpack_from(packet, offset)
        payload = offset + (data_offset >> 4) * 4
        event = _TCP_EVENTS[flags & _EVENT_FLAGS]
        if event is None or payload < offset + _TCP_HEADER_BYTES or payload > length:
            raise PacketError(Code.PACKET_BAD_HEADER)
    elif protocol == _UDP:
        if length < offset + _UDP_HEADER_BYTES:
            raise PacketError(Code.PACKET_TRUNCATED)
        ports, datagram_length = _UDP_HEADER.unpack_from(packet, offset)
        if datagram_length < _UDP_HEADER_BYTES:
            raise PacketError(Code.PACKET_BAD_HEADER)
        payload = offset + _UDP_HEADER_BYTES
        event = FlowEvent.DATAGRAM
    else:
        raise PacketError(Code.PACKET_UNSUPPORTED_PROTOCOL)
    rest = ports + _PROTOCOL_BYTES[protocol]
    return ParsedPacket(
        addresses + rest, addresses[address_bytes:] + rest[2:], event, payload < length
    )
