"""Structured log lines on standard output that never block the packet path.

Lines are key=value pairs like those of pearwell.logs. Importing structlog takes 50 ms of CPU time,
so the platform's role formats its lines here. Lines that exceed the rate limit or the output buffer
are dropped and counted in the next line that is written.
"""

import os
from collections.abc import Callable

__all__ = ["EventLog"]

# Rate limit and burst for lines about flows; other lines are not rate-limited.
FLOW_LINES_PER_S = 40.0
FLOW_LINE_BURST = 80.0
# Maximum size of the output buffer, which fills while a reader is slow.
MAX_PENDING_BYTES = 65_536
# Buffered bytes that trigger a write; the role also flushes every second.
WRITE_BYTES = 4_096


class EventLog:
    """Writes events as log lines.

    Args:
        write: Writes bytes and returns how many were written; raises OSError if none were.
        now: Returns the current time in seconds of a monotonic clock.
        **bound: Fields added to every line.
    """

    def __init__(
        self, write: Callable[[bytes], int], now: Callable[[], float], **bound: str
    ) -> None:
        self._write = write
        self._now = now
        self._bound = "".join(f" {name}={value}" for name, value in bound.items())
        self._pending = bytearray()
        self._tokens = FLOW_LINE_BURST
        self._last_refill_at = now()
        self._dropped_lines = 0

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped since the latest logged line."""
        return self._dropped_lines

    def flow(self, event: str, **fields: object) -> None:
        """Logs a decision on a flow, subject to the rate limit."""
        now = self._now()
        refill = (now - self._last_refill_at) * FLOW_LINES_PER_S
        self._tokens = min(FLOW_LINE_BURST, self._tokens + refill)
        self._last_refill_at = now
        if self._tokens < 1:
            self._dropped_lines += 1
            return
        self._tokens -= 1
        self._append(now, event, fields)

    def event(self, event: str, **fields: object) -> None:
        """Logs a state change of a target, a dependency or the process."""
        self._append(self._now(), event, fields)

    def flush(self) -> None:
        """Writes as much of the buffer as standard output accepts."""
        if not self._pending:
            return
        try:
            written = self._write(bytes(self._pending))
        except OSError:
            # The pipe is full or closed: lines stay in the buffer, or are dropped and counted.
            return
        del self._pending[:written]

    def _append(self, now: float, event: str, fields: dict[str, object]) -> None:
        pairs = "".join(f" {name}={_render(value)}" for name, value in fields.items())
        left_out = f" left_out={self._dropped_lines}" if self._dropped_lines else ""
        text = f"t={now:.3f} event={event}{self._bound}{pairs}{left_out}\n"
        # Fields may hold lone surrogates, which JSON texts of other writers can.
        line = text.encode(errors="backslashreplace")
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped_lines += 1
            return
        self._dropped_lines = 0
        self._pending += line
        if len(self._pending) >= WRITE_BYTES:
            self.flush()


def stdout_writer() -> Callable[[bytes], int]:
    """Returns a writer to standard output that never blocks; without one it writes nowhere."""
    open_standard_streams()
    os.set_blocking(1, False)
    return lambda data: os.write(1, data)


def open_standard_streams() -> None:
    """Opens the null device as each standard stream that is closed.

    The next socket would else become standard output, and carry log lines.
    """
    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


def _render(value: object) -> str:
    if isinstance(value, bytes):
        return flow_name(value)
    text = str(value)
    if " " in text or '"' in text or "\n" in text or not text:
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    return text


def flow_name(key: bytes) -> str:
    """Returns client and destination of a flow key as ADDRESS:PORT>ADDRESS:PORT."""
    client_port, destination_port = int.from_bytes(key[0:2], "big"), int.from_bytes(key[6:8], "big")
    client = ".".join(map(str, key[2:6]))
    destination = ".".join(map(str, key[8:12]))
    return f"{client}:{client_port}>{destination}:{destination_port}"
