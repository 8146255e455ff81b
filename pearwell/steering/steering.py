"""Steering core of one instance: decides where each packet goes."""

import random
from collections import Counter
from collections.abc import Callable

import structlog

from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.messages import Message
from pearwell.model.configuration import Configuration
from pearwell.model.membership import View
from pearwell.model.placement import Generation, Placement
from pearwell.steering.invariants import Invariants
from pearwell.steering.lease import VIEW_LEASE_S, ViewLease
from pearwell.steering.owner import OwnerDecider
from pearwell.steering.ownership import Ownership
from pearwell.steering.record import SHARDS
from pearwell.steering.release import Releaser
from pearwell.steering.replication import Replicator
from pearwell.steering.shard_state import GroupRegistry, SteeringCount
from pearwell.steering.steered_group import SteeredGroup
from pearwell.steering.steering_table import SteeringTable
from pearwell.steering.verdict import Action, FlowEvent, Verdict

__all__ = ["Steering", "SteeringCount", "SteeringTable"]

# After running for this long in a lapse, an instance serves from its local state.
ISOLATION_DELAY_S = 3.0
MAX_AWAKE_PER_TICK_S = 0.5
# SYNs of buckets without a slot are dropped for this long after a lapse is detected: they may have
# been queued, and their callers have retransmitted them in the meantime.
DROP_STARTS_S = 1.0

_log = structlog.get_logger(__name__)
_DROP = Verdict(Action.DROP)


