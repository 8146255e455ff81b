"""Stand-in for the platform's store, with fault switches and the API that its role uses."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import web

__all__ = ["Faults", "ObjectServer"]

PAGE_SIZE = 50


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
    """Stores objects by kind and name, and serves lists and watches of them over HTTP."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls = 0
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: deque[tuple[int, str, dict[str, Any], bool]] = deque()
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self, ip: str, port: int) -> None:
        """Starts the HTTP server."""
        app = web.Application()
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

    async def write(self, kind: str, name: str, spec: Any) -> None:
        """Creates or replaces an object."""
        objects = self._objects.setdefault(kind, {})
        if name in objects and objects[name]["spec"] == spec:
            return
        await self._record_event(kind, {"meta": {"Name": name}, "spec": spec}, False)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        item = self._objects.get(kind, {}).get(name)
        if item is not None:
            await self._record_event(kind, item, True)

    def compact(self) -> None:
        """Drops the event history, which expires watches from earlier revisions."""
        self._events.clear()
        self._compacted_revision = self._revision

    async def _record_event(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self._revision += 1
        item["meta"]["Revision"] = self._revision
        objects = self._objects.setdefault(kind, {})
        name = item["meta"]["Name"]
        if deleted:
            objects.pop(name, None)
        else:
            objects[name] = item
        self._events.append((self._revision, kind, item, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _list_or_watch(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        error_response = await self._apply_faults(request)
        if error_response is not None:
            return error_response
        kind, query = request.match_info["kind"], request.query
        if "Watch" not in query:
            return self._list(kind, query.get("after", ""))
        return await self._watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)) / 1000)

    async def _apply_faults(self, request: web.Request) -> web.Response | None:
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if request.remote in self.faults.refused:
            return web.Response(status=503)
        return web.Response(status=self.faults.status) if self.faults.status else None

    def _list(self, kind: str, after: str) -> web.Response:
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        return _json(
            {
                "items": [objects[name] for name in names[:PAGE_SIZE]],
                "HasMore": len(names) > PAGE_SIZE,
                "AsOf": self._revision,
            }
        )

    async def _watch(self, kind: str, revision: int, wait_s: float) -> web.Response:
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if revision < self._compacted_revision:
                return web.Response(status=410)
            events = [
                {"Object": item, "Deleted": deleted}
                for event_revision, event_kind, item, deleted in self._events
                if event_revision > revision and event_kind == kind and not self.faults.stale
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return _json({"events": events, "AsOf": self._revision})
            try:
                async with asyncio.timeout(remaining_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _put(self, request: web.Request) -> web.StreamResponse:
        error_response = await self._apply_faults(request)
        if error_response is not None:
            return error_response
        spec = msgspec.json.decode(await request.read())["spec"]
        await self.write(request.match_info["kind"], request.match_info["name"], spec)
        return _json({})

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        error_response = await self._apply_faults(request)
        if error_response is not None:
            return error_response
        await self.remove(request.match_info["kind"], request.match_info["name"])
        return _json({})


def _json(value: Any) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
