"""Retransmission of unanswered SYNs to other targets, long before clients retransmit them."""

from collections import deque

from pearwell.affinity.flow_table import Flow

__all__ = ["SYN_TIMEOUT_S", "SynRetransmission"]

# Time after which a SYN counts as unanswered. The answer takes one round trip to the client and one
# to the target, a few milliseconds within a region; the rest allows for scheduling delays of the
# instance or the target. Clients retransmit after 200 ms.
SYN_TIMEOUT_S = 0.045
# Token bucket for SYN retransmissions by an instance: tokens per new flow and per second, and the
# bucket's size. The limit keeps retransmissions from adding load to targets that are slow from
# overload.
RETRANSMISSIONS_PER_FLOW = 0.3
RETRANSMISSIONS_PER_S = 1.0
MAX_BUDGET = 20.0
# Transmissions of one SYN by an instance.
MAX_TRANSMISSIONS = 2


class SynRetransmission:
    """SYNs that await an answer, and the budget for retransmitting them."""

    def __init__(self) -> None:
        self._unanswered: deque[tuple[float, Flow]] = deque()
        self._budget = MAX_BUDGET

    @property
    def next_at(self) -> float | None:
        """Clock time in seconds of the next SYN that is due; None if there is none."""
        return self._unanswered[0][0] if self._unanswered else None

    def add(self, flow: Flow, now: float) -> None:
        """Records that the SYN of a flow was forwarded."""
        flow.syn_sent_at = now
        self._unanswered.append((now + SYN_TIMEOUT_S, flow))

    def take_due(self, now: float) -> list[Flow]:
        """Returns the flows whose SYN is unanswered; each transmission is returned once."""
        due = []
        while self._unanswered and self._unanswered[0][0] <= now:
            _, flow = self._unanswered.popleft()
            if not flow.opened and not flow.ended and flow.syn:
                due.append(flow)
        return due

    def allows(self, flow: Flow) -> bool:
        """Whether the SYN of a flow may be retransmitted."""
        return self._budget >= 1 and len(flow.tried) < MAX_TRANSMISSIONS

    def spend(self) -> None:
        """Charges the budget for one retransmission."""
        self._budget -= 1

    def refill_for_flow(self) -> None:
        """Refills the budget for a new flow."""
        self._refill(RETRANSMISSIONS_PER_FLOW)

    def tick(self) -> None:
        """Refills the budget; called every second."""
        self._refill(RETRANSMISSIONS_PER_S)

    def _refill(self, tokens: float) -> None:
        self._budget = min(MAX_BUDGET, self._budget + tokens)
