"""Decisions of a shard's owners on the flows of moving buckets."""

from collections.abc import Callable
from enum import Enum

from pearwell.clock import Clock
from pearwell.errors import Code
from pearwell.model.membership import Member
from pearwell.model.placement import TargetState
from pearwell.steering.invariants import Invariant, Invariants
from pearwell.steering.ownership import Ownership
from pearwell.steering.record import SHARDS, STAMP_S, RecordFlag, flags_of, index_of, stamp_of
from pearwell.steering.replication import Replicator
from pearwell.steering.retry import RetryPolicy
from pearwell.steering.steered_group import SteeredGroup
from pearwell.steering.verdict import Action, FlowEvent, Verdict

__all__ = ["OwnerDecider"]

# Time after which a SYN goes to its target without the backup's acknowledgement.
BACKUP_ACK_TIMEOUT_S = 0.5
COPY_MAX_AGE_S = 3.0

_DROP = Verdict(Action.DROP)
_NO_TARGET = Verdict(Action.REFUSE, code=Code.REFUSED_NO_TARGET)
_FINISHED = RecordFlag.ENDED | RecordFlag.RESET


class _PacketKind(Enum):
    """Kinds of packets that an owner decides on differently."""

    START = 0
    DATAGRAM = 1
    OTHER = 2


def _kind_of(event: FlowEvent) -> _PacketKind:
    if event & FlowEvent.START:
        return _PacketKind.START
    return _PacketKind.DATAGRAM if event & FlowEvent.DATAGRAM else _PacketKind.OTHER


def _flags_of_event(event: FlowEvent) -> RecordFlag:
    ended = RecordFlag.ENDED if event & FlowEvent.END else RecordFlag.NONE
    reset = RecordFlag.RESET if event & FlowEvent.RESET else RecordFlag.NONE
    return ended | reset


