"""Open flows whose token belongs to no known target.

The target may be new: another instance has heard of it and opened the flow, while this one still
waits for a relay that stands still. A reset would break the flow of a live target, silence only
delays it. So the flow is reset once the listing is known to be complete as of a time after its
packet arrived: a flow is younger than its target's entry.
"""

from collections.abc import Callable

from pearwell.affinity.directory import Directory
from pearwell.errors import Code

__all__ = ["ASK_INTERVAL_S", "MAX_FLOWS", "UnknownFlows"]

# Flows that are recorded at a time; packets of others are dropped without a trace.
MAX_FLOWS = 4_096
# Time after which a client has given up, and may use the port for another flow.
MAX_AGE_S = 3.0
# Minimum time between two requests to ask the store.
ASK_INTERVAL_S = 0.5


class UnknownFlows:
    """Records flows with an unknown token until their fate is known.

    Args:
        complete_at: Returns the clock time in seconds until which all targets are known.
    """

    def __init__(self, complete_at: Callable[[], float]) -> None:
        self._complete_at = complete_at
        # Time of arrival in seconds of the clock, token and acknowledgement number, by flow.
        self._flows: dict[bytes, tuple[float, int, int]] = {}
        self._asked_at = float("-inf")
        self._asks = False

    def take_request(self) -> bool:
        """Whether the store is to be asked now for the targets that it lists."""
        asks, self._asks = self._asks, False
        return asks

    def add(self, flow: bytes, token: int, ack: int, now: float) -> bool:
        """Records a packet of a flow; returns whether its token is known to be no target's."""
        seen_at, seen_token, _ = self._flows.get(flow, (now, token, ack))
        if seen_token != token:
            seen_at = now
        if self._complete_at() > seen_at:
            self.discard(flow)
            return True
        if now - self._asked_at >= ASK_INTERVAL_S:
            self._asked_at = now
            self._asks = True
        if flow in self._flows or len(self._flows) < MAX_FLOWS:
            self._flows[flow] = seen_at, token, ack
        return False

    def discard(self, flow: bytes) -> None:
        """Forgets a flow, whose target is known now or which has ended."""
        self._flows.pop(flow, None)

    def take_resets(
        self,
        directory: Directory,
        now: float,
        log: Callable[..., None],
        count: Callable[[str], None],
    ) -> list[tuple[bytes, int]]:
        """Returns the flows to reset whose targets turned out to be gone: key and latest ack.

        Args:
            directory: Targets, of a listing that can be trusted.
            now: Current time in seconds of the clock.
            log: Logs an event's name and its fields.
            count: Counts an event by name.
        """
        code = Code.FLOW_UNKNOWN_TOKEN
        resets = []
        for flow, ack, token in self.take_refuted(
            lambda token: directory.find_by_token(token) is not None, now
        ):
            count(code.name)
            log("flow_reset", flow=flow, token=token, code=int(code))
            resets.append((flow, ack))
        return resets

    def take_refuted(
        self, is_known: Callable[[int], bool], now: float
    ) -> list[tuple[bytes, int, int]]:
        """Returns the flows whose tokens turned out to be no target's: key, ack and token."""
        complete_at = self._complete_at()
        flows, self._flows = self._flows, {}
        refuted = []
        for flow, (seen_at, token, ack) in flows.items():
            if now - seen_at > MAX_AGE_S or is_known(token):
                continue
            if complete_at > seen_at:
                refuted.append((flow, ack, token))
            else:
                self._flows[flow] = seen_at, token, ack
        return refuted
