"""Tokens: the 32 bits of a packet that name the target of its flow."""

from zlib import crc32

__all__ = ["NO_TOKEN", "token_of"]

# Carried by the first packet of a flow, which has no target yet.
NO_TOKEN = 0


def token_of(target_name: str) -> int:
    """Returns the token of a target: 32 bits, never NO_TOKEN, the same at every instance."""
    return crc32(target_name.encode()) or 1
