"""TCP segments in IP packets, which the caller and target stand-ins exchange."""

import ipaddress
from dataclasses import dataclass
from enum import IntFlag

import dpkt

from pearwell.steering.ip import build_packet, unpack_packet

__all__ = ["Endpoints", "Flags", "Segment", "read_segment"]

_WINDOW = 65535
_KNOWN_FLAGS = 0x17
_SEQUENCE_MASK = 0xFFFFFFFF


class Flags(IntFlag):
    """TCP flags."""

    FIN = 1
    SYN = 2
    RST = 4
    ACK = 16


@dataclass(frozen=True, slots=True)
class Endpoints:
    """Source and destination of a segment; addresses in network order."""

    source: bytes
    source_port: int
    destination: bytes
    destination_port: int

    def reversed(self) -> "Endpoints":
        """Returns the endpoints of the opposite direction."""
        return Endpoints(self.destination, self.destination_port, self.source, self.source_port)

    @classmethod
    def of(cls, source: str, source_port: int, destination: str, port: int) -> "Endpoints":
        """Returns endpoints of addresses in text form."""
        packed = (ipaddress.ip_address(address).packed for address in (source, destination))
        return cls(next(packed), source_port, next(packed), port)


@dataclass(frozen=True, slots=True)
class Segment:
    """One TCP segment.

    Attributes:
        endpoints: Source and destination.
        flags: TCP flags.
        sequence: Sequence number.
        acknowledgement: Acknowledged sequence number.
        payload: Bytes that it carries.
    """

    endpoints: Endpoints
    flags: Flags
    sequence: int = 0
    acknowledgement: int = 0
    payload: bytes = b""

    @property
    def end(self) -> int:
        """Sequence number after this segment; SYN and FIN count as one byte each."""
        control = bool(self.flags & Flags.SYN) + bool(self.flags & Flags.FIN)
        return (self.sequence + len(self.payload) + control) & _SEQUENCE_MASK

    def packet(self) -> bytes:
        """Returns the segment in an IP packet."""
        endpoints = self.endpoints
        tcp = dpkt.tcp.TCP(
            sport=endpoints.source_port,
            dport=endpoints.destination_port,
            seq=self.sequence,
            ack=self.acknowledgement,
            flags=int(self.flags),
            win=_WINDOW,
            data=self.payload,
        )
        return build_packet(endpoints.source, endpoints.destination, dpkt.ip.IP_PROTO_TCP, tcp)


def read_segment(packet: bytes) -> Segment | None:
    """Returns the TCP segment in an IP packet, or None if there is none."""
    try:
        inner = unpack_packet(packet)
    except dpkt.Error:
        return None
    tcp = inner.data
    if not isinstance(tcp, dpkt.tcp.TCP):
        return None
    endpoints = Endpoints(inner.src, tcp.sport, inner.dst, tcp.dport)
    return Segment(endpoints, Flags(tcp.flags & _KNOWN_FLAGS), tcp.seq, tcp.ack, bytes(tcp.data))
