"""One process of the platform's role, its streams, and whether its end was asked for."""

import asyncio
import contextlib
import os
import re
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pearwell.platform.settings import PATH_VARIABLE
from pearwell.soak.processes import ROLE_ARGUMENTS, ManagedProcess
from pearwell.soak.start_schedule import Output

__all__ = ["RoleProcess", "measure_interpreter_start"]

POLL_INTERVAL_S = 0.001
# A task may fail for want of a descriptor, as long as the process goes on.
_STARVED = re.compile(r"event=task_failed .*OSError\(24,")
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Statuses of a process that gets a signal when it handles signals, and before the script.
_STATUSES = {
    signal.SIGTERM: ({0}, {0, -signal.SIGTERM}),
    signal.SIGINT: ({0}, {0, 1, -signal.SIGINT}),
    signal.SIGKILL: ({-signal.SIGKILL}, {-signal.SIGKILL}),
}
# Processor time in which the interpreter reaches the script, in starts of an interpreter without
# a script.
SCRIPT_STARTS = 3.0


class RoleProcess(ManagedProcess):
    """A process of the role, which is started once.

    Args:
        name: Name in reports.
        settings: Its settings file.
        log: File that its output is appended to.
        on_line: Called with the name and each line of its output or of its errors.
        output: Its standard output.
        interpreter_s: Processor time of the start of an interpreter in seconds.

    Attributes:
        circumstances: Describes its start and the trouble since, for reports.
        stopped_s: Time in seconds for which it was stopped.
        asked_at: When it was asked to end; None if it wasn't.
    """

    def __init__(
        self,
        name: str,
        settings: Path,
        log: Path,
        on_line: Callable[[str, str], None],
        output: Output,
        interpreter_s: float,
    ) -> None:
        variables = {PATH_VARIABLE: str(settings)}
        super().__init__(name, ROLE_ARGUMENTS, variables, log, self._handle_line)
        self._handle = on_line
        self._output = output
        self._script_cpu_s = interpreter_s * SCRIPT_STARTS
        self._statuses: set[int] = set()
        self._interrupted_early = False
        self._starved = False
        self._waits: tuple[float, ...] = (0.0, 0.0)
        self._descriptors = contextlib.ExitStack()
        log.unlink(missing_ok=True)
        self.circumstances: list[str] = []
        self.stopped_s = 0.0
        self.asked_at: float | None = None

    def __str__(self) -> str:
        return f"{self.name} ({'; '.join(self.circumstances)})"

    @property
    def lateness(self) -> str:
        """Describes for how long it and the soak have waited for a processor since it was asked."""
        own_s, soak_s = (
            _read_wait(pid) - before for pid, before in zip(self._pids, self._waits, strict=True)
        )
        return f"{self}: waited {own_s:.1f} s for a processor, the soak {soak_s:.1f} s"

    @property
    def _is_before_script(self) -> bool:
        """Whether it neither blocks nor handles SIGHUP, and may not have reached the script."""
        try:
            used_ns = int(Path(f"/proc/{self._pid}/schedstat").read_text().split()[0])
            text = Path(f"/proc/{self._pid}/status").read_text()
        except OSError:
            return False
        fields = dict(line.split(":\t", 1) for line in text.splitlines() if ":\t" in line)
        masks = int(fields["SigBlk"], 16) | int(fields["SigCgt"], 16)
        handles_signals = masks >> (signal.SIGHUP - 1) & 1
        return not handles_signals and used_ns < self._script_cpu_s * 1e9

    @property
    def exit_fault(self) -> str:
        """Describes an end that wasn't asked for, or that has a wrong status; "" for none."""
        status = None if self._process is None else self._process.returncode
        if status is None or status in self._statuses:
            return ""
        asked = sorted(self._statuses)
        return f"{self}: status {status}, not {asked}; end of its log:\n{self.log_tail}"

    @property
    def _pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def _pids(self) -> tuple[int, int]:
        return self._pid, os.getpid()

    async def start(self) -> None:
        """Starts the process."""
        # After the start the process alone holds its end of a pipe.
        with contextlib.ExitStack() as self._inherited:
            await super().start()

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal, and records which ends it asks for."""
        if not self.running:
            return
        if signal_number in _STATUSES:
            handled, unhandled = _STATUSES[signal_number]
            is_early = self._is_before_script
            self._interrupted_early |= is_early and signal_number == signal.SIGINT
            self._statuses |= unhandled if is_early else handled
            if self.asked_at is None:
                self.asked_at = time.monotonic()
                self._waits = tuple(map(_read_wait, self._pids))
        super().send(signal_number)

    async def reach_script(self) -> None:
        """Waits until the process has had the processor time to reach the role's first line.

        SIGHUP ends an interpreter that has not yet reached it, which the role can't prevent.
        """
        while self.running and self._is_before_script:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait(self, timeout_s: float) -> bool:
        """Waits for the end; returns whether it has ended within the time."""
        assert self._reader is not None
        await asyncio.wait([self._reader], timeout=timeout_s)
        return self._reader.done()

    async def pause(self, for_s: float) -> None:
        """Stops the process for a time."""
        started_at = time.monotonic()
        self.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.send(signal.SIGCONT)
        self.stopped_s += time.monotonic() - started_at

    async def limit_descriptors(self, limit: int, for_s: float) -> None:
        """Lowers the limit of open file descriptors for a time."""
        self._starved = True
        # The process has inherited the limits of this one.
        inherited = resource.getrlimit(resource.RLIMIT_NOFILE)
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(self._pid, resource.RLIMIT_NOFILE, (limit, inherited[1]))
            await asyncio.sleep(for_s)
            if self.running:
                resource.prlimit(self._pid, resource.RLIMIT_NOFILE, inherited)

    def _streams(self) -> dict[str, Any]:
        if self._output is Output.READ:
            return super()._streams()
        streams: dict[str, Any] = {"stderr": self._inherited.enter_context(self._log.open("a"))}
        if self._output is Output.CLOSED:
            return {**streams, "preexec_fn": lambda: os.close(1)}
        if self._output is Output.FULL_DEVICE:
            return {**streams, "stdout": self._inherited.enter_context(open("/dev/full", "w"))}
        reader, writer = os.pipe()
        self._inherited.callback(os.close, writer)
        if self._output is Output.FULL_PIPE:
            _fill(writer)
        self._descriptors.callback(os.close, reader)
        return {**streams, "stdout": writer}

    def close_reader(self) -> None:
        """Closes the reader's end of the pipe of the standard output."""
        self._descriptors.close()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        await super()._read(process)
        self.close_reader()
        if self._output is not Output.READ:
            for line in self._log.read_text(errors="replace").splitlines():
                self._handle_line(self.name, line)

    def _handle_line(self, name: str, line: str) -> None:
        # Before the script, SIGINT ends the interpreter with a traceback.
        starved = self._starved and _STARVED.search(line)
        if not (self._interrupted_early or starved):
            self._handle(name, line)


def measure_interpreter_start() -> float:
    """Returns the processor time of the start of an interpreter in seconds."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-S", "-c", "pass"], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def _read_wait(pid: int) -> float:
    """Returns the time for which a process was ready to run but had no processor, in seconds."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except OSError:
        return 0.0


def _fill(pipe: int) -> None:
    os.set_blocking(pipe, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(pipe, bytes(1024))
    os.set_blocking(pipe, True)
