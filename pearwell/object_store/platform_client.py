"""Platform client: custom resources over HTTP, following the Kubernetes API conventions."""

from collections import Counter
from collections.abc import AsyncIterator, Mapping
from types import TracebackType
from typing import Any

import aiohttp
import msgspec

from pearwell.errors import Code, PlatformError
from pearwell.object_store import (
    PAGE_SIZE,
    ObjectList,
    StoredObject,
    Value,
    WatchEvent,
    WatchEventType,
    check_size,
    collect_pages,
    compose_version,
    split_version,
)

__all__ = [
    "API_GROUP",
    "API_VERSION",
    "ERA_HEADER",
    "PlatformClient",
    "collection_path",
    "to_resource",
]

API_GROUP = "pearwell.io"
API_VERSION = "v1"
NAMESPACE = "pearwell"

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 5.0
# Duration after which the platform ends a watch; the client then resumes it. It is short because
# it bounds the time for which a broken watch goes undetected.
WATCH_DURATION_S = 5
# Time without data after which a watch is considered lost.
WATCH_IDLE_TIMEOUT_S = 6.0
# Maximum length of a line in a watch: an object of the maximum size with its metadata.
MAX_LINE_BYTES = 4_000_000

# Counts how often the platform was restored from a copy; in all its responses.
ERA_HEADER = "Store-Era"

_HTTP_GONE = 410

_CODES_BY_REASON: Mapping[str, Code] = {
    "AlreadyExists": Code.PLATFORM_ALREADY_EXISTS,
    "Conflict": Code.PLATFORM_CONFLICT,
    "Expired": Code.PLATFORM_WATCH_EXPIRED,
    "Gone": Code.PLATFORM_WATCH_EXPIRED,
    "NotFound": Code.PLATFORM_NOT_FOUND,
    "RequestEntityTooLarge": Code.PLATFORM_TOO_LARGE,
    "TooManyRequests": Code.PLATFORM_UNAVAILABLE,
    "Timeout": Code.PLATFORM_TIMEOUT,
}

_CODES_BY_STATUS: Mapping[int, Code] = {
    404: Code.PLATFORM_NOT_FOUND,
    409: Code.PLATFORM_CONFLICT,
    410: Code.PLATFORM_WATCH_EXPIRED,
    413: Code.PLATFORM_TOO_LARGE,
    429: Code.PLATFORM_UNAVAILABLE,
    500: Code.PLATFORM_UNAVAILABLE,
    502: Code.PLATFORM_UNAVAILABLE,
    503: Code.PLATFORM_UNAVAILABLE,
    504: Code.PLATFORM_TIMEOUT,
}


class PlatformClient:
    """An ObjectStore over HTTP.

    Each call makes a single attempt; RetryingObjectStore adds retries.

    Args:
        base_url: Scheme, address and port, such as "http://127.0.0.1:8001".
        headers: HTTP headers sent with each request, such as Authorization.
    """

    def __init__(self, base_url: str, headers: Mapping[str, str] | None = None) -> None:
        self._base_url = base_url.rstrip("/")
        self._headers = dict(headers or {})
        self._session: aiohttp.ClientSession | None = None
        # Era of the latest response.
        self._era: int | None = None
        self._calls: Counter[str] = Counter()

    @property
    def calls(self) -> dict[str, int]:
        """Number of calls by operation; a watch counts as one call."""
        return dict(self._calls)

    async def __aenter__(self) -> "PlatformClient":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Closes the HTTP session and its connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object; raises PLATFORM_NOT_FOUND if there is none."""
        resource, era = await self._request("get", "GET", _object_path(kind, name))
        return _from_resource(kind, resource, era)

    async def list(self, kind: str, *, limit: int = 0, token: str = "") -> ObjectList:
        """Returns the objects of a kind: one page if a limit is given, otherwise all pages."""
        if limit:
            return await self._list_page(kind, limit, token)
        return await collect_pages(lambda start: self._list_page(kind, PAGE_SIZE, start or token))

    async def create(self, kind: str, name: str, value: Value) -> StoredObject:
        """Creates an object; raises PLATFORM_ALREADY_EXISTS if there is one."""
        check_size(kind, name, value)
        body = to_resource(StoredObject(kind, name, 0, value))
        resource, era = await self._request("create", "POST", collection_path(kind), body)
        return _from_resource(kind, resource, era)

    async def update(
        self, kind: str, name: str, value: Value, expected_version: int
    ) -> StoredObject:
        """Replaces an object; raises PLATFORM_CONFLICT unless it has the expected version."""
        check_size(kind, name, value)
        self._check_expected_era(expected_version, self._era)
        body = to_resource(StoredObject(kind, name, expected_version, value))
        resource, era = await self._request("update", "PUT", _object_path(kind, name), body)
        self._check_expected_era(expected_version, era)
        return _from_resource(kind, resource, era)

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Removes an object; raises PLATFORM_CONFLICT unless it has the expected version."""
        self._check_expected_era(expected_version, self._era)
        precondition = {"resourceVersion": str(split_version(expected_version)[1])}
        body = {"kind": "DeleteOptions", "apiVersion": "v1", "preconditions": precondition}
        _, era = await self._request("delete", "DELETE", _object_path(kind, name), body)
        self._check_expected_era(expected_version, era)

    async def watch(self, kind: str, version: int) -> AsyncIterator[WatchEvent]:
        """Yields the events after a version until the platform ends the watch.

        Raises:
            PlatformError: PLATFORM_WATCH_EXPIRED if the version is too old to resume from.
        """
        self._calls["watch"] += 1
        expected_era, revision = split_version(version)
        parameters = {
            "watch": "1",
            "resourceVersion": str(revision),
            "allowWatchBookmarks": "true",
            "timeoutSeconds": str(WATCH_DURATION_S),
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=WATCH_IDLE_TIMEOUT_S
        )
        url = self._base_url + collection_path(kind)
        try:
            async with self._open_session().get(
                url, params=parameters, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise _response_error(response.status, await response.read())
                self._era = era = _era_of(response)
                if era != expected_era:
                    raise PlatformError(Code.PLATFORM_WATCH_EXPIRED, f"watch in era {era}")
                while line := await response.content.readline():
                    yield _decode_event(kind, line, era)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise _transport_error("watch", error) from error

    async def _list_page(self, kind: str, limit: int, token: str) -> ObjectList:
        parameters = {"limit": str(limit)} | ({"continue": token} if token else {})
        body, era = await self._request("list", "GET", collection_path(kind), params=parameters)
        try:
            metadata = body["metadata"]
            items = tuple(_from_resource(kind, item, era) for item in body["items"])
            version = compose_version(era, int(metadata["resourceVersion"]))
            return ObjectList(items, version, str(metadata.get("continue", "")))
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"list: {error!r}") from error

    async def _request(
        self,
        operation: str,
        method: str,
        path: str,
        body: Any = None,
        params: Mapping[str, str] | None = None,
    ) -> tuple[Any, int]:
        """Returns the body of a response and the era of the platform."""
        self._calls[operation] += 1
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self._open_session().request(
                method, self._base_url + path, data=data, params=params
            ) as response:
                payload = await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            raise _transport_error(operation, error) from error
        self._era = era = _era_of(response)
        if response.status >= 300:
            raise _response_error(response.status, payload)
        return _decode(payload), era

    def _check_expected_era(self, expected_version: int, era: int | None) -> None:
        """Raises PLATFORM_CONFLICT if a condition names a version of another era.

        The platform compares revisions only, and that of another era may have been issued again.
        """
        if era is not None and split_version(expected_version)[0] != era:
            raise PlatformError(Code.PLATFORM_CONFLICT, f"restored since, now in era {era}")

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                headers={"Content-Type": "application/json", **self._headers},
                timeout=aiohttp.ClientTimeout(
                    total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
                read_bufsize=MAX_LINE_BYTES,
            )
        return self._session


