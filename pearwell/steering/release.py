"""Release of buckets: expires flow records and determines which buckets are clear.

A bucket is clear if all of its live flows are on its current target.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from pearwell.clock import Clock
from pearwell.messages import BucketsClear, Message
from pearwell.model.placement import TargetState
from pearwell.steering.ownership import Ownership
from pearwell.steering.record import (
    PARTITIONS,
    SHARDS,
    STAMP_S,
    RecordFlag,
    flags_of,
    index_of,
    stamp_of,
)
from pearwell.steering.replication import Replicator
from pearwell.steering.steered_group import SteeredGroup
from pearwell.steering.verdict import Action

__all__ = ["Releaser"]

ENDED_LINGER_S = 120.0
RESET_LINGER_S = 2.0
# For buckets of dead targets and for copies of records of stable buckets.
DEAD_LINGER_S = 10.0
PUBLISH_INTERVAL_S = 1.0
# Ticks in which every partition is scanned once.
SCAN_TICKS = 4


@dataclass(slots=True)
class _SentClearBuckets:
    """Clear buckets sent to backups for one generation: peer and sequence number by bucket."""

    counter: int = 0
    sent: dict[int, tuple[str, int]] = field(default_factory=dict)


class Releaser:
    """Expires records and publishes BucketsClear for the buckets that this instance serves.

    Args:
        clock: Source of time.
        ownership: Roles of this instance by shard.
        replicator: Replicates ended flows and clear buckets to backups.
        publish: Publishes messages to other services of the daemon.
    """

    def __init__(
        self,
        clock: Clock,
        ownership: Ownership,
        replicator: Replicator,
        publish: Callable[[Message], None],
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._replicator = replicator
        self._publish = publish
        self._scan_phase = 0
        self._published_at: dict[str, float] = {}
        self._sent_clear_buckets: dict[str, _SentClearBuckets] = {}

    def tick(self, groups: list[SteeredGroup]) -> None:
        """Scans a part of the shards, then publishes the clear buckets."""
        self._scan_phase = (self._scan_phase + 1) % SCAN_TICKS
        for group in groups:
            group.records.advance(self._clock.now())
            for partition in range(self._scan_phase, PARTITIONS, SCAN_TICKS):
                self._scan(group, partition)
            for shard in group.moving_shards:
                if shard % SCAN_TICKS == self._scan_phase and self._ownership.serves(shard):
                    self._mark_clear(group, shard)
            self._publish_clear(group)

    def remove_peer(self, peer: str) -> None:
        """Removes the clear buckets sent to a peer that left the zone."""
        for replicated in self._sent_clear_buckets.values():
            replicated.sent = {b: sent for b, sent in replicated.sent.items() if sent[0] != peer}

    def _scan(self, group: SteeredGroup, partition: int) -> None:
        """Removes expired records of a partition."""
        for flow_hash, value in group.records.partition(partition):
            if self._ownership.serves(flow_hash % SHARDS):
                self._expire(group, flow_hash, value)
            else:
                self._remove_stale_copy(group, flow_hash, value)

    def _expire(self, group: SteeredGroup, flow_hash: int, value: int) -> None:
        """Removes the record of a served flow that ended or exceeded its idle timeout."""
        if not self._is_expired(group, value):
            return
        group.records.discard(flow_hash)
        backup = self._ownership.backup(flow_hash % SHARDS)
        if backup is not None and not flags_of(value) & RecordFlag.LEARNED:
            self._replicator.queue_ended(backup.instance, group.table.group, flow_hash)

    def _is_expired(self, group: SteeredGroup, value: int) -> bool:
        flags = flags_of(value)
        limit = group.idle_timeout_s
        if flags & RecordFlag.ENDED:
            limit = min(limit, ENDED_LINGER_S)
        if flags & RecordFlag.RESET:
            limit = min(limit, RESET_LINGER_S)
        idle = (group.records.stamp - stamp_of(value) - 1) * STAMP_S
        return idle >= limit

    def _remove_stale_copy(self, group: SteeredGroup, flow_hash: int, value: int) -> None:
        """Removes an old copy whose bucket is stable."""
        stable = flow_hash & group.table.mask not in group.table.moving
        if stable and (group.records.stamp - stamp_of(value)) * STAMP_S >= DEAD_LINGER_S:
            group.records.discard(flow_hash)

    def _mark_clear(self, group: SteeredGroup, shard: int) -> None:
        """Marks split buckets of a shard as clear if every live flow is on the current target."""
        split = [bucket for bucket in group.moving_in(shard) if group.is_split(bucket)]
        if not split or group.behind:
            return
        occupied = self._occupied_buckets(group, shard)
        now = self._clock.now()
        for bucket in split:
            since = group.watched_since.setdefault(bucket, now)
            if bucket not in occupied and now - since >= self._watch_time(group, bucket):
                group.cleared[bucket] = group.placement.current[bucket]

    def _watch_time(self, group: SteeredGroup, bucket: int) -> float:
        base = group.placement.targets[group.placement.base[bucket]]
        if base.state is TargetState.DEAD:
            return min(group.idle_timeout_s, DEAD_LINGER_S)
        return group.idle_timeout_s + STAMP_S

    def _occupied_buckets(self, group: SteeredGroup, shard: int) -> set[int]:
        """Returns the buckets with a live flow on a target other than the current one."""
        mask = group.table.mask
        current = group.placement.current
        return {
            flow_hash & mask
            for flow_hash, value in group.records.items(shard)
            if index_of(value) != group.record_index(current[flow_hash & mask])
            and group.record_verdict(value).action is Action.FORWARD
        }

    def _publish_clear(self, group: SteeredGroup) -> None:
        """Publishes the clear buckets that this instance serves and the backup has acknowledged."""
        name = group.table.group
        now = self._clock.now()
        if not group.cleared or now - self._published_at.get(name, 0.0) < PUBLISH_INTERVAL_S:
            return
        self._published_at[name] = now
        served = [b for b in group.cleared if self._ownership.serves(b % SHARDS)]
        self._replicate_clear(group, served)
        clear = tuple(bucket for bucket in served if self._is_acknowledged(group, bucket))
        if clear:
            self._publish(BucketsClear(name, clear, group.placement.generation.counter))

    def _replicate_clear(self, group: SteeredGroup, buckets: list[int]) -> None:
        """Sends clear buckets to their backups, once per generation and backup."""
        replicated = self._sent_clear_buckets.setdefault(group.table.group, _SentClearBuckets())
        generation = group.placement.generation
        if replicated.counter != generation.counter:
            replicated.counter = generation.counter
            replicated.sent.clear()
        due: dict[str, list[int]] = {}
        for bucket in buckets:
            backup = self._ownership.backup(bucket % SHARDS)
            if backup is not None and replicated.sent.get(bucket, ("", 0))[0] != backup.instance:
                due.setdefault(backup.instance, []).append(bucket)
        for peer, clear in due.items():
            tagged = [(bucket, group.current_tag(bucket)) for bucket in clear]
            sequence = self._replicator.replicate_clear(peer, group.table.group, generation, tagged)
            replicated.sent.update(dict.fromkeys(clear, (peer, sequence)))

    def _is_acknowledged(self, group: SteeredGroup, bucket: int) -> bool:
        backup = self._ownership.backup(bucket % SHARDS)
        sent = self._sent_clear_buckets[group.table.group].sent.get(bucket)
        if backup is None:
            return True
        return sent is not None and self._replicator.acknowledged(*sent)
