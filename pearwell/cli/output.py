"""Output of pearwellctl: tables for people, JSON for programs."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

from google.protobuf import json_format
from google.protobuf.message import Message

__all__ = ["Output"]

_COLUMN_GAP = "  "


class Output:
    """Prints responses.

    Args:
        output_format: "table" or "json".
    """

    def __init__(self, output_format: str) -> None:
        self._as_json = output_format == "json"

    def message(self, message: Message, row: Mapping[str, Any]) -> None:
        """Prints one message as JSON, or its row as one line per name and value."""
        if self._as_json:
            print(json.dumps(_to_dict(message), separators=(",", ":")), flush=True)
            return
        width = max(map(len, row))
        for name, value in row.items():
            print(f"{name:<{width}}{_COLUMN_GAP}{_format_value(value)}", flush=True)

    def table(
        self, messages: Sequence[Message], rows: Sequence[Mapping[str, Any]], empty: str
    ) -> None:
        """Prints messages as a JSON list, or their rows as a table."""
        if self._as_json:
            print(json.dumps([_to_dict(message) for message in messages], separators=(",", ":")))
            return
        if not rows:
            print(empty)
            return
        names = list(rows[0])
        cells = [[name.upper() for name in names]]
        cells += [[_format_value(row[name]) for name in names] for row in rows]
        widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
        for line in cells:
            padded = (f"{cell:<{width}}" for cell, width in zip(line, widths, strict=True))
            print(_COLUMN_GAP.join(padded).rstrip())

    def line(self, message: Message, text: str) -> None:
        """Prints one message of a stream on one line."""
        print(json.dumps(_to_dict(message)) if self._as_json else text, flush=True)


def _to_dict(message: Message) -> Any:
    return json_format.MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value)) or "-"
    return str(value) if value not in ("", None) else "-"
