"""Counts new and ended flows and samples SYNs by target, for the balancer."""

from collections import Counter, defaultdict

from pearwell.clock import Clock
from pearwell.messages import FlowsMetered, Message, SynsSampled
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
        self._recent_starts = RecentHashes(clock)
        self._recent_ends = RecentHashes(clock)
        self._start_counts: dict[str, Counter[str]] = {}
        self._end_counts: dict[str, Counter[str]] = {}
        self._syns: defaultdict[tuple[str, str], tuple[int, ...]] = defaultdict(tuple)

    def count_start(self, group: str, target: str, flow_hash: int) -> None:
        """Counts and samples a SYN that goes to a target."""
        if not self._recent_starts.add(flow_hash):
            self._start_counts.setdefault(group, Counter())[target] += 1
        self._syns[group, target] = sample_syns((*self._syns[group, target], flow_hash))

    def count_end(self, group: str, target: str, flow_hash: int) -> bool:
        """Counts a FIN or RST that goes to a target; returns whether it is the flow's first."""
        if self._recent_ends.add(flow_hash):
            return False
        self._end_counts.setdefault(group, Counter())[target] += 1
        return True

    def take_messages(self) -> list[Message]:
        """Returns messages with the counts since the previous call, and resets the counts."""
        no_counts: Counter[str] = Counter()
        messages: list[Message] = [
            FlowsMetered(
                group,
                tuple(sorted(self._start_counts.get(group, no_counts).items())),
                tuple(sorted(self._end_counts.get(group, no_counts).items())),
            )
            for group in sorted(self._start_counts.keys() | self._end_counts.keys())
        ]
        messages += [
            SynsSampled(group, target, sample)
            for (group, target), sample in sorted(self._syns.items())
        ]
        self._start_counts.clear()
        self._end_counts.clear()
        self._syns.clear()
        return messages
