"""Tokens: the 32 bits of a packet that name the target of its flow."""

from zlib import crc32

__all__ = ["NO_TOKEN", "draw", "token_of"]

# Odd constant of multiplicative hashing, the golden ratio of 2 ** 32.
_MULTIPLIER = 0x9E3779B1
_MASK = (1 << 32) - 1

# Carried by the first packet of a flow, which has no target yet.
NO_TOKEN = 0


def token_of(target_name: str) -> int:
    """Returns the token of a target: 32 bits, never NO_TOKEN, the same at every instance."""
    return crc32(target_name.encode()) or 1


def draw(key: bytes, choice: bytes) -> int:
    """Returns a 32-bit number by which to choose: the choice with the highest one for a key wins.

    CRC-32 alone is linear, so that of several choices some would win far more keys than others.
    """
    number = crc32(choice, crc32(key))
    number = (number ^ number >> 15) * _MULTIPLIER & _MASK
    return (number ^ number >> 13) * _MULTIPLIER & _MASK
