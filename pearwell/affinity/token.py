"""Tokens: 32 bits in each packet that identify the target of its flow."""

from zlib import crc32

__all__ = ["NO_TOKEN", "rendezvous_score", "token_of"]

# Multiplier of Fibonacci hashing: 2 ** 32 divided by the golden ratio, an odd number.
_MULTIPLIER = 0x9E3779B1
_MASK = (1 << 32) - 1

# Token of a SYN, whose flow has no target yet.
NO_TOKEN = 0


def token_of(target_name: str) -> int:
    """Returns the token of a target: 32 bits, never NO_TOKEN, the same at every instance."""
    return crc32(target_name.encode()) or 1


def rendezvous_score(key: bytes, choice: bytes) -> int:
    """Returns the 32-bit score of a choice for a key; the choice with the highest score wins.

    This is rendezvous hashing. CRC-32 alone is linear, so some choices would win far more keys than
    others.
    """
    number = crc32(choice, crc32(key))
    number = (number ^ number >> 15) * _MULTIPLIER & _MASK
    return (number ^ number >> 13) * _MULTIPLIER & _MASK
