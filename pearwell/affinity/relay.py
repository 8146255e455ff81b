"""Responses of a relay to other instances, in the format of the store's responses."""

import json
from collections.abc import Callable
from zlib import compress

from pearwell.affinity.cache import ObjectCache
from pearwell.http_message import Response
from pearwell.reactor import Trigger

__all__ = ["PATH", "Relay"]

# zlib level. Events of one kind repeat their keys, so the fastest level saves most of the size.
COMPRESSION = 1

PATH = "/objects/"
# Maximum time that a watch waits for events.
MAX_WAIT_S = 5.0


class Relay:
    """Serves watches from the caches of this instance.

    Args:
        zone: Availability zone of this instance.
        caches: Caches by kind.
        store_healthy_since: Returns the clock time in seconds since which no call to the store
            has failed.
        changed: Fires after each change of a cache.
        now: Returns the current time in seconds of the clock.
    """

    def __init__(
        self,
        zone: str,
        caches: dict[str, ObjectCache],
        store_healthy_since: Callable[[], float],
        changed: Trigger,
        now: Callable[[], float],
    ) -> None:
        self._zone = zone
        self._caches = caches
        self._store_healthy_since = store_healthy_since
        self._changed = changed
        # Latest response with events by kind, which most clients share.
        self._encoded: dict[str, tuple[int, int, bytes]] = {}
        self._now = now

    async def respond(self, path: str) -> Response:
        """Returns status and compressed body for a path with its query.

        The status is 503 if the cache is stale, 410 if the events are no longer cached.
        """
        kind, revision, wait_s = _parse(path)
        cache = self._caches.get(kind)
        if cache is None or revision is None:
            return 404, b""
        end = self._now() + min(wait_s, MAX_WAIT_S)
        while cache.is_fresh(self._now()):
            events = cache.events_after(revision)
            if events is None:
                return 410, b""
            left = min(end, cache.stale_at()) - self._now()
            if events or left <= 0:
                return 200, self._encode(kind, revision, cache.revision, events)
            await self._changed.wait(left)
        return 503, b""

    def _encode(self, kind: str, revision: int, until: int, events: list[object]) -> bytes:
        first, last, body = self._encoded.get(kind, (0, 0, b""))
        if not events or (first, last) != (revision, until):
            healthy_s = max(0.0, self._now() - self._store_healthy_since())
            payload = {
                "events": events,
                "AsOf": until,
                "GoodS": round(healthy_s, 3),
                "Zone": self._zone,
            }
            body = compress(json.dumps(payload).encode(), COMPRESSION)
            if events:
                self._encoded[kind] = (revision, until, body)
        return body


def _parse(path: str) -> tuple[str, int | None, float]:
    """Returns kind, revision and wait in seconds; the revision is None if the path is malformed."""
    kind, _, query = path.removeprefix(PATH).partition("?")
    fields = dict(part.partition("=")[::2] for part in query.split("&"))
    revision, wait_ms = fields.get("Watch", ""), fields.get("WaitMs", "0")
    if not (path.startswith(PATH) and revision.isdecimal() and wait_ms.isdecimal()):
        return kind, None, 0.0
    return kind, int(revision), int(wait_ms) / 1000
