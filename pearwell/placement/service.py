"""Kernel service that plans, stores and distributes placements."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from pearwell.agreement.gossip import Gossip
from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.errors import PearwellError, PlatformError
from pearwell.kernel import Kernel, QueuedService
from pearwell.messages import (
    BucketsClear,
    ConfigurationChanged,
    Entry,
    EntryAdopted,
    EntryVersion,
    Message,
    PeerMessage,
    PlacementChanged,
    TargetStateChanged,
    ViewChanged,
    ViewRenewed,
    WeightsChanged,
)
from pearwell.model.configuration import Configuration
from pearwell.model.group import GroupSpec, TargetIntent
from pearwell.model.membership import View
from pearwell.model.placement import Phase, Placement, TargetState
from pearwell.model.service import TransportProtocol
from pearwell.placement.codec import PLACEMENT_DOMAIN, decode_entry, encode_entry, entry_key
from pearwell.placement.planner import (
    MAX_PREPARED_S,
    MIN_PREPARED_S,
    GroupPlanner,
    PlannerSelection,
    PrepareBounds,
    placed_targets,
)
from pearwell.placement.store import PlacementStore, SaveOutcome, SaveResult
from pearwell.targets.drain import TargetDrain, TargetDrainState
from pearwell.targets.spill import SpillOver
from pearwell.targets.zone_health import spill_zones_of

__all__ = ["PlacementService"]

TICK_INTERVAL_S = 0.1
VIEW_LEASE_S = 1.0
JOIN_GRACE_S = 1.0
LOST_PLACEMENT_GRACE_S = 5.0

_log = structlog.get_logger()


class PlacementService(QueuedService):
    """The kernel service "placement".

    Every instance follows the placements of its zone. The live instance that ranks first by
    rendezvous hash plans the changes of a group. Two instances may both believe that they rank
    first, so a change takes effect only once the platform has accepted it as an update of the
    version that it was computed from. While the platform is unreachable, the higher generation
    wins.

    Args:
        instance: Own instance id.
        zone: Own availability zone.
        gossip: Distributes placements and tracks which version each instance holds.
        transport: Sends reports of clear buckets to the planning instance.
        store: Writes placements to the platform.
        clock: Source of monotonic time.
        wall_time: Returns Unix time in seconds. A group's first generation takes its counter from
            it, so that the counter is higher than that of any lost placement.
    """

    name = "placement"
    accepts: tuple[type[Message], ...] = (
        BucketsClear,
        ConfigurationChanged,
        EntryAdopted,
        PeerMessage,
        TargetStateChanged,
        ViewChanged,
        ViewRenewed,
        WeightsChanged,
    )
    interval_s = TICK_INTERVAL_S

    def __init__(
        self,
        instance: str,
        zone: str,
        gossip: Gossip,
        transport: Transport,
        store: PlacementStore,
        clock: Clock,
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self._instance = instance
        self._zone = zone
        self._gossip = gossip
        self._transport = transport
        self._store = store
        self._clock = clock
        self._wall_time = wall_time
        self._configuration = Configuration()
        self._view = View()
        self._planner_selection = PlannerSelection(self._view)
        self._joined_at: float | None = None
        self._view_confirmed_at = float("-inf")
        self._planners: dict[str, GroupPlanner] = {}
        self._spill_overs: dict[str, tuple[tuple[str, ...], SpillOver]] = {}
        self._drains: dict[tuple[str, str], TargetDrain] = {}
        self._states: dict[str, dict[str, TargetState]] = {}
        self._weights: dict[str, dict[str, int]] = {}
        self._planned_groups: set[str] = set()
        self._unsaved: set[str] = set()
        self._write_tasks: dict[str, asyncio.Task[None]] = {}
        self._written = 0
        self._handlers: dict[type[Message], Callable[[Any], None]] = {
            BucketsClear: self._on_buckets_clear,
            ConfigurationChanged: self._on_configuration,
            EntryAdopted: self._on_entry,
            PeerMessage: self._on_peer_message,
            TargetStateChanged: self._on_target_state,
            ViewChanged: self._on_view,
            ViewRenewed: self._on_view_renewed,
            WeightsChanged: self._on_weights,
        }

    @property
    def written(self) -> int:
        """Number of placements that this instance has planned and distributed."""
        return self._written

    @property
    def unsaved(self) -> int:
        """Number of groups whose placement this instance has yet to write to the platform."""
        return len(self._unsaved)

    def placement(self, group: str) -> Placement | None:
        """Returns the applied placement of a group, or None."""
        planner = self._planners.get(group)
        return planner.placement if planner else None

    async def start(self, kernel: Kernel) -> None:
        """Starts the service and applies the placements that gossip already holds."""
        await super().start(kernel)
        for entry in self._gossip.entries(f"{PLACEMENT_DOMAIN}/"):
            self._apply_entry(entry)

    async def stop(self) -> None:
        """Cancels pending writes and stops the service."""
        for task in self._write_tasks.values():
            task.cancel()
        await asyncio.gather(*self._write_tasks.values(), return_exceptions=True)
        await super().stop()

    async def handle(self, message: Message) -> None:
        """Handles target states, placements, clear buckets, and configuration and view changes."""
        self._handlers[type(message)](message)

    async def tick(self) -> None:
        """Advances every group that this instance plans for."""
        if not self._may_plan():
            return
        for group in sorted(self._planned_groups - self._write_tasks.keys()):
            self._advance(group)

    # Messages.

    def _on_entry(self, message: EntryAdopted) -> None:
        if message.entry.key.startswith(f"{PLACEMENT_DOMAIN}/"):
            self._apply_entry(message.entry)

    def _apply_entry(self, entry: Entry) -> None:
        try:
            placement = decode_entry(entry)
        except PearwellError as error:
            _log.error("placement_rejected", key=entry.key, code=error.code.name)
            return
        if placement.zone == self._zone and self._planner_of(placement.group).apply(placement):
            self.kernel.publish(PlacementChanged(placement))

    def _on_configuration(self, message: ConfigurationChanged) -> None:
        self._configuration = message.configuration
        known = {
            (group.name, target.name)
            for group in self._configuration.groups.values()
            for target in group.targets
        }
        self._drains = {key: drain for key, drain in self._drains.items() if key in known}
        for group in self._configuration.groups.values():
            self._update_drains(group)
        self._update_planned_groups()

    def _on_target_state(self, message: TargetStateChanged) -> None:
        self._states.setdefault(message.group, {})[message.target] = message.state

    def _on_weights(self, message: WeightsChanged) -> None:
        self._weights[message.group] = dict(message.weights)

    def _on_view(self, message: ViewChanged) -> None:
        self._view = message.view
        self._planner_selection = PlannerSelection(message.view)
        self._update_planned_groups()
        if self._joined_at is None:
            self._joined_at = self._clock.now()

    def _on_view_renewed(self, message: ViewRenewed) -> None:
        self._view_confirmed_at = max(self._view_confirmed_at, message.confirmed_at)

    def _on_peer_message(self, message: PeerMessage) -> None:
        if isinstance(message.message, BucketsClear):
            self._mark_clear(message.message)

    def _on_buckets_clear(self, message: BucketsClear) -> None:
        planning_instance = self._planner_selection.planning_instance(message.group)
        if planning_instance == self._instance:
            self._mark_clear(message)
        elif planning_instance is not None:
            self._transport.send(planning_instance, message)

    def _mark_clear(self, message: BucketsClear) -> None:
        planner = self._planners.get(message.group)
        if planner is not None:
            planner.mark_clear(message.buckets, message.generation)

    # Planning.

    def _may_plan(self) -> bool:
        """Whether the view is current and gossip has had time to deliver placements."""
        if self._joined_at is None:
            return False
        now = self._clock.now()
        alone = len(self._view.members) <= 1
        settled = alone or now - self._joined_at >= JOIN_GRACE_S
        return settled and now - self._view_confirmed_at < VIEW_LEASE_S

    def _update_planned_groups(self) -> None:
        """Updates the groups that this instance plans for; new ones are marked as unsaved."""
        planned = {
            group
            for group in self._configuration.groups
            if self._planner_selection.planning_instance(group) == self._instance
        }
        self._unsaved = (self._unsaved | (planned - self._planned_groups)) & planned
        self._planned_groups = planned

    def _advance(self, group: str) -> None:
        planner = self._planner_of(group)
        has_targets = self._set_desired(planner, self._configuration.groups[group])
        if planner.placement is None:
            # A group without targets has no placement, so the platform isn't queried.
            if has_targets:
                self._start_write(group, self._load_or_plan_first(group, planner))
            return
        successor = planner.next_placement(self._is_acknowledged(planner.placement))
        if successor is not None:
            self._start_write(group, self._write(successor))
        elif group in self._unsaved and self._store.reachable:
            self._start_write(group, self._save_unsaved(group, planner.placement))

    def _set_desired(self, planner: GroupPlanner, group: GroupSpec) -> bool:
        """Gives the planner the desired targets; returns whether there are any."""
        states = self._states_of(group)
        eligible = self._spill_over_of(group).choose(group, states)
        weights = self._weights.get(group.name, {})
        targets = placed_targets(group, self._zone, eligible, states, weights)
        planner.set_desired(targets, group.seed, self._prepare_bounds(group.name))
        return bool(targets)

    def _states_of(self, group: GroupSpec) -> dict[str, TargetState]:
        """Returns the known target states; a target past its drain deadline counts as dead."""
        self._update_drains(group)
        states = dict(self._states.get(group.name, {}))
        for target in group.targets:
            drain = self._drains.get((group.name, target.name))
            if drain is not None and drain.state is TargetDrainState.EXPIRED:
                states[target.name] = TargetState.DEAD
        return states

    def _update_drains(self, group: GroupSpec) -> None:
        for target in group.targets:
            key = (group.name, target.name)
            if target.intent is TargetIntent.LEAVING:
                drain = self._drains.setdefault(key, TargetDrain(target.name, self._clock))
                drain.start(target.drain_deadline_s)
                drain.tick()
            else:
                self._drains.pop(key, None)

    def _spill_over_of(self, group: GroupSpec) -> SpillOver:
        zones = spill_zones_of(self._configuration, group.name)
        known = self._spill_overs.get(group.name)
        if known is None or known[0] != zones:
            known = (zones, SpillOver(self._zone, zones, self._clock))
            self._spill_overs[group.name] = known
        return known[1]

    def _prepare_bounds(self, group: str) -> PrepareBounds:
        learning_s = max(
            (
                service.learning_time_s
                for service in self._configuration.services.values()
                if service.group == group and service.protocol is TransportProtocol.UDP
            ),
            default=0.0,
        )
        return PrepareBounds(max(MIN_PREPARED_S, learning_s), max(MAX_PREPARED_S, learning_s))

    def _is_acknowledged(self, placement: Placement) -> bool:
        if placement.phase is not Phase.PREPARED:
            return False
        holders = self._gossip.holders(entry_key(placement.group))
        generation = placement.generation
        version = EntryVersion(generation.counter, generation.instance)
        no_version = EntryVersion(0)
        return all(holders.get(m.instance, no_version) >= version for m in self._view.members)

    # Writes.

    def _start_write(self, group: str, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._write_tasks[group] = task
        task.add_done_callback(lambda done: self._on_write_done(group, done))

    def _on_write_done(self, group: str, task: asyncio.Task[None]) -> None:
        self._write_tasks.pop(group, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error("placement_failed", group=group, error=repr(task.exception()))

    async def _load_or_plan_first(self, group: str, planner: GroupPlanner) -> None:
        """Loads a group's placement from the platform, or plans the first one."""
        try:
            stored = await self._store.load(group) if self._store.reachable else None
            reached = self._store.reachable
        except PlatformError as error:
            _log.info("placement_not_loaded", group=group, code=error.code.name)
            stored, reached = None, False
        if stored is not None:
            self._distribute(stored)
        elif planner.placement is None and (reached or self._is_lost(group)):
            first = planner.next_placement(acknowledged=False)
            if first is not None:
                await self._write(first)

    def _is_lost(self, group: str) -> bool:
        """Whether no instance of the zone is known to hold a placement after the grace period."""
        holders = self._gossip.holders(entry_key(group))
        joined_at = self._joined_at if self._joined_at is not None else self._clock.now()
        return not holders and self._clock.now() - joined_at >= LOST_PLACEMENT_GRACE_S

    async def _write(self, placement: Placement) -> None:
        saved = await self._store.save(placement, newly_planned=True)
        if saved.outcome is SaveOutcome.SUPERSEDED:
            self._apply_stored(saved)
            return
        if saved.outcome is SaveOutcome.UNREACHABLE:
            self._unsaved.add(placement.group)
        else:
            self._unsaved.discard(placement.group)
        self._written += 1
        self._distribute(placement)
        _log.info(
            "placement_written",
            group=placement.group,
            generation=placement.generation.counter,
            phase=placement.phase.name,
            saved=saved.outcome is SaveOutcome.SAVED,
        )

    async def _save_unsaved(self, group: str, placement: Placement) -> None:
        """Writes an unsaved placement to the platform, or applies the later one stored there."""
        saved = await self._store.save(placement, newly_planned=False)
        if saved.outcome is not SaveOutcome.UNREACHABLE:
            self._unsaved.discard(group)
        self._apply_stored(saved)

    def _apply_stored(self, saved: SaveResult) -> None:
        if saved.stored is not None:
            self._distribute(saved.stored)

    def _distribute(self, placement: Placement) -> None:
        entry = encode_entry(placement)
        self._gossip.put(entry)
        self._apply_entry(entry)

    def _planner_of(self, group: str) -> GroupPlanner:
        planner = self._planners.get(group)
        if planner is None:
            planner = GroupPlanner(
                group, self._zone, self._instance, self._clock, lambda: int(self._wall_time())
            )
            self._planners[group] = planner
        return planner
