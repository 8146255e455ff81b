"""Table of the flows that pass through an instance.

Affinity does not depend on it: a flow without a record follows the token of its packets. The
records show the load and the health of targets, and which target a flow is on if its SYN was sent
to several.
"""

from pearwell.affinity.target import Target

__all__ = ["MAX_FLOWS", "SEQ_MASK", "Flow", "FlowTable", "is_after"]

# About 500 bytes per record: 50 MB, less than half the memory of the smallest machine (109 MB).
MAX_FLOWS = 100_000
# Sequence numbers have 32 bits.
SEQ_MASK = (1 << 32) - 1
_HALF_RANGE = 1 << 31
# Bytes by which an acknowledgement of the same connection may differ from the latest one seen here:
# behind it when packets overtake one another, ahead when others went through another instance.
MAX_ACK_BEHIND = 1 << 20
MAX_ACK_AHEAD = 1 << 22


def is_after(value: int, than: int) -> bool:
    """Whether one 32-bit sequence number comes after another."""
    return 0 < (value - than) & SEQ_MASK < _HALF_RANGE


class Flow:
    """One flow.

    Attributes:
        key: Ports and addresses: 12 bytes in the packet's format.
        target: The target of its packets.
        tried: Targets that the SYN was sent to, in order.
        syn: The SYN until the flow opens.
        syn_seq: Sequence number of the SYN.
        unanswered_syns: Transmissions of the SYN that its target has left unanswered.
        syn_sent_at: When the SYN was last forwarded, in seconds of the clock.
        responded_at: When a response of its target was last acknowledged, the opening included, in
            seconds of the clock.
        opened: Whether the client has acknowledged a target's SYN+ACK.
        next_seq: Sequence number after the client's latest data.
        sent_at: When that data was first seen, in seconds of the clock.
        last_ack: Latest acknowledgement number of the client.
        awaiting_response: Whether a request awaits its response.
        requests: Number of requests seen, counting at least one before those of a flow whose start
            this instance hasn't seen.
        ended: Whether the client has closed its side.
    """

    __slots__ = (
        "last_ack",
        "ended",
        "key",
        "opened",
        "sent_at",
        "next_seq",
        "syn",
        "syn_sent_at",
        "syn_seq",
        "target",
        "tried",
        "awaiting_response",
        "requests",
        "responded_at",
        "unanswered_syns",
    )

    def __init__(self, key: bytes, target: Target) -> None:
        self.key = key
        self.target = target
        self.tried: list[Target] = []
        self.syn = b""
        self.syn_seq = -1
        self.syn_sent_at = 0.0
        self.responded_at = 0.0
        self.unanswered_syns = 0
        self.opened = False
        self.next_seq = -1
        self.sent_at = 0.0
        self.last_ack = 0
        self.awaiting_response = False
        self.requests = 0
        self.ended = False
        target.open_flows += 1

    @property
    def address(self) -> bytes:
        """Port and address of the flow's route, in the packet's format."""
        return self.key[6:]

    def reassign(self, target: Target) -> None:
        """Assigns the flow to another target."""
        self.clear_request()
        self.unanswered_syns = 0
        self.target.open_flows -= 1
        target.open_flows += 1
        if self.opened and not self.ended:
            self.target.held_flows -= 1
            target.held_flows += 1
        self.target = target

    def record_opened(self, now: float) -> None:
        """Records that the flow is open."""
        if not self.opened:
            self.opened = True
            self.responded_at = now
            self.target.held_flows += not self.ended

    def record_ended(self) -> None:
        """Records that the client has closed its side."""
        if not self.ended:
            self.ended = True
            self.target.held_flows -= self.opened
        self.clear_request()

    def continues(self, ack: int) -> bool:
        """Whether a client's acknowledgement number belongs to the connection recorded here."""
        return (ack - self.last_ack + MAX_ACK_BEHIND) & SEQ_MASK < MAX_ACK_BEHIND + MAX_ACK_AHEAD

    def begins_request(self, end_seq: int) -> bool:
        """Whether the client's data up to a sequence number begins a request on the open flow."""
        if self.awaiting_response or not self.opened:
            return False
        return self.next_seq < 0 or is_after(end_seq, self.next_seq)

    def record_request(self, now: float) -> None:
        """Records that a request was sent to the target."""
        if not self.awaiting_response:
            self.awaiting_response = True
            self.target.in_flight += 1
            self.requests += 1
        self.sent_at = now

    def clear_request(self) -> None:
        """Records that no request awaits a response."""
        if self.awaiting_response:
            self.awaiting_response = False
            self.target.in_flight -= 1

    def close(self) -> None:
        """Removes the flow from its target's counts."""
        self.clear_request()
        if self.opened and not self.ended:
            self.target.held_flows -= 1
        self.target.open_flows -= 1


class FlowTable:
    """Records of flows in two generations; a flow idle for a whole generation is removed.

    Args:
        limit: Maximum number of records.
    """

    def __init__(self, limit: int = MAX_FLOWS) -> None:
        self._limit = limit
        self._recent: dict[bytes, Flow] = {}
        self._older: dict[bytes, Flow] = {}
        self._rotated_at = 0.0

    def __len__(self) -> int:
        return len(self._recent) + len(self._older)

    def get(self, key: bytes) -> Flow | None:
        """Returns a flow's record, if any, and keeps it for another generation."""
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
        """Removes a flow's record, if any."""
        flow = self._recent.pop(key, None) or self._older.pop(key, None)
        if flow is not None:
            flow.close()

    def on_targets(self, targets: list[Target]) -> list[Flow]:
        """Returns the flows on the given targets."""
        flows = [*self._recent.values(), *self._older.values()]
        return [flow for flow in flows if flow.target in targets]

    def sweep(self, now: float, idle_s: float) -> int:
        """Removes flows idle for a generation of idle_s seconds; returns how many."""
        if now - self._rotated_at < idle_s:
            return 0
        self._rotated_at = now
        dropped = self._older
        self._older, self._recent = self._recent, {}
        for flow in dropped.values():
            flow.close()
        return len(dropped)
