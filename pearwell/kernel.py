"""In-process service registry and message bus of the daemon."""

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any, Protocol, TypeVar

import structlog

from pearwell.messages import Message

__all__ = ["Kernel", "KernelService", "QueuedService"]

_ServiceT = TypeVar("_ServiceT")
_log = structlog.get_logger()


class KernelService(Protocol):
    """A service of the daemon that the kernel starts, stops and delivers messages to.

    Attributes:
        name: Unique name that other services look it up by.
    """

    name: str

    @property
    def accepts(self) -> tuple[type[Message], ...]:
        """Types of published messages that the service receives."""

    async def start(self, kernel: "Kernel") -> None:
        """Starts the service; services added before it are already running."""

    async def stop(self) -> None:
        """Stops the service and waits for its tasks to end."""

    def deliver(self, message: Message) -> None:
        """Receives a message; must not block."""


class Kernel:
    """Registry of the services of one daemon; routes messages between them."""

    def __init__(self) -> None:
        self._services: dict[str, KernelService] = {}
        self._started: list[KernelService] = []

    @property
    def names(self) -> Iterable[str]:
        """Names of all services, in start order."""
        return tuple(self._services)

    def add(self, service: KernelService) -> None:
        """Registers a service under its name, which must be unique."""
        if service.name in self._services:
            raise ValueError(f"service {service.name!r} is already registered")
        self._services[service.name] = service

    def find(self, name: str, service_type: type[_ServiceT]) -> _ServiceT:
        """Returns the service with the given name.

        Raises:
            LookupError: No service has this name, or it has another type.
        """
        service = self._services.get(name)
        if not isinstance(service, service_type):
            raise LookupError(f"no service {name!r} of type {service_type.__name__}")
        return service

    def post(self, name: str, message: Message) -> None:
        """Delivers a message to one service; drops it if no service has that name."""
        service = self._services.get(name)
        if service is not None:
            service.deliver(message)

    def publish(self, message: Message) -> None:
        """Delivers a message to every service that accepts its type."""
        for service in self._services.values():
            if isinstance(message, service.accepts):
                service.deliver(message)

    async def start(self) -> None:
        """Starts all services in the order they were added."""
        for service in self._services.values():
            await service.start(self)
            self._started.append(service)

    async def stop(self) -> None:
        """Stops the started services in reverse order."""
        while self._started:
            await self._started.pop().stop()


class QueuedService:
    """Base class of services that handle queued messages in one task and tick in another.

    Subclasses set name and accepts and override handle; those that set interval_s override tick.
    """

    name: str = ""
    accepts: tuple[type[Message], ...] = ()
    interval_s: float = 0.0

    def __init__(self) -> None:
        self._queue: asyncio.Queue[Message] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self._kernel = Kernel()

    @property
    def kernel(self) -> Kernel:
        """The kernel that started the service."""
        return self._kernel

    async def start(self, kernel: Kernel) -> None:
        """Starts the message task, and the tick task if interval_s is set."""
        self._kernel = kernel
        self._spawn(self._run())
        if self.interval_s:
            self._spawn(self._tick_forever())

    async def stop(self) -> None:
        """Cancels the tasks and waits for them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def deliver(self, message: Message) -> None:
        """Queues a message."""
        self._queue.put_nowait(message)

    async def handle(self, message: Message) -> None:
        """Handles one message; subclasses override it."""

    async def tick(self) -> None:
        """Does periodic work; subclasses override it."""

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _run(self) -> None:
        while True:
            message = await self._queue.get()
            await self._attempt(self.handle(message))

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(self.interval_s)
            await self._attempt(self.tick())

    async def _attempt(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs one handler; logs its exception so that the service keeps running."""
        try:
            await work
        except Exception as error:
            _log.error("service_failed", service=self.name, error=repr(error), exc_info=True)
