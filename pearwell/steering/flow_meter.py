"""Flow meter: starts, ends and repeated SYNs by target, for the balancer and the prober."""

from collections import Counter

from pearwell.clock import Clock
from pearwell.messages import FlowsStarted, Message, SynRepeated

__all__ = ["FlowMeter", "RecentHashes"]

RECENT_S = 8.0
RECENT_LIMIT = 20_000


class RecentHashes:
    """Tells which flow hashes were seen lately, in bounded memory.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._turned_at = clock.now()
        self._current: set[int] = set()
        self._previous: set[int] = set()

    @property
    def size(self) -> int:
        """Hashes held."""
        return len(self._current) + len(self._previous)

    def add(self, flow_hash: int) -> bool:
        """Notes a flow hash and returns whether it was seen before."""
        now = self._clock.now()
        if now - self._turned_at >= RECENT_S or len(self._current) >= RECENT_LIMIT:
            self._previous = self._current if now - self._turned_at < 2 * RECENT_S else set()
            self._current = set()
            self._turned_at = now
        seen = flow_hash in self._current or flow_hash in self._previous
        self._current.add(flow_hash)
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
        if not self._starts.add(flow_hash):
            self._started.setdefault(group, Counter())[target] += 1
        else:
            self._repeated[group, target] += 1

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
