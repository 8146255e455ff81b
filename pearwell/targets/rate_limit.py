"""Rate limits that decide by flow hash wherever possible.

The decision of a plain token bucket depends on arrival order, so another instance may admit the
retransmitted SYN of a refused flow. Each limit here estimates the offered rate and admits flows
whose hash is below the admissible fraction of the hash space. Instances that receive similar shares
of the traffic agree on all flows except those near the threshold. A token bucket in addition to the
threshold enforces the exact rate.
"""

import math

from pearwell.errors import Code

__all__ = ["OpenFlowLimit", "RateLimit", "RecentDecisions"]

BURST_S = 1.0
ESTIMATE_INTERVAL_S = 0.25
ESTIMATE_TIME_CONSTANT_S = 1.0
THRESHOLD_MARGIN = 1.05
# Fraction of the burst that must be available to admit flows above the threshold, too.
IDLE_TOKEN_FRACTION = 0.5

DECISION_LIFETIME_S = 16.0
DECISIONS_PER_GENERATION = 8192


class RateLimit:
    """One instance's share of a limit on new flows per second.

    Args:
        rate: Share in flows per second.
        now: Current time in seconds.
    """

    __slots__ = (
        "_burst",
        "_estimate",
        "_estimated_at",
        "_offered",
        "_rate",
        "_threshold",
        "_tokens",
        "_updated_at",
    )

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate * BURST_S)
        self._tokens = self._burst
        self._updated_at = now
        self._offered = 0
        self._estimate = 0.0
        self._estimated_at = now
        self._threshold = 1.0

    @property
    def threshold(self) -> float:
        """Fraction of the hash space that is admitted while traffic exceeds the limit."""
        return self._threshold

    def set_rate(self, rate: float) -> None:
        """Changes the share; available tokens are kept, up to the new burst size."""
        self._rate = rate
        self._burst = max(1.0, rate * BURST_S)
        self._tokens = min(self._tokens, self._burst)

    def offer(self, hash_fraction: float, now: float) -> bool:
        """Counts a new flow and returns whether the limit admits it.

        Args:
            hash_fraction: The flow hash scaled to the range from 0 to 1.
            now: Current time in seconds.
        """
        self._refill(now)
        self._offered += 1
        if self._tokens < 1.0:
            return False
        return hash_fraction < self._threshold or self._tokens >= self._burst * IDLE_TOKEN_FRACTION

    def consume(self) -> None:
        """Consumes a token for a flow that every limit admits."""
        self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed > 0.0:
            self._tokens = min(self._burst, self._tokens + self._rate * elapsed)
            self._updated_at = now
        if now - self._estimated_at >= ESTIMATE_INTERVAL_S:
            self._update_threshold(now)

    def _update_threshold(self, now: float) -> None:
        elapsed = now - self._estimated_at
        weight = 1.0 - math.exp(-elapsed / ESTIMATE_TIME_CONSTANT_S)
        self._estimate += (self._offered / elapsed - self._estimate) * weight
        self._offered = 0
        self._estimated_at = now
        admissible = self._rate * THRESHOLD_MARGIN
        self._threshold = min(1.0, admissible / self._estimate) if self._estimate else 1.0


class OpenFlowLimit:
    """One instance's share of a limit on open flows.

    The first and last packets of a flow may pass through different instances, so local counts
    drift. Each report of the open flows in the zone replaces them.

    Args:
        limit: Maximum number of open flows in the whole zone.
    """

    __slots__ = ("_limit", "_local", "_reported")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._reported = 0
        self._local = 0

    def update_reported(self, open_flows: int) -> None:
        """Records the number of open flows in the zone and resets the local count."""
        self._reported = open_flows
        self._local = 0

    def admits(self, hash_fraction: float, live_instances: int) -> bool:
        """Returns whether a flow fits; hash_fraction decides where the share is fractional."""
        share = (self._limit - self._reported) / live_instances
        return self._local + hash_fraction < share

    def started(self) -> None:
        """Counts an admitted flow."""
        self._local += 1

    def ended(self) -> None:
        """Counts the end of a flow."""
        self._local -= 1


class RecentDecisions:
    """Cache of recent admission decisions with bounded memory.

    Two generations of decisions are kept. The older one is dropped when the newer one is full or
    expired. Admitted and refused flows are stored separately, so that refusals can't evict the
    decisions on admitted flows.
    """

    def __init__(self) -> None:
        self._admitted = _DecisionGenerations()
        self._refused = _DecisionGenerations()

    def __len__(self) -> int:
        return len(self._admitted) + len(self._refused)

    def find(self, flow_hash: int, now: float) -> Code | None:
        """Returns the decision on a flow, or None if it isn't cached."""
        refused = self._refused.find(flow_hash, now)
        return refused if refused is not None else self._admitted.find(flow_hash, now)

    def store(self, flow_hash: int, code: Code, now: float) -> None:
        """Stores the decision on a new flow."""
        decisions = self._admitted if code is Code.OK else self._refused
        decisions.add(flow_hash, code, now)


class _DecisionGenerations:
    """Two generations of decisions by flow hash."""

    def __init__(self) -> None:
        self._current: dict[int, Code] = {}
        self._previous: dict[int, Code] = {}
        self._rotated_at = -math.inf

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def find(self, flow_hash: int, now: float) -> Code | None:
        self._expire(now)
        found = self._current.get(flow_hash)
        return found if found is not None else self._previous.get(flow_hash)

    def add(self, flow_hash: int, code: Code, now: float) -> None:
        self._expire(now)
        if len(self._current) >= DECISIONS_PER_GENERATION:
            self._rotate(now)
        self._current[flow_hash] = code

    def _expire(self, now: float) -> None:
        age = now - self._rotated_at
        if age >= 2 * DECISION_LIFETIME_S:
            self._current = {}
        if age >= DECISION_LIFETIME_S:
            self._rotate(now)

    def _rotate(self, now: float) -> None:
        self._previous = self._current
        self._current = {}
        self._rotated_at = now
