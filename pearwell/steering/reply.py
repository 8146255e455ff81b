"""Replies to the callers of refused flows: TCP resets and ICMP errors."""

from typing import Any

import dpkt

from pearwell.steering.ip import build_packet, unpack_packet

__all__ = ["build_refusal"]

_SEQUENCE_MASK = 0xFFFFFFFF
# RFC 792: an ICMP error quotes the IP header and 8 bytes of its payload.
_ICMP_QUOTE_BYTES = 8
# RFC 4443: an ICMPv6 error fits the minimum MTU of 1280 bytes, here less both headers.
_ICMP6_QUOTE_BYTES = 1280 - 40 - 8
_ICMP6_ADMINISTRATIVELY_PROHIBITED = 1


def build_refusal(packet: bytes) -> bytes | None:
    """Builds the reply that tells a caller that its flow is refused.

    Args:
        packet: An inner packet that pearwell.steering.packet.parse accepted.

    Returns:
        An IP packet to the caller: a reset (RFC 9293, 3.10.7.1) for TCP, "administratively
        prohibited" for UDP; None where no reply is allowed, for example to a reset.
    """
    try:
        inner = unpack_packet(packet)
        if isinstance(inner.data, dpkt.tcp.TCP):
            return _build_reset(inner, inner.data)
        if isinstance(inner.data, dpkt.udp.UDP):
            return _build_prohibited(inner, packet)
    except (dpkt.Error, ValueError):
        return None
    return None


def _build_reset(inner: Any, segment: dpkt.tcp.TCP) -> bytes | None:
    if segment.flags & dpkt.tcp.TH_RST:
        return None
    reset = dpkt.tcp.TCP(sport=segment.dport, dport=segment.sport, seq=0, win=0)
    if segment.flags & dpkt.tcp.TH_ACK:
        reset.seq = segment.ack
        reset.flags = dpkt.tcp.TH_RST
    else:
        reset.ack = (segment.seq + _sequence_length(segment)) & _SEQUENCE_MASK
        reset.flags = dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK
    return build_packet(inner.dst, inner.src, dpkt.ip.IP_PROTO_TCP, reset)


def _sequence_length(segment: dpkt.tcp.TCP) -> int:
    """Returns how many sequence numbers a segment occupies."""
    flags = segment.flags
    return len(segment.data) + bool(flags & dpkt.tcp.TH_SYN) + bool(flags & dpkt.tcp.TH_FIN)


def _build_prohibited(inner: Any, packet: bytes) -> bytes:
    if isinstance(inner, dpkt.ip6.IP6):
        message = dpkt.icmp6.ICMP6(
            type=dpkt.icmp6.ICMP6_DST_UNREACH,
            code=_ICMP6_ADMINISTRATIVELY_PROHIBITED,
            data=bytes(4) + packet[:_ICMP6_QUOTE_BYTES],
        )
        return build_packet(inner.dst, inner.src, dpkt.ip.IP_PROTO_ICMP6, message)
    quote = packet[: inner.hl * 4 + _ICMP_QUOTE_BYTES]
    message = dpkt.icmp.ICMP(
        type=dpkt.icmp.ICMP_UNREACH,
        code=dpkt.icmp.ICMP_UNREACH_FILTER_PROHIB,
        data=dpkt.icmp.ICMP.Unreach(data=quote),
    )
    return build_packet(inner.dst, inner.src, dpkt.ip.IP_PROTO_ICMP, message)
