"""Executes the events of a schedule on a fleet."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from pearwell.admin.client import AdminClient
from pearwell.admin.codec import service_from_proto
from pearwell.admin.porcelain import (
    WriteOptions,
    drain_target,
    get_service,
    put_target,
    undrain_target,
    update_service,
)
from pearwell.load.fleet import Fleet
from pearwell.load.schedule import Event, EventKind
from pearwell.model.group import TargetSpec
from pearwell.standins.target import TargetMode
from pearwell.standins.zone import ZONE

__all__ = ["EventOutcome", "FleetEvents"]

ACTOR = "pearwell-load"


@dataclass(frozen=True, slots=True)
class EventOutcome:
    """Result of an event.

    Attributes:
        subject: Instance, target or service that it affected, or "platform".
        lost_flows: Flows that were open on a target when it became unresponsive.
    """

    subject: str
    lost_flows: int = 0


class FleetEvents:
    """Executes events on a fleet.

    Args:
        fleet: The fleet.
        rng: Chooses the subject of an event that doesn't name one.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._drained: dict[str, float] = {}
        self._unresponsive: set[str] = set()
        self._background: set[asyncio.Task[None]] = set()
        self._handlers: dict[EventKind, Callable[[Event], Awaitable[EventOutcome]]] = {
            EventKind.TARGET_DRAIN: self._drain_target,
            EventKind.TARGET_UNDRAIN: self._undrain_target,
            EventKind.TARGET_JOIN: self._join_target,
            EventKind.TARGET_CRASH: self._crash_target,
            EventKind.TARGET_SILENCE: self._silence_target,
            EventKind.INSTANCE_JOIN: self._join_instance,
            EventKind.INSTANCE_STOP: self._stop_instance,
            EventKind.INSTANCE_CRASH: self._crash_instance,
            EventKind.INSTANCE_PAUSE: self._pause_instance,
            EventKind.INSTANCE_REPLACE: self._replace_instance,
            EventKind.PLATFORM_OUTAGE: self._start_platform_outage,
            EventKind.PLATFORM_LOST_ANSWERS: self._lose_platform_responses,
            EventKind.CONFIGURATION_CHANGE: self._change_configuration,
        }

    @property
    def serving(self) -> set[str]:
        """Names of the targets that are neither drained nor unresponsive."""
        return set(self._fleet.targets) - self._drained.keys() - self._unresponsive

    @property
    def drained_at(self) -> Mapping[str, float]:
        """Unix time in seconds at which the drain of each drained target was accepted."""
        return self._drained

    async def execute(self, event: Event) -> EventOutcome:
        """Executes an event; one with a duration continues in the background.

        Raises:
            PearwellError: A call to the admin API failed.
            OSError: A process couldn't be reached.
            LookupError: The subject doesn't exist.
        """
        return await self._handlers[event.kind](event)

    def _client(self) -> AdminClient:
        servers = self._fleet.admin_servers
        return AdminClient(self._rng.sample(servers, len(servers)))

    def _instance(self, event: Event) -> str:
        return event.subject or self._rng.choice(sorted(self._fleet.instances))

    def _target(self, event: Event, candidates: set[str]) -> str:
        if event.subject:
            return event.subject
        if not candidates:
            raise LookupError(f"no eligible target for {event.kind.value}")
        return self._rng.choice(sorted(candidates))

    async def _drain_target(self, event: Event) -> EventOutcome:
        name = self._target(event, self.serving)
        async with self._client() as client:
            await drain_target(client, _group_of(name), name, WriteOptions(ACTOR))
        self._drained[name] = time.time()
        return EventOutcome(name)

    async def _undrain_target(self, event: Event) -> EventOutcome:
        name = self._target(event, set(self._drained))
        async with self._client() as client:
            await undrain_target(client, _group_of(name), name, WriteOptions(ACTOR))
        self._drained.pop(name, None)
        return EventOutcome(name)

    async def _join_target(self, event: Event) -> EventOutcome:
        sibling = self._fleet.targets[self._rng.choice(sorted(self.serving))]
        group = _group_of(sibling.name)
        siblings = [name for name in self._fleet.targets if _group_of(name) == group]
        name = event.subject or f"{group}-{len(siblings) + 1}"
        (config,) = await self._fleet.start_targets([name], sibling.services, sibling.slots)
        spec = TargetSpec(name, config.address, ZONE, config.port, slots=config.slots)
        async with self._client() as client:
            await put_target(client, group, spec, WriteOptions(ACTOR))
        return EventOutcome(name)

    async def _crash_target(self, event: Event) -> EventOutcome:
        return await self._make_unresponsive(event, TargetMode(silent=True))

    async def _silence_target(self, event: Event) -> EventOutcome:
        """Makes a target ignore all packets while its health endpoint reports it healthy."""
        return await self._make_unresponsive(event, TargetMode(silent=True, health="healthy"))

    async def _make_unresponsive(self, event: Event, mode: TargetMode) -> EventOutcome:
        name = self._target(event, self.serving)
        lost = (await self._fleet.load(name)).open_flows
        await self._fleet.set_mode(name, mode)
        self._unresponsive.add(name)
        return EventOutcome(name, lost)

    async def _join_instance(self, event: Event) -> EventOutcome:
        (name,) = await self._fleet.start_instances(1)
        return EventOutcome(name)

    async def _stop_instance(self, event: Event) -> EventOutcome:
        name = self._instance(event)
        self._run_in_background(self._stop(name))
        return EventOutcome(name)

    async def _crash_instance(self, event: Event) -> EventOutcome:
        name = self._instance(event)
        number = self._fleet.crash_instance(name)
        self._run_in_background(self._fleet.processes.remove_dead_instance(number))
        return EventOutcome(name)

    async def _pause_instance(self, event: Event) -> EventOutcome:
        name = self._instance(event)
        self._run_in_background(self._fleet.pause_instance(name, event.duration_s))
        return EventOutcome(name)

    async def _replace_instance(self, event: Event) -> EventOutcome:
        name = self._instance(event)
        (started,) = await self._fleet.start_instances(1)
        self._run_in_background(self._stop(name))
        return EventOutcome(f"{name} by {started}")

    async def _start_platform_outage(self, event: Event) -> EventOutcome:
        await self._fleet.set_faults(outage=True)
        self._run_in_background(self._clear_faults(event.duration_s, outage=False))
        return EventOutcome("platform")

    async def _lose_platform_responses(self, event: Event) -> EventOutcome:
        await self._fleet.set_faults(lose_answers=3)
        return EventOutcome("platform")

    async def _change_configuration(self, event: Event) -> EventOutcome:
        group = event.subject or _group_of(self._rng.choice(sorted(self._fleet.targets)))
        async with self._client() as client:
            stored = await get_service(client, group)
            service = service_from_proto(stored.service)
            changed = dataclasses.replace(service, idle_timeout_s=service.idle_timeout_s + 1)
            await update_service(
                client, changed, WriteOptions(ACTOR, expected_version=stored.version)
            )
        return EventOutcome(group)

    async def _stop(self, name: str) -> None:
        await self._fleet.stop_instance(name)

    async def _clear_faults(self, seconds: float, **faults: object) -> None:
        await asyncio.sleep(seconds)
        await self._fleet.set_faults(**faults)

    def _run_in_background(self, operation: Awaitable[None]) -> None:
        task = asyncio.ensure_future(operation)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _group_of(target: str) -> str:
    return target.rsplit("-", 1)[0]
