"""A small epoll event loop for coroutines that wait for a socket, a trigger or a deadline.

Importing asyncio takes 40 ms of CPU time, which on a small machine would extend the time in which
a restarted instance forwards nothing by a quarter of a second.
"""

import errno
import select
import socket
import time
from collections.abc import Callable, Coroutine, Generator
from heapq import heappop, heappush

from pearwell.errors import Code, SettingsError

__all__ = ["Reactor", "Trigger", "Wait", "bind_socket", "boot_time"]

READ = select.EPOLLIN
WRITE = select.EPOLLOUT
# Time in seconds after which a coroutine of keep_running() that has failed starts again.
RESTART_DELAY_S = 1.0
# Time between two polls that indicates a pause of the process or the machine, and the maximum wait
# of a poll: whatever arrives in a shorter pause is younger than the client's next transmission.
MIN_PAUSE_S = 0.2
MAX_WAIT_S = 0.1
# Connections of a listening socket that wait to be accepted.
BACKLOG = 128


def boot_time() -> float:
    """Returns the seconds since the machine started, with those in which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Wait:
    """What a coroutine waits for: a socket's readiness or a trigger, up to a deadline.

    Attributes:
        sock: The socket, or None.
        events: READ or WRITE.
        deadline: Clock time in seconds.
        trigger: The trigger, or None.
    """

    __slots__ = ("deadline", "events", "trigger", "sock")

    def __init__(
        self,
        sock: socket.socket | None,
        events: int,
        deadline: float,
        trigger: "Trigger | None" = None,
    ) -> None:
        self.sock = sock
        self.events = events
        self.deadline = deadline
        self.trigger = trigger

    def __await__(self) -> Generator["Wait", bool, bool]:
        return (yield self)


class Trigger:
    """Resumes all coroutines that wait for it when it fires.

    Args:
        reactor: The event loop that runs the coroutines.
    """

    def __init__(self, reactor: "Reactor") -> None:
        self._reactor = reactor
        self._tasks: list[tuple[_Task, int]] = []

    def wait(self, timeout_s: float) -> Wait:
        """Returns an awaitable for the next fire(); its result is False on a timeout."""
        return Wait(None, 0, self._reactor.now() + timeout_s, self)

    def fire(self) -> None:
        """Resumes all coroutines that are waiting now."""
        tasks, self._tasks = self._tasks, []
        for task, generation in tasks:
            self._reactor.resume(task, generation)

    def add(self, task: "_Task") -> None:
        """Adds a waiting coroutine; removes those that have timed out."""
        self._tasks = [
            (waiting, generation)
            for waiting, generation in self._tasks
            if waiting.generation == generation
        ]
        self._tasks.append((task, task.generation))


class _Task:
    __slots__ = ("coroutine", "fd", "generation")

    def __init__(self, coroutine: Coroutine[Wait, bool, None]) -> None:
        self.coroutine = coroutine
        self.fd = -1
        self.generation = 0


class Reactor:
    """Runs callbacks and coroutines until it is stopped.

    Attributes:
        now: Returns the current time in seconds.

    Args:
        now: Returns the current time in seconds of a monotonic clock.
        on_error: Called with an exception that a callback raised or that terminated a coroutine;
            all others go on.
        on_pause: Called with the maximum duration in seconds of a pause of the process, before
            anything that arrived meanwhile is read.
    """

    def __init__(
        self,
        now: Callable[[], float],
        on_error: Callable[[Exception], None],
        on_pause: Callable[[float], None] = lambda pause_s: None,
    ) -> None:
        self.now = now
        self._on_error = on_error
        self._on_pause = on_pause
        self._epoll = select.epoll()
        self._readers: dict[int, Callable[[], None]] = {}
        self._waiting: dict[int, _Task] = {}
        self._timers: list[tuple[float, int, _Task, int]] = []
        self._timer_count = 0
        self._stopped = False
        self._polled_at: float | None = None

    def add_reader(self, sock: socket.socket, callback: Callable[[], None]) -> None:
        """Registers a callback for whenever a socket is readable."""
        self._readers[sock.fileno()] = callback
        self._epoll.register(sock.fileno(), READ)

    def remove_reader(self, sock: socket.socket) -> None:
        """Removes the callback of a socket."""
        del self._readers[sock.fileno()]
        self._unregister(sock.fileno())

    def spawn(self, coroutine: Coroutine[Wait, bool, None]) -> None:
        """Starts a coroutine."""
        self._step(_Task(coroutine), True)

    def keep_running(self, start: Callable[[], Coroutine[Wait, bool, None]]) -> None:
        """Starts a coroutine, and starts it again a while after it failed."""
        self.spawn(self._keep_running(start))

    def readable(
        self, sock: socket.socket, timeout_s: float, trigger: Trigger | None = None
    ) -> Wait:
        """Returns an awaitable for readability; its result is False on a timeout.

        A trigger that fires ends the wait as well.
        """
        return Wait(sock, READ, self.now() + timeout_s, trigger)

    def writable(self, sock: socket.socket, timeout_s: float) -> Wait:
        """Returns an awaitable for writability; its result is False on a timeout."""
        return Wait(sock, WRITE, self.now() + timeout_s)

    def sleep(self, seconds: float) -> Wait:
        """Returns an awaitable that ends after a delay; its result is False."""
        return Wait(None, 0, self.now() + seconds)

    def resume(self, task: _Task, generation: int) -> None:
        """Resumes a coroutine unless it has been resumed since that generation."""
        if task.generation == generation:
            self._step(task, True)

    def stop(self) -> None:
        """Makes run() return."""
        self._stopped = True

    def run(
        self,
        next_due: Callable[[], float | None] = lambda: None,
        on_due: Callable[[float], None] = lambda now: None,
    ) -> None:
        """Runs until stop() is called.

        Args:
            next_due: Returns the clock time in seconds at which to call on_due, or None.
            on_due: Called at that time, after all readable sockets have been read.
        """
        while not self._stopped:
            self._poll(next_due())
            now = self.now()
            while self._timers and self._timers[0][0] <= now:
                _, _, task, generation = heappop(self._timers)
                if task.generation == generation:
                    self._step(task, False)
            due = next_due()
            if due is not None and due <= now:
                self._call(on_due, now)

    async def _keep_running(self, start: Callable[[], Coroutine[Wait, bool, None]]) -> None:
        while True:
            try:
                await start()
            except Exception as error:
                self._on_error(error)
                await self.sleep(RESTART_DELAY_S)
            else:
                return

    def _call(self, callback: Callable[..., None], *arguments: float) -> None:
        try:
            callback(*arguments)
        except Exception as error:
            self._on_error(error)

    def _poll(self, due: float | None) -> None:
        wakeups = [due] if due is not None else []
        while self._timers and self._timers[0][2].generation != self._timers[0][3]:
            heappop(self._timers)
        if self._timers:
            wakeups.append(self._timers[0][0])
        started = self.now()
        timeout = min(MAX_WAIT_S, max(0.0, min(wakeups) - started)) if wakeups else MAX_WAIT_S
        ready = self._epoll.poll(timeout)
        now = self.now()
        # What is readable now arrived after the previous poll, which a pause may have followed.
        pause_s = now - (started if self._polled_at is None else self._polled_at)
        self._polled_at = now
        if pause_s > MIN_PAUSE_S:
            self._call(self._on_pause, pause_s)
            # Handling the backlog is no pause: what arrives meanwhile is read at its end.
            self._polled_at = self.now()
        for fd, _ in ready:
            callback = self._readers.get(fd)
            if callback is not None:
                self._call(callback)
                continue
            task = self._waiting.get(fd)
            if task is not None:
                self._step(task, True)

    def _step(self, task: _Task, ready: bool) -> None:
        task.generation += 1
        if task.fd >= 0:
            self._waiting.pop(task.fd, None)
            self._unregister(task.fd)
            task.fd = -1
        value = ready if task.generation > 1 else None
        try:
            wait = task.coroutine.send(value)  # type: ignore[arg-type]
            while (failure := self._watch(task, wait)) is not None:
                wait = task.coroutine.throw(failure)
        except StopIteration:
            return
        except Exception as error:
            self._on_error(error)
            return
        if wait.trigger is not None:
            wait.trigger.add(task)
        self._timer_count += 1
        heappush(self._timers, (wait.deadline, self._timer_count, task, task.generation))

    def _watch(self, task: _Task, wait: Wait) -> Exception | None:
        """Watches the socket that a coroutine waits for; returns why that is impossible, if so."""
        if wait.sock is None:
            return None
        fd = wait.sock.fileno()
        try:
            self._epoll.register(fd, wait.events)
        except (OSError, ValueError) as error:
            # A closed socket, one that another coroutine waits for, or no memory.
            return error
        task.fd = fd
        self._waiting[fd] = task
        return None

    def _unregister(self, fd: int) -> None:
        try:
            self._epoll.unregister(fd)
        except OSError:
            # Closing the descriptor has already removed it from the epoll set.
            return


def bind_socket(kind: int, address: tuple[str, int]) -> socket.socket:
    """Returns a bound non-blocking socket; a TCP socket listens.

    Args:
        kind: SOCK_DGRAM or SOCK_STREAM.
        address: IP address and port.

    Raises:
        SettingsError: SETTINGS_PORT_IN_USE, or SETTINGS_INVALID_VALUE for other bind errors.
    """
    ip, port = address
    sock = None
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in ip else socket.AF_INET, kind)
        sock.setblocking(False)
        if kind == socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        if kind == socket.SOCK_STREAM:
            sock.listen(BACKLOG)
    except (OSError, OverflowError) as error:
        if sock is not None:
            sock.close()
        in_use = isinstance(error, OSError) and error.errno == errno.EADDRINUSE
        code = Code.SETTINGS_PORT_IN_USE if in_use else Code.SETTINGS_INVALID_VALUE
        protocol = "UDP" if kind == socket.SOCK_DGRAM else "TCP"
        reason = error.strerror if isinstance(error, OSError) else error
        raise SettingsError(code, f"{protocol} {ip}:{port}: {reason}") from error
    return sock
