"""Extreme values in JSON texts, which the standard library refuses with the whole text.

An entry of another writer may hold them, and must not affect the other entries of a response.
"""

import re

__all__ = ["remove_extreme_values"]

# Nesting of values and length of numbers that are kept.
MAX_NESTING = 32
MAX_NUMBER_CHARS = 400
# Strings, numbers and brackets of a JSON text.
_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|-?\d[\d.eE+-]*|[\[\]{}]')


def remove_extreme_values(text: str) -> str:
    """Returns a JSON text with null for values nested too deeply and numbers that are too long.

    They belong to an entry of another writer, which must not affect the others.
    """
    kept = []
    copied_to, depth = 0, 0
    for token in _TOKEN.finditer(text):
        first = token.group()[0]
        if first in "[{":
            depth += 1
            if depth == MAX_NESTING + 1:
                kept.append(text[copied_to : token.start()])
        elif first in "]}":
            depth -= 1
            if depth == MAX_NESTING:
                kept.append("null")
                copied_to = token.end()
        elif first != '"' and depth <= MAX_NESTING and len(token.group()) > MAX_NUMBER_CHARS:
            kept += [text[copied_to : token.start()], "null"]
            copied_to = token.end()
    return "".join(kept) + text[copied_to:]
