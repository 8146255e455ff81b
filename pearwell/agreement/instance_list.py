"""The platform's list of the instances of a zone, from which the fabric and new instances start.

The list lags and is only a hint: membership decides who takes part. One object of kind
INSTANCE_LIST_KIND for each zone holds an entry for each instance.
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
    "own_entry",
]

INSTANCE_LIST_KIND = "instancelist"
MAX_ATTEMPTS = 30
CONFLICT_PAUSE_S = 0.02
REGISTER_RETRY_S = 2.0

_LOST_RACE = frozenset(
    {Code.PLATFORM_CONFLICT, Code.PLATFORM_ALREADY_EXISTS, Code.PLATFORM_NOT_FOUND}
)
_log = structlog.get_logger()


class ListedState(StrEnum):
    """Whether the fabric may send packets to an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceEntry(msgspec.Struct, frozen=True):
    """One instance of the list.

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
        """Returns the instance as a member to start the membership from."""
        return Member(self.instance, self.address, self.peer_port, self.control_port)


class ListedInstances(msgspec.Struct, frozen=True):
    """The value of the list's object."""

    instances: tuple[InstanceEntry, ...] = ()

    def replacing(self, entry: InstanceEntry) -> "ListedInstances":
        """Returns the list with an entry added or replaced."""
        return ListedInstances((*self.without(entry.instance).instances, entry))

    def without(self, instance: str) -> "ListedInstances":
        """Returns the list without an instance."""
        return ListedInstances(tuple(e for e in self.instances if e.instance != instance))


def own_entry(settings: Settings, state: ListedState = ListedState.LIVE) -> InstanceEntry:
    """Returns the entry of an instance from its settings."""
    return InstanceEntry(
        settings.instance,
        settings.address,
        settings.fabric_port,
        settings.peer_port,
        settings.control_port,
        state,
    )


class InstanceList:
    """Reads and changes the list of one zone by conditional updates.

    Args:
        store: The platform.
        zone: Availability zone.
        rng: Chooses pauses between attempts.
    """

    def __init__(self, store: ObjectStore, zone: str, rng: random.Random) -> None:
        self._store = store
        self._zone = zone
        self._rng = rng

    async def read(self) -> ListedInstances:
        """Returns the list; empty if there is none yet.

        Raises:
            PlatformError: The platform didn't answer, or with something else.
        """
        stored = await self._find()
        return ListedInstances() if stored is None else _decode(stored)

    async def put(self, entry: InstanceEntry) -> None:
        """Adds or replaces an entry; without effect if it is there already.

        Raises:
            PlatformError: The platform didn't answer, or others kept changing the list.
        """
        await self._change(lambda listed: listed.replacing(entry))

    async def remove(self, instance: str) -> None:
        """Removes an instance; without effect if it isn't there.

        Raises:
            PlatformError: The platform didn't answer, or others kept changing the list.
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
                if error.code not in _LOST_RACE:
                    raise
            else:
                return
            await asyncio.sleep(self._rng.uniform(0, CONFLICT_PAUSE_S * (attempt + 1)))
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
    """The service "instances": keeps the own entry in the platform's list.

    Args:
        settings: The instance's settings.
        instances: The list of its zone.
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
        """Whether the platform has listed this instance as live."""
        return self._registered

    async def start(self, kernel: Kernel) -> None:
        """Starts to register; goes on in the background while the platform is out of reach."""
        self._task = asyncio.ensure_future(self._register())

    async def stop(self) -> None:
        """Stops registering."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def deliver(self, message: Message) -> None:
        """Takes no messages."""

    async def withdraw(self) -> bool:
        """Lists the instance as leaving; returns whether the platform took it."""
        await self.stop()
        entry = own_entry(self._settings, ListedState.LEAVING)
        return await self._try(self._instances.put(entry), "withdraw")

    async def remove(self) -> bool:
        """Removes the instance from the list; returns whether the platform took it."""
        return await self._try(self._instances.remove(self._settings.instance), "remove")

    async def _register(self) -> None:
        while not self._registered:
            entry = own_entry(self._settings)
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