def collection_path(kind: str) -> str:
    """Returns the URL path of the collection of a kind."""
    return f"/apis/{API_GROUP}/{API_VERSION}/namespaces/{NAMESPACE}/{kind}s"


def to_resource(stored: StoredObject) -> dict[str, Any]:
    """Returns the custom resource of an object, without resourceVersion if its version is 0."""
    metadata: dict[str, Any] = {"name": stored.name, "namespace": NAMESPACE}
    if stored.version:
        metadata["resourceVersion"] = str(split_version(stored.version)[1])
    return {
        "apiVersion": f"{API_GROUP}/{API_VERSION}",
        "kind": stored.kind.capitalize(),
        "metadata": metadata,
        "spec": stored.value,
    }


def _object_path(kind: str, name: str) -> str:
    return f"{collection_path(kind)}/{name}"


def _era_of(response: aiohttp.ClientResponse) -> int:
    text = response.headers.get(ERA_HEADER, "0")
    if not text.isdecimal():
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"invalid era {text[:20]!r}")
    return int(text)


def _from_resource(kind: str, resource: Any, era: int) -> StoredObject:
    try:
        metadata = resource["metadata"]
        version = compose_version(era, int(metadata["resourceVersion"]))
        value = resource.get("spec")
        return StoredObject(
            kind, metadata.get("name", ""), version, value if isinstance(value, dict) else {}
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"{kind}: {error!r}") from error


def _decode_event(kind: str, line: bytes, era: int) -> WatchEvent:
    event = _decode(line)
    try:
        name, resource = event["type"], event["object"]
    except (KeyError, TypeError) as error:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"watch event: {error!r}") from error
    if name == "ERROR":
        raise _response_error(int(resource.get("code", _HTTP_GONE)), msgspec.json.encode(resource))
    if name not in WatchEventType.__members__:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"unknown watch event type {name!r}")
    return WatchEvent(WatchEventType(name), _from_resource(kind, resource, era))


def _decode(payload: bytes) -> Any:
    try:
        return msgspec.json.decode(payload)
    except msgspec.DecodeError as error:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, str(error)) from error


def _response_error(status: int, payload: bytes) -> PlatformError:
    try:
        body = msgspec.json.decode(payload)
        reason, message = str(body.get("reason", "")), str(body.get("message", ""))
    except (msgspec.DecodeError, AttributeError):
        reason, message = "", payload[:200].decode(errors="replace")
    code = _CODES_BY_REASON.get(reason) or _CODES_BY_STATUS.get(status, Code.PLATFORM_BAD_ANSWER)
    return PlatformError(code, f"HTTP status {status}: {message}")


def _transport_error(operation: str, error: Exception) -> PlatformError:
    if isinstance(error, TimeoutError):
        return PlatformError(Code.PLATFORM_TIMEOUT, f"{operation}: timed out")
    if isinstance(error, aiohttp.ClientError):
        return PlatformError(Code.PLATFORM_UNAVAILABLE, f"{operation}: {error}")
    return PlatformError(Code.PLATFORM_BAD_ANSWER, f"{operation}: {error}")
