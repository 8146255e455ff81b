"""Responses of a relay to other instances, in the format of the store's responses.

The instances that the settings name as seeds are relays of the whole fleet, however large it is.
Each serves a bounded number of clients and hands the others on to one of these, in the caller's
zone, which so becomes a relay itself. The platform's time limits bound the length of such a
chain: a relay that is cut off from all others serves its clients until its state is too old, and
each relay in between makes that later.
"""

import json
from collections.abc import Callable
from zlib import compress

from pearwell.affinity.cache import MAX_AGE_PER_HOP_S, MAX_AGE_S, ObjectCache, Position
from pearwell.affinity.token import rendezvous_score
from pearwell.http_message import REDIRECT, Response
from pearwell.reactor import Trigger

__all__ = [
    "HOPS_HEADER",
    "LEAVING_HEADER",
    "MAX_CLIENTS",
    "NEXT_RELAY_HEADER",
    "PATH",
    "VERIFIED_HEADER",
    "Relay",
    "RelayClients",
    "max_relay_hops",
]

# zlib level. Events of one kind repeat their keys, so the fastest level saves most of the size.
COMPRESSION = 1

PATH = "/objects/"
# Maximum time that a call waits for events, or for the first list of a relay that is starting.
MAX_WAIT_S = 5.0
# Shorter waits are not worth a timer.
MIN_WAIT_S = 0.001
# Tells clients that the relay is about to stop.
LEAVING_HEADER = "Leaving"
# Address of the relay to call in place of this one, in responses with status 307.
NEXT_RELAY_HEADER = "Next-Relay"
# Number of relays between the store and the one that responds.
HOPS_HEADER = "Hops"
# Time in milliseconds from the call to the store's latest response; mostly negative. As it counts
# from the call, a response that is delayed doesn't make the state look fresher than it is.
VERIFIED_HEADER = "Verified-Ms"

# Clients that a relay serves itself. Three seeds reach 800 instances with one relay in between, and
# 13,000 with two. A relay sends all its clients a snapshot within a second after a loss of power.
MAX_CLIENTS = 16
# Clients call their relay at least every second. One that has not called for this time gets no more
# callers, and has left after the next.
CALLING_S = 2.0
CLIENT_TIMEOUT_S = 10.0
# Reserved for the call to the store that follows once a relay is too old.
CATCH_UP_S = 1.0
# Reported by a relay that has not heard from the store yet.
MIN_VERIFIED_MS = -1e9


def max_relay_hops(bound_s: float) -> int:
    """Returns how many relays may lie between the store and a relay; 0 for seeds only.

    Args:
        bound_s: Time limit in seconds until an instance must know a change.
    """
    return max(0, int((bound_s - CATCH_UP_S - MAX_AGE_S) / MAX_AGE_PER_HOP_S))


class RelayClients:
    """The clients that a relay serves, and the assignment of further callers to them.

    Args:
        may_hand_on: Returns whether clients of this relay may be relays themselves.
    """

    def __init__(self, may_hand_on: Callable[[], bool]) -> None:
        self._may_hand_on = may_hand_on
        # Time of the latest call and zone, by IP address. The zone is "" if the client can't be a
        # relay, as one of an earlier release.
        self._calls: dict[str, tuple[float, str]] = {}

    def find_relay(self, ip: str, zone: str, failed: str, serves: bool, now: float) -> str | None:
        """Returns the client that serves a caller in place of this relay; None if this one does.

        Args:
            ip: IP address of the caller.
            zone: Availability zone of the caller; "" if it does not tell.
            failed: IP address of a relay that has failed the caller; "" if there is none.
            serves: Whether the caller serves clients itself. It is not handed on, so that no relays
                end up as each other's clients.
            now: Current time in seconds of the clock.
        """
        if not zone or serves or not self._may_hand_on():
            return None
        calling = {
            other: client_zone
            for other, (at, client_zone) in self._calls.items()
            if now - at <= CALLING_S
        }
        if ip in calling or len(calling) < MAX_CLIENTS:
            return None
        # A caller without a relay in its zone becomes that relay.
        local = [other for other in calling if calling[other] == zone and other != failed]
        key = ip.encode()
        return max(local, key=lambda other: rendezvous_score(key, other.encode()), default=None)

    def record_call(self, ip: str, zone: str, now: float) -> None:
        """Records a call by a client that this relay serves."""
        self._calls[ip] = now, zone

    def is_calling(self, now: float) -> bool:
        """Whether a client has called just now."""
        return any(now - at <= CALLING_S for at, _ in self._calls.values())

    def active(self, now: float) -> list[str]:
        """Returns the IP addresses of clients that called recently."""
        return [ip for ip, (at, _) in self._calls.items() if now - at <= CLIENT_TIMEOUT_S]

    def tick(self, now: float) -> None:
        """Removes clients that have left; called every second."""
        self._calls = {ip: self._calls[ip] for ip in self.active(now)}


