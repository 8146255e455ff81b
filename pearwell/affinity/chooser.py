"""Selection of the target of a new flow.

The selection handles targets that are warming up, draining or suspect, a zone with more
clients than its targets can serve (during a burst, or when clients move or targets leave), and the
reconnect wave after all instances were down. Each instance sees only its own share of the flows
and balances that share. Ties are broken by the flow's hash, which spreads the first flows of a
reconnect wave over the targets while no instance has load data yet.

Where targets of a service tell different numbers of slots, load counts against the slots.
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable

from pearwell.affinity.target import Target
from pearwell.affinity.token import rendezvous_score

__all__ = ["ResponseTimes", "ZoneQueues", "choose_target"]

# Load of a request in flight, in open flows; most open flows are idle between two requests.
IN_FLIGHT_WEIGHT = 2.0
# Service time of a cold target (one that is warming up) relative to a warm one.
COLD_FACTOR = 1.6

# Slots of a target that tells none. Once an instance has as many requests in flight at a target of
# the local zone, they are all busy, and targets of remote zones are ranked equally.
DEFAULT_SLOTS = 2
# Most slots that count here: a target that tells its slots wrongly would never seem busy.
MAX_SLOTS = 32

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

# Preference tiers; lower is better. A busy target of the local zone ranks with remote-zone targets.
_LOCAL_ZONE, _ANY_ZONE, _SUSPECT, _TRIED = range(4)


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


def choose_target(
    targets: Collection[Target],
    zone: str,
    tried: Iterable[Target],
    flow: bytes,
    now: float,
    zone_queueing: bool = False,
) -> Target | None:
    """Returns the target of a new flow, or None if no target accepts new flows.

    Targets of the local zone come first, as flows to remote zones hang when a zone is partitioned.
    Once requests queue there, the least loaded target of all zones is chosen.

    Args:
        targets: Listed targets of the flow's service.
        zone: Availability zone of this instance.
        tried: Targets that did not answer an earlier transmission of the SYN.
        flow: Addresses and ports of the flow.
        now: Current time in seconds of the clock.
        zone_queueing: Whether response times show queueing at the local zone's targets; with few
            instances the requests in flight of this one show it as well.
    """
    best, best_score = None, (len((_LOCAL_ZONE, _ANY_ZONE, _SUSPECT, _TRIED)), 0.0)
    ratios = None
    if len({target.counted_slots for target in targets} - {None}) > 1:
        # Few services have targets of unlike slots.
        from pearwell.affinity.slot_ratios import SlotRatios

        ratios = SlotRatios(targets)
    for target in targets:
        if target.draining or target.token_conflict or target.gone:
            continue
        if target in tried:
            tier = _TRIED
        elif now < target.suspect_until:
            tier = _SUSPECT
        elif (
            target.zone == zone
            and target.in_flight < min(target.counted_slots or DEFAULT_SLOTS, MAX_SLOTS)
            and not zone_queueing
        ):
            tier = _LOCAL_ZONE
        else:
            tier = _ANY_ZONE
        if tier > best_score[0]:
            continue
        load = 1.0 + target.open_flows + IN_FLIGHT_WEIGHT * target.in_flight
        if ratios is not None:
            load = ratios.weigh(load, target, flow)
        if now < target.warmup_ends_at:
            load *= COLD_FACTOR
        score = (tier, load)
        if score > best_score:
            continue
        if (
            score == best_score
            and best is not None
            and rendezvous_score(flow, best.tag) > rendezvous_score(flow, target.tag)
        ):
            continue
        best, best_score = target, score
    return best
