"""An event loop in virtual time: waiting takes no real time and is the same every run."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["VirtualTimeLoop", "run"]

_T = TypeVar("_T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Moves its clock to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        self._seconds = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._seconds

    def now(self) -> float:
        """Returns the time, so that the loop serves as a Clock."""
        return self._seconds

    def advance(self, seconds: float) -> None:
        """Moves the time forward."""
        self._seconds += seconds


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise AssertionError("every task waits and no timer is set")
        self._loop.advance(timeout)
        return super().select(0)


def run(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
