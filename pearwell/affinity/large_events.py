"""Events that are too large for a relay to forward as they are."""

import json
from collections.abc import Callable

__all__ = ["MAX_EVENT_BYTES", "shorten_large"]

# Largest event that a relay forwards. A relay serves a third of the fleet, about forty instances,
# and the slowest links carry 5 Mbit/s: sending 16 kB to each instance takes a second.
MAX_EVENT_BYTES = 16_000
# Most opening brackets in an event that a relay forwards; far deeper nesting can't be encoded.
MAX_EVENT_BRACKETS = 400


def shorten_large(
    events: list[object], shorten: Callable[[object], object | None]
) -> list[object | None]:
    """Returns events with the large ones replaced by what shorten() returns for them."""
    return [event if _is_small(event) else shorten(event) for event in events]


def _is_small(event: object) -> bool:
    """Whether a relay forwards an event; encoding one of 1 MB to see its size takes long."""
    left, brackets = MAX_EVENT_BYTES, MAX_EVENT_BRACKETS
    values = [event]
    while values and left >= 0 and brackets >= 0:
        value = values.pop()
        left -= 1
        if isinstance(value, dict | list):
            brackets -= 1
            left -= len(value)
            if left >= 0:
                values += value
                values += value.values() if isinstance(value, dict) else ()
        elif isinstance(value, str):
            left -= len(value)
        elif isinstance(value, int):
            left -= value.bit_length() // 4
    # Brackets bound the nesting, which the encoding of a whole response may not exceed.
    return left >= 0 and brackets >= 0 and len(json.dumps(event)) <= MAX_EVENT_BYTES
