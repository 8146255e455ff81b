"""Retry policy: when a flow may move to another target.

A flow may move while only its SYN was seen and the target didn't respond, as it hasn't done any
work yet. Return traffic doesn't pass the instance. A retransmitted SYN shows that there was no
response: a caller that received one continues the handshake.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from pearwell.agreement.rendezvous import rank
from pearwell.errors import Code, InvariantError

__all__ = ["FlowProgress", "RetryPolicy"]

RETRY_RATIO = 0.1
MAX_BUDGET_RETRIES = 100.0
MAX_TRACKED_FLOWS = 4096
MAX_TRIED_TARGETS = 3


@dataclass(frozen=True, slots=True)
class FlowProgress:
    """The packets seen of a flow.

    Attributes:
        flow_hash: Hash of the 5-tuple.
        target: The target that the flow is assigned to.
        retransmitted_syn: Whether its SYN was retransmitted.
        other_packets: Whether any packet but its SYN was seen.
        payload: Whether any packet carried payload.
    """

    flow_hash: int
    target: str
    retransmitted_syn: bool = False
    other_packets: bool = False
    payload: bool = False

    @property
    def unanswered(self) -> bool:
        """Whether only retransmitted SYNs were seen."""
        return self.retransmitted_syn and not self.other_packets and not self.payload


class RetryPolicy:
    """Selects another target for an unanswered flow, within a retry budget.

    Args:
        ratio: Retries allowed per new flow.
    """

    def __init__(self, ratio: float = RETRY_RATIO) -> None:
        self._ratio = ratio
        self._budget = 0.0
        self._syn_only_flows: OrderedDict[int, None] = OrderedDict()
        self._tried: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    @property
    def budget(self) -> float:
        """Retries that are allowed now."""
        return self._budget

    def record_start(self, flow_hash: int) -> None:
        """Records a new flow of which only the SYN was seen, and adds to the budget."""
        self._budget = min(MAX_BUDGET_RETRIES, self._budget + self._ratio)
        self._syn_only_flows[flow_hash] = None
        self._syn_only_flows.move_to_end(flow_hash)
        if len(self._syn_only_flows) > MAX_TRACKED_FLOWS:
            self._syn_only_flows.popitem(last=False)

    def record_progress(self, flow_hash: int) -> None:
        """Records a packet other than a SYN; from then on the flow doesn't move."""
        self._syn_only_flows.pop(flow_hash, None)

    def progress(self, flow_hash: int, target: str) -> FlowProgress:
        """Returns the progress of a flow whose SYN was retransmitted.

        A flow that isn't tracked counts as progressed.
        """
        return FlowProgress(flow_hash, target, True, flow_hash not in self._syn_only_flows)

    def reassign(self, flow: FlowProgress, working: Sequence[str]) -> str | None:
        """Selects another target for a flow, each target at most once.

        Args:
            flow: The packets seen of the flow.
            working: Targets that accept new flows.

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
        self._record_tried(flow.flow_hash, tried)
        return rank(f"{flow.flow_hash:x}", candidates, 1)[0]

    @staticmethod
    def check_reassignment(flow: FlowProgress, target: str) -> None:
        """Checks that a flow with packets other than its SYN stays on its target.

        Raises:
            InvariantError: INVARIANT_VIOLATED if the flow moves.
        """
        if target != flow.target and (flow.payload or flow.other_packets):
            detail = f"established flow moves from {flow.target} to {target}"
            raise InvariantError(Code.INVARIANT_VIOLATED, detail)

    def _record_tried(self, flow_hash: int, tried: tuple[str, ...]) -> None:
        self._tried[flow_hash] = tried
        self._tried.move_to_end(flow_hash)
        if len(self._tried) > MAX_TRACKED_FLOWS:
            self._tried.popitem(last=False)