class OwnerDecider:
    """Decides on packets of moving buckets as their serving instance or backup.

    Args:
        clock: Source of time.
        ownership: Roles of this instance by shard.
        replicator: Replicates records to backups.
        invariants: Checks the invariants of steering.
    """

    def __init__(
        self,
        clock: Clock,
        ownership: Ownership,
        replicator: Replicator,
        invariants: Invariants,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._replicator = replicator
        self._invariants = invariants
        self._retry = RetryPolicy()
        self._unrecorded_handlers: dict[
            _PacketKind, Callable[[SteeredGroup, int, int, FlowEvent], Verdict]
        ] = {
            _PacketKind.START: self._start_flow,
            _PacketKind.DATAGRAM: self._first_datagram,
            _PacketKind.OTHER: self._forward_unrecorded,
        }

    def decide(self, group: SteeredGroup, flow_hash: int, event: FlowEvent) -> Verdict:
        """Decides on a packet as the instance that serves its shard.

        Args:
            group: Group of the packet.
            flow_hash: Hash of its flow.
            event: What it says about its flow.
        """
        value = group.records.find(flow_hash)
        if value is not None:
            return self._decide_recorded(group, flow_hash, value, event)
        if group.behind:
            return _DROP
        bucket = flow_hash & group.table.mask
        return self._unrecorded_handlers[_kind_of(event)](group, flow_hash, bucket, event)

    def decide_as_backup(
        self, group: SteeredGroup, flow_hash: int, event: FlowEvent, from_peer: bool
    ) -> Verdict | None:
        """Decides on a flow's first packet as the backup, by the replicated record.

        The serving instance sends a flow's first packet through the backup, so that the target
        receives it only after both owners have the record.

        Args:
            group: Group of the packet.
            flow_hash: Hash of its flow.
            event: What it says about its flow.
            from_peer: Whether it came from another instance.

        Returns:
            A verdict, or None if the instance that serves the shard has to decide.
        """
        if not (from_peer and event & FlowEvent.START):
            return None
        value = group.records.find(flow_hash)
        if value is None or not self._is_fresh(group, value):
            return None
        verdict = group.record_verdict(value)
        # The serving instance may not know yet that the target is dead. Once it does, it reassigns
        # the retransmitted SYN.
        return verdict if verdict.action is Action.FORWARD else _DROP

    def _is_fresh(self, group: SteeredGroup, value: int) -> bool:
        return (group.records.stamp - stamp_of(value)) * STAMP_S <= COPY_MAX_AGE_S

    def _decide_recorded(
        self, group: SteeredGroup, flow_hash: int, value: int, event: FlowEvent
    ) -> Verdict:
        started = event & FlowEvent.START
        verdict = group.record_verdict(value)
        finished = flags_of(value) & _FINISHED or verdict.action is Action.REFUSE
        if started and (finished or self._may_retry(group, flow_hash, verdict.target)):
            return self._restart_flow(group, flow_hash, value)
        if not started:
            self._retry.record_progress(flow_hash)
        group.records.touch(flow_hash, value, _flags_of_event(event))
        if started and verdict.action is Action.FORWARD:
            return self._via_backup_until_acknowledged(flow_hash, verdict)
        return verdict

    def _may_retry(self, group: SteeredGroup, flow_hash: int, assigned: str) -> bool:
        """Returns whether a retransmitted SYN may go to a target other than its suspect one."""
        targets = {target.name: target for target in group.placement.targets}
        if assigned not in targets or targets[assigned].state is not TargetState.SUSPECT:
            return False
        chosen = group.placement.targets[group.start_target(flow_hash & group.table.mask)]
        if chosen.state is not TargetState.WORKING:
            return False
        flow = self._retry.progress(flow_hash, assigned)
        return self._retry.reassign(flow, [chosen.name]) is not None

    def _via_backup_until_acknowledged(self, flow_hash: int, verdict: Verdict) -> Verdict:
        """Sends a SYN through the backup until the backup has acknowledged the record."""
        since = self._replicator.pending_since(flow_hash)
        if since is None or self._clock.now() - since >= BACKUP_ACK_TIMEOUT_S:
            return verdict
        return self._via_backup(flow_hash, verdict)

    def _via_backup(self, flow_hash: int, verdict: Verdict) -> Verdict:
        backup = self._ownership.backup(flow_hash % SHARDS)
        return verdict if backup is None else _pass_to(backup)

    def _restart_flow(self, group: SteeredGroup, flow_hash: int, value: int) -> Verdict:
        """Assigns a new flow that reuses the 5-tuple of an ended one.

        If its target differs, its first packet is dropped and the caller retransmits it: the
        backup can't tell the old record from the new one.
        """
        bucket = flow_hash & group.table.mask
        target = group.start_target(bucket)
        verdict = self._assign_new_flow(group, flow_hash, target)
        target_changed = index_of(value) != group.record_index(target)
        backup = self._ownership.backup(flow_hash % SHARDS)
        return _DROP if target_changed and backup is not None else verdict

    def _start_flow(
        self, group: SteeredGroup, flow_hash: int, bucket: int, event: FlowEvent
    ) -> Verdict:
        return self._assign_new_flow(group, flow_hash, group.start_target(bucket))

    def _assign_new_flow(self, group: SteeredGroup, flow_hash: int, target: int) -> Verdict:
        """Records a new flow and sends its first packet through the backup."""
        if group.placement.targets[target].state is TargetState.DEAD:
            return _NO_TARGET
        self._record(group, flow_hash, target)
        self._retry.record_start(flow_hash)
        return self._via_backup(flow_hash, group.table.verdicts[target])

    def _first_datagram(
        self, group: SteeredGroup, flow_hash: int, bucket: int, event: FlowEvent
    ) -> Verdict:
        """Records a UDP flow; during the bucket's learning time it counts as an existing flow."""
        target = group.start_target(bucket, group.learning_time_s)
        if group.placement.targets[target].state is TargetState.DEAD:
            return group.table.verdicts[target]
        self._record(group, flow_hash, target)
        return group.table.verdicts[target]

    def _record(self, group: SteeredGroup, flow_hash: int, target: int) -> None:
        group.records.put(flow_hash, group.record_index(target), RecordFlag.NONE)
        backup = self._ownership.backup(flow_hash % SHARDS)
        if backup is not None:
            self._replicator.replicate(backup.instance, group.records, flow_hash)

    def _forward_unrecorded(
        self, group: SteeredGroup, flow_hash: int, bucket: int, event: FlowEvent
    ) -> Verdict:
        """Forwards a packet of a flow without a record to the base target.

        In a split bucket it records the flow. That record isn't replicated, as the flow goes to the
        same target without it.
        """
        verdict = group.base_verdict(bucket)
        if group.is_split(bucket) and verdict.action is Action.FORWARD:
            target = group.unrecorded_target(bucket)
            flags = RecordFlag.LEARNED | _flags_of_event(event)
            group.records.put(flow_hash, group.record_index(target), flags)
        self._check_target(group, verdict)
        return verdict

    def _check_target(self, group: SteeredGroup, verdict: Verdict) -> None:
        in_group = verdict.address is None or verdict.address in group.table.names
        detail = f"group {group.table.group}: {verdict.address}"
        self._invariants.require(in_group, Invariant.TARGET_OF_OWN_SERVICE, detail)


def _pass_to(member: Member) -> Verdict:
    return Verdict(Action.PASS, (member.address, member.peer_port))