class _Query:
    """A decoded call.

    Attributes:
        kind: Kind of the objects.
        position: Position to watch from; None for a snapshot. Its era is -1 if the call has none,
            as those of an earlier release.
        wait_s: Time in seconds that the call may wait.
        zone: Availability zone of the caller; "" from one of an earlier release.
        failed: IP address of a relay that has failed the caller; "" if there is none.
        serves: Whether the caller serves clients itself.
        valid: Whether the path is well-formed.
    """

    __slots__ = ("failed", "kind", "position", "serves", "valid", "wait_s", "zone")

    def __init__(self, path: str) -> None:
        self.kind, _, query = path.removeprefix(PATH).partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        is_snapshot = fields.get("Snapshot") == "1"
        revision = "0" if is_snapshot else fields.get("Watch", "")
        numbers = fields.get("Era", "0"), revision, fields.get("WaitMs", "0")
        self.valid = path.startswith(PATH) and all(number.isdecimal() for number in numbers)
        self.zone, self.failed = fields.get("Zone", ""), fields.get("Failed", "")
        self.serves = fields.get("Serves") == "1"
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
        port: TCP port at which all instances serve as relays.
        max_hops: Number of relays that may lie between the store and a relay.
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
        port: int,
        max_hops: int,
        caches: dict[str, ObjectCache],
        store_healthy_since: Callable[[], float],
        changed: Trigger,
        now: Callable[[], float],
        leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._zone = zone
        self._port = port
        self._max_hops = max_hops
        self._caches = caches
        self._clients = RelayClients(self._may_hand_on)
        self._store_healthy_since = store_healthy_since
        self._changed = changed
        # Latest response with events, and latest snapshot, by kind; most clients share them. Each
        # with the positions, and with the time since which the store is healthy, that it tells.
        self._encoded: dict[str, tuple[Position, Position, float, bytes]] = {}
        self._snapshots: dict[str, tuple[Position, float, bytes]] = {}
        self._now = now
        self._leaving = leaving

    @property
    def clients(self) -> RelayClients:
        """The clients of this relay."""
        return self._clients

    async def respond(self, path: str, ip: str) -> Response:
        """Returns status, compressed body and headers for a call.

        The status is 307 if another relay is to be called, 503 if the cache is stale or of an
        earlier era than the client, 410 if the events are no longer cached. A relay that is
        starting responds once it has listed the store.

        Args:
            path: Path with its query.
            ip: IP address of the caller.
        """
        called_at = self._now()
        query = _Query(path)
        cache = self._caches.get(query.kind)
        if cache is None or not query.valid:
            return 404, b"", {}
        relay = self._clients.find_relay(ip, query.zone, query.failed, query.serves, called_at)
        if relay is not None:
            return REDIRECT, b"", {NEXT_RELAY_HEADER: f"{relay}:{self._port}"}
        self._clients.record_call(ip, query.zone, called_at)
        end = called_at + query.wait_s
        while not cache.is_listed and end - self._now() >= MIN_WAIT_S:
            await self._changed.wait(end - self._now())
        if query.position is None:
            status, body, headers = self._snapshot(query.kind, cache)
        else:
            status, body, headers = await self._watch(query.kind, cache, query.position, end)
        if cache.hops > self._max_hops:
            return 503, b"", {}
        verified_ms = max(MIN_VERIFIED_MS, 1000 * (cache.verified_at - called_at))
        headers = {HOPS_HEADER: str(cache.hops), VERIFIED_HEADER: f"{verified_ms:.0f}", **headers}
        return status, body, headers

    def _may_hand_on(self) -> bool:
        return all(cache.hops < self._max_hops for cache in self._caches.values())

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
        while cache.is_fresh(self._now() + MIN_WAIT_S) and not cache.is_behind(position):
            events = cache.events_after(position)
            if events is None:
                return 410, b"", {}
            left = min(end, cache.stale_at()) - self._now()
            leaving = self._leaving()
            if events or left < MIN_WAIT_S or leaving:
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
