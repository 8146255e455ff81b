"""Instance list of a zone in the platform's store, read by the fabric and by new instances.

The list may be out of date and is only a hint; the membership protocol decides which instances
are members. Each zone has one object of kind INSTANCE_LIST_KIND with an entry per instance.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from enum import StrEnum

import msgspec
import structlog

from pearwell.errors import Code, PlatformError
from pearwell.kernel import Kernel
from pearwell.messages import Message
from pearwell.model.membership import Member
from pearwell.object_store import ObjectStore, StoredObject
from pearwell.settings import Settings

__all__ = [
    "INSTANCE_LIST_KIND",
    "InstanceEntry",
    "InstanceList",
    "InstanceRegistration",
    "ListedInstances",
    "ListedState",
    "local_entry",
]

INSTANCE_LIST_KIND = "instancelist"
MAX_ATTEMPTS = 30
CONFLICT_BACKOFF_S = 0.02
REGISTER_RETRY_S = 2.0

_WRITE_CONFLICT_CODES = frozenset(
    {Code.PLATFORM_CONFLICT, Code.PLATFORM_ALREADY_EXISTS, Code.PLATFORM_NOT_FOUND}
)
_log = structlog.get_logger()


class ListedState(StrEnum):
    """Whether the fabric may send packets to an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceEntry(msgspec.Struct, frozen=True):
    """An entry of the instance list.

    Attributes:
        instance: Instance id.
        address: IP address.
        fabric_port: UDP port for packets from the fabric.
        peer_port: UDP port for packets forwarded by peers.
        control_port: gRPC port for messages between instances.
        state: Whether the fabric may send packets to it.
    """

    instance: str
    address: str
    fabric_port: int
    peer_port: int
    control_port: int
    state: ListedState = ListedState.LIVE

    def member(self) -> Member:
        """Returns the instance as a seed member."""
        return Member(self.instance, self.address, self.peer_port, self.control_port)


class ListedInstances(msgspec.Struct, frozen=True):
    """The stored value of a zone's instance list."""

    instances: tuple[InstanceEntry, ...] = ()

    def replacing(self, entry: InstanceEntry) -> "ListedInstances":
        """Returns a copy of the list with an entry added or replaced."""
        return ListedInstances((*self.without(entry.instance).instances, entry))

    def without(self, instance: str) -> "ListedInstances":
        """Returns a copy of the list without an instance."""
        return ListedInstances(tuple(e for e in self.instances if e.instance != instance))


def local_entry(settings: Settings, state: ListedState = ListedState.LIVE) -> InstanceEntry:
    """Returns the list entry of the local instance."""
    return InstanceEntry(
        settings.instance,
        settings.address,
        settings.fabric_port,
        settings.peer_port,
        settings.control_port,
        state,
    )


class InstanceList:
    """Reads and updates the instance list of one zone with conditional writes.

    Args:
        store: The platform's object store.
        zone: Availability zone.
        rng: Source of jitter between attempts.
    """

    def __init__(self, store: ObjectStore, zone: str, rng: random.Random) -> None:
        self._store = store
        self._zone = zone
        self._rng = rng

    async def read(self) -> ListedInstances:
        """Returns the list, which is empty if the object doesn't exist yet.

        Raises:
            PlatformError: The platform is unreachable or the stored list is malformed.
        """
        stored = await self._find()
        return ListedInstances() if stored is None else _decode(stored)

    async def put(self, entry: InstanceEntry) -> None:
        """Adds or replaces an entry; does nothing if the list already contains it.

        Raises:
            PlatformError: The platform failed, or concurrent writes made every attempt fail.
        """
        await self._change(lambda listed: listed.replacing(entry))

    async def remove(self, instance: str) -> None:
        """Removes an instance; does nothing if it isn't listed.

        Raises:
            PlatformError: The platform failed, or concurrent writes made every attempt fail.
        """
        await self._change(lambda listed: listed.without(instance))

    async def _change(self, change: Callable[[ListedInstances], ListedInstances]) -> None:
        for attempt in range(MAX_ATTEMPTS):
            stored = await self._find()
            before = ListedInstances() if stored is None else _decode(stored)
            after = change(before)
            if set(after.instances) == set(before.instances):
                return
            try:
                await self._write(stored, after)
            except PlatformError as error:
                if error.code not in _WRITE_CONFLICT_CODES:
                    raise
            else:
                return
            await asyncio.sleep(self._rng.uniform(0, CONFLICT_BACKOFF_S * (attempt + 1)))
        raise PlatformError(Code.PLATFORM_CONFLICT, f"{INSTANCE_LIST_KIND}/{self._zone}")

    async def _find(self) -> StoredObject | None:
        try:
            return await self._store.get(INSTANCE_LIST_KIND, self._zone)
        except PlatformError as error:
            if error.code is Code.PLATFORM_NOT_FOUND:
                return None
            raise

    async def _write(self, stored: StoredObject | None, listed: ListedInstances) -> None:
        value = msgspec.to_builtins(listed)
        if stored is None:
            await self._store.create(INSTANCE_LIST_KIND, self._zone, value)
        else:
            await self._store.update(INSTANCE_LIST_KIND, self._zone, value, stored.version)


class InstanceRegistration:
    """The kernel service "instances"; registers the local instance in the platform's list.

    Args:
        settings: Settings of the local instance.
        instances: Instance list of its zone.
    """

    name = "instances"
    accepts: tuple[type[Message], ...] = ()

    def __init__(self, settings: Settings, instances: InstanceList) -> None:
        self._settings = settings
        self._instances = instances
        self._task: asyncio.Task[None] | None = None
        self._registered = False

    @property
    def registered(self) -> bool:
        """Whether the local instance was stored in the list as live."""
        return self._registered

    async def start(self, kernel: Kernel) -> None:
        """Starts registration, which retries in the background until the platform accepts it."""
        self._task = asyncio.ensure_future(self._register())

    async def stop(self) -> None:
        """Stops registration attempts."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def deliver(self, message: Message) -> None:
        """Ignores messages; the service subscribes to none."""

    async def mark_leaving(self) -> bool:
        """Marks the instance as leaving; returns whether the platform accepted the update."""
        await self.stop()
        entry = local_entry(self._settings, ListedState.LEAVING)
        return await self._try(self._instances.put(entry), "withdraw")

    async def remove(self) -> bool:
        """Removes the instance from the list; returns whether the platform accepted the update."""
        return await self._try(self._instances.remove(self._settings.instance), "remove")

    async def _register(self) -> None:
        while not self._registered:
            entry = local_entry(self._settings)
            self._registered = await self._try(self._instances.put(entry), "register")
            if not self._registered:
                await asyncio.sleep(REGISTER_RETRY_S)
        _log.info("instance_listed", zone=self._settings.zone)

    async def _try(self, operation: Awaitable[None], step: str) -> bool:
        try:
            await operation
        except PlatformError as error:
            _log.warning("instance_list_failed", step=step, code=error.code.name)
            return False
        return True


def _decode(stored: StoredObject) -> ListedInstances:
    try:
        return msgspec.convert(stored.value, ListedInstances)
    except msgspec.ValidationError as error:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"instance list: {error}") from error