class Steering:
    """The steering core of one instance.

    Args:
        instance: Own instance id.
        zone: Own availability zone.
        transport: Carries messages to other instances.
        clock: Source of time.
        rng: Source of randomness.
        view_lease_s: Seconds without updates from the zone after which the view is out of date.
        publish: Publishes messages to other services of the daemon.
        invariants: Checks the invariants; by default violations are only counted.
    """

    def __init__(
        self,
        instance: str,
        zone: str,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        *,
        view_lease_s: float = VIEW_LEASE_S,
        publish: Callable[[Message], None],
        invariants: Invariants | None = None,
    ) -> None:
        self._instance = instance
        self._zone = zone
        self._clock = clock
        self._invariants = invariants or Invariants()
        self._counts: Counter[SteeringCount] = Counter()
        self._groups = GroupRegistry(self._counts)
        self._ownership = Ownership(instance, transport, clock, view_lease_s, self._groups)
        self._replicator = Replicator(
            transport,
            clock,
            self._groups.store_copies,
            self._groups.store_clear_buckets,
            self._ownership.serves,
        )
        self._replicator.set_remove_copy(self._groups.remove_copy)
        self._groups.connect(self._ownership, self._replicator)
        self._owner_decider = OwnerDecider(
            clock, self._ownership, self._replicator, self._invariants
        )
        self._releaser = Releaser(clock, self._ownership, self._replicator, publish)
        self._lease = ViewLease(
            transport, clock, rng, view_lease_s, self._generations, self._on_lease_renewed
        )
        self._configuration = Configuration()
        self._lapsed = False
        self._isolated = False
        self._drop_starts_until = 0.0
        self._lapsed_awake_s = 0.0
        self._ticked_at = clock.now()

    @property
    def invariants(self) -> Invariants:
        """The invariants of steering and the violations seen."""
        return self._invariants

    @property
    def counts(self) -> dict[SteeringCount, int]:
        """Event counters since the process started."""
        return dict(self._counts)

    @property
    def records(self) -> int:
        """Number of flow records held, copies included."""
        return sum(group.records.size for group in self._groups.all())

    @property
    def state_bytes(self) -> int:
        """Memory of all flow records in bytes."""
        return sum(group.records.state_bytes for group in self._groups.all())

    @property
    def shards_served(self) -> int:
        """Number of shards that this instance serves; 0 after handover."""
        return len(self._ownership.served)

    @property
    def lapsed(self) -> bool:
        """Whether the view lease has lapsed, so that packets are passed to other instances."""
        return self._lapsed

    def table(self, group: str) -> SteeringTable | None:
        """Returns the table of a group; updates keep the object."""
        found = self._groups.find(group)
        return None if found is None else found.table

    def decide(
        self,
        table: SteeringTable,
        flow_hash: int,
        event: FlowEvent,
        *,
        from_peer: bool = False,
        has_payload: bool = False,
    ) -> Verdict:
        """Decides on one packet.

        Args:
            table: Table of the packet's group.
            flow_hash: 64-bit hash of the flow key with the table's seed.
            event: Lifecycle event of the flow that the packet signals.
            from_peer: Whether it came from another instance.
            has_payload: Whether it carries data.
        """
        bucket = flow_hash & table.mask
        if table.slots[bucket] is not None:
            return table.verdicts[table.placement.base[bucket]]
        return self._decide_without_slot(table, flow_hash, event, from_peer)

    def pass_to_owner(self, flow_hash: int) -> Verdict | None:
        """Returns the verdict that passes a SYN to the owner of its bucket.

        Args:
            flow_hash: 64-bit hash of the flow key with the seed of its group's table.

        Returns:
            The verdict, or None if this instance serves the shard or knows no other member.
        """
        if self._ownership.serves(flow_hash % SHARDS):
            return None
        member = self._ownership.serving_member(flow_hash % SHARDS)
        if member is None:
            return None
        self._counts[SteeringCount.PASSED] += 1
        return Verdict(Action.PASS, (member.address, member.peer_port))

    def check_lease(self) -> None:
        """Checks the view lease; called on each wake-up before queued packets are read."""
        if self._lapsed or self._isolated or not self._ownership.others:
            return
        if not self._lease.valid:
            self._lapse()

    def configure(self, configuration: Configuration) -> None:
        """Applies the idle timeouts and learning times of the services to their groups."""
        self._configuration = configuration
        for group in self._groups.all():
            self._configure_group(group)

    def apply_placement(self, placement: Placement) -> None:
        """Applies a placement unless its generation isn't higher."""
        group = self._groups.find(placement.group)
        if group is None:
            group = SteeredGroup(placement, self._clock, self._invariants)
            self._configure_group(group)
            self._isolated = False
        elif placement.generation > group.placement.generation:
            group.apply(placement, self._ownership.served)
        else:
            return
        self._groups.put(placement.group, group)
        if self._lapsed:
            group.table.disable_slots()
        self._lease.check_missing_placements()

    def apply_view(self, view: View) -> None:
        """Applies a view of the zone."""
        before = set(self._ownership.others)
        self._ownership.apply_view(view)
        self._lease.set_peers(self._ownership.others)
        for instance in before - set(self._ownership.others):
            self._replicator.remove_peer(instance)
            self._releaser.remove_peer(instance)
        if self._lapsed and not self._ownership.others:
            self._recover()
        self.check_lease()

    def renew_view(self, confirmed_at: float) -> None:
        """Renews the view lease from a time in seconds of the local clock."""
        self._lease.renew_membership(confirmed_at)

    def handle(self, sender: str, message: Message) -> None:
        """Handles a message from another instance; ignores messages of other components."""
        self.check_lease()
        components = (self._lease, self._replicator, self._ownership)
        any(component.handle(sender, message) for component in components)

    def tick(self) -> None:
        """Does periodic work; called several times per second."""
        self.check_lease()
        self._lease.tick()
        self._check_isolation()
        if not self._lapsed:
            self._ownership.tick()
        self._replicator.tick()
        self._releaser.tick(self._groups.all())

    def _decide_without_slot(
        self, table: SteeringTable, flow_hash: int, event: FlowEvent, from_peer: bool
    ) -> Verdict:
        """Decides on a packet whose bucket has no slot: it is moving, or its target is dead.

        During a lapse no bucket has a slot.
        """
        if event & FlowEvent.START and self._clock.now() < self._drop_starts_until:
            return self._drop_undecided()
        if self._lapsed:
            return self._drop_undecided() if from_peer else self._pass_on(flow_hash)
        group = self._groups.find(table.group)
        assert group is not None
        bucket = flow_hash & table.mask
        if bucket not in table.moving:
            return group.base_verdict(bucket)
        if self._ownership.serves(flow_hash % SHARDS):
            return self._owner_decider.decide(group, flow_hash, event)
        verdict = self._owner_decider.decide_as_backup(group, flow_hash, event, from_peer)
        return verdict or self._pass_on(flow_hash)

    def _pass_on(self, flow_hash: int) -> Verdict:
        """Passes a packet to the instance that serves its shard."""
        member = self._ownership.serving_member(flow_hash % SHARDS)
        if member is None:
            return self._drop_undecided()
        self._counts[SteeringCount.PASSED] += 1
        return Verdict(Action.PASS, (member.address, member.peer_port))

    def _drop_undecided(self) -> Verdict:
        """Drops a packet that no known instance can decide on now; the caller retransmits it."""
        self._counts[SteeringCount.PACKETS_UNDECIDED] += 1
        return _DROP

    def _lapse(self) -> None:
        """Stops serving, as changes may have been missed."""
        _log.warning("view_lease_lapsed", instance=self._instance)
        self._counts[SteeringCount.LEASE_LAPSED] += 1
        self._lapsed = True
        self._lapsed_awake_s = 0.0
        self._drop_starts_until = self._clock.now() + DROP_STARTS_S
        self._ownership.suspend()
        self._replicator.discard_pending()
        for group in self._groups.all():
            group.table.disable_slots()
        self._lease.query_peers()

    def _on_lease_renewed(self) -> None:
        """Ends a lapse or isolation."""
        self._isolated = False
        if self._lapsed:
            self._recover()

    def _generations(self) -> dict[str, Generation]:
        return {group.table.group: group.placement.generation for group in self._groups.all()}

    def _recover(self) -> None:
        """Ends the lapse; shards are served again once their state has been pulled."""
        self._lapsed = False
        for group in self._groups.all():
            group.table.enable_slots()
        self._ownership.resume()

    def _check_isolation(self) -> None:
        """Resumes serving from local state after ISOLATION_DELAY_S awake without peer updates."""
        now = self._clock.now()
        elapsed = min(now - self._ticked_at, MAX_AWAKE_PER_TICK_S)
        self._ticked_at = now
        if not self._lapsed:
            return
        self._lapsed_awake_s += elapsed
        if self._lapsed_awake_s >= ISOLATION_DELAY_S:
            _log.warning("isolated", instance=self._instance)
            self._isolated = True
            self._recover()

    def _configure_group(self, group: SteeredGroup) -> None:
        services = [
            service
            for service in self._configuration.services.values()
            if service.group == group.table.group
        ]
        if services:
            group.idle_timeout_s = max(service.idle_timeout_s for service in services)
            group.learning_time_s = max(service.learning_time_s for service in services)
