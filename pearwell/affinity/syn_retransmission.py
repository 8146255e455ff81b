"""Retransmission of unanswered SYNs, long before clients retransmit them.

A lost or late answer looks like none. A target that got the SYN may therefore have the flow, and
goes on answering for seconds; a second target that gets it has the flow as well, and the client's
packets then carry the token of the one that answered last. So the SYN is sent again to the same
target first, and to another one only once the first can't have the flow.
"""

from collections import deque

from pearwell.affinity.flow_table import Flow

__all__ = ["CLIENT_TIMEOUT_S", "SYN_TIMEOUT_S", "Step", "SynRetransmission"]

# Time after which a SYN counts as unanswered. The answer takes one round trip to the client and one
# to the target, a few milliseconds within a region; the rest allows for scheduling delays of the
# instance or the target. Clients retransmit after 200 ms.
SYN_TIMEOUT_S = 0.045
# Time after which the client retransmits its first SYN, perhaps through another instance.
CLIENT_TIMEOUT_S = 0.2
# Token bucket for SYNs sent to further targets by an instance: tokens per new flow and per second,
# and the bucket's size. The limit keeps them from adding load to targets that are slow from
# overload. A SYN sent again to the same target adds no flow there.
REDIRECTS_PER_FLOW = 0.3
REDIRECTS_PER_S = 1.0
MAX_BUDGET = 20.0
# Targets that one SYN is sent to by an instance, besides those that clients' own ones reach.
MAX_TARGETS = 2


class Step:
    """What is due for an unanswered SYN."""

    REPEAT = "repeat"
    REDIRECT = "redirect"


class SynRetransmission:
    """SYNs that await an answer, and the budget for sending them to further targets."""

    def __init__(self) -> None:
        # Clock times in seconds at which each is due and was sent, with its flow and what is due.
        self._unanswered: deque[tuple[float, Flow, str, float]] = deque()
        self._budget = MAX_BUDGET

    @property
    def next_at(self) -> float | None:
        """Clock time in seconds of the next SYN that is due; None if there is none."""
        return self._unanswered[0][0] if self._unanswered else None

    def add(self, flow: Flow, now: float) -> None:
        """Records that the SYN of a flow was forwarded."""
        flow.syn_sent_at = now
        self._unanswered.append((now + SYN_TIMEOUT_S, flow, Step.REPEAT, now))

    def add_redirect(self, flow: Flow, now: float) -> None:
        """Schedules another look at an unanswered SYN, when its target may be known to be gone."""
        self._unanswered.append((now + SYN_TIMEOUT_S, flow, Step.REDIRECT, flow.syn_sent_at))

    def redirect_at_once(self, flow: Flow) -> None:
        """Schedules the SYN of a flow, whose target is gone, for the next call of take_due()."""
        self._unanswered = deque(entry for entry in self._unanswered if entry[1] is not flow)
        self._unanswered.appendleft((float("-inf"), flow, Step.REDIRECT, flow.syn_sent_at))

    def take_due(self, now: float) -> list[tuple[Flow, str]]:
        """Returns the flows whose SYN is unanswered, each with its step.

        Left out are SYNs that were sent again since, and those older than the client's own
        retransmission, as this instance stood still: the flow may be open through another instance.
        """
        due = []
        while self._unanswered and self._unanswered[0][0] <= now:
            _, flow, step, sent_at = self._unanswered.popleft()
            waits = not flow.opened and not flow.ended and flow.syn != b""
            is_latest = sent_at == flow.syn_sent_at
            if waits and is_latest and now - sent_at < CLIENT_TIMEOUT_S:
                due.append((flow, step))
        return due

    def allows_redirect(self, flow: Flow) -> bool:
        """Whether the SYN of a flow may be sent to a further target."""
        return self._budget >= 1 and len(flow.tried) < MAX_TARGETS

    def spend(self) -> None:
        """Charges the budget for one SYN sent to a further target."""
        self._budget -= 1

    def refill_for_flow(self) -> None:
        """Refills the budget for a new flow."""
        self._refill(REDIRECTS_PER_FLOW)

    def tick(self) -> None:
        """Refills the budget; called every second."""
        self._refill(REDIRECTS_PER_S)

    def _refill(self, tokens: float) -> None:
        self._budget = min(MAX_BUDGET, self._budget + tokens)
