"""Answers of a relay to other instances, in the shape of the store's own answers."""

import json
from collections.abc import Callable
from zlib import compress

from pearwell.affinity.cache import ObjectCache
from pearwell.http_message import Answer
from pearwell.reactor import Signal

__all__ = ["PATH", "Relay"]

# Level of zlib; events of one kind repeat their keys, so that the fastest one saves most of it.
COMPRESSION = 1

PATH = "/objects/"
# Longest time that a watch is held.
MAX_WAIT_S = 5.0


class Relay:
    """Serves watches from what this instance holds.

    Args:
        zone: Own availability zone.
        caches: Objects by kind.
        good_since: Returns since when the store has answered without a failure, in seconds of the
            clock.
        changed: Fires after each change of them.
        now: Returns the current time in seconds of the clock.
    """

    def __init__(
        self,
        zone: str,
        caches: dict[str, ObjectCache],
        good_since: Callable[[], float],
        changed: Signal,
        now: Callable[[], float],
    ) -> None:
        self._zone = zone
        self._caches = caches
        self._good_since = good_since
        self._changed = changed
        # Latest answer with events, which most followers of a kind share.
        self._encoded: dict[str, tuple[int, int, bytes]] = {}
        self._now = now

    async def answer(self, path: str) -> Answer:
        """Returns status and compressed body for a path with its query.

        503 if the store hasn't confirmed the objects lately, 410 if the events are no longer held.
        """
        kind, revision, wait_s = _parse(path)
        cache = self._caches.get(kind)
        if cache is None or revision is None:
            return 404, b""
        end = self._now() + min(wait_s, MAX_WAIT_S)
        while cache.fresh(self._now()):
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
            good_s = max(0.0, self._now() - self._good_since())
            told = {
                "events": events,
                "AsOf": until,
                "GoodS": round(good_s, 3),
                "Zone": self._zone,
            }
            body = compress(json.dumps(told).encode(), COMPRESSION)
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
