"""Rate limits that decide by flow hash wherever possible.

The decision of a plain token bucket depends on arrival order, so another instance may admit the
retransmitted SYN of a refused flow. Each limit here estimates the offered rate and admits flows
whose hash is below the admissible fraction of the hash space. Instances that receive similar shares
of the traffic agree on all flows except those near the threshold. A token bucket in addition to the
threshold enforces the exact rate.
"""

import math

from pearwell.errors import Code

__all__ = ["OpenFlowLimit", "RateLimit", "RecentAnswers"]

BURST_S = 1.0
ESTIMATE_INTERVAL_S = 0.25
ESTIMATE_TIME_CONSTANT_S = 1.0
THRESHOLD_MARGIN = 1.05
IDLE_TOKENS = 0.5

ANSWER_LIFETIME_S = 16.0
ANSWERS_PER_GENERATION = 8192


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

    def offer(self, position: float, now: float) -> bool:
        """Counts a new flow and returns whether the limit admits it.

        Args:
            position: The flow hash scaled to the range from 0 to 1.
            now: Current time in seconds.
        """
        self._refill(now)
        self._offered += 1
        if self._tokens < 1.0:
            return False
        return position < self._threshold or self._tokens >= self._burst * IDLE_TOKENS

    def take(self) -> None:
        """Consumes a token for a flow that every limit admits."""
        self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed > 0.0:
            self._tokens = min(self._burst, self._tokens + self._rate * elapsed)
            self._updated_at = now
        if now - self._estimated_at >= ESTIMATE_INTERVAL_S:
            self._adapt(now)

    def _adapt(self, now: float) -> None:
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

    __slots__ = ("_limit", "_own", "_reported")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._reported = 0
        self._own = 0

    def report(self, open_flows: int) -> None:
        """Records the number of open flows in the zone and resets the local count."""
        self._reported = open_flows
        self._own = 0

    def admits(self, position: float, live_instances: int) -> bool:
        """Returns whether a flow fits; position decides where the share is fractional."""
        share = (self._limit - self._reported) / live_instances
        return self._own + position < share

    def started(self) -> None:
        """Counts an admitted flow."""
        self._own += 1

    def ended(self) -> None:
        """Counts the end of a flow."""
        self._own -= 1


class RecentAnswers:
    """Cache of recent admission decisions with bounded memory.

    Two generations of decisions are kept. The older one is dropped when the newer one is full or
    expired. Admitted and refused flows are stored separately, so that refusals can't evict the
    decisions on admitted flows.
    """

    def __init__(self) -> None:
        self._admitted = _Generations()
        self._refused = _Generations()

    def __len__(self) -> int:
        return len(self._admitted) + len(self._refused)

    def find(self, flow_hash: int, now: float) -> Code | None:
        """Returns the decision on a flow, or None if it isn't cached."""
        refused = self._refused.find(flow_hash, now)
        return refused if refused is not None else self._admitted.find(flow_hash, now)

    def remember(self, flow_hash: int, code: Code, now: float) -> None:
        """Stores the decision on a new flow."""
        answers = self._admitted if code is Code.OK else self._refused
        answers.add(flow_hash, code, now)


class _Generations:
    """Two generations of decisions by flow hash."""

    def __init__(self) -> None:
        self._new: dict[int, Code] = {}
        self._old: dict[int, Code] = {}
        self._began_at = -math.inf

    def __len__(self) -> int:
        return len(self._new) + len(self._old)

    def find(self, flow_hash: int, now: float) -> Code | None:
        self._expire(now)
        found = self._new.get(flow_hash)
        return found if found is not None else self._old.get(flow_hash)

    def add(self, flow_hash: int, code: Code, now: float) -> None:
        self._expire(now)
        if len(self._new) >= ANSWERS_PER_GENERATION:
            self._rotate(now)
        self._new[flow_hash] = code

    def _expire(self, now: float) -> None:
        age = now - self._began_at
        if age >= 2 * ANSWER_LIFETIME_S:
            self._new = {}
        if age >= ANSWER_LIFETIME_S:
            self._rotate(now)

    def _rotate(self, now: float) -> None:
        self._old = self._new
        self._new = {}
        self._began_at = now
