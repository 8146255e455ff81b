"""Hints between instances that a target is gone.

When a target stops responding, hundreds of instances may each have one or two flows on it. Without
hints, each instance would detect the failure only by an unanswered request, which is lost if it
can't be retried. The first instances to detect it notify the others, which then probe the target
themselves: a hint alone never resets a flow.
"""

__all__ = ["Hint", "decode_hint", "encode_hint"]

_MARK = b"pearwell-hint-1"
# Maximum length of a target's name in a hint.
MAX_NAME_BYTES = 100
# Name of the target, and whether relays forward the hint.
Hint = tuple[str, bool]


def encode_hint(name: str, forward: bool) -> bytes:
    """Returns the datagram of a hint."""
    return b" ".join((_MARK, b"1" if forward else b"0", name.encode()))


def decode_hint(data: bytes) -> Hint | None:
    """Returns the hint in a datagram, or None if it is malformed."""
    parts = data.split(b" ")
    if len(parts) != 3 or parts[0] != _MARK or not 0 < len(parts[2]) <= MAX_NAME_BYTES:
        return None
    try:
        return parts[2].decode("ascii"), parts[1] == b"1"
    except UnicodeDecodeError:
        return None
