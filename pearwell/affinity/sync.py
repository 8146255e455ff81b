"""Synchronizes the objects of one kind with the platform's store, through relays if possible."""

from collections.abc import Awaitable, Callable, Sequence

from pearwell.affinity.cache import ObjectCache
from pearwell.affinity.follower import Call, Follower
from pearwell.errors import Code, PlatformError

# True for type checkers only: importing typing takes 13 ms of CPU time.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol

    class Store(Protocol):
        """Serves lists and watches; every method raises PlatformError."""

        async def list(self, kind: str, after: str) -> "StoreAnswer":
            """Returns one page of the objects of a kind after a name."""

        async def watch(self, kind: str, revision: int, wait_s: float) -> "StoreAnswer":
            """Returns the events after a revision once there is one, or none after the wait."""

    class Kind(Protocol):
        """Receives the objects of a kind as decoded from JSON."""

        name: str

        def name_of(self, item: object) -> str:
            """Returns an object's name; "" if it has none."""

        def replace(self, items: dict[str, object], now: float) -> None:
            """Replaces all objects with those given by name."""

        def apply(self, name: str, item: object | None, now: float) -> None:
            """Applies one object, or its removal if it is None."""


__all__ = ["ObjectSync", "StoreAnswer"]


class StoreAnswer:
    """One page of a list, or the events of a watch.

    Attributes:
        items: Objects of a list or events of a watch, as decoded from JSON.
        revision: Revision up to which they are complete.
        more: Whether the list has further pages.
        good_s: Time in seconds for which no call of the relay to the store has failed; None from
            the store itself.
        zone: Availability zone of the relay; "" from the store itself.
    """

    __slots__ = ("good_s", "items", "more", "revision", "zone")

    def __init__(
        self,
        items: list[object],
        revision: int,
        more: bool = False,
        good_s: float | None = None,
        zone: str = "",
    ) -> None:
        self.items = items
        self.revision = revision
        self.more = more
        self.good_s = good_s
        self.zone = zone


class ObjectSync:
    """Synchronizes the objects of one kind.

    Args:
        kind: Receives the objects.
        follower: Schedules the calls.
        cache: Cache that this instance serves as a relay.
        store: The store.
        relays: Relays in the order of the indices that the follower uses.
        now: Returns the current time in seconds of the clock.
        sleep: Returns an awaitable for a number of seconds.
        on_change: Called after each call.
        log: Logs an event's name and its fields.
    """

    def __init__(
        self,
        kind: "Kind",
        follower: Follower,
        cache: ObjectCache,
        store: "Store",
        relays: "Sequence[Store]",
        now: Callable[[], float],
        sleep: Callable[[float], Awaitable[bool]],
        on_change: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self._kind = kind
        self._follower = follower
        self._cache = cache
        self._store = store
        self._relays = relays
        self._now = now
        self._sleep = sleep
        self._on_change = on_change
        self._log = log
        # Consecutive failed calls by relay index; None is the store.
        self._lost: dict[int | None, int] = {}

    async def run(self) -> None:
        """Makes calls until cancelled."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Makes one call and applies its response."""
        call = self._follower.next_call(self._now())
        if call.delay_s > 0:
            await self._sleep(call.delay_s)
        try:
            if call.revision is None:
                await self._list()
            else:
                await self._watch(call, call.revision)
        except PlatformError as error:
            self._follower.failed(call, error.code, self._now())
            self._note_failure(call, error)
        else:
            self._note_success(call)
        self._on_change()

    async def _list(self) -> None:
        items: list[object] = []
        revision, more = -1, True
        while more:
            after = self._kind.name_of(items[-1]) if items else ""
            answer = await self._store.list(self._kind.name, after)
            items.extend(answer.items)
            revision = answer.revision if revision < 0 else min(revision, answer.revision)
            more = answer.more and bool(answer.items)
        now = self._now()
        by_name = {self._kind.name_of(item): item for item in items}
        self._kind.replace(by_name, now)
        self._cache.reset(revision, now)
        self._follower.listed(revision, now)
        self._log("listed", kind=self._kind.name, objects=len(items), revision=revision)

    async def _watch(self, call: Call, revision: int) -> None:
        source = self._store if call.relay is None else self._relays[call.relay]
        answer = await source.watch(self._kind.name, revision, call.wait_s)
        now = self._now()
        changes = [self._read_event(event) for event in answer.items]
        if None in changes:
            # A relay announced a change without its object.
            self._follower.changed()
            return
        if call.relay is not None and answer.good_s is not None:
            self._follower.relay_told(call.relay, answer.zone, now - answer.good_s)
        told = [change for change in changes if change is not None]
        for name, item in told:
            self._kind.apply(name, item, now)
        self._follower.watched(len(told), answer.revision, now)
        if call.relay is None:
            self._cache.append_events(answer.items, answer.revision, now)

    def _read_event(self, event: object) -> tuple[str, object | None] | None:
        if event is None:
            return None
        if not isinstance(event, dict):
            raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"event {str(event)[:80]}")
        item = event.get("Object")
        return self._kind.name_of(item), None if event.get("Deleted") is True else item

    def _note_failure(self, call: Call, error: PlatformError) -> None:
        failures = self._lost.get(call.relay, 0)
        self._lost[call.relay] = failures + 1
        if failures:
            return
        self._log(
            "store_lost" if call.relay is None else "relay_lost",
            kind=self._kind.name,
            relay="-" if call.relay is None else call.relay,
            revision=call.revision,
            code=int(error.code),
            detail=error.detail,
        )

    def _note_success(self, call: Call) -> None:
        failures = self._lost.pop(call.relay, 0)
        if not failures:
            return
        self._log(
            "store_regained" if call.relay is None else "relay_regained",
            kind=self._kind.name,
            relay="-" if call.relay is None else call.relay,
            revision=self._follower.revision,
            failures=failures,
        )
