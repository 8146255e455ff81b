"""Hints between instances that a target is gone.

Load pattern: a target falls silent while hundreds of instances hold a flow or two of it each.
Every instance would find out by a request of its own that goes unanswered, which is lost if it
can't be repeated. So the first ones to find out tell the others, which then try the target
themselves: a hint alone resets nothing.
"""

__all__ = ["Followers", "Hint", "decode_hint", "encode_hint"]

_MARK = b"pearwell-hint-1"
# Longest name of a target that is taken.
MAX_NAME_BYTES = 100
# Followers ask their relay each second; one that hasn't for this time is told nothing.
FOLLOWER_S = 10.0
# Time in which a relay passes on one hint on a target: several instances find out at once.
REPEAT_S = 2.0

# Name of the target, and whether relays are to pass the hint on.
Hint = tuple[str, bool]


def encode_hint(name: str, pass_on: bool) -> bytes:
    """Returns the datagram that tells of a target."""
    return b" ".join((_MARK, b"1" if pass_on else b"0", name.encode()))


def decode_hint(data: bytes) -> Hint | None:
    """Returns the hint in a datagram, or None if there is none."""
    parts = data.split(b" ")
    if len(parts) != 3 or parts[0] != _MARK or not 0 < len(parts[2]) <= MAX_NAME_BYTES:
        return None
    try:
        return parts[2].decode("ascii"), parts[1] == b"1"
    except UnicodeDecodeError:
        return None


class Followers:
    """The IP addresses of those who ask a relay, and what they were told."""

    def __init__(self) -> None:
        self._asked_at: dict[str, float] = {}
        self._told_at: dict[str, float] = {}

    def asked(self, ip: str, now: float) -> None:
        """Takes that someone has asked."""
        self._asked_at[ip] = now

    def is_news(self, name: str, now: float) -> bool:
        """Whether a target is to be told of, as it hasn't been lately."""
        self._told_at = {held: at for held, at in self._told_at.items() if now - at <= REPEAT_S}
        if name in self._told_at:
            return False
        self._told_at[name] = now
        return True

    def current(self, now: float) -> list[str]:
        """Returns those who have asked lately, and forgets the others."""
        self._asked_at = {ip: at for ip, at in self._asked_at.items() if now - at <= FOLLOWER_S}
        return list(self._asked_at)
