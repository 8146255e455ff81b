"""Stand-in for the platform's store, with fault switches and the API that its role uses."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import web

from pearwell.standins.object_history import Copy, ObjectHistory, RevisionConflictError

__all__ = ["Faults", "ObjectServer"]


@dataclass(slots=True)
class Faults:
    """Fault switches.

    Attributes:
        status: Error status of every response; 0 for none.
        silent: Whether calls get no response, not even after it is reset.
        delay_s: Delay of each response in seconds.
        refused: IP addresses of clients that get status 503.
        stale: Whether watches return no events.
    """

    status: int = 0
    silent: bool = False
    delay_s: float = 0.0
    refused: frozenset[str] = frozenset()
    stale: bool = False


class ObjectServer:
    """Stores objects by kind and name, and serves lists and watches of them over HTTP.

    Attributes:
        faults: Fault switches.
        calls: Number of lists and watches.
        history: The objects.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls = 0
        self.history = ObjectHistory()
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self, ip: str, port: int) -> None:
        """Starts the HTTP server."""
        app = web.Application(middlewares=[self._handle])
        app.router.add_get("/objects/{kind}", self._list_or_watch)
        app.router.add_put("/objects/{kind}/{name}", self._put)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, port).start()

    async def stop(self) -> None:
        """Stops the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def write(self, kind: str, name: str, spec: Any, expected: int | None = None) -> None:
        """Creates or replaces an object; see ObjectHistory.write()."""
        if self.history.write(kind, name, spec, expected):
            await self._wake_watches()

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        if self.history.remove(kind, name):
            await self._wake_watches()

    def compact(self) -> None:
        """Drops the event history, which expires watches from earlier revisions."""
        self.history.compact()

    async def restore(self, copy: Copy) -> None:
        """Replaces the data with an earlier copy and cuts the watches that are waiting."""
        self.history.restore(copy)
        await self._wake_watches()

    async def list_page(self, kind: str, after: str) -> dict[str, Any]:
        """Returns the fields of a list's page, which starts behind a name."""
        return self.history.page(kind, after)

    async def watch(self, kind: str, revision: int, wait_s: float) -> dict[str, Any] | None:
        """Returns the fields of a watch's response once there is an event or the wait ends.

        The result is None if the history does not have the revision.
        """
        loop = asyncio.get_running_loop()
        deadline, era = loop.time() + wait_s, self.history.era
        while True:
            events = self.history.events_after(kind, revision)
            if events is None or era != self.history.era:
                return None
            if self.faults.stale:
                events = []
            remaining_s = deadline - loop.time()
            if events or remaining_s <= 0:
                return {"events": events, "AsOf": self.history.revision}
            try:
                async with asyncio.timeout(remaining_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _wake_watches(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    @web.middleware
    async def _handle(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Applies the faults, and adds the era to each response."""
        if request.method == "GET":
            self.calls += 1
        response = await self._apply_faults(request) or await handler(request)
        response.headers["Store-Era"] = str(self.history.era)
        return response

    async def _apply_faults(self, request: web.Request) -> web.Response | None:
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if request.remote in self.faults.refused:
            return web.Response(status=503)
        return web.Response(status=self.faults.status) if self.faults.status else None

    async def _list_or_watch(self, request: web.Request) -> web.StreamResponse:
        kind, query = request.match_info["kind"], request.query
        if "Watch" not in query:
            return _json(await self.list_page(kind, query.get("after", "")))
        wait_s = int(query.get("WaitMs", 0)) / 1000
        found = await self.watch(kind, int(query["Watch"]), wait_s)
        return web.Response(status=410) if found is None else _json(found)

    async def _put(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        expected = body.get("meta", {}).get("Revision")
        try:
            await self.write(
                request.match_info["kind"], request.match_info["name"], body["spec"], expected
            )
        except RevisionConflictError as conflict:
            return _json(conflict.item, 409)
        return _json({})

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        await self.remove(request.match_info["kind"], request.match_info["name"])
        return _json({})


def _json(value: Any, status: int = 200) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json")
