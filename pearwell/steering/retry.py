"""Retry rule: when a flow may be given to another target.

Only a flow of which nothing but its SYN was seen, and which has no answer, has run nothing yet. The
answers don't pass the instance, so a repeated SYN is the sign that there is none: a caller that got
an answer goes on with its handshake.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from pearwell.agreement.rendezvous import rank
from pearwell.errors import Code, InvariantError

__all__ = ["FlowProgress", "RetryRule"]

RETRY_RATIO = 0.1
MAX_BUDGET = 100.0
MAX_TRACKED_FLOWS = 4096
MAX_TRIED_TARGETS = 3


@dataclass(frozen=True, slots=True)
class FlowProgress:
    """What was seen of a flow.

    Attributes:
        flow_hash: Hash of the 5-tuple.
        target: The target that has the flow.
        repeated_syn: Whether its SYN was seen more than once.
        other_packets: Whether any packet but its SYN was seen.
        payload: Whether any packet carried payload.
    """

    flow_hash: int
    target: str
    repeated_syn: bool = False
    other_packets: bool = False
    payload: bool = False

    @property
    def unanswered(self) -> bool:
        """Whether nothing but repeated SYNs was seen."""
        return self.repeated_syn and not self.other_packets and not self.payload


class RetryRule:
    """Picks another target for an unanswered flow, within a budget.

    Args:
        ratio: Retries allowed per flow start.
    """

    def __init__(self, ratio: float = RETRY_RATIO) -> None:
        self._ratio = ratio
        self._budget = 0.0
        self._only_syn: OrderedDict[int, None] = OrderedDict()
        self._tried: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    @property
    def budget(self) -> float:
        """Retries that may be made now."""
        return self._budget

    def started(self, flow_hash: int) -> None:
        """Notes a new flow, which adds to the budget and has shown nothing but its SYN."""
        self._budget = min(MAX_BUDGET, self._budget + self._ratio)
        self._only_syn[flow_hash] = None
        self._only_syn.move_to_end(flow_hash)
        if len(self._only_syn) > MAX_TRACKED_FLOWS:
            self._only_syn.popitem(last=False)

    def progressed(self, flow_hash: int) -> None:
        """Notes a packet other than a SYN; the flow never moves from then on."""
        self._only_syn.pop(flow_hash, None)

    def progress(self, flow_hash: int, target: str) -> FlowProgress:
        """Returns what was seen of a flow whose SYN comes again; an unknown one has progressed."""
        return FlowProgress(flow_hash, target, True, flow_hash not in self._only_syn)

    def reassign(self, flow: FlowProgress, working: Sequence[str]) -> str | None:
        """Picks another target for a flow, at most once for each target.

        Args:
            flow: What was seen of the flow.
            working: Targets that take new flows.

        Returns:
            The new target; None if the flow must stay where it is.
        """
        if not flow.unanswered or flow.target in working or self._budget < 1.0:
            return None
        tried = (*self._tried.get(flow.flow_hash, ()), flow.target)
        candidates = [name for name in working if name not in tried]
        if not candidates or len(tried) > MAX_TRIED_TARGETS:
            return None
        self._budget -= 1.0
        self._remember(flow.flow_hash, tried)
        return rank(f"{flow.flow_hash:x}", candidates, 1)[0]

    @staticmethod
    def check_move(flow: FlowProgress, target: str) -> None:
        """Asserts that a flow which got further than its SYN stays where it is.

        Raises:
            InvariantError: INVARIANT_VIOLATED if the flow moves.
        """
        if target != flow.target and (flow.payload or flow.other_packets):
            detail = f"established flow moves from {flow.target} to {target}"
            raise InvariantError(Code.INVARIANT_VIOLATED, detail)

    def _remember(self, flow_hash: int, tried: tuple[str, ...]) -> None:
        self._tried[flow_hash] = tried
        self._tried.move_to_end(flow_hash)
        if len(self._tried) > MAX_TRACKED_FLOWS:
            self._tried.popitem(last=False)
