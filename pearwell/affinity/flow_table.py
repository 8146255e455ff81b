"""What an instance remembers of the flows that pass through it.

Nothing depends on it for affinity: a flow without a record follows the token of its packets. The
records tell load and silence of targets, and settle which target of a repeated SYN a flow is on.
"""

from pearwell.affinity.target import Target

__all__ = ["MAX_FLOWS", "Flow", "FlowTable"]

# About 500 bytes a record: 50 MB, under half of the smallest machine's memory (109 MB).
MAX_FLOWS = 100_000


class Flow:
    """One flow.

    Attributes:
        key: Ports and addresses, the 12 bytes as packets hold them.
        target: The target that its packets go to.
        tried: Targets that got a copy of the SYN, in order.
        syn: The SYN until the flow opens.
        syn_seq: Sequence number of the SYN.
        syn_at: When the latest copy of the SYN was sent on, in seconds of the clock.
        opened: Whether the client has answered a target's SYN+ACK.
        sent_end: Sequence number after the client's latest data.
        sent_at: When that data was first seen, in seconds of the clock.
        acked: The client's latest acknowledgement.
        waiting: Whether a request has had no answer so far.
        ended: Whether the client has closed its side.
    """

    __slots__ = (
        "acked",
        "ended",
        "key",
        "opened",
        "sent_at",
        "sent_end",
        "syn",
        "syn_at",
        "syn_seq",
        "target",
        "tried",
        "waiting",
    )

    def __init__(self, key: bytes, target: Target) -> None:
        self.key = key
        self.target = target
        self.tried: list[Target] = []
        self.syn = b""
        self.syn_seq = -1
        self.syn_at = 0.0
        self.opened = False
        self.sent_end = -1
        self.sent_at = 0.0
        self.acked = 0
        self.waiting = False
        self.ended = False
        target.open_flows += 1

    @property
    def address(self) -> bytes:
        """Port and address of the flow's route, as packets hold them."""
        return self.key[6:]

    def move(self, target: Target) -> None:
        """Sends the flow's further packets to another target."""
        self.settle()
        self.target.open_flows -= 1
        target.open_flows += 1
        self.target = target

    def wait(self, now: float) -> None:
        """Notes that a request went to the target."""
        if not self.waiting:
            self.waiting = True
            self.target.in_flight += 1
        self.sent_at = now

    def settle(self) -> None:
        """Notes that no request is waiting any more."""
        if self.waiting:
            self.waiting = False
            self.target.in_flight -= 1

    def close(self) -> None:
        """Takes the flow out of its target's counts."""
        self.settle()
        self.target.open_flows -= 1


class FlowTable:
    """Records of flows in two generations; a flow idle for a whole generation is forgotten.

    Args:
        limit: Most records held.
    """

    def __init__(self, limit: int = MAX_FLOWS) -> None:
        self._limit = limit
        self._recent: dict[bytes, Flow] = {}
        self._older: dict[bytes, Flow] = {}
        self._turned_at = 0.0

    def __len__(self) -> int:
        return len(self._recent) + len(self._older)

    def get(self, key: bytes) -> Flow | None:
        """Returns a flow's record and keeps it for another generation."""
        flow = self._recent.get(key)
        if flow is None and self._older:
            flow = self._older.pop(key, None)
            if flow is not None:
                self._recent[key] = flow
        return flow

    def add(self, key: bytes, target: Target) -> Flow | None:
        """Returns a new record, or None if the table is full."""
        self.remove(key)
        if len(self) >= self._limit:
            return None
        flow = self._recent[key] = Flow(key, target)
        return flow

    def remove(self, key: bytes) -> None:
        """Forgets a flow."""
        flow = self._recent.pop(key, None) or self._older.pop(key, None)
        if flow is not None:
            flow.close()

    def on_targets(self, targets: list[Target]) -> list[Flow]:
        """Returns the flows of some targets."""
        held = [*self._recent.values(), *self._older.values()]
        return [flow for flow in held if flow.target in targets]

    def sweep(self, now: float, idle_s: float) -> int:
        """Forgets flows that were idle for a generation of idle_s seconds; returns how many."""
        if now - self._turned_at < idle_s:
            return 0
        self._turned_at = now
        dropped = self._older
        self._older, self._recent = self._recent, {}
        for flow in dropped.values():
            flow.close()
        return len(dropped)
