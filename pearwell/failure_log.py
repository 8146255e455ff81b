"""Reports exceptions that ended a task or a callback, while the process goes on."""

import os
from collections.abc import Callable
from types import TracebackType

__all__ = ["FailureLog"]

# Innermost calls that a line names, and the longest text of an exception in it.
MAX_CALLS = 4
MAX_TEXT_CHARS = 200


class FailureLog:
    """Counts exceptions, and logs each place's first, second, fourth, eighth and so on.

    Args:
        log: Logs an event's name and its fields.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self._counts: dict[str, int] = {}

    @property
    def total(self) -> int:
        """Number of exceptions so far."""
        return sum(self._counts.values())

    def record(self, error: Exception) -> None:
        """Records an exception."""
        place = _place(error.__traceback__)
        count = self._counts[place] = self._counts.get(place, 0) + 1
        if count & (count - 1) == 0:
            self._log("task_failed", error=repr(error)[:MAX_TEXT_CHARS], at=place, count=count)


def _place(traceback: TracebackType | None) -> str:
    """Returns the innermost calls of a traceback as FILE:LINE, the innermost first."""
    calls = []
    while traceback is not None:
        name = os.path.basename(traceback.tb_frame.f_code.co_filename)
        calls.append(f"{name}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return "<".join(reversed(calls[-MAX_CALLS:]))
