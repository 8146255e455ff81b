"""Queues at the local zone's targets, from the response times of all of them together."""

from collections import deque
from collections.abc import Callable

from pearwell.affinity.target import Target

__all__ = ["ResponseTimes", "ZoneQueues"]

# Number of recent responses considered, and the window in seconds that they must fall into; fewer
# responses do not indicate a burst. With 8 samples, a few instances used remote zones needlessly,
# and their flows hung when a zone was partitioned; see docs/MEASUREMENTS.md.
RECENT_SAMPLES = 12
RECENT_WINDOW_S = 1.0
# Ratio of recent mean to baseline response time that indicates queueing. With as many requests
# queued as a target has slots, responses take twice as long.
QUEUEING_RATIO = 2.0
# Response times are capped at this multiple of the baseline: a response delayed by a pause of the
# client or the network does not indicate queueing.
MAX_BASELINE_RATIO = 4.0
# Time in seconds for which queueing is assumed after it was last detected: flows sent to remote
# zones drain the queues, and without a hold the burst would refill them at once.
QUEUEING_HOLD_S = 2.0
# Responses over which the baseline is a plain mean; from then on it is an exponential average with
# the same weight per response, which a burst of a few seconds hardly changes.
BASELINE_SAMPLES = 200
# Minimum number of responses for a valid baseline.
MIN_BASELINE_SAMPLES = 50


class ResponseTimes:
    """Detects queueing at one service's targets in one zone from their response times.

    In a burst, each of many instances has hardly a request in flight at any one target, so these
    counts show no queue although the zone's targets shed requests and those of remote zones are
    idle. The response times of all the zone's targets together do show it.
    """

    __slots__ = ("_recent", "_queueing_until", "_sample_count", "_baseline_s")

    def __init__(self) -> None:
        self._recent: deque[tuple[float, float]] = deque(maxlen=RECENT_SAMPLES)
        self._sample_count = 0
        self._baseline_s = 0.0
        self._queueing_until = float("-inf")

    @property
    def baseline_s(self) -> float:
        """Baseline response time in seconds; 0 before the first response."""
        return self._baseline_s

    @property
    def recent_mean_s(self) -> float:
        """Mean of the recent response times in seconds, each clamped to its bounds.

        A response faster than the baseline counts as the baseline.
        """
        max_s = MAX_BASELINE_RATIO * self._baseline_s
        times = [min(max(seconds, self._baseline_s), max_s) for _, seconds in self._recent]
        return sum(times) / len(times) if times else 0.0

    def add(self, seconds: float, now: float, is_shed: bool = False) -> None:
        """Records the time in seconds between a request and its response, which arrived now.

        A request that the target shed counts as a slow one: its response is fast because the queue
        was full.
        """
        if is_shed:
            self._recent.append((now, MAX_BASELINE_RATIO * self._baseline_s))
            return
        self._recent.append((now, seconds))
        if self._sample_count < BASELINE_SAMPLES:
            self._sample_count += 1
        window = BASELINE_SAMPLES if now < self._queueing_until else self._sample_count
        self._baseline_s += (seconds - self._baseline_s) / window

    def is_queueing(self, now: float) -> bool:
        """Whether recent responses took far longer than the baseline, now or within the hold time.

        Evaluated for each new flow rather than for each response, as responses are far more
        frequent.
        """
        is_burst = (
            len(self._recent) == RECENT_SAMPLES and now - self._recent[0][0] <= RECENT_WINDOW_S
        )
        is_baseline_valid = self._sample_count >= MIN_BASELINE_SAMPLES
        if (
            is_burst
            and is_baseline_valid
            and self.recent_mean_s > QUEUEING_RATIO * self._baseline_s
        ):
            self._queueing_until = now + QUEUEING_HOLD_S
        return now < self._queueing_until


class ZoneQueues:
    """Detects queueing at the local zone's targets, by service.

    Args:
        zone: Availability zone of this instance.
        log: Logs an event's name and its fields.
    """

    def __init__(self, zone: str, log: Callable[..., None]) -> None:
        self._zone = zone
        self._log = log
        self._times: dict[str, ResponseTimes] = {}
        self._queueing: set[str] = set()

    def add(self, target: Target, seconds: float, now: float, is_shed: bool) -> None:
        """Records the response time in seconds of a request to a target, or that it was shed."""
        if target.zone != self._zone:
            return
        times = self._times.get(target.service)
        if times is None:
            times = self._times[target.service] = ResponseTimes()
        times.add(seconds, now, is_shed)

    def is_queueing(self, service: str, now: float) -> bool:
        """Whether requests queue at the local zone's targets of a service."""
        times = self._times.get(service)
        if times is None:
            return False
        queueing = times.is_queueing(now)
        if queueing != (service in self._queueing):
            self._queueing ^= {service}
            self._log(
                "zone_queues" if queueing else "zone_queues_end",
                service=service,
                zone=self._zone,
                response_ms=round(1000 * times.recent_mean_s),
                usual_ms=round(1000 * times.baseline_s),
            )
        return queueing
