"""Starts, signals and ends the processes of a soak, each by its process id."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

__all__ = ["ROLE_ARGUMENTS", "ROOT", "ManagedProcess"]

ROOT = Path(__file__).resolve().parents[2]
# Arguments of the interpreter, as in deploy/system.toml.
ROLE_ARGUMENTS = ["-S", "deploy/edge.py"]
RESTART_DELAY_S = 0.4
EXIT_TIMEOUT_S = 8.0
# Part of a log that a report of an unexpected end holds.
TAIL_LINES, TAIL_CHARS = 30, 4_000


class ManagedProcess:
    """A Python program that runs as a process and can be restarted.

    Args:
        name: Name in reports.
        arguments: Arguments of the Python interpreter.
        environment: Variables that are added to the environment.
        log: File that its output is appended to.
        on_line: Called with the name and each line of its output.

    Attributes:
        root: Directory of the build that its next start runs.
        unexpected_exits: Number of ends that it wasn't asked for.
        exit_report: Status and end of the log of the latest of these.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        environment: dict[str, str],
        log: Path,
        on_line: Callable[[str, str], None],
    ) -> None:
        self.name = name
        self._arguments = arguments
        self._environment = environment
        self._log = log
        self._on_line = on_line
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None
        self._pidfd: int | None = None
        self._exit_expected = False
        self._restart_lock = asyncio.Lock()
        self.root = ROOT
        self.faulty_until = float("-inf")
        self.starts = 0
        self.unexpected_exits = 0
        self.exit_report = ""

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def log_tail(self) -> str:
        """Last lines of its log, for the report of an end that wasn't asked for."""
        try:
            lines = self._log.read_text(errors="replace").splitlines()
        except OSError as error:
            return f"no log: {error}"
        return "\n".join(lines[-TAIL_LINES:])[-TAIL_CHARS:]

    async def start(self) -> None:
        """Starts the process."""
        self._exit_expected = False
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._arguments,
            cwd=self.root,
            # Shows where a process was that aborts.
            env={**os.environ, "PYTHONFAULTHANDLER": "1", **self._environment},
            **self._streams(),
        )
        with contextlib.suppress(ProcessLookupError):
            self._pidfd = os.pidfd_open(self._process.pid)
        self.starts += 1
        self._reader = asyncio.get_running_loop().create_task(self._read(self._process))

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal."""
        if self._pidfd is not None:
            self._exit_expected = self._exit_expected or signal_number in (
                signal.SIGKILL,
                signal.SIGTERM,
            )
            # Unlike Process.send_signal(), this doesn't take the status of an ended process.
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._pidfd, signal_number)

    async def end(self, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """Sends a signal and waits for the exit; kills the process after a timeout."""
        self.send(signal_number)
        if self._process is None:
            return
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self._process.wait()
        if self._reader is not None:
            await self._reader

    async def restart(self, signal_number: signal.Signals) -> None:
        """Ends the process and starts it again after a short delay.

        Concurrent restarts run one after the other, as the platform never runs two processes of a
        role on one machine.
        """
        async with self._restart_lock:
            await self.end(signal_number)
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start()

    def _streams(self) -> dict[str, Any]:
        """Returns arguments for the streams of the process."""
        return {"stdout": asyncio.subprocess.PIPE, "stderr": asyncio.subprocess.STDOUT}

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        if process.stdout is not None:
            with self._log.open("a") as log:
                while line := await process.stdout.readline():
                    text = line.decode(errors="replace")
                    log.write(text)
                    self._on_line(self.name, text.rstrip())
        await process.wait()
        if self._pidfd is not None:
            os.close(self._pidfd)
            self._pidfd = None
        if not self._exit_expected:
            self.unexpected_exits += 1
            self.exit_report = f"status {process.returncode}; end of its log:\n{self.log_tail}"
