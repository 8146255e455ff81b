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
    TargetJudged,
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
    ACKNOWLEDGED_WAIT_S,
    PREPARE_WAIT_S,
    GroupPlanner,
    Pace,
    Planners,
    placed_targets,
)
from pearwell.placement.store import PlacementStore, Saved, SaveOutcome
from pearwell.targets.drain import TargetDrain, TargetDrainState
from pearwell.targets.spill import SpillOver
from pearwell.targets.zone_health import spill_zones_of

__all__ = ["PlacementService"]

TICK_INTERVAL_S = 0.1
VIEW_LEASE_S = 1.0
JOIN_GRACE_S = 1.0
FORGOTTEN_GRACE_S = 5.0

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
        TargetJudged,
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
        self._leaders = Planners(self._view)
        self._joined_at: float | None = None
        self._heard_at = float("-inf")
        self._planners: dict[str, GroupPlanner] = {}
        self._spills: dict[str, tuple[tuple[str, ...], SpillOver]] = {}
        self._drains: dict[tuple[str, str], TargetDrain] = {}
        self._states: dict[str, dict[str, TargetState]] = {}
        self._weights: dict[str, dict[str, int]] = {}
        self._led: set[str] = set()
        self._unsaved: set[str] = set()
        self._busy: dict[str, asyncio.Task[None]] = {}
        self._written = 0
        self._handlers: dict[type[Message], Callable[[Any], None]] = {
            BucketsClear: self._on_clear,
            ConfigurationChanged: self._on_configuration,
            EntryAdopted: self._on_entry,
            PeerMessage: self._on_peer_message,
            TargetJudged: self._on_judged,
            ViewChanged: self._on_view,
            ViewRenewed: self._on_renewed,
            WeightsChanged: self._on_weights,
        }

    @property
    def written(self) -> int:
        """Number of placements that this instance has planned."""
        return self._written

    @property
    def unsaved(self) -> int:
        """Number of groups whose placement this instance has yet to write to the platform."""
        return len(self._unsaved)

    def placement(self, group: str) -> Placement | None:
        """Returns the placement of a group that this instance uses, or None."""
        planner = self._planners.get(group)
        return planner.placement if planner else None

    async def start(self, kernel: Kernel) -> None:
        """Starts the service and adopts the placements that gossip already holds."""
        await super().start(kernel)
        for entry in self._gossip.entries(f"{PLACEMENT_DOMAIN}/"):
            self._take(entry)

    async def stop(self) -> None:
        """Cancels pending writes and stops the service."""
        for task in self._busy.values():
            task.cancel()
        await asyncio.gather(*self._busy.values(), return_exceptions=True)
        await super().stop()

    async def handle(self, message: Message) -> None:
        """Processes target states, placements, and configuration and membership changes."""
        self._handlers[type(message)](message)

    async def tick(self) -> None:
        """Advances every group that this instance plans for."""
        if not self._may_plan():
            return
        for group in sorted(self._led - self._busy.keys()):
            self._advance(group)

    # Messages.

    def _on_entry(self, message: EntryAdopted) -> None:
        if message.entry.key.startswith(f"{PLACEMENT_DOMAIN}/"):
            self._take(message.entry)

    def _take(self, entry: Entry) -> None:
        try:
            placement = decode_entry(entry)
        except PearwellError as error:
            _log.error("placement_rejected", key=entry.key, code=error.code.name)
            return
        if placement.zone == self._zone and self._planner(placement.group).adopt(placement):
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
            self._follow_drains(group)
        self._lead()

    def _on_judged(self, message: TargetJudged) -> None:
        self._states.setdefault(message.group, {})[message.target] = message.state

    def _on_weights(self, message: WeightsChanged) -> None:
        self._weights[message.group] = dict(message.weights)

    def _on_view(self, message: ViewChanged) -> None:
        self._view = message.view
        self._leaders = Planners(message.view)
        self._lead()
        if self._joined_at is None:
            self._joined_at = self._clock.now()

    def _on_renewed(self, message: ViewRenewed) -> None:
        self._heard_at = max(self._heard_at, message.heard_at)

    def _on_peer_message(self, message: PeerMessage) -> None:
        if isinstance(message.message, BucketsClear):
            self._planner_clear(message.message)

    def _on_clear(self, message: BucketsClear) -> None:
        leader = self._leaders.of(message.group)
        if leader == self._instance:
            self._planner_clear(message)
        elif leader is not None:
            self._transport.send(leader, message)

    def _planner_clear(self, message: BucketsClear) -> None:
        planner = self._planners.get(message.group)
        if planner is not None:
            planner.clear(message.buckets, message.generation)

    # Planning.

    def _may_plan(self) -> bool:
        """Whether the view is current and gossip has had time to deliver placements."""
        if self._joined_at is None:
            return False
        now = self._clock.now()
        alone = len(self._view.members) <= 1
        settled = alone or now - self._joined_at >= JOIN_GRACE_S
        return settled and now - self._heard_at < VIEW_LEASE_S

    def _lead(self) -> None:
        """Updates the groups that this instance plans for; new ones are marked as unsaved."""
        led = {
            group
            for group in self._configuration.groups
            if self._leaders.of(group) == self._instance
        }
        self._unsaved = (self._unsaved | (led - self._led)) & led
        self._led = led

    def _advance(self, group: str) -> None:
        planner = self._planner(group)
        wanted = self._want(planner, self._configuration.groups[group])
        if planner.placement is None:
            # A group without targets has no placement, so the platform isn't asked for one.
            if wanted:
                self._begin(group, self._find_first(group, planner))
            return
        following = planner.next(self._is_acknowledged(planner.placement))
        if following is not None:
            self._begin(group, self._put(following))
        elif group in self._unsaved and self._store.reachable:
            self._begin(group, self._save_again(group, planner.placement))

    def _want(self, planner: GroupPlanner, group: GroupSpec) -> bool:
        """Gives the planner the desired targets; returns whether there are any."""
        states = self._states_of(group)
        taking = self._spill(group).choose(group, states)
        weights = self._weights.get(group.name, {})
        targets = placed_targets(group, self._zone, taking, states, weights)
        planner.want(targets, group.seed, self._pace(group.name))
        return bool(targets)

    def _states_of(self, group: GroupSpec) -> dict[str, TargetState]:
        """Returns the known target states; a target past its drain deadline counts as dead."""
        self._follow_drains(group)
        states = dict(self._states.get(group.name, {}))
        for target in group.targets:
            drain = self._drains.get((group.name, target.name))
            if drain is not None and drain.state is TargetDrainState.EXPIRED:
                states[target.name] = TargetState.DEAD
        return states

    def _follow_drains(self, group: GroupSpec) -> None:
        for target in group.targets:
            key = (group.name, target.name)
            if target.intent is TargetIntent.LEAVING:
                drain = self._drains.setdefault(key, TargetDrain(target.name, self._clock))
                drain.leave(target.drain_deadline_s)
                drain.tick()
            else:
                self._drains.pop(key, None)

    def _spill(self, group: GroupSpec) -> SpillOver:
        zones = spill_zones_of(self._configuration, group.name)
        known = self._spills.get(group.name)
        if known is None or known[0] != zones:
            known = (zones, SpillOver(self._zone, zones, self._clock))
            self._spills[group.name] = known
        return known[1]

    def _pace(self, group: str) -> Pace:
        learning_s = max(
            (
                service.learning_time_s
                for service in self._configuration.services.values()
                if service.group == group and service.protocol is TransportProtocol.UDP
            ),
            default=0.0,
        )
        return Pace(max(ACKNOWLEDGED_WAIT_S, learning_s), max(PREPARE_WAIT_S, learning_s))

    def _is_acknowledged(self, placement: Placement) -> bool:
        if placement.phase is not Phase.PREPARED:
            return False
        holders = self._gossip.holders(entry_key(placement.group))
        generation = placement.generation
        version = EntryVersion(generation.counter, generation.instance)
        nothing = EntryVersion(0)
        return all(holders.get(m.instance, nothing) >= version for m in self._view.members)

    # Writes.

    def _begin(self, group: str, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._busy[group] = task
        task.add_done_callback(lambda done: self._finished(group, done))

    def _finished(self, group: str, task: asyncio.Task[None]) -> None:
        self._busy.pop(group, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error("placement_failed", group=group, error=repr(task.exception()))

    async def _find_first(self, group: str, planner: GroupPlanner) -> None:
        """Loads a group's placement from the platform, or plans the first one."""
        try:
            stored = await self._store.load(group) if self._store.reachable else None
            reached = self._store.reachable
        except PlatformError as error:
            _log.info("placement_not_loaded", group=group, code=error.code.name)
            stored, reached = None, False
        if stored is not None:
            self._spread(stored)
        elif planner.placement is None and (reached or self._is_forgotten(group)):
            first = planner.next(acknowledged=False)
            if first is not None:
                await self._put(first)

    def _is_forgotten(self, group: str) -> bool:
        """Whether no instance of the zone is known to hold a placement after the grace period."""
        holders = self._gossip.holders(entry_key(group))
        joined_at = self._joined_at if self._joined_at is not None else self._clock.now()
        return not holders and self._clock.now() - joined_at >= FORGOTTEN_GRACE_S

    async def _put(self, placement: Placement) -> None:
        saved = await self._store.save(placement, fresh=True)
        if saved.outcome is SaveOutcome.SUPERSEDED:
            self._accept(saved)
            return
        if saved.outcome is SaveOutcome.UNREACHABLE:
            self._unsaved.add(placement.group)
        else:
            self._unsaved.discard(placement.group)
        self._written += 1
        self._spread(placement)
        _log.info(
            "placement_written",
            group=placement.group,
            generation=placement.generation.counter,
            phase=placement.phase.name,
            saved=saved.outcome is SaveOutcome.SAVED,
        )

    async def _save_again(self, group: str, placement: Placement) -> None:
        """Writes an unsaved placement to the platform, or adopts the later one stored there."""
        saved = await self._store.save(placement, fresh=False)
        if saved.outcome is not SaveOutcome.UNREACHABLE:
            self._unsaved.discard(group)
        self._accept(saved)

    def _accept(self, saved: Saved) -> None:
        if saved.stored is not None:
            self._spread(saved.stored)

    def _spread(self, placement: Placement) -> None:
        entry = encode_entry(placement)
        self._gossip.put(entry)
        self._take(entry)

    def _planner(self, group: str) -> GroupPlanner:
        planner = self._planners.get(group)
        if planner is None:
            planner = GroupPlanner(
                group, self._zone, self._instance, self._clock, lambda: int(self._wall_time())
            )
            self._planners[group] = planner
        return planner
