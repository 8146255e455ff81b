"""Synchronizes the objects of one kind with the platform's store, through relays if possible."""

from collections.abc import Awaitable, Callable, Sequence

from pearwell.affinity.cache import MAX_AGE_S, ObjectCache, Position
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

        async def watch(
            self, kind: str, position: Position, wait_s: float, response_s: float
        ) -> "StoreResponse":
            """Returns the events after a position once there is one, or none after the wait.

            The response has to come within a further time, in seconds.
            """

        def interrupt(self) -> None:
            """Ends the call that is waiting for its response, with PLATFORM_INTERRUPTED."""

    class ObjectHandler(Protocol):
        """Receives the objects of a kind as decoded from JSON."""

        kind: str

        def name_of(self, item: object) -> str:
            """Returns an object's name; "" if it has none."""

        def replace(self, items: dict[str, object], now: float) -> None:
            """Replaces all objects with those given by name."""

        def apply(self, name: str, item: object | None, now: float) -> None:
            """Applies one object, or its removal if it is None."""

        def shorten(self, item: object) -> object | None:
            """Returns what matters of a large object; None if it may all matter."""


__all__ = ["ObjectSync", "StoreResponse"]

# Interval in which a kind that makes no calls while those of its leader fail looks whether they do.
LEADER_INTERVAL_S = 0.2
# Longest part of an unforeseen error and of a name that is logged.
MAX_DETAIL_CHARS = 200
MAX_NAME_CHARS = 80


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
        callers: Number of instances that call the relay; None if it does not tell.
        complete_s: Time in seconds after which the relay received the call, up to which the
            response is complete; negative before it, None if the relay does not tell.
        level_s: The same for the time at which the relay was level with the store; None from the
            store itself and from relays of earlier releases.
    """

    __slots__ = (
        "callers",
        "complete_s",
        "era",
        "healthy_s",
        "items",
        "level_s",
        "more",
        "revision",
        "zone",
    )

    def __init__(
        self,
        items: list[object],
        revision: int,
        more: bool = False,
        healthy_s: float | None = None,
        zone: str = "",
        era: int = 0,
        callers: int | None = None,
        complete_s: float | None = None,
        level_s: float | None = None,
    ) -> None:
        self.callers = callers
        self.complete_s = complete_s
        self.era = era
        self.items = items
        self.level_s = level_s
        self.revision = revision
        self.more = more
        self.healthy_s = healthy_s
        self.zone = zone

    @property
    def position(self) -> Position:
        """Position in the store's history up to which the response is complete."""
        return self.era, self.revision


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
        on_callers: Called with the number of callers that a relay tells, and the start of the call
            in seconds of the clock.
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
        on_callers: Callable[[int, float], None] = lambda callers, called_at: None,
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
        self._on_callers = on_callers
        # Consecutive failed calls by relay index; None is the store.
        self._failure_counts: dict[int | None, int] = {}
        # The store or relay that is called at present.
        self._called: Store | None = None

    def ask_store(self) -> None:
        """Asks the store for changes at once, in place of the watch that is waiting."""
        self._scheduler.require_catch_up()
        if self._called is not None:
            self._called.interrupt()

    async def run(self) -> None:
        """Makes calls until cancelled."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Makes one call and applies its response; none while it awaits the leader."""
        if self._scheduler.awaits_leader(self._now()):
            await self._sleep(LEADER_INTERVAL_S)
            return
        call = self._scheduler.next_call(self._now())
        if call.delay_s > 0:
            await self._sleep(call.delay_s)
            if call.position is not None:
                # A relay may have recovered during the pause between two watches of the store.
                call = self._scheduler.next_call(self._now())
        started = self._now()
        try:
            if call.position is None:
                await self._list()
            elif call.relay is None:
                await self._watch_store(call.position, call)
            else:
                await self._watch_relay(call.relay, call.position, call)
        except PlatformError as error:
            if error.code is Code.PLATFORM_INTERRUPTED:
                return
            self._record_failure(call, error, started)
        except Exception as error:
            # A response that can't be applied would fail again without the list that follows.
            unforeseen = PlatformError(Code.PLATFORM_BAD_ANSWER, _describe(error))
            self._record_failure(call, unforeseen, started)
        else:
            self._log_recovery(call)
        self._on_change()

    async def _list(self) -> None:
        started = self._now()
        items: list[object] = []
        position: Position | None = None
        after, more = "", True
        while more:
            response = await self._store.list(self._handler.kind, after)
            if self._observe_era(response) and position is not None:
                # Pages of two histories are no complete list of either.
                return
            items.extend(response.items)
            position = min(position or response.position, response.position)
            more = response.more and bool(response.items)
            if more:
                # Imported only for lists of several pages, to keep the start fast.
                from pearwell.affinity.list_cursor import next_cursor

                after = next_cursor([self._handler.name_of(item) for item in response.items], after)
        assert position is not None
        now = self._now()
        by_name = {self._handler.name_of(item): item for item in items}
        self._replace(by_name, now)
        self._cache.reset(position, now)
        self._scheduler.on_list(position, now)
        self._record_complete(started, started)
        self._log(
            "listed",
            kind=self._handler.kind,
            objects=len(by_name),
            revision=position[1],
            era=position[0],
        )

    async def _watch_store(self, position: Position, call: Call) -> None:
        started = self._now()
        response = await self._watch(self._store, position, call)
        if self._observe_era(response):
            # The events follow the same revision of another history.
            return
        now = self._now()
        self._apply_events(response, now, from_store=True)
        self._cache.append_events(response.items, response.position, now, self._shorten)
        # Without events, the store has made the response at the end of the wait.
        waited = not response.items and now - started >= call.wait_s
        self._record_complete(started, started + call.wait_s if waited else started)

    async def _watch(self, called: "Store", position: Position, call: Call) -> StoreResponse:
        self._called = called
        try:
            return await called.watch(self._handler.kind, position, call.wait_s, call.response_s)
        finally:
            self._called = None

    def _record_complete(self, at: float, level_at: float) -> None:
        """Records that all changes are known that the store made until a clock time in seconds.

        Args:
            at: The start of a call to the store: how long its response was on its way is unknown.
            level_at: The same for a store that doesn't forget its watches.
        """
        self._scheduler.on_complete(at)
        self._scheduler.on_level(level_at)
        self._cache.complete_at, self._cache.level_at = at, level_at

    async def _watch_relay(self, relay: int, position: Position, call: Call) -> None:
        called_at = self._now()
        response = await self._watch(self._relays[relay], position, call)
        if response.callers is not None:
            self._on_callers(response.callers, called_at)
        if None in response.items:
            # A change without its object, or a later era.
            self._scheduler.require_list()
            return
        if response.era != position[0]:
            raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"relay responded for era {response.era}")
        now = self._now()
        if response.healthy_s is not None:
            self._scheduler.on_relay_status(relay, response.zone, now - response.healthy_s)
        self._apply_events(response, now)
        complete_s = -MAX_AGE_S if response.complete_s is None else response.complete_s
        self._scheduler.on_complete(called_at + complete_s)
        level_s = response.level_s
        self._scheduler.on_level(None if level_s is None else called_at + level_s)

    def _apply_events(self, response: StoreResponse, now: float, from_store: bool = False) -> None:
        # Events before the position may be among them, so that only the latest states hold.
        latest = dict(self._decode_event(event) for event in response.items)
        failed = self._apply([*latest.items()], now)
        self._scheduler.on_watch(len(response.items), response.position, now, from_store)
        if failed:
            # The list leaves out what can't be applied, whose earlier state is outdated.
            self._scheduler.require_list()

    def _replace(self, items: dict[str, object], now: float) -> None:
        """Replaces all objects; leaves out those that the handler fails at."""
        try:
            self._handler.replace(items, now)
        except Exception:
            # Which of them it fails at, and why, is logged as each is applied by itself.
            failed = self._apply([*items.items()], now)
            if not failed:
                raise
            usable = {name: item for name, item in items.items() if name not in failed}
            self._handler.replace(usable, now)

    def _apply(self, changes: list[tuple[str, object | None]], now: float) -> set[str]:
        """Applies objects one by one; returns the names of those that the handler fails at.

        An object of another writer may hold what nobody has foreseen. It affects itself only: the
        others are applied, and the synchronization goes on behind it.
        """
        failed: dict[str, str] = {}
        for name, item in changes:
            try:
                self._handler.apply(name, item, now)
            except Exception as error:
                failed[name] = _describe(error)
        for name, detail in [*failed.items()][:1]:
            self._log(
                "entry_failed",
                kind=self._handler.kind,
                name=name[:MAX_NAME_CHARS],
                count=len(failed),
                code=int(Code.PLATFORM_BAD_ANSWER),
                detail=detail,
            )
        return {*failed}

    def _shorten(self, event: object) -> object | None:
        """Returns what relays tell of a large event; None if they only announce the change."""
        name, item = self._decode_event(event)
        short = self._handler.shorten({"meta": {"Name": name}} if item is None else item)
        return None if short is None else {"Object": short, "Deleted": item is None}

    def _observe_era(self, response: StoreResponse) -> bool:
        """Records the era of a response of the store; returns whether the store was restored."""
        previous_era, previous = self._scheduler.era, self._scheduler.position
        restored = self._scheduler.on_era(response.era)
        if restored:
            self._log(
                "store_restored",
                kind=self._handler.kind,
                era=response.era,
                previous_era=previous_era,
                revision=response.revision,
                previous_revision=_revision(previous),
            )
        return restored

    def _decode_event(self, event: object) -> tuple[str, object | None]:
        if not isinstance(event, dict):
            raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"event of type {type(event).__name__}")
        item = event.get("Object")
        return self._handler.name_of(item), None if event.get("Deleted") is True else item

    def _record_failure(self, call: Call, error: PlatformError, started: float) -> None:
        self._scheduler.on_failure(call, error.code, self._now())
        self._log_failure(call, error, self._now() - started)

    def _log_failure(self, call: Call, error: PlatformError, waited_s: float) -> None:
        failures = self._failure_counts.get(call.relay, 0)
        self._failure_counts[call.relay] = failures + 1
        if failures:
            return
        self._log(
            "store_lost" if call.relay is None else "relay_lost",
            kind=self._handler.kind,
            relay="-" if call.relay is None else call.relay,
            revision=_revision(call.position),
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
            revision=_revision(self._scheduler.position),
            failures=failures,
        )


def _revision(position: Position | None) -> int | None:
    return None if position is None else position[1]


def _describe(error: Exception) -> str:
    """Returns an unforeseen error as log lines show it."""
    return f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARS]
