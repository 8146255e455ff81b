"""Packets as PROTOCOL.md describes them, with a keyed sum that only clients and hosts can make."""

from dataclasses import dataclass, replace
from struct import Struct
from zlib import crc32

__all__ = ["ACK", "FIN", "RST", "SYN", "Packet", "is_after"]

SYN, ACK, RST, FIN = 1, 8, 16, 32
_HEAD = Struct(">IIHH4sH4sBBII")
_KEY = b"key that the system does not know"
MASK = (1 << 32) - 1

# IP address in 4 bytes, and port.
End = tuple[bytes, int]


@dataclass(frozen=True)
class Packet:
    """One packet from the end `src` to the end `dst`."""

    src: End
    dst: End
    flags: int
    seq: int
    ack: int
    echo: int = 0
    data: bytes = b""
    sum: int = 0

    @property
    def flow(self) -> tuple[End, End]:
        """The two ends, those of the sender first."""
        return self.src, self.dst

    def keyed_sum(self) -> int:
        """Returns the sum over all that the system must not change."""
        fields = (self.seq, self.ack, self.src, self.dst, self.flags, self.data)
        return crc32(_KEY + repr(fields).encode()) or 1

    def encode(self) -> bytes:
        """Returns the datagram of a client's or host's packet."""
        return (
            _HEAD.pack(
                self.seq & MASK,
                self.ack & MASK,
                len(self.data),
                self.src[1],
                self.src[0],
                self.dst[1],
                self.dst[0],
                self.flags,
                0,
                self.keyed_sum(),
                self.echo,
            )
            + self.data
        )

    @classmethod
    def decode(cls, data: bytes) -> "Packet":
        """Returns the packet in a datagram."""
        seq, ack, size, sport, src, dport, dst, flags, _, total, echo = _HEAD.unpack_from(data)
        body = data[_HEAD.size :]
        if len(body) != size:
            raise ValueError(f"{size} bytes announced, {len(body)} received")
        return cls((src, sport), (dst, dport), flags, seq, ack, echo, body, total)

    @property
    def is_genuine(self) -> bool:
        """Whether a client or host has written the packet just so."""
        return self.sum == self.keyed_sum()

    def reply(self, flags: int, seq: int, ack: int, echo: int, data: bytes = b"") -> "Packet":
        """Returns a packet in the other direction."""
        return replace(
            self,
            src=self.dst,
            dst=self.src,
            flags=flags,
            seq=seq & MASK,
            ack=ack & MASK,
            echo=echo,
            data=data,
        )


def is_after(value: int, than: int) -> bool:
    """Whether one 32-bit sequence number comes after another."""
    return 0 < (value - than) & MASK < 1 << 31
