"""In-memory object store with fault injection, for tests and the platform stand-in."""

import asyncio
from collections import Counter, deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import TypeVar

from pearwell.errors import Code, PlatformError
from pearwell.object_store.base import (
    ObjectList,
    StoredObject,
    Value,
    WatchEvent,
    WatchEventType,
    check_size,
    compose_version,
    copy_value,
    split_version,
)

__all__ = ["Fault", "FaultSwitches", "MemoryObjectStore", "Sleep", "StoreCopy"]

_T = TypeVar("_T")
_Objects = dict[tuple[str, str], StoredObject]

Sleep = Callable[[float], Awaitable[None]]

# Number of past events that a watch can resume from.
HISTORY_EVENTS = 10_000


class Fault(StrEnum):
    """Faults that can be injected into one call."""

    NONE = "none"
    OUTAGE = "outage"
    LOST_REQUEST = "lost_request"
    LOST_ANSWER = "lost_answer"
    STALE = "stale"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the objects with their history, from which a store can be restored."""

    version: int
    objects: _Objects
    history: tuple[WatchEvent, ...]


@dataclass(slots=True)
class FaultSwitches:
    """Injected faults of the store; all are off by default.

    Attributes:
        outage: Every call fails and every watch ends.
        stale: Reads return the state at the latest freeze.
        delay_s: Time that every call takes.
        slow_s: Time that a call with Fault.SLOW takes.
        lose_requests: Number of upcoming calls that get no response and have no effect.
        lose_answers: Number of upcoming writes that take effect but get no response.
        duplicate_events: Every watch event is delivered twice.
        repeat_old_events: The event preceding each watch event is delivered again after it.
        event_delay_s: Delay of every watch event.
        plan: Faults of the upcoming calls, one for each call, applied before the switches.
    """

    outage: bool = False
    stale: bool = False
    delay_s: float = 0.0
    slow_s: float = 5.0
    lose_requests: int = 0
    lose_answers: int = 0
    duplicate_events: bool = False
    repeat_old_events: bool = False
    event_delay_s: float = 0.0
    plan: deque[Fault] = field(default_factory=deque)


class MemoryObjectStore:
    """An ObjectStore in memory that emulates the platform, including its faults.

    Args:
        sleep: Sleeps for a number of seconds; replaced to run in virtual time.
        history: Number of past events that a watch can resume from.
    """

    def __init__(self, sleep: Sleep = asyncio.sleep, history: int = HISTORY_EVENTS) -> None:
        self.faults = FaultSwitches()
        self._sleep = sleep
        self._objects: _Objects = {}
        self._snapshot: tuple[int, _Objects] = (0, {})
        self._version = 0
        self._history: deque[WatchEvent] = deque(maxlen=history)
        self._wake_event = asyncio.Event()
        self._calls: Counter[str] = Counter()

    @property
    def era(self) -> int:
        """Number of times that the store was restored from a copy."""
        return split_version(self._version)[0]

    @property
    def version(self) -> int:
        """Version of the latest write to any object."""
        return self._version

    @property
    def calls(self) -> dict[str, int]:
        """Number of calls by operation; a watch counts as one call."""
        return dict(self._calls)

    def latest_event_version(self, kind: str) -> int:
        """Returns the version of the latest event of a kind in the history, or 0."""
        events = (event.stored for event in reversed(self._history))
        return next((stored.version for stored in events if stored.kind == kind), 0)

    def freeze(self) -> None:
        """Takes the snapshot that stale reads return."""
        self._snapshot = (self._version, dict(self._objects))

    def copy(self) -> StoreCopy:
        """Returns a copy of the objects and of the events that a watch can resume from."""
        return StoreCopy(self._version, dict(self._objects), tuple(self._history))

    def restore(self, copy: StoreCopy) -> None:
        """Replaces the objects with an earlier copy; revisions after it are issued again."""
        era = self.era + 1
        self._version = _in_era(era, copy.version)
        self._objects = {
            key: replace(stored, version=_in_era(era, stored.version))
            for key, stored in copy.objects.items()
        }
        events = (
            replace(event, stored=replace(event.stored, version=_in_era(era, event.stored.version)))
            for event in copy.history
        )
        self._history = deque(events, maxlen=self._history.maxlen)
        self._notify_watches()

    def wake_watches(self) -> None:
        """Wakes waiting watches, so that they apply changed fault switches."""
        self._notify_watches()

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object; raises PLATFORM_NOT_FOUND if there is none."""
        fault = await self._begin_call("get")
        _, objects = self._read_state(fault)
        return _copy(_find(objects, kind, name))

    async def list(self, kind: str, *, limit: int = 0, token: str = "") -> ObjectList:
        """Returns the objects of a kind in order of name."""
        fault = await self._begin_call("list")
        version, objects = self._read_state(fault)
        names = sorted(name for k, name in objects if k == kind and name > token)
        page = names[:limit] if limit else names
        items = tuple(_copy(objects[kind, name]) for name in page)
        return ObjectList(items, version, page[-1] if len(page) < len(names) else "")

    async def create(self, kind: str, name: str, value: Value) -> StoredObject:
        """Creates an object; raises PLATFORM_ALREADY_EXISTS if there is one."""

        def apply() -> StoredObject:
            if (kind, name) in self._objects:
                raise PlatformError(Code.PLATFORM_ALREADY_EXISTS, f"{kind}/{name}")
            return self._record_write(WatchEventType.ADDED, kind, name, value)

        return await self._write("create", apply)

    async def update(
        self, kind: str, name: str, value: Value, expected_version: int
    ) -> StoredObject:
        """Replaces an object; raises PLATFORM_CONFLICT unless it has the expected version."""

        def apply() -> StoredObject:
            _check_version(_find(self._objects, kind, name), expected_version)
            return self._record_write(WatchEventType.MODIFIED, kind, name, value)

        return await self._write("update", apply)

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Removes an object; raises PLATFORM_CONFLICT unless it has the expected version."""

        def apply() -> None:
            stored = _find(self._objects, kind, name)
            _check_version(stored, expected_version)
            self._record_write(WatchEventType.DELETED, kind, name, stored.value)
            del self._objects[kind, name]

        await self._write("delete", apply)

    async def watch(self, kind: str, version: int) -> AsyncIterator[WatchEvent]:
        """Yields the events after a version until an outage ends the watch."""
        await self._begin_call("watch")
        self._check_resumable(version)
        previous: WatchEvent | None = None
        era = self.era
        while True:
            if self.era != era:
                raise PlatformError(Code.PLATFORM_WATCH_EXPIRED, "restored from a copy")
            wake_event = self._wake_event
            for event in self._events(kind, version):
                if self.faults.event_delay_s:
                    await self._sleep(self.faults.event_delay_s)
                self._check_reachable()
                for delivered in self._delivered(event, previous):
                    yield delivered
                previous, version = event, event.stored.version
            self._check_reachable()
            await wake_event.wait()

    def _events(self, kind: str, version: int) -> tuple[WatchEvent, ...]:
        newer = (event for event in self._history if event.stored.version > version)
        return tuple(event for event in newer if event.stored.kind == kind)

    def _delivered(self, event: WatchEvent, previous: WatchEvent | None) -> tuple[WatchEvent, ...]:
        copies = (event,) * (2 if self.faults.duplicate_events else 1)
        if previous is None or not self.faults.repeat_old_events:
            return copies
        return (*copies, previous)

    async def _write(self, operation: str, apply: Callable[[], _T]) -> _T:
        fault = await self._begin_call(operation)
        result = apply()
        if fault is Fault.LOST_ANSWER:
            raise PlatformError(Code.PLATFORM_TIMEOUT, f"{operation}: no response")
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise PlatformError(Code.PLATFORM_TIMEOUT, f"{operation}: no response")
        return result

    async def _begin_call(self, operation: str) -> Fault:
        self._calls[operation] += 1
        fault = self.faults.plan.popleft() if self.faults.plan else Fault.NONE
        delay = self.faults.slow_s if fault is Fault.SLOW else self.faults.delay_s
        if delay:
            await self._sleep(delay)
        if fault is Fault.OUTAGE:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, operation)
        self._check_reachable()
        lost_read_response = fault is Fault.LOST_ANSWER and operation in ("get", "list", "watch")
        if fault is Fault.LOST_REQUEST or lost_read_response:
            raise PlatformError(Code.PLATFORM_TIMEOUT, f"{operation}: no response")
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            raise PlatformError(Code.PLATFORM_TIMEOUT, f"{operation}: no response")
        return fault

    def _check_reachable(self) -> None:
        if self.faults.outage:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "outage")

    def _check_resumable(self, version: int) -> None:
        if version > self._version or split_version(version)[0] != self.era:
            raise PlatformError(Code.PLATFORM_WATCH_EXPIRED, f"{version} is not in the history")
        if len(self._history) == self._history.maxlen:
            oldest = self._history[0].stored.version
            if version < oldest - 1:
                raise PlatformError(
                    Code.PLATFORM_WATCH_EXPIRED, f"{version} predates the event history"
                )

    def _read_state(self, fault: Fault) -> tuple[int, _Objects]:
        if fault is Fault.STALE or self.faults.stale:
            return self._snapshot
        return self._version, self._objects

    def _record_write(
        self, type_: WatchEventType, kind: str, name: str, value: Value
    ) -> StoredObject:
        check_size(kind, name, value)
        self._version += 1
        stored = StoredObject(kind, name, self._version, copy_value(value))
        self._objects[kind, name] = stored
        self._history.append(WatchEvent(type_, stored))
        self._notify_watches()
        return _copy(stored)

    def _notify_watches(self) -> None:
        self._wake_event.set()
        self._wake_event = asyncio.Event()


def _in_era(era: int, version: int) -> int:
    return compose_version(era, split_version(version)[1])


def _find(objects: _Objects, kind: str, name: str) -> StoredObject:
    stored = objects.get((kind, name))
    if stored is None:
        raise PlatformError(Code.PLATFORM_NOT_FOUND, f"{kind}/{name}")
    return stored


def _check_version(stored: StoredObject, expected_version: int) -> None:
    if stored.version != expected_version:
        detail = f"{stored.kind}/{stored.name} has version {stored.version}"
        raise PlatformError(Code.PLATFORM_CONFLICT, f"{detail}, not {expected_version}")


def _copy(stored: StoredObject) -> StoredObject:
    return StoredObject(stored.kind, stored.name, stored.version, copy_value(stored.value))
