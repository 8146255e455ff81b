"""What was sent, answered and run, for record.txt."""

import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes events with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8", errors="backslashreplace")
        self._started = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started

    def write(self, event: str, **fields: object) -> None:
        """Writes one event."""
        pairs = "".join(f" {name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:8.3f} {event}{pairs}\n")

    def close(self) -> None:
        """Ends the record."""
        self._file.close()
