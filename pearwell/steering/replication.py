"""Replication of flow records and clear buckets from a serving instance to the backups."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.messages import Message
from pearwell.messages.steering import DeleteFlows, Replicate, ReplicateAck, ReplicateClear
from pearwell.model.placement import Generation
from pearwell.steering.record import SHARDS, FlowRecords, RecordFlag, flags_of

__all__ = ["Replicator"]

RESEND_INTERVAL_S = 0.6
DELETE_FLOWS_INTERVAL_S = 2.0
SNAPSHOT_BATCH_RECORDS = 256
SNAPSHOT_BATCHES_PER_TICK = 8

_FLOW_BYTES = 8


@dataclass(slots=True)
class _PendingBatch:
    """One unacknowledged message."""

    sent_at: float
    flows: tuple[tuple[FlowRecords, int], ...] = ()
    clear_message: ReplicateClear | None = None


@dataclass(slots=True)
class _Channel:
    """State of replication to and from one peer."""

    sequence: int = 0
    unacknowledged: dict[int, _PendingBatch] = field(default_factory=dict)
    snapshot: list[tuple[FlowRecords, int]] = field(default_factory=list)
    ended: dict[str, list[int]] = field(default_factory=dict)
    received: list[int] = field(default_factory=list)
    highest_received: int = 0


class Replicator:
    """Sends state to backups until they acknowledge it, and acknowledges that of other instances.

    Args:
        transport: Carries messages to other instances.
        clock: Source of time.
        store_copies: Stores the packed records of a sender; the flag allows them to replace others.
            Returns False if a target isn't known yet.
        store_clear_buckets: Stores which buckets a sender reports clear. Returns False if the
            sender's placement hasn't arrived yet.
        serves: Returns whether this instance serves a shard; other records aren't resent.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        store_copies: Callable[[bytes, bool], bool],
        store_clear_buckets: Callable[[ReplicateClear], bool],
        serves: Callable[[int], bool],
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._store_copies = store_copies
        self._store_clear_buckets = store_clear_buckets
        self._serves = serves
        self._channels: dict[str, _Channel] = {}
        self._pending: dict[int, float] = {}
        self._next_delete_flows_at = 0.0
        self._handlers: dict[type[Message], Callable[[str, Message], None]] = {
            Replicate: self._on_replicate,
            ReplicateClear: self._on_replicate_clear,
            ReplicateAck: self._on_replicate_ack,
            DeleteFlows: self._on_delete_flows,
        }
        self._remove_copy: Callable[[str, int], None] = lambda group, flow_hash: None

    def set_remove_copy(self, remove_copy: Callable[[str, int], None]) -> None:
        """Sets the callback for the group and hash of a flow that ended at its serving instance."""
        self._remove_copy = remove_copy

    def pending_since(self, flow_hash: int) -> float | None:
        """Returns when a flow's record was sent, or None if its acknowledgement isn't pending."""
        return self._pending.get(flow_hash)

    def replicate(self, peer: str, records: FlowRecords, flow_hash: int) -> None:
        """Sends a new record to the backup immediately."""
        self._pending[flow_hash] = self._clock.now()
        self._send_flows(peer, ((records, flow_hash),))

    def queue_snapshot(self, peer: str, records: FlowRecords, shard: int) -> None:
        """Queues all records of a shard for a new backup."""
        flows = [
            (records, flow_hash)
            for flow_hash, value in records.items(shard)
            if not flags_of(value) & RecordFlag.LEARNED
        ]
        self._channel(peer).snapshot.extend(flows)

    def queue_ended(self, peer: str, group: str, flow_hash: int) -> None:
        """Queues the end of a flow for the backup."""
        self._channel(peer).ended.setdefault(group, []).append(flow_hash)

    def replicate_clear(
        self, peer: str, group: str, generation: Generation, cleared: Iterable[tuple[int, int]]
    ) -> int:
        """Sends clear buckets to the backup immediately; returns the sequence number."""
        channel = self._channel(peer)
        channel.sequence += 1
        message = ReplicateClear(channel.sequence, group, generation, tuple(cleared))
        channel.unacknowledged[channel.sequence] = _PendingBatch(
            self._clock.now(), clear_message=message
        )
        self._transport.send(peer, message)
        return channel.sequence

    def acknowledged(self, peer: str, sequence: int) -> bool:
        """Returns whether a peer acknowledged a sequence number."""
        return sequence not in self._channel(peer).unacknowledged

    def remove_peer(self, peer: str) -> None:
        """Removes a peer that left the zone."""
        channel = self._channels.pop(peer, None)
        if channel is None:
            return
        for batch in channel.unacknowledged.values():
            self._clear_pending(batch)

    def discard_pending(self) -> None:
        """Discards what is unsent or unacknowledged, as this instance stops serving shards."""
        for channel in self._channels.values():
            for batch in channel.unacknowledged.values():
                self._clear_pending(batch)
            channel.unacknowledged.clear()
            channel.snapshot.clear()
            channel.ended.clear()

    def handle(self, sender: str, message: Message) -> bool:
        """Handles a message; returns False if it doesn't belong to replication."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)
        return handler is not None

    def tick(self) -> None:
        """Sends acknowledgements, snapshots and ended flows; resends unacknowledged messages."""
        now = self._clock.now()
        flush = now >= self._next_delete_flows_at
        if flush:
            self._next_delete_flows_at = now + DELETE_FLOWS_INTERVAL_S
        for peer, channel in self._channels.items():
            self._acknowledge(peer, channel)
            self._resend(peer, channel, now)
            self._send_snapshot(peer, channel)
            if flush:
                self._send_ended(peer, channel)

    def _channel(self, peer: str) -> _Channel:
        channel = self._channels.get(peer)
        if channel is None:
            channel = self._channels[peer] = _Channel()
        return channel

    def _send_flows(self, peer: str, flows: tuple[tuple[FlowRecords, int], ...]) -> None:
        channel = self._channel(peer)
        channel.sequence += 1
        channel.unacknowledged[channel.sequence] = _PendingBatch(self._clock.now(), flows)
        self._transport.send(peer, Replicate(channel.sequence, _pack(flows)))

    def _resend(self, peer: str, channel: _Channel, now: float) -> None:
        for sequence, batch in list(channel.unacknowledged.items()):
            if now - batch.sent_at < RESEND_INTERVAL_S:
                continue
            batch.sent_at = now
            if batch.clear_message is not None:
                self._transport.send(peer, batch.clear_message)
            elif any(self._serves(flow_hash % SHARDS) for _, flow_hash in batch.flows):
                self._resend_served(peer, sequence, batch)
            else:
                self._clear_pending(batch)
                del channel.unacknowledged[sequence]

    def _resend_served(self, peer: str, sequence: int, batch: _PendingBatch) -> None:
        """Resends the records of a batch whose shards this instance still serves."""
        served = [flow for flow in batch.flows if self._serves(flow[1] % SHARDS)]
        self._transport.send(peer, Replicate(sequence, _pack(served)))

    def _send_snapshot(self, peer: str, channel: _Channel) -> None:
        for _ in range(SNAPSHOT_BATCHES_PER_TICK):
            if not channel.snapshot:
                return
            flows = tuple(channel.snapshot[-SNAPSHOT_BATCH_RECORDS:])
            del channel.snapshot[-SNAPSHOT_BATCH_RECORDS:]
            self._send_flows(peer, flows)

    def _send_ended(self, peer: str, channel: _Channel) -> None:
        for group, flows in channel.ended.items():
            packed = b"".join(flow.to_bytes(_FLOW_BYTES, "little") for flow in flows)
            self._transport.send(peer, DeleteFlows(channel.sequence, group, packed))
        channel.ended.clear()

    def _acknowledge(self, peer: str, channel: _Channel) -> None:
        if channel.received:
            self._transport.send(peer, ReplicateAck(tuple(channel.received)))
            channel.received.clear()

    def _clear_pending(self, batch: _PendingBatch) -> None:
        for _, flow_hash in batch.flows:
            self._pending.pop(flow_hash, None)

    def _on_replicate(self, sender: str, message: Message) -> None:
        assert isinstance(message, Replicate)
        channel = self._channel(sender)
        latest = message.sequence >= channel.highest_received
        if self._store_copies(message.records, latest):
            channel.received.append(message.sequence)
            channel.highest_received = max(channel.highest_received, message.sequence)

    def _on_replicate_clear(self, sender: str, message: Message) -> None:
        assert isinstance(message, ReplicateClear)
        if self._store_clear_buckets(message):
            self._channel(sender).received.append(message.sequence)

    def _on_replicate_ack(self, sender: str, message: Message) -> None:
        assert isinstance(message, ReplicateAck)
        channel = self._channel(sender)
        for sequence in message.sequences:
            batch = channel.unacknowledged.pop(sequence, None)
            if batch is not None:
                self._clear_pending(batch)

    def _on_delete_flows(self, sender: str, message: Message) -> None:
        assert isinstance(message, DeleteFlows)
        if self._channel(sender).highest_received > message.after:
            return
        for start in range(0, len(message.flows), _FLOW_BYTES):
            flow = message.flows[start : start + _FLOW_BYTES]
            self._remove_copy(message.group, int.from_bytes(flow, "little"))


def _pack(flows: Iterable[tuple[FlowRecords, int]]) -> bytes:
    """Packs the current records; omits flows that have none any more."""
    current = ((records, flow, records.find(flow)) for records, flow in flows)
    return b"".join(
        records.pack(flow, value) for records, flow, value in current if value is not None
    )
