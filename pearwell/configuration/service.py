"""Configuration service: applies entries, watches the platform and reports the zone's status."""

import asyncio
import random
import time
from collections.abc import Callable

import structlog

from pearwell.agreement.entry_table import EntryTable
from pearwell.clock import Clock
from pearwell.configuration.applied import CONFIG_PREFIX, AppliedConfiguration, entry_of
from pearwell.configuration.document import Document, encode_document
from pearwell.configuration.relay import Relay, select_relays
from pearwell.configuration.status_store import StatusStore
from pearwell.configuration.tombstones import TombstonePurge
from pearwell.configuration.watch import PlatformWatch
from pearwell.configuration.zone_status import StatusReporter
from pearwell.errors import Code, PearwellError, PlatformError
from pearwell.kernel import Kernel, QueuedService
from pearwell.messages import ConfigurationChanged, Entry, EntryAdopted, Message, ViewChanged
from pearwell.model.configuration import Configuration, Kind
from pearwell.model.membership import View
from pearwell.object_store import ObjectStore, StoredObject

__all__ = ["ConfigurationService"]

# Time that an instance waits for entries from its peers before it lists the platform itself.
PEER_WAIT_S = 2.0
MAX_PEER_WAIT_S = 30.0
# Delay from the first entry to the first published configuration, so that entries of several peers
# arrive and a stale peer isn't the only source.
FIRST_PUBLISH_DELAY_S = 1.2
# Time for which the view must list the instance as a relay before it starts to watch.
RELAY_DELAY_S = 1.0
TICK_INTERVAL_S = 0.25
# Entries that are applied before the service yields to other tasks.
ENTRIES_PER_YIELD = 32
# Mean delay before a failed status write is retried.
REPORT_RETRY_S = 5.0

_log = structlog.get_logger()


