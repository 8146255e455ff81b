"""Recent waits in the queues of a service's targets, and the share of requests that they shed."""

from collections import deque

__all__ = ["MIN_SAMPLES", "RECENT_WAITS", "WINDOW_S", "QueueWaits"]

# Responses over which the share of shed requests is averaged.
SHED_SAMPLES = 20
# Latest waits considered in each zone, and their maximum age in seconds.
RECENT_WAITS = 12
WINDOW_S = 1.0
# Fewer waits show nothing.
MIN_SAMPLES = 4
# A queue stands if fewer than this share of the waits are short. At a target that is busy but keeps
# up with its load, the queue is empty from time to time.
SHORT_SHARE = 1 / 6
# Longest short wait, as a share of the longest tolerable one.
SHORT_WAIT = 0.4
# Quantile of the waits that a new flow is expected to wait for: the median while few requests are
# shed, more with each one. Of the flows admitted at the limit of a quantile, the rest is late.
MEDIAN, MAX_QUANTILE = 0.5, 0.8


class QueueWaits:
    """Waits of the requests that one instance has seen at a service's targets.

    Whether a zone has room is told by the median, so that one slow target among several doesn't
    count as overload.
    """

    __slots__ = ("_by_zone", "_shed_share")

    def __init__(self) -> None:
        self._by_zone: dict[str, deque[tuple[float, float]]] = {}
        self._shed_share = 0.0

    @property
    def shed_share(self) -> float:
        """Share of the recent requests that targets shed."""
        return self._shed_share

    def count_response(self, is_shed: bool) -> None:
        """Counts a response, which tells that the request ran or was shed."""
        self._shed_share += (is_shed - self._shed_share) / SHED_SAMPLES

    def add(self, zone: str, wait_s: float, now: float) -> None:
        """Adds a wait in seconds at a target of a zone."""
        waits = self._by_zone.get(zone)
        if waits is None:
            waits = self._by_zone[zone] = deque(maxlen=RECENT_WAITS)
        waits.append((now, wait_s))

    def forget_zone(self, zone: str) -> None:
        """Removes the waits at a zone's targets, which get no further flows."""
        self._by_zone.pop(zone, None)

    def median(self, now: float) -> float | None:
        """Returns the median of the recent waits in seconds, or None if there are too few."""
        waits = sorted(wait_s for zone in self._by_zone for wait_s in self._recent(zone, now))
        return waits[len(waits) // 2] if len(waits) >= MIN_SAMPLES else None

    def standing_wait(self, zone: str, max_wait_s: float, now: float) -> float | None:
        """Returns the wait in seconds to expect if queues stand in all zones, else None.

        A queue that empties now and then absorbs a burst; one that stands only makes every request
        late.

        Args:
            zone: Zone of the flow's target. If few recent waits there are known, it may have room.
            max_wait_s: Longest tolerable wait in seconds.
            now: Current time in seconds of the clock.
        """
        short_s = SHORT_WAIT * max_wait_s
        waits: list[float] = []
        zone_waits: list[float] = []
        for known in self._by_zone:
            recent = sorted(self._recent(known, now))
            if len(recent) > 1 and recent[len(recent) // 2] < short_s:
                return None
            waits += recent
            if known == zone:
                zone_waits = recent
        if len(zone_waits) < 2 or len(waits) < MIN_SAMPLES:
            return None
        waits.sort()
        if waits[int(len(waits) * SHORT_SHARE)] < short_s:
            return None
        if len(zone_waits) >= MIN_SAMPLES:
            waits = zone_waits
        return waits[int(len(waits) * min(MAX_QUANTILE, MEDIAN + self._shed_share))]

    def _recent(self, zone: str, now: float) -> list[float]:
        return [wait_s for at, wait_s in self._by_zone[zone] if now - at <= WINDOW_S]
