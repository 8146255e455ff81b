"""An event loop in virtual time: waiting takes no real time and runs are deterministic."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["VirtualTimeLoop", "run"]

_T = TypeVar("_T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Advances its clock to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        self._seconds = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._seconds

    def now(self) -> float:
        """Returns the virtual time in seconds; implements Clock."""
        return self._seconds

    def advance(self, seconds: float) -> None:
        """Advances the virtual time."""
        self._seconds += seconds


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise AssertionError("deadlock: every task waits and no timer is set")
        self._loop.advance(timeout)
        return super().select(0)


def run(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
