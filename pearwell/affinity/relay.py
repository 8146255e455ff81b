"""Responses of a relay to other instances, in the format of the store's responses."""

import json
from collections.abc import Callable
from zlib import compress

from pearwell.affinity.cache import MAX_AGE_S, ObjectCache, Position
from pearwell.http_message import Response
from pearwell.reactor import Trigger

__all__ = ["LEVEL_HEADER", "PATH", "Relay"]

# zlib level. Events of one kind repeat their keys, so the fastest level saves most of the size.
COMPRESSION = 1

PATH = "/objects/"
# Time in seconds, since the call was received, at which the relay was level with the store. A field
# of the header, as clients that called at other times share a body.
LEVEL_HEADER = "Level-S"
# Maximum time that a watch waits for events.
MAX_WAIT_S = 5.0
# Most digits of a number in a path.
MAX_DIGITS = 20


class Relay:
    """Serves watches from the caches of this instance.

    Args:
        zone: Availability zone of this instance.
        caches: Caches by kind.
        store_healthy_since: Returns the clock time in seconds since which no call to the store
            has failed.
        changed: Fires after each change of a cache.
        now: Returns the current time in seconds of the clock.
        count_callers: Returns the number of instances that call this relay; None if it is unknown
            or not needed.
    """

    def __init__(
        self,
        zone: str,
        caches: dict[str, ObjectCache],
        store_healthy_since: Callable[[], float],
        changed: Trigger,
        now: Callable[[], float],
        count_callers: Callable[[], int | None] = lambda: None,
    ) -> None:
        self._zone = zone
        self._caches = caches
        self._store_healthy_since = store_healthy_since
        self._changed = changed
        # Latest response with events by kind, which most clients share: positions, callers, body.
        self._encoded: dict[str, tuple[Position, Position, int | None, bytes]] = {}
        self._now = now
        self._count_callers = count_callers

    async def respond(self, path: str) -> Response:
        """Returns status, compressed body and further header fields for a path with its query.

        The status is 503 if the cache is stale or of an earlier era than the client, 410 if the
        events are no longer cached.
        """
        kind, position, wait_s = _parse(path)
        cache = self._caches.get(kind)
        if cache is None or position is None:
            return 404, b"", {}
        if position[0] < 0:
            # An instance of an earlier release, which can't tell a later era from a large event.
            if cache.position[0] > 0:
                return 410, b"", {}
            position = (0, position[1])
        called_at = self._now()
        end = called_at + min(wait_s, MAX_WAIT_S)
        while cache.is_fresh(self._now()) and not cache.is_behind(position):
            events = cache.events_after(position)
            if events is None:
                return 410, b"", {}
            left = min(end, cache.stale_at()) - self._now()
            if events or left <= 0:
                complete_s = cache.complete_at - called_at
                body = self._encode(kind, position, cache.position, events, complete_s)
                return 200, body, {LEVEL_HEADER: f"{cache.level_at - called_at:.3f}"}
            await self._changed.wait(left)
        return 503, b"", {}

    def _encode(
        self,
        kind: str,
        position: Position,
        until: Position,
        events: list[object],
        complete_s: float,
    ) -> bytes:
        callers = self._count_callers()
        *key, body = self._encoded.get(kind, (b"",))
        if not events or key != [position, until, callers]:
            healthy_s = max(0.0, self._now() - self._store_healthy_since())
            payload: dict[str, object] = {
                "events": events,
                "Era": until[0],
                "AsOf": until[1],
                "GoodS": round(healthy_s, 3),
                "Zone": self._zone,
            }
            if callers is not None:
                payload["Callers"] = callers
            if not events:
                # Clients that called at other times share a response with events.
                payload["CompleteS"] = round(max(complete_s, -MAX_AGE_S), 3)
            body = compress(json.dumps(payload).encode(), COMPRESSION)
            if events:
                self._encoded[kind] = (position, until, callers, body)
        return body


def _parse(path: str) -> tuple[str, Position | None, float]:
    """Returns kind, position and wait in seconds; the position is None if the path is malformed.

    Its era is -1 if the path has none.
    """
    kind, _, query = path.removeprefix(PATH).partition("?")
    fields = dict(part.partition("=")[::2] for part in query.split("&"))
    numbers = fields.get("Era", "0"), fields.get("Watch", ""), fields.get("WaitMs", "0")
    if not path.startswith(PATH) or not all(map(_is_number, numbers)):
        return kind, None, 0.0
    era, revision, wait_ms = map(int, numbers)
    return kind, (era if "Era" in fields else -1, revision), wait_ms / 1000


def _is_number(text: str) -> bool:
    # Python refuses to read integers of thousands of digits.
    return text.isdecimal() and len(text) <= MAX_DIGITS
