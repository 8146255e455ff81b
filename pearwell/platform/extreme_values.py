"""Reads a response of the store entry by entry, where it can't be decoded as a whole or is large.

An entry of another writer may hold what the standard library refuses (deep nesting, integers of
thousands of digits, bytes that are no JSON), or so many values that decoding them takes long. It is
reduced to its name, and the others are read as ever.

The ends of the entries are found by C code, block by block: a Python loop over the brackets of 1 MB
takes half a second of a core, and an instance may have a sixth of a core and forwards nothing
meanwhile.
"""

import json
import re
from array import array
from collections.abc import Iterator
from itertools import accumulate, islice

# True for type checkers only, as in pearwell.affinity.sync.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

__all__ = ["count_values", "read_entries"]

# Most values (commas and opening brackets) of an entry that is decoded; a configuration of 1 MB has
# about 60,000.
MAX_VALUES = 100_000
# Part of a text whose brackets are counted at once.
BLOCK_BYTES = 512
# Nesting of the entries in a response: in a list in an object.
ENTRY_LEVEL = 3
# Nesting of the values in an object.
FIELD_LEVEL = 2
# Most lists and objects in an object that is read for its name, and most bytes besides them.
MAX_FIELDS = 16
MAX_NAME_BYTES = 16_384
# Digits of an integer that are read, and bytes of a key.
MAX_DIGITS = 400
MAX_KEY_BYTES = 32
# Start and end of an event; the keys of events and entries are the store's own.
_EVENT_HEAD = re.compile(
    rb'\{\s*(?:"Deleted"\s*:\s*(?:(?P<deleted>true)|false)\s*,\s*)?"Object"\s*:\s*(?=\{)'
)
_EVENT_TAIL = re.compile(rb',\s*"Deleted"\s*:\s*true\s*\}\Z')
_META_KEY = re.compile(rb'(?<!\\)"meta"\s*:\s*\Z')
# Bytes to steps of the nesting, as signed numbers.
_STEPS = bytes({0x5B: 1, 0x7B: 1, 0x5D: 255, 0x7D: 255}.get(byte, 0) for byte in range(256))


def read_entries(body: bytes, key: str) -> "Any":
    """Returns the value of a JSON object whose list under a key holds entries or events.

    What is left of an entry that can't be read is its name, of an event also whether it is a
    deletion.

    Raises:
        KeyError, RecursionError, TypeError, ValueError: If the rest of it can't be read.
    """
    entries: list[object] = []
    rest = []
    copied_to = 0
    for start, end in _find_values(body, ENTRY_LEVEL):
        rest += [body[copied_to:start], b"[%d]" % len(entries)]
        entries.append(_read_entry(body[start:end]))
        copied_to = end
    payload = _load(b"".join(rest) + body[copied_to:])
    listed = payload[key]
    if not isinstance(listed, list):
        raise ValueError(f"{key} is no list")
    # A list of its number takes the place of each entry; what is empty or no entry stays.
    payload[key] = [
        entries[item[0]] if isinstance(item, list) and item else item for item in listed
    ]
    return payload


def count_values(text: bytes) -> int:
    """Returns about how many values a JSON text holds; at least as many as it does."""
    return 1 + text.count(b",") + text.count(b"[") + text.count(b"{")


def _find_values(text: bytes, level: int) -> Iterator[tuple[int, int]]:
    """Finds where the lists and objects at a level of nesting begin and end; 1 is outermost."""
    # Quotes that are left after this begin or end a string.
    text = text.replace(b"\\\\", b"__").replace(b'\\"', b"__")
    # Empty lists and objects hold nothing that is looked for.
    text = text.replace(b"[]", b"__").replace(b"{}", b"__")
    depth, start, in_string = 0, 0, False
    for offset in range(0, len(text), BLOCK_BYTES):
        block = text[offset : offset + BLOCK_BYTES]
        quotes = block.count(b'"')
        if (quotes or in_string) and _count_steps(block) != (0, 0):
            parts = block.split(b'"')
            parts[not in_string :: 2] = map(b"_".__mul__, map(len, parts[not in_string :: 2]))
            block = b'"'.join(parts)
        in_string ^= quotes % 2 == 1
        opening, closing = _count_steps(block)
        if depth - closing >= level:
            # The value ends in none of these bytes.
            depth += opening - closing
            continue
        if not opening and not closing:
            continue
        depths = [*accumulate(array("b", block.translate(_STEPS)), initial=depth)]
        position = 1
        try:
            while True:
                if depth < level:
                    position = depths.index(level, position)
                    start = offset + position - 1
                    depth = level
                position = depths.index(level - 1, position)
                depth = level - 1
                yield start, offset + position
        except ValueError:
            # No further value begins, or the last one ends in a later block.
            depth = depths[-1]


def _count_steps(block: bytes) -> tuple[int, int]:
    """Returns the numbers of opening and closing brackets."""
    return block.count(b"[") + block.count(b"{"), block.count(b"]") + block.count(b"}")


def _read_entry(text: bytes) -> object:
    """Returns an entry or event; what is left of it if it can't be read."""
    if count_values(text) <= MAX_VALUES:
        try:
            return _load(text)
        except (RecursionError, ValueError):
            # What is left of it tells its name.
            pass
    head = _EVENT_HEAD.match(text)
    if head is None:
        return {"meta": {"Name": _read_name(text)}}
    item = {"meta": {"Name": _read_name(text[head.end() :])}}
    deleted = head["deleted"] is not None or _EVENT_TAIL.search(text, len(text) - 64) is not None
    return {"Object": item, "Deleted": deleted}


def _read_name(text: bytes) -> str:
    """Returns the name of the entry with which a text begins; "" if it isn't found."""
    for start, end in islice(_find_values(text, FIELD_LEVEL), MAX_FIELDS):
        if _META_KEY.search(text, max(0, start - MAX_KEY_BYTES), start) is not None:
            name = _read_scalars(text[start:end]).get("Name")
            return name if isinstance(name, str) else ""
    return ""


def _read_scalars(text: bytes) -> dict[str, object]:
    """Returns the fields of an object, without lists and objects; none if there are many."""
    rest = []
    copied_to = 0
    for start, end in islice(_find_values(text, FIELD_LEVEL), MAX_FIELDS):
        rest += [text[copied_to:start], b"[]"]
        copied_to = end
    rest.append(text[copied_to:])
    if sum(map(len, rest)) > MAX_NAME_BYTES:
        return {}
    try:
        fields = _load(b"".join(rest), strict=False, parse_int=_parse_int)
    except (RecursionError, ValueError):
        return {}
    return fields if isinstance(fields, dict) else {}


def _parse_int(digits: str) -> int:
    return int(digits[:MAX_DIGITS])


def _load(text: bytes, **options: "Any") -> "Any":
    # Bytes that are no UTF-8 affect only the text that contains them.
    return json.loads(text.decode("utf-8", "surrogateescape"), **options)
