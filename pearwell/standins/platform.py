"""Platform stand-in: custom resources over HTTP, stored in memory, with fault switches."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import msgspec
import pydantic
from absl import app, flags
from aiohttp import web

from pearwell.errors import Code, PlatformError
from pearwell.object_store import (
    MemoryObjectStore,
    StoredObject,
    WatchEvent,
    WatchEventType,
    compose_version,
    split_version,
)
from pearwell.object_store.platform_client import ERA_HEADER, collection_path, to_resource

__all__ = ["FaultModel", "PlatformStandin", "main"]

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1", "IP address to listen on.")
_PORT = flags.DEFINE_integer("port", 8001, "TCP port to listen on.")

BOOKMARK_INTERVAL_S = 1.0
DEFAULT_WATCH_TIMEOUT_S = 60.0
MAX_BODY_BYTES = 4_000_000

_STATUSES = {
    Code.PLATFORM_NOT_FOUND: (404, "NotFound"),
    Code.PLATFORM_CONFLICT: (409, "Conflict"),
    Code.PLATFORM_ALREADY_EXISTS: (409, "AlreadyExists"),
    Code.PLATFORM_WATCH_EXPIRED: (410, "Expired"),
    Code.PLATFORM_TOO_LARGE: (413, "RequestEntityTooLarge"),
    Code.PLATFORM_UNAVAILABLE: (503, "ServiceUnavailable"),
}

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class FaultModel(pydantic.BaseModel):
    """Body of PUT /standin/faults; an omitted switch keeps its value."""

    model_config = pydantic.ConfigDict(extra="forbid")

    outage: bool | None = None
    stale: bool | None = None
    delay_s: float | None = pydantic.Field(None, ge=0)
    lose_requests: int | None = pydantic.Field(None, ge=0)
    lose_answers: int | None = pydantic.Field(None, ge=0)
    duplicate_events: bool | None = None
    repeat_old_events: bool | None = None
    event_delay_s: float | None = pydantic.Field(None, ge=0)


class PlatformStandin:
    """Serves the object API of one MemoryObjectStore.

    Args:
        store: The objects and the fault switches.
    """

    def __init__(self, store: MemoryObjectStore | None = None) -> None:
        self._store = store or MemoryObjectStore()
        self._runner: web.AppRunner | None = None

    @property
    def store(self) -> MemoryObjectStore:
        """The objects and the fault switches."""
        return self._store

    async def start(self, address: str, port: int) -> None:
        """Starts to listen on an address and port."""
        self._runner = web.AppRunner(self._application(), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def _application(self) -> web.Application:
        application = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self._add_era])
        collection = collection_path("{kind:[a-z]+}").removesuffix("s") + "s"
        item = collection + "/{name}"
        application.add_routes(
            [
                web.get(collection, _handle_errors(self._list_or_watch)),
                web.post(collection, _handle_errors(self._create)),
                web.get(item, _handle_errors(self._get)),
                web.put(item, _handle_errors(self._update)),
                web.delete(item, _handle_errors(self._delete)),
                web.get("/standin/faults", self._get_faults),
                web.put("/standin/faults", self._put_faults),
                web.post("/standin/freeze", self._freeze),
                web.get("/standin/calls", self._get_calls),
            ]
        )
        return application

    @web.middleware
    async def _add_era(self, request: web.Request, handler: _Handler) -> web.StreamResponse:
        response = await handler(request)
        if not response.prepared:
            response.headers[ERA_HEADER] = str(self._store.era)
        return response

    def _version(self, text: str) -> int:
        return compose_version(self._store.era, int(text))

    async def _get(self, request: web.Request) -> web.StreamResponse:
        stored = await self._store.get(*_kind_and_name(request))
        return _json(to_resource(stored))

    async def _list_or_watch(self, request: web.Request) -> web.StreamResponse:
        if request.query.get("watch") in ("1", "true"):
            return await self._watch(request)
        limit = int(request.query.get("limit", "0"))
        token = request.query.get("continue", "")
        page = await self._store.list(request.match_info["kind"], limit=limit, token=token)
        revision = split_version(page.version)[1]
        metadata = {"resourceVersion": str(revision), "continue": page.next_token}
        items = [to_resource(stored) for stored in page.items]
        return _json({"kind": "List", "metadata": metadata, "items": items})

    async def _create(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        stored = await self._store.create(kind, name, body["spec"])
        return _json(to_resource(stored), 201)

    async def _update(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        expected = self._version(body["metadata"]["resourceVersion"])
        stored = await self._store.update(*_kind_and_name(request), body["spec"], expected)
        return _json(to_resource(stored))

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        expected = self._version(body["preconditions"]["resourceVersion"])
        await self._store.delete(*_kind_and_name(request), expected)
        return _json({"kind": "Status", "status": "Success"})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        headers = {"Content-Type": "application/json", ERA_HEADER: str(self._store.era)}
        response = web.StreamResponse(headers=headers)
        kind = request.match_info["kind"]
        version = self._version(request.query.get("resourceVersion", "0"))
        duration = float(request.query.get("timeoutSeconds", DEFAULT_WATCH_TIMEOUT_S))
        try:
            async with asyncio.timeout(duration):
                await self._stream(request, response, kind, version)
        except (TimeoutError, ConnectionError):
            pass
        except PlatformError:
            if not response.prepared:
                raise
            _abort(request)
        return response

    async def _stream(
        self, request: web.Request, response: web.StreamResponse, kind: str, version: int
    ) -> None:
        events = self._store.watch(kind, version)
        pending = asyncio.ensure_future(anext(events))
        try:
            await self._raise_early_error(pending)
            await response.prepare(request)
            while True:
                done, _ = await asyncio.wait({pending}, timeout=BOOKMARK_INTERVAL_S)
                event = pending.result() if done else self._bookmark(kind, version)
                version = max(version, event.stored.version)
                await response.write(_event_line(event))
                if done:
                    pending = asyncio.ensure_future(anext(events))
        finally:
            pending.cancel()
            await asyncio.gather(pending, return_exceptions=True)

    async def _raise_early_error(self, pending: "asyncio.Future[WatchEvent]") -> None:
        # An expired version or an outage gets an error status, which can't follow the headers of
        # the stream.
        await asyncio.wait({pending}, timeout=0.01)
        if pending.done():
            pending.result()

    def _bookmark(self, kind: str, version: int) -> WatchEvent:
        delayed = self._store.faults.event_delay_s or self._store.faults.stale
        has_unsent = self._store.latest_event_version(kind) > version
        bookmark_version = version if delayed or has_unsent else self._store.version
        return WatchEvent(WatchEventType.BOOKMARK, StoredObject(kind, "", bookmark_version, {}))

    async def _get_faults(self, request: web.Request) -> web.StreamResponse:
        return _json({name: getattr(self._store.faults, name) for name in FaultModel.model_fields})

    async def _put_faults(self, request: web.Request) -> web.StreamResponse:
        try:
            switches = FaultModel.model_validate_json(await request.read())
        except pydantic.ValidationError as error:
            return web.Response(status=400, text=str(error))
        for name, value in switches.model_dump(exclude_none=True).items():
            setattr(self._store.faults, name, value)
        self._store.wake_watches()
        return await self._get_faults(request)

    async def _freeze(self, request: web.Request) -> web.StreamResponse:
        self._store.freeze()
        return _json({"version": self._store.version})

    async def _get_calls(self, request: web.Request) -> web.StreamResponse:
        return _json(self._store.calls)


def _handle_errors(handler: _Handler) -> _Handler:
    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except PlatformError as error:
            return _error_response(request, error)
        except (KeyError, TypeError, ValueError, msgspec.DecodeError) as error:
            return web.Response(status=400, text=repr(error))

    return handle


def _error_response(request: web.Request, error: PlatformError) -> web.StreamResponse:
    if error.code is Code.PLATFORM_TIMEOUT:
        _abort(request)
    status, reason = _STATUSES.get(error.code, (504, "Timeout"))
    body = {"kind": "Status", "status": "Failure", "reason": reason, "code": status}
    return _json({**body, "message": error.detail}, status)


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def _kind_and_name(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _json(value: Any, status: int = 200) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json")


def _event_line(event: WatchEvent) -> bytes:
    resource = to_resource(event.stored)
    return msgspec.json.encode({"type": event.type.value, "object": resource}) + b"\n"


async def _serve(address: str, port: int) -> None:
    standin = PlatformStandin()
    await standin.start(address, port)
    try:
        await asyncio.Event().wait()
    finally:
        await standin.stop()


def main(argv: Sequence[str]) -> None:
    """Serves until interrupted."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(_ADDRESS.value, _PORT.value))


if __name__ == "__main__":
    app.run(main)
