"""Structured log lines on standard output that never hold up the packet path.

Lines are key=value pairs like those of pearwell.logs. structlog takes 50 ms of processor time to
import, so the platform's role formats its lines here. Lines over the budget, or that standard
output doesn't take, are left out and counted in the next line that is written.
"""

import os
from collections.abc import Callable

__all__ = ["EventLog"]

# Lines a second and lines at once for events of flows; changes of belief aren't limited by it.
FLOW_LINES_PER_S = 40.0
FLOW_LINES_AT_ONCE = 80.0
# Most bytes held for a slow reader.
MAX_PENDING_BYTES = 65_536
# Bytes gathered before they are written; a flush comes with each second at the latest.
WRITE_BYTES = 4_096


class EventLog:
    """Writes events.

    Args:
        write: Writes bytes and returns how many were taken; raises OSError if none can be.
        now: Returns the current time in seconds of a steady clock.
        **bound: Pairs added to every line.
    """

    def __init__(
        self, write: Callable[[bytes], int], now: Callable[[], float], **bound: str
    ) -> None:
        self._write = write
        self._now = now
        self._bound = "".join(f" {name}={value}" for name, value in bound.items())
        self._pending = bytearray()
        self._tokens = FLOW_LINES_AT_ONCE
        self._refilled_at = now()
        self._left_out = 0

    @property
    def left_out(self) -> int:
        """Lines left out since the latest line."""
        return self._left_out

    def flow(self, event: str, **fields: object) -> None:
        """Logs a decision on a flow, within the budget."""
        now = self._now()
        refill = (now - self._refilled_at) * FLOW_LINES_PER_S
        self._tokens = min(FLOW_LINES_AT_ONCE, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self._left_out += 1
            return
        self._tokens -= 1
        self._append(now, event, fields)

    def event(self, event: str, **fields: object) -> None:
        """Logs a change of belief, of a dependency or of the process."""
        self._append(self._now(), event, fields)

    def flush(self) -> None:
        """Writes what is pending as far as it is taken."""
        if not self._pending:
            return
        try:
            taken = self._write(bytes(self._pending))
        except OSError:
            # A full pipe or a reader that left: the lines wait, or are left out and counted.
            return
        del self._pending[:taken]

    def _append(self, now: float, event: str, fields: dict[str, object]) -> None:
        pairs = "".join(f" {name}={_render(value)}" for name, value in fields.items())
        left_out = f" left_out={self._left_out}" if self._left_out else ""
        line = f"t={now:.3f} event={event}{self._bound}{pairs}{left_out}\n".encode()
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._left_out += 1
            return
        self._left_out = 0
        self._pending += line
        if len(self._pending) >= WRITE_BYTES:
            self.flush()


def stdout_writer() -> Callable[[bytes], int]:
    """Returns a writer to standard output that never blocks."""
    os.set_blocking(1, False)
    return lambda data: os.write(1, data)


def _render(value: object) -> str:
    if isinstance(value, bytes):
        return flow_name(value)
    text = str(value)
    if " " in text or '"' in text or "\n" in text or not text:
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    return text


def flow_name(key: bytes) -> str:
    """Returns client and destination of a flow key, as ADDRESS:PORT>ADDRESS:PORT."""
    port, to_port = int.from_bytes(key[0:2], "big"), int.from_bytes(key[6:8], "big")
    client = ".".join(map(str, key[2:6]))
    destination = ".".join(map(str, key[8:12]))
    return f"{client}:{port}>{destination}:{to_port}"
