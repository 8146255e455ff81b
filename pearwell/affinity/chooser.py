"""Choice of the target of a new flow.

Load pattern: steady starts with targets that are cold, leaving or silent; a zone with more clients
than its targets can serve, as of a burst, or as clients move or targets leave; and the wave in
which every client comes back at once after all instances were down. Each instance sees only its own
share of the flows, so it evens out that share; ties are broken by the flow's hash, which spreads
the first flows of a wave over the targets although no instance knows of any load yet.
"""

from collections import deque
from collections.abc import Iterable

from pearwell.affinity.target import Target
from pearwell.affinity.token import draw

__all__ = ["ResponseTimes", "choose_target"]

# A request that waits for its answer weighs as much as this many open flows; most open flows are
# idle between two requests.
IN_FLIGHT_WEIGHT = 2.0
# How much longer a target works on a request while it is cold; sites state 1.6 (cold_x).
COLD_FACTOR = 1.6

# Requests of this instance that wait at a target of the own zone before other zones' targets are as
# good: with five instances a zone all slots of the target are then busy (2 to 3 on the sites) and
# its queue fills. 1, 2 and 3 were measured, see docs/MEASUREMENTS.md.
SPILL_IN_FLIGHT = 2

# Responses that are looked at, and the time in seconds in which they have to come: an instance
# that sees fewer isn't in a burst. With 8, a few instances spilled without need, and their flows
# hung when a zone was cut off; see docs/MEASUREMENTS.md.
SAMPLES = 12
FRESH_S = 1.0
# Responses from queues take so many times the usual time in the mean. Those of a full target (2
# slots, 8 waiting) take up to five times as long; short and long requests are mixed.
QUEUE_FACTOR = 2.0
# A response counts for at most so many times the usual time: one that came after a pause of the
# client or the network tells nothing of queues.
MOST_TIMES_USUAL = 4.0
# Time in seconds for which queues are taken to last after their latest sign: spilling empties them,
# and the burst would fill them again at once.
QUEUE_HOLD_S = 2.0
# Responses whose mean the usual time is at first; later ones move it by the same share, so that a
# burst of seconds hardly changes it.
USUAL_SAMPLES = 200
# Least responses that make a time usual.
MIN_USUAL_SAMPLES = 50

# Classes of preference, lower is better.
_OWN_ZONE, _OTHER_ZONE, _SUSPECT, _TRIED = range(4)


class ResponseTimes:
    """Response times of one service's targets in one zone, which tell of queues.

    In a burst, each of many instances has hardly a request at any one target, so that none sees a
    queue in its own requests in flight, while the zone's targets shed requests and those of other
    zones are idle. The responses that it sees from all of them together show it.
    """

    __slots__ = ("_latest", "_queues_until", "_taken", "_usual_s")

    def __init__(self) -> None:
        self._latest: deque[tuple[float, float]] = deque(maxlen=SAMPLES)
        self._taken = 0
        self._usual_s = 0.0
        self._queues_until = float("-inf")

    @property
    def usual_s(self) -> float:
        """Usual time of a response in seconds; 0 before the first one."""
        return self._usual_s

    @property
    def latest_s(self) -> float:
        """Mean of the latest response times in seconds, each within its bounds.

        A response faster than usual counts as usual: it may be that of a request that was shed.
        """
        most_s = MOST_TIMES_USUAL * self._usual_s
        times = [min(max(seconds, self._usual_s), most_s) for _, seconds in self._latest]
        return sum(times) / len(times) if times else 0.0

    def take(self, seconds: float, now: float) -> None:
        """Takes the time between a request and its response, which came now."""
        self._latest.append((now, seconds))
        if self._taken < USUAL_SAMPLES:
            self._taken += 1
        moves = USUAL_SAMPLES if now < self._queues_until else self._taken
        self._usual_s += (seconds - self._usual_s) / moves

    def show_queues(self, now: float) -> bool:
        """Whether many responses came lately and took far longer than usual, or did at the latest
        calls within the hold.

        Asked with each flow start, as flows have many more responses than starts.
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
    """Returns the target of a new flow, or None if no target may take one.

    Targets of the own zone come first, as flows to other zones hang when a zone is cut off. Once
    requests queue there, the least loaded of all zones is chosen.

    Args:
        targets: Listed targets of the flow's service.
        zone: Own availability zone.
        tried: Targets that left an earlier copy of the SYN unanswered.
        flow: Addresses and ports of the flow.
        now: Current time in seconds of the clock.
        zone_queues: Whether requests queue at the own zone's targets by their response times; this
            instance's requests in flight tell the same where instances are few.
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
