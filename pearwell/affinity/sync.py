"""Synchronizes the objects of one kind with the platform's store, through relays if possible."""

from collections.abc import Awaitable, Callable, Sequence

from pearwell.affinity.cache import ObjectCache
from pearwell.affinity.fetch_scheduler import Call, FetchScheduler
from pearwell.errors import Code, PlatformError

# True for type checkers only: importing typing takes 13 ms of CPU time.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol

    class Store(Protocol):
        """Serves lists and watches; every method raises PlatformError."""

        async def list(self, kind: str, after: str) -> "StoreResponse":
            """Returns one page of the objects of a kind after a name."""

        async def watch(self, kind: str, revision: int, wait_s: float) -> "StoreResponse":
            """Returns the events after a revision once there is one, or none after the wait."""

    class ObjectHandler(Protocol):
        """Receives the objects of a kind as decoded from JSON."""

        kind: str

        def name_of(self, item: object) -> str:
            """Returns an object's name; "" if it has none."""

        def replace(self, items: dict[str, object], now: float) -> None:
            """Replaces all objects with those given by name."""

        def apply(self, name: str, item: object | None, now: float) -> None:
            """Applies one object, or its removal if it is None."""


__all__ = ["ObjectSync", "StoreResponse"]


class StoreResponse:
    """One page of a list, or the events of a watch.

    Attributes:
        items: Objects of a list or events of a watch, as decoded from JSON.
        revision: Revision up to which they are complete.
        more: Whether the list has further pages.
        healthy_s: Time in seconds for which no call of the relay to the store has failed; None from
            the store itself.
        zone: Availability zone of the relay; "" from the store itself.
        era: Number of times that the store was restored from a copy; 0 if it does not tell.
    """

    __slots__ = ("era", "healthy_s", "items", "more", "revision", "zone")

    def __init__(
        self,
        items: list[object],
        revision: int,
        more: bool = False,
        healthy_s: float | None = None,
        zone: str = "",
        era: int = 0,
    ) -> None:
        self.era = era
        self.items = items
        self.revision = revision
        self.more = more
        self.healthy_s = healthy_s
        self.zone = zone


class ObjectSync:
    """Synchronizes the objects of one kind.

    Args:
        handler: Receives the objects.
        scheduler: Schedules the calls.
        cache: Cache that this instance serves as a relay.
        store: The store.
        relays: Relays in the order of the indices that the scheduler uses.
        now: Returns the current time in seconds of the clock.
        sleep: Returns an awaitable for a number of seconds.
        on_change: Called after each call.
        log: Logs an event's name and its fields.
    """

    def __init__(
        self,
        handler: "ObjectHandler",
        scheduler: FetchScheduler,
        cache: ObjectCache,
        store: "Store",
        relays: "Sequence[Store]",
        now: Callable[[], float],
        sleep: Callable[[float], Awaitable[bool]],
        on_change: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self._handler = handler
        self._scheduler = scheduler
        self._cache = cache
        self._store = store
        self._relays = relays
        self._now = now
        self._sleep = sleep
        self._on_change = on_change
        self._log = log
        # Consecutive failed calls by relay index; None is the store.
        self._failure_counts: dict[int | None, int] = {}

    async def run(self) -> None:
        """Makes calls until cancelled."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Makes one call and applies its response."""
        call = self._scheduler.next_call(self._now())
        if call.delay_s > 0:
            await self._sleep(call.delay_s)
        started = self._now()
        try:
            if call.revision is None:
                await self._list()
            else:
                await self._watch(call, call.revision)
        except PlatformError as error:
            self._scheduler.on_failure(call, error.code, self._now())
            self._log_failure(call, error, self._now() - started)
        else:
            self._log_recovery(call)
        self._on_change()

    async def _list(self) -> None:
        items: list[object] = []
        revision, more = -1, True
        while more:
            after = self._handler.name_of(items[-1]) if items else ""
            response = await self._store.list(self._handler.kind, after)
            self._observe_era(response)
            items.extend(response.items)
            revision = response.revision if revision < 0 else min(revision, response.revision)
            more = response.more and bool(response.items)
        now = self._now()
        by_name = {self._handler.name_of(item): item for item in items}
        self._handler.replace(by_name, now)
        self._cache.reset(revision, now)
        self._scheduler.on_list(revision, now)
        self._log(
            "listed",
            kind=self._handler.kind,
            objects=len(items),
            revision=revision,
            era=self._scheduler.era,
        )

    async def _watch(self, call: Call, revision: int) -> None:
        source = self._store if call.relay is None else self._relays[call.relay]
        response = await source.watch(self._handler.kind, revision, call.wait_s)
        if call.relay is None:
            self._observe_era(response)
        now = self._now()
        changes = [self._decode_event(event) for event in response.items]
        if None in changes:
            # A relay announced a change without its object.
            self._scheduler.require_list()
            return
        if call.relay is not None and response.healthy_s is not None:
            self._scheduler.on_relay_status(call.relay, response.zone, now - response.healthy_s)
        objects = [change for change in changes if change is not None]
        for name, item in objects:
            self._handler.apply(name, item, now)
        self._scheduler.on_watch(len(objects), response.revision, now)
        if call.relay is None:
            self._cache.append_events(response.items, response.revision, now)

    def _observe_era(self, response: StoreResponse) -> None:
        previous = self._scheduler.era
        if response.era == previous:
            return
        self._scheduler.on_era(response.era)
        if previous is not None:
            self._log(
                "store_restored",
                kind=self._handler.kind,
                era=response.era,
                previous_era=previous,
                revision=response.revision,
                previous_revision=self._scheduler.revision,
            )

    def _decode_event(self, event: object) -> tuple[str, object | None] | None:
        if event is None:
            return None
        if not isinstance(event, dict):
            raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"event {str(event)[:80]}")
        item = event.get("Object")
        return self._handler.name_of(item), None if event.get("Deleted") is True else item

    def _log_failure(self, call: Call, error: PlatformError, waited_s: float) -> None:
        failures = self._failure_counts.get(call.relay, 0)
        self._failure_counts[call.relay] = failures + 1
        if failures:
            return
        self._log(
            "store_lost" if call.relay is None else "relay_lost",
            kind=self._handler.kind,
            relay="-" if call.relay is None else call.relay,
            revision=call.revision,
            era=self._scheduler.era,
            waited_s=round(waited_s, 3),
            code=int(error.code),
            detail=error.detail,
        )

    def _log_recovery(self, call: Call) -> None:
        failures = self._failure_counts.pop(call.relay, 0)
        if not failures:
            return
        self._log(
            "store_regained" if call.relay is None else "relay_regained",
            kind=self._handler.kind,
            relay="-" if call.relay is None else call.relay,
            revision=self._scheduler.revision,
            failures=failures,
        )