class ConfigurationService(QueuedService):
    """The kernel service "configuration".

    Args:
        instance: Id of the local instance.
        zone: Availability zone of the instance.
        table: The zone's entries.
        store: The platform, with retries.
        clock: Source of monotonic time.
        rng: Source of jitter.
        wall_time: Returns Unix time in seconds.
    """

    name = "configuration"
    accepts: tuple[type[Message], ...] = (EntryAdopted, ViewChanged)
    interval_s = TICK_INTERVAL_S

    def __init__(
        self,
        instance: str,
        zone: str,
        table: EntryTable,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self._instance = instance
        self._zone = zone
        self._table = table
        self._wall_time = wall_time
        self._view = View()
        self._relays = select_relays(zone, self._view, instance)
        self._applied = AppliedConfiguration()
        self._published = Configuration()
        self._clock = clock
        self._rng = rng
        self._dirty = False
        self._first_publish_at: float | None = None
        self._watch_starts_at: float | None = None
        self._next_report_at = clock.now()
        self._report_task: asyncio.Future[None] = asyncio.Future()
        self._report_task.set_result(None)
        relay = Relay(table, self._record_rejection)
        self._watches = [
            PlatformWatch(kind, store, relay, clock, rng, self._purge_tombstones) for kind in Kind
        ]
        self._purge = TombstonePurge(store, wall_time)
        self._watch_tasks: list[asyncio.Task[None]] = []
        self._reporter = StatusReporter(zone, table)
        self._statuses = StatusStore(store)
        self._rejected = 0
        self._entries_applied = 0

    @property
    def configuration(self) -> Configuration:
        """Configuration that this instance applies."""
        return self._published

    @property
    def is_relay(self) -> bool:
        """Whether this instance watches the platform for its zone."""
        return bool(self._watch_tasks)

    @property
    def platform_reachable(self) -> bool:
        """Whether the latest platform calls of this instance's watches succeeded."""
        return not self._watch_tasks or all(watch.reachable for watch in self._watches)

    @property
    def rejected(self) -> int:
        """Number of invalid objects that weren't applied."""
        return self._rejected

    async def start(self, kernel: Kernel) -> None:
        """Starts the service and applies the entries that the table already holds."""
        await super().start(kernel)
        for entry in self._table.entries(CONFIG_PREFIX):
            self._apply(entry)
        self._spawn(self._list_platform_without_peers())

    async def stop(self) -> None:
        """Stops watching and reporting."""
        await super().stop()
        self._report_task.cancel()
        tasks = [*self._cancel_watching(), self._report_task]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def handle(self, message: Message) -> None:
        """Applies an adopted entry or a new view."""
        match message:
            case EntryAdopted(entry) if entry.key.startswith(CONFIG_PREFIX):
                self._apply(entry)
                await self._yield_periodically()
            case ViewChanged(view):
                self._view = view
                self._relays = select_relays(self._zone, view, self._instance)
        # Entries that arrive together are published together.
        if self._queue.empty():
            self._publish()

    async def tick(self) -> None:
        """Starts or stops watching, and reports the zone's status on the first relay."""
        self._publish()
        self._update_relay_role()
        if self._relays[0] != self._instance:
            self._reporter.stop()
        elif self._clock.now() >= self._next_report_at and self._report_task.done():
            # In a separate task, so that a slow platform doesn't delay the zone's entries.
            self._report_task = asyncio.ensure_future(self._try_report())

    def propagate(self, document: Document) -> None:
        """Puts a change that this instance has written into the table, ahead of the watches."""
        value = encode_document(document)
        stored = StoredObject(document.kind, document.name, document.version, value)
        self._table.put(entry_of(stored))

    def members(self) -> tuple[str, ...]:
        """Returns the members of the zone, which include at least the local instance."""
        return tuple(m.instance for m in self._view.members) or (self._instance,)

    async def _yield_periodically(self) -> None:
        # A joining instance applies thousands of entries, which must not delay its heartbeats.
        self._entries_applied += 1
        if self._entries_applied % ENTRIES_PER_YIELD == 0:
            await asyncio.sleep(0)

    def _apply(self, entry: Entry) -> None:
        try:
            applied = self._applied.apply(entry)
        except PearwellError as error:
            self._record_rejection(error)
            return
        if self._first_publish_at is None:
            self._first_publish_at = self._clock.now() + FIRST_PUBLISH_DELAY_S
        self._reporter.track(entry)
        self._dirty = self._dirty or applied

    def _publish(self) -> None:
        if (
            not self._dirty
            or self._first_publish_at is None
            or self._clock.now() < self._first_publish_at
        ):
            return
        self._dirty = False
        self._published = self._applied.snapshot
        self.kernel.publish(ConfigurationChanged(self._published))

    def _update_relay_role(self) -> None:
        is_selected = self._instance in self._relays
        now = self._clock.now()
        self._watch_starts_at = (
            (self._watch_starts_at or now + RELAY_DELAY_S) if is_selected else None
        )
        if (
            self._watch_starts_at is not None
            and now >= self._watch_starts_at
            and not self._watch_tasks
        ):
            self._watch_tasks = [asyncio.ensure_future(watch.run()) for watch in self._watches]
            _log.info("relay_started", zone=self._zone)
        elif not is_selected and self._watch_tasks:
            self._cancel_watching()
            _log.info("relay_stopped", zone=self._zone)

    def _cancel_watching(self) -> list[asyncio.Task[None]]:
        cancelled, self._watch_tasks = self._watch_tasks, []
        for task in cancelled:
            task.cancel()
        return cancelled

    async def _list_platform_without_peers(self) -> None:
        wait_s = PEER_WAIT_S
        while True:
            await asyncio.sleep(wait_s * self._rng.uniform(0.8, 1.2))
            if self.is_relay or self._first_publish_at is not None:
                return
            try:
                for watch in self._watches:
                    await watch.list_once()
                return
            except PlatformError as error:
                _log.warning("no_configuration", code=int(error.code))
            wait_s = min(MAX_PEER_WAIT_S, wait_s * 2)

    async def _try_report(self) -> None:
        try:
            await self._report()
        except PlatformError as error:
            self._next_report_at = self._clock.now() + REPORT_RETRY_S * self._rng.uniform(0.5, 1.5)
            _log.debug("status_not_written", code=int(error.code))

    async def _report(self) -> None:
        if not self._reporter.active:
            self._reporter.start(await self._statuses.read(self._zone))
        status = self._reporter.compute_status(self.members(), self._wall_time())
        if not self._reporter.is_due(status):
            return
        if await self._statuses.write(status):
            self._reporter.record_written(status)
        else:
            self._reporter.stop()

    async def _purge_tombstones(self, items: tuple[StoredObject, ...]) -> None:
        # One relay per zone purges; a removal that another zone has already made fails harmlessly.
        if self._relays[0] == self._instance:
            await self._purge.run(items)

    def _record_rejection(self, error: PearwellError) -> None:
        self._rejected += 1
        violated = error.code is Code.INVARIANT_VIOLATED
        log = _log.critical if violated else _log.error
        event = "invariant_violated" if violated else "configuration_unusable"
        log(event, code=int(error.code), detail=error.detail)
