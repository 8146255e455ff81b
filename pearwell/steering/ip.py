"""Builds and parses whole IP packets with dpkt; not used on the fast path."""

from typing import Any

import dpkt

__all__ = ["DEFAULT_TTL", "build_packet", "unpack_packet"]

DEFAULT_TTL = 64

_IPV4_ADDRESS_BYTES = 4
_IPV4_HEADER_BYTES = 20


def build_packet(source: bytes, destination: bytes, protocol: int, data: dpkt.Packet) -> bytes:
    """Builds an IP packet; checksums are filled in.

    Args:
        source: Source address in network order; its length selects IPv4 or IPv6.
        destination: Destination address in network order.
        protocol: IANA protocol number of the payload.
        data: The payload.
    """
    if len(source) == _IPV4_ADDRESS_BYTES:
        total = _IPV4_HEADER_BYTES + len(data)
        return bytes(
            dpkt.ip.IP(
                src=source, dst=destination, p=protocol, ttl=DEFAULT_TTL, len=total, data=data
            )
        )
    packet = dpkt.ip6.IP6(
        src=source, dst=destination, nxt=protocol, hlim=DEFAULT_TTL, plen=len(data), data=data
    )
    packet.extension_hdrs = {}
    return bytes(packet)


def unpack_packet(packet: bytes) -> Any:
    """Parses a packet into dpkt.ip.IP or dpkt.ip6.IP6.

    Raises:
        dpkt.Error: It can't be parsed.
    """
    if not packet:
        raise dpkt.NeedData("empty packet")
    return dpkt.ip6.IP6(packet) if packet[0] >> 4 == 6 else dpkt.ip.IP(packet)
