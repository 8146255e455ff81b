"""Platform watch: lists and watches one kind of object while the instance is a relay."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import structlog

from pearwell.clock import Clock
from pearwell.configuration.relay import Relay
from pearwell.errors import Code, PlatformError
from pearwell.model.configuration import Kind
from pearwell.object_store import ObjectList, ObjectStore, StoredObject

__all__ = ["PlatformWatch"]

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5
# Maximum pause between the end of a watch and the start of the next one.
MAX_RESUME_PAUSE_S = 0.05
# Mean interval between full lists, which recover events that a watch may have missed.
RELIST_INTERVAL_S = 600.0

_log = structlog.get_logger()


class PlatformWatch:
    """Passes lists and watch events of one kind of object to a relay.

    Args:
        kind: The kind.
        store: The platform, with retries.
        relay: Receives the lists and events.
        clock: Source of monotonic time.
        rng: Source of jitter.
        on_relisted: Called with the objects of each full list that a watch makes.
    """

    def __init__(
        self,
        kind: Kind,
        store: ObjectStore,
        relay: Relay,
        clock: Clock,
        rng: random.Random,
        on_relisted: Callable[[tuple[StoredObject, ...]], Awaitable[object]] | None = None,
    ) -> None:
        self._kind = kind
        self._store = store
        self._relay = relay
        self._clock = clock
        self._rng = rng
        self._on_relisted = on_relisted
        self._relist_at = clock.now()
        self._failures = 0

    @property
    def reachable(self) -> bool:
        """Whether the latest call to the platform succeeded."""
        return self._failures == 0

    async def run(self) -> None:
        """Lists and watches until cancelled; the next run resumes from the relay's cursor."""
        while True:
            try:
                await self._step()
            except PlatformError as error:
                await self._handle_failure(error)

    async def list_once(self) -> ObjectList:
        """Lists all objects and passes them to the relay.

        Raises:
            PlatformError: The platform failed.
        """
        listed = await self._store.list(self._kind)
        self._relay.apply_list(self._kind, listed)
        self._record_success()
        self._relist_at = self._clock.now() + RELIST_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        return listed

    async def _step(self) -> None:
        cursor = self._relay.cursor(self._kind)
        if cursor is None or self._clock.now() >= self._relist_at:
            listed = await self.list_once()
            if self._on_relisted is not None:
                await self._on_relisted(listed.items)
            return
        async for event in self._store.watch(self._kind, cursor):
            self._record_success()
            self._relay.apply_event(self._kind, event)
        self._record_success()
        await asyncio.sleep(self._rng.uniform(0, MAX_RESUME_PAUSE_S))

    async def _handle_failure(self, error: PlatformError) -> None:
        if error.code is Code.PLATFORM_WATCH_EXPIRED:
            self._relay.reset_cursor(self._kind)
        elif not self._failures:
            _log.warning("platform_lost", kind=self._kind, code=int(error.code))
        await self._back_off()

    async def _back_off(self) -> None:
        max_backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(self._failures, 10))
        self._failures += 1
        await asyncio.sleep(self._rng.uniform(max_backoff_s / 2, max_backoff_s))

    def _record_success(self) -> None:
        if self._failures:
            _log.info("platform_found", kind=self._kind, failures=self._failures)
        self._failures = 0
