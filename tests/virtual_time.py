"""An event loop in virtual time: waiting takes no real time and is the same every run."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Moves its clock to the next timer instead of waiting for it."""

    def __init__(self):
        self._seconds = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self):
        return self._seconds

    def now(self):
        """Returns the time, so that the loop serves as a Clock."""
        return self._seconds

    def advance(self, seconds):
        self._seconds += seconds


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("every task waits and no timer is set")
        self._loop.advance(timeout)
        return super().select(0)


def run(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
