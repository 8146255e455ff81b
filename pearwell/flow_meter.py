"""Flow meter: starts, ends and repeated SYNs by target, for the balancer and the prober."""

from collections import Counter

from pearwell.clock import Clock
from pearwell.messages import FlowsStarted, Message, SynRepeated

__all__ = ["FlowMeter", "RecentHashes", "is_sampled"]

RECENT_S = 8.0
RECENT_LIMIT = 20_000
# One flow in this many sends its SYNs by the owner of its bucket, which so sees every repeat.
SAMPLED_SHARE = 8
# Repeats of a flow that a few lost packets explain.
IGNORED_REPEATS = 1

_SAMPLE_SHIFT = 40


def is_sampled(flow_hash: int) -> bool:
    """Returns whether a flow's SYNs go by the owner of its bucket."""
    return (flow_hash >> _SAMPLE_SHIFT) % SAMPLED_SHARE == 0


class RecentHashes:
    """Counts how often each flow hash was seen lately, in bounded memory.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._turned_at = clock.now()
        self._current: dict[int, int] = {}
        self._previous: dict[int, int] = {}

    @property
    def size(self) -> int:
        """Hashes held."""
        return len(self._current) + len(self._previous)

    def add(self, flow_hash: int) -> int:
        """Notes a flow hash and returns how often it had been seen before."""
        now = self._clock.now()
        if now - self._turned_at >= RECENT_S or len(self._current) >= RECENT_LIMIT:
            self._previous = self._current if now - self._turned_at < 2 * RECENT_S else {}
            self._current = {}
            self._turned_at = now
        seen = self._current.get(flow_hash) or self._previous.get(flow_hash, 0)
        self._current[flow_hash] = seen + 1
        return seen


class FlowMeter:
    """Counts at one instance; the counts are estimates, as repeats may pass by other instances.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._starts = RecentHashes(clock)
        self._ends = RecentHashes(clock)
        self._started: dict[str, Counter[str]] = {}
        self._ended: dict[str, Counter[str]] = {}
        self._repeated: Counter[tuple[str, str]] = Counter()

    def start(self, group: str, target: str, flow_hash: int) -> None:
        """Notes a SYN that goes to a target."""
        repeats = self._starts.add(flow_hash)
        if not repeats:
            self._started.setdefault(group, Counter())[target] += 1
        elif repeats > IGNORED_REPEATS and is_sampled(flow_hash):
            self._repeated[group, target] += SAMPLED_SHARE

    def end(self, group: str, target: str, flow_hash: int) -> bool:
        """Notes a FIN or RST that goes to a target; returns whether it is the flow's first."""
        if self._ends.add(flow_hash):
            return False
        self._ended.setdefault(group, Counter())[target] += 1
        return True

    def take(self) -> list[Message]:
        """Returns messages with what was counted since the last call."""
        none: Counter[str] = Counter()
        messages: list[Message] = [
            FlowsStarted(
                group,
                tuple(sorted(self._started.get(group, none).items())),
                tuple(sorted(self._ended.get(group, none).items())),
            )
            for group in sorted(self._started.keys() | self._ended.keys())
        ]
        messages += [
            SynRepeated(group, target, count)
            for (group, target), count in sorted(self._repeated.items())
        ]
        self._started.clear()
        self._ended.clear()
        self._repeated.clear()
        return messages
