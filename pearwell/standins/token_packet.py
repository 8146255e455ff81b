"""Packets in the platform's format, as the stand-ins of hosts and clients build them."""

from dataclasses import dataclass, replace
from struct import Struct

__all__ = ["ACK", "FIN", "RST", "SYN", "TokenPacket", "flow_address"]

SYN, ACK, RST, FIN = 1, 8, 16, 32
_HEADER = Struct(">IIHH4sH4sBBII")
_SEQUENCE_MASK = (1 << 32) - 1


@dataclass(frozen=True, slots=True)
class TokenPacket:
    """One packet.

    Attributes:
        src: Address and port of the source, 6 bytes.
        dst: Address and port of the destination, 6 bytes.
        flags: Sum of SYN, ACK, RST, FIN.
        seq: Sequence number of the first byte of data.
        ack: Next byte expected; on a client's SYN the number of its earlier transmissions.
        echo: The token; the platform's header calls this field echo.
        data: Payload.
    """

    src: bytes
    dst: bytes
    flags: int
    seq: int
    ack: int
    echo: int
    data: bytes = b""

    @property
    def end(self) -> int:
        """Sequence number after the packet; SYN or FIN counts as one byte."""
        return (self.seq + len(self.data) + bool(self.flags & (SYN | FIN))) & _SEQUENCE_MASK

    def encode(self) -> bytes:
        """Returns the bytes of the packet; the platform's keyed checksum stays 0."""
        header = _HEADER.pack(
            self.seq,
            self.ack,
            len(self.data),
            int.from_bytes(self.src[4:], "big"),
            self.src[:4],
            int.from_bytes(self.dst[4:], "big"),
            self.dst[:4],
            self.flags,
            0,
            0,
            self.echo,
        )
        return header + self.data

    @classmethod
    def decode(cls, data: bytes) -> "TokenPacket":
        """Returns the packet that the bytes encode."""
        seq, ack, length, sport, src, dport, dst, flags, _, _, echo = _HEADER.unpack_from(data)
        return cls(
            src + sport.to_bytes(2, "big"),
            dst + dport.to_bytes(2, "big"),
            flags,
            seq,
            ack,
            echo,
            data[_HEADER.size : _HEADER.size + length],
        )

    def reply(self, flags: int, seq: int, echo: int, data: bytes = b"") -> "TokenPacket":
        """Returns a reply to the sender that acknowledges this packet."""
        return replace(
            self,
            src=self.dst,
            dst=self.src,
            flags=flags,
            seq=seq,
            ack=self.end,
            echo=echo,
            data=data,
        )


def flow_address(ip: str, port: int) -> bytes:
    """Returns the 6 bytes that encode an IP address and port."""
    return bytes(map(int, ip.split("."))) + port.to_bytes(2, "big")
