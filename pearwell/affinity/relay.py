"""Responses of a relay to other instances, in the format of the store's responses."""

import json
from collections.abc import Callable
from zlib import compress

from pearwell.affinity.cache import ObjectCache, Position
from pearwell.http_message import Response
from pearwell.reactor import Trigger

__all__ = ["LEAVING_HEADER", "PATH", "Relay"]

# zlib level. Events of one kind repeat their keys, so the fastest level saves most of the size.
COMPRESSION = 1

PATH = "/objects/"
# Maximum time that a call waits for events, or for the first list of a relay that is starting.
MAX_WAIT_S = 5.0
# Tells clients that the relay is about to stop.
LEAVING_HEADER = "Leaving"


class _Query:
    """A decoded call.

    Attributes:
        kind: Kind of the objects.
        position: Position to watch from; None for a snapshot. Its era is -1 if the call has none,
            as those of an earlier release.
        wait_s: Time in seconds that the call may wait.
        valid: Whether the path is well-formed.
    """

    __slots__ = ("kind", "position", "valid", "wait_s")

    def __init__(self, path: str) -> None:
        self.kind, _, query = path.removeprefix(PATH).partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        is_snapshot = fields.get("Snapshot") == "1"
        revision = "0" if is_snapshot else fields.get("Watch", "")
        numbers = fields.get("Era", "0"), revision, fields.get("WaitMs", "0")
        self.valid = path.startswith(PATH) and all(number.isdecimal() for number in numbers)
        self.position: Position | None = None
        self.wait_s = 0.0
        if self.valid:
            era, number, wait_ms = map(int, numbers)
            self.position = None if is_snapshot else (era if "Era" in fields else -1, number)
            self.wait_s = min(wait_ms / 1000, MAX_WAIT_S)


class Relay:
    """Serves snapshots and watches from the caches of this instance.

    Args:
        zone: Availability zone of this instance.
        caches: Caches by kind.
        store_healthy_since: Returns the clock time in seconds since which no call to the store
            has failed.
        changed: Fires after each change of a cache, and when the instance is requested to stop.
        now: Returns the current time in seconds of the clock.
        leaving: Returns whether the instance has been requested to stop.
    """

    def __init__(
        self,
        zone: str,
        caches: dict[str, ObjectCache],
        store_healthy_since: Callable[[], float],
        changed: Trigger,
        now: Callable[[], float],
        leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._zone = zone
        self._caches = caches
        self._store_healthy_since = store_healthy_since
        self._changed = changed
        # Latest response with events, and latest snapshot, by kind; most clients share them. Each
        # with the positions, and with the time since which the store is healthy, that it tells.
        self._encoded: dict[str, tuple[Position, Position, float, bytes]] = {}
        self._snapshots: dict[str, tuple[Position, float, bytes]] = {}
        self._now = now
        self._leaving = leaving

    async def respond(self, path: str) -> Response:
        """Returns status, compressed body and headers for a path with its query.

        The status is 503 if the cache is stale or of an earlier era than the client, 410 if the
        events are no longer cached. A relay that is starting responds once it has listed the store.
        """
        query = _Query(path)
        cache = self._caches.get(query.kind)
        if cache is None or not query.valid:
            return 404, b"", {}
        end = self._now() + query.wait_s
        while not cache.is_listed and self._now() < end:
            await self._changed.wait(end - self._now())
        if query.position is None:
            return self._snapshot(query.kind, cache)
        return await self._watch(query.kind, cache, query.position, end)

    def _snapshot(self, kind: str, cache: ObjectCache) -> Response:
        if self._leaving() or not (cache.is_listed and cache.is_fresh(self._now())):
            return 503, b"", {}
        healthy_since = self._store_healthy_since()
        position, since, body = self._snapshots.get(kind, (None, 0.0, b""))
        if (position, since) != (cache.position, healthy_since):
            body = self._encode("items", [*cache.objects], cache.position)
            self._snapshots[kind] = (cache.position, healthy_since, body)
        return 200, body, {}

    async def _watch(
        self, kind: str, cache: ObjectCache, position: Position, end: float
    ) -> Response:
        if position[0] < 0:
            # An instance of an earlier release, which can't tell a later era from a large event.
            if cache.position[0] > 0:
                return 410, b"", {}
            position = (0, position[1])
        while cache.is_fresh(self._now()) and not cache.is_behind(position):
            events = cache.events_after(position)
            if events is None:
                return 410, b"", {}
            left = min(end, cache.stale_at()) - self._now()
            leaving = self._leaving()
            if events or left <= 0 or leaving:
                body = self._encode_events(kind, position, cache.position, events)
                return 200, body, {LEAVING_HEADER: "1"} if leaving else {}
            await self._changed.wait(left)
        return 503, b"", {}

    def _encode_events(
        self, kind: str, position: Position, until: Position, events: list[object]
    ) -> bytes:
        healthy_since = self._store_healthy_since()
        first, last, since, body = self._encoded.get(kind, (None, None, 0.0, b""))
        if not events or (first, last, since) != (position, until, healthy_since):
            body = self._encode("events", events, until)
            if events:
                self._encoded[kind] = (position, until, healthy_since, body)
        return body

    def _encode(self, key: str, items: list[object], until: Position) -> bytes:
        healthy_s = max(0.0, self._now() - self._store_healthy_since())
        payload = {
            key: items,
            "Era": until[0],
            "AsOf": until[1],
            "GoodS": round(healthy_s, 3),
            "Zone": self._zone,
        }
        return compress(json.dumps(payload).encode(), COMPRESSION)
