"""Prober service: probes targets and evaluates their health from the zone's verdicts."""

import asyncio
import random

import aiohttp
import structlog

from pearwell.agreement.entry_store import EntryStore, put_next_version
from pearwell.clock import Clock
from pearwell.kernel import Kernel, QueuedService
from pearwell.messages import ConfigurationChanged, Message, TargetStateChanged, ViewChanged
from pearwell.messages.local import EntryAdopted
from pearwell.messages.targets import LoadReported, TargetVerdict
from pearwell.model.configuration import Configuration
from pearwell.model.group import HealthCheck, TargetSpec
from pearwell.model.placement import TargetState
from pearwell.targets.probe import fetch_load, probe_health
from pearwell.targets.probe_history import ProbeHistory
from pearwell.targets.zone_health import Assignment, ZoneHealth, live_instances, verdict_key

__all__ = ["Prober"]

EVALUATE_INTERVAL_S = 0.25
VERDICT_REFRESH_INTERVAL_S = 300.0
LOAD_INTERVAL_S = 5.0

_log = structlog.get_logger()


class Prober(QueuedService):
    """The service "prober".

    Args:
        instance: ID of this instance.
        zone: Availability zone of this instance.
        clock: Source of monotonic time.
        rng: Source of the random delay that staggers probes.
        store: Gossips verdicts in the zone.
    """

    name = "prober"
    accepts: tuple[type[Message], ...] = (ConfigurationChanged, ViewChanged, EntryAdopted)
    interval_s = EVALUATE_INTERVAL_S

    def __init__(
        self,
        instance: str,
        zone: str,
        clock: Clock,
        rng: random.Random,
        store: EntryStore,
    ) -> None:
        super().__init__()
        self._instance = instance
        self._clock = clock
        self._rng = rng
        self._store = store
        self._zone_health = ZoneHealth(instance, zone, clock)
        self._probe_tasks: dict[Assignment, asyncio.Task[None]] = {}
        self._probe_settings: dict[Assignment, tuple[TargetSpec, HealthCheck]] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def probed(self) -> tuple[Assignment, ...]:
        """Group and target names that this instance probes."""
        return tuple(self._probe_tasks)

    @property
    def distrusted(self) -> int:
        """Number of targets that stay in use despite failed probes."""
        return self._zone_health.distrusted

    async def start(self, kernel: Kernel) -> None:
        """Opens the HTTP client session and starts the service."""
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        await super().start(kernel)

    async def stop(self) -> None:
        """Stops all probes and closes the HTTP client session."""
        await super().stop()
        tasks = list(self._probe_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._probe_tasks.clear()
        if self._session is not None:
            await self._session.close()

    async def handle(self, message: Message) -> None:
        """Applies configuration, membership changes and gossiped verdicts."""
        match message:
            case ConfigurationChanged(configuration=configuration):
                self._configure(configuration)
            case ViewChanged(view=view):
                self._zone_health.set_instances(live_instances(view))
                self._update_probe_tasks()
            case EntryAdopted(entry=entry):
                self._zone_health.apply_entry(entry)

    async def tick(self) -> None:
        """Evaluates all targets and publishes state changes."""
        for group, target, state in self._zone_health.evaluate():
            _log.info("target_judged", group=group, target=target, state=state.name.lower())
            self.kernel.publish(TargetStateChanged(group, target, state))

    def _configure(self, configuration: Configuration) -> None:
        self._zone_health.configure(configuration)
        self._update_probe_tasks()

    def _update_probe_tasks(self) -> None:
        """Starts and stops probe tasks to match the assignments."""
        assigned = dict(self._zone_health.assignments)
        for key in self._probe_tasks.keys() - assigned.keys():
            self._probe_tasks.pop(key).cancel()
        for key, assignment in assigned.items():
            if key not in self._probe_tasks:
                self._probe_tasks[key] = asyncio.ensure_future(self._probe_periodically(key))
            self._probe_settings[key] = assignment
        self._probe_settings = {key: self._probe_settings[key] for key in assigned}

    async def _probe_periodically(self, key: Assignment) -> None:
        group, target = key
        known_state = self._zone_health.state_of(group, target)
        initial = TargetState.WORKING if known_state is TargetState.LEAVING else known_state
        check = self._probe_settings[key][1]
        history = ProbeHistory(check, self._clock, initial)
        published: tuple[TargetState, float] | None = None
        load_due = self._clock.now()
        await asyncio.sleep(check.interval_s * self._rng.random())
        while True:
            started_at = self._clock.now()
            state = await self._probe(key, history)
            if published is None or self._is_publication_due(published, state):
                self._publish(group, target, state)
                published = (state, started_at)
            if started_at >= load_due:
                load_due = started_at + LOAD_INTERVAL_S
                await self._fetch_load(key)
            elapsed = self._clock.now() - started_at
            await asyncio.sleep(max(0.0, self._probe_settings[key][1].interval_s - elapsed))

    def _is_publication_due(self, published: tuple[TargetState, float], state: TargetState) -> bool:
        return (
            state is not published[0]
            or self._clock.now() - published[1] >= VERDICT_REFRESH_INTERVAL_S
        )

    async def _probe(self, key: Assignment, history: ProbeHistory) -> TargetState:
        assert self._session is not None
        spec, check = self._probe_settings[key]
        return history.observe(await probe_health(self._session, spec, check))

    async def _fetch_load(self, key: Assignment) -> None:
        assert self._session is not None
        spec, check = self._probe_settings[key]
        if not check.load_path:
            return
        report = await fetch_load(self._session, spec, check)
        if report is not None:
            self.kernel.post("balancer", LoadReported(key[0], key[1], report))

    def _publish(self, group: str, target: str, state: TargetState) -> None:
        key = verdict_key(group, target, self._instance)
        put_next_version(self._store, key, self._instance, TargetVerdict(state))
