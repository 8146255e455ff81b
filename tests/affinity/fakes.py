"""Runs the reactor's coroutines without a reactor."""

from collections import deque


class FakeWait:
    """An awaitable that suspends once and returns a given result."""

    def __init__(self, result):
        self._result = result

    def __await__(self):
        yield
        return self._result


class FakeStore:
    """Serves calls from a list of responses, or errors to raise."""

    def __init__(self, *script):
        self.script = deque(script)
        self.calls = []

    async def list(self, kind, after):
        return self._next(("list", after))

    async def watch(self, kind, revision, wait_s, response_s):
        return self._next(("watch", revision))

    def _next(self, call):
        self.calls.append(call)
        response = self.script.popleft()
        if isinstance(response, Exception):
            raise response
        return response


def run(coroutine):
    """Runs a coroutine to completion; each wait ends at once."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as stop:
        return stop.value
