"""Selection of the target of a new flow.

The selection handles targets that are warming up, draining or unresponsive, a zone with more
clients than its targets can serve (during a burst, or when clients move or targets leave), and the
reconnect wave after all instances were down. Each instance sees only its own share of the flows
and balances that share. Ties are broken by the flow's hash, which spreads the first flows of a
reconnect wave over the targets while no instance has load data yet.
"""

from collections import deque
from collections.abc import Iterable

from pearwell.affinity.target import Target
from pearwell.affinity.token import draw

__all__ = ["ResponseTimes", "choose_target"]

# Load of a request in flight, in open flows; most open flows are idle between two requests.
IN_FLIGHT_WEIGHT = 2.0
# Service time of a target that is warming up, relative to a warm one; sites state 1.6 (cold_x).
COLD_FACTOR = 1.6

# Requests of this instance in flight at a local-zone target from which targets of other zones are
# ranked equally: with five instances per zone all slots of the target (2 to 3 on the sites) are
# then busy and its queue fills. docs/MEASUREMENTS.md compares 1, 2 and 3.
SPILL_IN_FLIGHT = 2

# Number of recent responses considered, and the window in seconds that they must fall into; fewer
# responses do not indicate a burst. With 8 samples, a few instances used other zones needlessly,
# and their flows hung when a zone was partitioned; see docs/MEASUREMENTS.md.
SAMPLES = 12
FRESH_S = 1.0
# Ratio of recent mean to baseline response time that indicates queueing. Responses of a full target
# (2 slots, 8 requests queued) take up to five times as long; short and long requests are mixed.
QUEUE_FACTOR = 2.0
# Response times are capped at this multiple of the baseline: a response delayed by a pause of the
# client or the network does not indicate queueing.
MOST_TIMES_USUAL = 4.0
# Time in seconds for which queueing is assumed after it was last detected: flows sent to other
# zones drain the queues, and without a hold the burst would refill them at once.
QUEUE_HOLD_S = 2.0
# Responses over which the baseline is a plain mean; from then on it is an exponential average with
# the same weight per response, which a burst of a few seconds hardly changes.
USUAL_SAMPLES = 200
# Minimum number of responses for a valid baseline.
MIN_USUAL_SAMPLES = 50

# Preference tiers; lower is better.
_OWN_ZONE, _OTHER_ZONE, _SUSPECT, _TRIED = range(4)


class ResponseTimes:
    """Detects queueing at one service's targets in one zone from their response times.

    In a burst, each of many instances has hardly a request in flight at any one target, so these
    counts show no queue although the zone's targets shed requests and those of other zones are
    idle. The response times of all the zone's targets together do show it.
    """

    __slots__ = ("_latest", "_queues_until", "_taken", "_usual_s")

    def __init__(self) -> None:
        self._latest: deque[tuple[float, float]] = deque(maxlen=SAMPLES)
        self._taken = 0
        self._usual_s = 0.0
        self._queues_until = float("-inf")

    @property
    def usual_s(self) -> float:
        """Baseline response time in seconds; 0 before the first response."""
        return self._usual_s

    @property
    def latest_s(self) -> float:
        """Mean of the recent response times in seconds, each clamped to its bounds.

        A response faster than the baseline counts as the baseline: its request may have been shed.
        """
        most_s = MOST_TIMES_USUAL * self._usual_s
        times = [min(max(seconds, self._usual_s), most_s) for _, seconds in self._latest]
        return sum(times) / len(times) if times else 0.0

    def take(self, seconds: float, now: float) -> None:
        """Records the time in seconds between a request and its response, which arrived now."""
        self._latest.append((now, seconds))
        if self._taken < USUAL_SAMPLES:
            self._taken += 1
        moves = USUAL_SAMPLES if now < self._queues_until else self._taken
        self._usual_s += (seconds - self._usual_s) / moves

    def show_queues(self, now: float) -> bool:
        """Whether recent responses took far longer than the baseline, now or within the hold time.

        Evaluated for each new flow rather than for each response, as responses are far more
        frequent.
        """
        many = len(self._latest) == SAMPLES and now - self._latest[0][0] <= FRESH_S
        known = self._taken >= MIN_USUAL_SAMPLES
        if many and known and self.latest_s > QUEUE_FACTOR * self._usual_s:
            self._queues_until = now + QUEUE_HOLD_S
        return now < self._queues_until


def choose_target(
    targets: Iterable[Target],
    zone: str,
    tried: Iterable[Target],
    flow: bytes,
    now: float,
    zone_queues: bool = False,
) -> Target | None:
    """Returns the target of a new flow, or None if no target accepts new flows.

    Targets of the local zone come first, as flows to other zones hang when a zone is partitioned.
    Once requests queue there, the least loaded target of all zones is chosen.

    Args:
        targets: Listed targets of the flow's service.
        zone: Availability zone of this instance.
        tried: Targets that did not answer an earlier transmission of the SYN.
        flow: Addresses and ports of the flow.
        now: Current time in seconds of the clock.
        zone_queues: Whether response times show queueing at the local zone's targets; with few
            instances the requests in flight of this one show it as well.
    """
    best, best_score = None, (len((_OWN_ZONE, _OTHER_ZONE, _SUSPECT, _TRIED)), 0.0)
    for target in targets:
        if target.draining or target.shadowed or target.gone:
            continue
        if target in tried:
            tier = _TRIED
        elif now < target.suspect_until:
            tier = _SUSPECT
        elif target.zone == zone and target.in_flight < SPILL_IN_FLIGHT and not zone_queues:
            tier = _OWN_ZONE
        else:
            tier = _OTHER_ZONE
        if tier > best_score[0]:
            continue
        load = 1.0 + target.open_flows + IN_FLIGHT_WEIGHT * target.in_flight
        if now < target.warm_at:
            load *= COLD_FACTOR
        score = (tier, load)
        if score > best_score:
            continue
        if (
            score == best_score
            and best is not None
            and draw(flow, best.tag) > draw(flow, target.tag)
        ):
            continue
        best, best_score = target, score
    return best
