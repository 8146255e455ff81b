"""Transfers the state of shards between the groups of one instance and other instances."""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum

from pearwell.messages.steering import ReplicateClear, ShardState
from pearwell.steering.ownership import Ownership
from pearwell.steering.record import SHARDS, target_tag, unpack
from pearwell.steering.replication import Replicator
from pearwell.steering.steered_group import SteeredGroup

__all__ = ["GroupRegistry", "SteeringCount"]


class SteeringCount(StrEnum):
    """Events that steering counts."""

    PASSED = "passed"
    LEASE_LAPSED = "lease_lapsed"
    SHARDS_GRANTED = "shards_granted"
    SHARDS_TAKEN = "shards_taken"
    BUCKETS_ORPHANED = "buckets_orphaned"
    PACKETS_UNDECIDED = "packets_undecided"


class GroupRegistry:
    """All groups of one instance, for shard handover and replication.

    Args:
        counts: Counters to increment.
    """

    def __init__(self, counts: Counter[SteeringCount]) -> None:
        self._counts = counts
        self._groups: dict[str, SteeredGroup] = {}
        self._by_tag: dict[int, SteeredGroup] = {}
        self._ownership: Ownership | None = None
        self._replicator: Replicator | None = None

    def connect(self, ownership: Ownership, replicator: Replicator) -> None:
        """Sets the collaborators, which need this object for their construction."""
        self._ownership = ownership
        self._replicator = replicator

    def all(self) -> list[SteeredGroup]:
        """Returns all groups."""
        return list(self._groups.values())

    def find(self, name: str) -> SteeredGroup | None:
        """Returns the group with a name, or None."""
        return self._groups.get(name)

    def put(self, name: str, group: SteeredGroup) -> None:
        """Adds a group, or registers the targets of its new placement."""
        self._groups[name] = group
        for target in group.placement.targets:
            self._by_tag[target_tag(name, target.name)] = group

    def store_copies(self, records: bytes, replacing: bool) -> bool:
        """Stores copies of records that other instances serve.

        Records of shards that this instance serves are ignored, as they arrived late.

        Args:
            records: Packed records.
            replacing: Whether they may replace copies held here.

        Returns:
            False, with nothing stored, if a target isn't known yet.
        """
        unpacked = [
            (self._by_tag.get(tag), flow, tag, flags) for flow, tag, flags in unpack(records)
        ]
        if any(group is None for group, _, _, _ in unpacked):
            return False
        for group, flow, tag, flags in unpacked:
            if group is not None and not self._serves(flow):
                group.store_copy(flow, tag, flags, replacing)
        return True

    def remove_copy(self, name: str, flow_hash: int) -> None:
        """Removes the copy of a flow that ended, unless this instance serves its shard now."""
        group = self._groups.get(name)
        if group is not None and not self._serves(flow_hash):
            group.records.discard(flow_hash)

    def store_clear_buckets(self, message: ReplicateClear) -> bool:
        """Stores a sender's clear buckets; returns False if its placement hasn't arrived yet."""
        group = self._groups.get(message.group)
        if group is None or message.generation > group.placement.generation:
            return False
        group.mark_clear(message.cleared, message.generation)
        return True

    def export(self, shard: int, serving: bool) -> tuple[ShardState, ...]:
        """Returns the state of a shard, as its serving instance or as a holder of copies."""
        if serving:
            self._counts[SteeringCount.SHARDS_GRANTED] += 1
        states = (group.export(shard, serving) for group in self._groups.values())
        return tuple(state for state in states if state is not None)

    def merge(self, shard: int, groups: Iterable[ShardState], authoritative: bool) -> None:
        """Merges a shard's state from another instance; authoritative state replaces it."""
        if authoritative:
            for group in self._groups.values():
                group.records.clear(shard)
                group.unmark_clear(shard)
        for state in groups:
            found = self._groups.get(state.group)
            if found is not None:
                found.merge(state, authoritative)

    def start_serving(self, shard: int, granted: bool) -> None:
        """Starts serving a shard, granted by the previous serving instance or without a grant."""
        self._counts[SteeringCount.SHARDS_TAKEN] += 1
        if not granted:
            for group in self._groups.values():
                group.restart_times(shard)

    def suspend(self, shard: int) -> None:
        """Unmarks a shard's clear buckets; copies of other members mark published ones again."""
        for group in self._groups.values():
            group.unmark_clear(shard)

    def replicate_to_backup(self, shard: int) -> None:
        """Replicates the records of a shard to its new backup."""
        assert self._ownership is not None and self._replicator is not None
        backup = self._ownership.backup(shard)
        if backup is None:
            return
        for group in self._groups.values():
            self._replicator.queue_snapshot(backup.instance, group.records, shard)

    def handle_owner_loss(self, shard: int) -> None:
        """Counts the split buckets of a shard that lost both owners at once."""
        split = sum(
            group.is_split(bucket)
            for group in self._groups.values()
            for bucket in group.moving_in(shard)
        )
        self._counts[SteeringCount.BUCKETS_ORPHANED] += split

    def _serves(self, flow_hash: int) -> bool:
        return self._ownership is not None and self._ownership.serves(flow_hash % SHARDS)
