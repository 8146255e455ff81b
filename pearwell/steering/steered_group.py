"""State of one group at one instance: table, flow records and progress of moving buckets."""

from collections.abc import Iterable

from pearwell.clock import Clock
from pearwell.messages.steering import ShardState
from pearwell.model.placement import Generation, Placement, TargetState
from pearwell.steering.invariants import Invariant, Invariants
from pearwell.steering.record import (
    SHARDS,
    FlowRecords,
    RecordFlag,
    flags_of,
    index_of,
    target_tag,
    unpack,
)
from pearwell.steering.steering_table import SteeringTable
from pearwell.steering.verdict import Action, Verdict

__all__ = ["SteeredGroup"]

DEFAULT_IDLE_TIMEOUT_S = 3600.0
DEFAULT_LEARNING_TIME_S = 2.0
SYN_RETRANSMISSION_S = 1.5
RECENT_PLACEMENT_S = 10.0

_UNKNOWN = Verdict(Action.DROP)
_NO_GENERATION = Generation(0, "")


class SteeredGroup:
    """State of one group at one instance.

    Args:
        placement: The initial placement.
        clock: Source of time.
        invariants: Checks the invariants of steering.

    Attributes:
        table: The lookup table.
        records: The flow records.
        idle_timeout_s: Time without a packet after which a flow counts as ended.
        learning_time_s: Time for which an unknown UDP flow of a moving bucket counts as existing.
        moving_since: When a bucket started to move, as seen here or by an earlier owner.
        watched_since: Since when the owners see every packet of a split bucket.
        cleared: Target index of each clear bucket, whose live flows are all on that target.
    """

    def __init__(self, placement: Placement, clock: Clock, invariants: Invariants) -> None:
        self.table = SteeringTable(placement)
        self.records = FlowRecords(placement.group)
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.learning_time_s = DEFAULT_LEARNING_TIME_S
        self.moving_since: dict[int, float] = {}
        self.watched_since: dict[int, float] = {}
        self.cleared: dict[int, int] = {}
        self._clock = clock
        self._invariants = invariants
        self._required_generation = _NO_GENERATION
        self._early_reports: dict[int, tuple[int, Generation]] = {}
        self._changed_at = clock.now()
        self._record_indices: tuple[int, ...] = ()
        self._verdicts: dict[int, Verdict] = {}
        self._moving_by_shard: dict[int, list[int]] = {}
        self.records.advance(clock.now())
        self._refresh()

    @property
    def placement(self) -> Placement:
        """The applied placement."""
        return self.table.placement

    @property
    def behind(self) -> bool:
        """Whether an earlier owner had a newer placement than this instance."""
        return self._required_generation > self.placement.generation

    @property
    def moving_shards(self) -> Iterable[int]:
        """Shards that have moving buckets."""
        return self._moving_by_shard.keys()

    def moving_in(self, shard: int) -> list[int]:
        """Returns the moving buckets of a shard."""
        return self._moving_by_shard.get(shard, [])

    def is_split(self, bucket: int) -> bool:
        """Returns whether a bucket may have flows on targets other than its current one."""
        placement = self.placement
        return placement.base[bucket] != placement.current[bucket] or bucket in placement.returned

    def base_verdict(self, bucket: int) -> Verdict:
        """Returns the verdict for a flow of a bucket that has no record."""
        index = self.cleared.get(bucket)
        return self.table.verdicts[self.placement.base[bucket] if index is None else index]

    def record_verdict(self, value: int) -> Verdict:
        """Returns the verdict for a recorded flow."""
        return self._verdicts.get(index_of(value), _UNKNOWN)

    def record_index(self, target: int) -> int:
        """Returns a target's index in the records, by its index in the placement."""
        return self._record_indices[target]

    def current_tag(self, bucket: int) -> int:
        """Returns the tag of a bucket's current target."""
        target = self.placement.targets[self.placement.current[bucket]]
        return target_tag(self.table.group, target.name)

    def unrecorded_target(self, bucket: int) -> int:
        """Returns the index of the target of a flow that has no record."""
        return self.cleared.get(bucket, self.placement.base[bucket])

    def start_target(self, bucket: int, grace_s: float = SYN_RETRANSMISSION_S) -> int:
        """Returns the index of the target of a new flow.

        For grace_s after a bucket started to move, its base target still receives new flows: a
        SYN may be the retransmission of one that the target received before.
        """
        placement = self.placement
        if bucket in self.cleared:
            return placement.current[bucket]
        base = placement.base[bucket]
        since = self.moving_since.get(bucket, 0.0)
        grace_over = self._clock.now() - since >= grace_s
        if grace_over or placement.targets[base].state is TargetState.DEAD:
            return placement.current[bucket]
        return base

    def apply(self, placement: Placement, served: Iterable[int]) -> None:
        """Applies a placement of a higher generation.

        Args:
            placement: The placement.
            served: Shards that this instance serves.
        """
        before, moved = self.placement, self.table.moving
        self._changed_at = self._clock.now()
        self._extend_progress(len(before.base), len(placement.base))
        copies = len(placement.base) // max(len(before.base), 1)
        was_moving = {b + len(before.base) * copy for b in moved for copy in range(copies)}
        self.table.update(placement)
        self._invariants.check_transitions(before, placement)
        self._refresh()
        self._drop_stable_records(was_moving - self.table.moving, frozenset(served))
        self._unmark_invalid(before)
        self._apply_early_reports()

    def export(self, shard: int, serving: bool) -> ShardState | None:
        """Returns the state of a shard for its next owner; None if there is none.

        Args:
            shard: The shard.
            serving: Whether this instance served the shard, so that its times are valid.
        """
        now = self._clock.now()
        moving = self.moving_in(shard)
        recent = serving and now - self._changed_at < RECENT_PLACEMENT_S
        cleared = tuple((b, self.current_tag(b)) for b in moving if b in self.cleared)
        packed = b"".join(self.records.pack(*item) for item in self.records.items(shard))
        if not (packed or cleared or recent or (serving and moving)):
            return None
        watched = {b: int(now - self.watched_since[b]) for b in moving if b in self.watched_since}
        times = tuple(watched.items()) if serving else ()
        return ShardState(self.table.group, self.placement.generation, times, cleared, packed)

    def restart_times(self, shard: int) -> None:
        """Restarts the idle and watch times of a shard, as no earlier owner handed them over."""
        for flow_hash, value in self.records.items(shard):
            self.records.touch(flow_hash, value, RecordFlag.NONE)
        for bucket in self.moving_in(shard):
            self.watched_since.pop(bucket, None)

    def merge(self, state: ShardState, authoritative: bool) -> None:
        """Merges the state of another owner.

        Args:
            state: State of a shard at that owner.
            authoritative: Whether it served the shard last, so that its records replace others
                and its watch times of the buckets are valid.
        """
        mask = self.table.mask
        for flow_hash, tag, flags in unpack(state.records):
            unknown = self.records.find(flow_hash) is None and flow_hash & mask not in self.cleared
            if authoritative or unknown:
                self.records.put(flow_hash, self.records.intern(tag), flags)
        self.mark_clear(state.cleared, state.generation)
        if authoritative or state.cleared:
            self._required_generation = max(self._required_generation, state.generation)
        if not authoritative:
            return
        now = self._clock.now()
        for bucket, age in state.watched:
            if bucket in self.table.moving:
                self.watched_since[bucket] = now - age
                known = self.moving_since.get(bucket, now)
                self.moving_since[bucket] = min(known, now - age)

    def store_copy(self, flow_hash: int, tag: int, flags: int, replacing: bool) -> None:
        """Stores a record of the serving instance, as its backup.

        A late message replaces no record and adds no flow that contradicts a clear bucket. Any
        other message with such a flow unmarks the bucket: the serving instance unmarked it when
        its view lease lapsed.
        """
        bucket = flow_hash & self.table.mask
        contradicts = bucket in self.cleared and self.current_tag(bucket) != tag
        if not replacing and (contradicts or self.records.find(flow_hash) is not None):
            return
        if contradicts:
            del self.cleared[bucket]
        self.records.put(flow_hash, self.records.intern(tag), flags)

    def mark_clear(self, buckets: Iterable[tuple[int, int]], generation: Generation) -> None:
        """Marks buckets as clear.

        A bucket stays clear while its current target stays the same. Reports for a placement that
        hasn't arrived yet are kept until it arrives.

        Args:
            buckets: Buckets, each with the tag of the target that all of its live flows are on.
            generation: Generation of the sender's placement.
        """
        early = generation > self.placement.generation
        if early:
            self._early_reports.update({b: (tag, generation) for b, tag in buckets})
            return
        clear = frozenset(
            b for b, tag in buckets if b in self.table.moving and self.current_tag(b) == tag
        )
        self.cleared.update({bucket: self.placement.current[bucket] for bucket in clear})
        for shard in {bucket % SHARDS for bucket in clear}:
            self._drop_ended_records(shard, clear)

    def unmark_clear(self, shard: int) -> None:
        """Unmarks the clear buckets of a shard."""
        for bucket in self.moving_in(shard):
            self.cleared.pop(bucket, None)

    def _apply_early_reports(self) -> None:
        own = self.placement.generation
        due = [(b, tag) for b, (tag, g) in self._early_reports.items() if g <= own]
        self._early_reports = {
            b: report for b, report in self._early_reports.items() if report[1] > own
        }
        self.mark_clear(due, own)

    def _drop_ended_records(self, shard: int, clear: frozenset[int]) -> None:
        """Removes records of clear buckets that name another target; those flows have ended."""
        for flow_hash, value in self.records.items(shard):
            bucket = flow_hash & self.table.mask
            if bucket in clear and index_of(value) != self._record_indices[self.cleared[bucket]]:
                self.records.discard(flow_hash)

    def _refresh(self) -> None:
        """Derives the lookup data of the packet path from the placement."""
        now = self._clock.now()
        placement = self.placement
        tags = (target_tag(placement.group, target.name) for target in placement.targets)
        self._record_indices = tuple(self.records.intern(tag) for tag in tags)
        self._verdicts = dict(zip(self._record_indices, self.table.verdicts, strict=True))
        moving = self.table.moving
        self.moving_since = {bucket: self.moving_since.get(bucket, now) for bucket in moving}
        self.watched_since = {
            bucket: since for bucket, since in self.watched_since.items() if self.is_split(bucket)
        }
        self._moving_by_shard = {}
        for bucket in sorted(moving):
            self._moving_by_shard.setdefault(bucket % SHARDS, []).append(bucket)

    def _extend_progress(self, old_size: int, new_size: int) -> None:
        """Copies the progress of buckets to the additional buckets of a larger table."""
        for offset in range(old_size, new_size, old_size):
            for progress in (self.moving_since, self.watched_since):
                progress.update({b + offset: t for b, t in progress.items() if b < old_size})
            extended = {b + offset: index for b, index in self.cleared.items() if b < old_size}
            self.cleared.update(extended)

    def _drop_stable_records(self, stable: set[int], served: frozenset[int]) -> None:
        """Removes the records of buckets that became stable."""
        for shard in {bucket % SHARDS for bucket in stable}:
            for flow_hash, value in self.records.items(shard):
                bucket = flow_hash & self.table.mask
                if bucket in stable:
                    self._check_stable_record(shard in served, bucket, value)
                    self.records.discard(flow_hash)

    def _check_stable_record(self, served: bool, bucket: int, value: int) -> None:
        live = not flags_of(value) & (RecordFlag.ENDED | RecordFlag.RESET)
        stable = self._record_indices[self.placement.base[bucket]]
        target_alive = self.record_verdict(value).action is Action.FORWARD
        self._invariants.require(
            not (served and live and target_alive) or index_of(value) == stable,
            Invariant.BASE_PROVEN,
            f"group {self.table.group} bucket {bucket} became stable with a flow on another target",
        )

    def _unmark_invalid(self, before: Placement) -> None:
        """Unmarks buckets that aren't clear in the new placement."""
        current = self.placement.current
        old = before.current * (len(current) // len(before.current))
        self.cleared = {
            bucket: index
            for bucket, index in self.cleared.items()
            if bucket in self.table.moving and current[bucket] == index == old[bucket]
        }
