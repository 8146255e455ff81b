"""Counts flow starts and ends and samples SYNs by target, for the balancer."""

from collections import Counter, defaultdict

from pearwell.clock import Clock
from pearwell.messages import FlowsStarted, Message, SynsSeen
from pearwell.model.recent_hashes import RecentHashes
from pearwell.model.syn_sample import sample_syns

__all__ = ["FlowMeter"]


class FlowMeter:
    """Counts flows at one instance.

    The counts are estimates, as retransmissions may arrive at other instances.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._starts = RecentHashes(clock)
        self._ends = RecentHashes(clock)
        self._started: dict[str, Counter[str]] = {}
        self._ended: dict[str, Counter[str]] = {}
        self._syns: defaultdict[tuple[str, str], tuple[int, ...]] = defaultdict(tuple)

    def start(self, group: str, target: str, flow_hash: int) -> None:
        """Counts and samples a SYN that goes to a target."""
        if not self._starts.add(flow_hash):
            self._started.setdefault(group, Counter())[target] += 1
        self._syns[group, target] = sample_syns((*self._syns[group, target], flow_hash))

    def end(self, group: str, target: str, flow_hash: int) -> bool:
        """Counts a FIN or RST that goes to a target; returns whether it is the flow's first."""
        if self._ends.add(flow_hash):
            return False
        self._ended.setdefault(group, Counter())[target] += 1
        return True

    def take(self) -> list[Message]:
        """Returns messages with the counts since the previous call, and resets the counts."""
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
            SynsSeen(group, target, sample)
            for (group, target), sample in sorted(self._syns.items())
        ]
        self._started.clear()
        self._ended.clear()
        self._syns.clear()
        return messages
