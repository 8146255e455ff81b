"""A soak of starts and stops: the role's processes under trouble from outside.

Each instance is a machine that runs one process after the other. The platform starts a process
again that has ended; the soak checks that none ends unless it is asked to.
"""

import asyncio
import contextlib
import random
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from pearwell.platform.metrics_endpoint import METRICS_PORT
from pearwell.soak import odd_input
from pearwell.soak.checks import Checker, Guarantee
from pearwell.soak.options import SoakOptions
from pearwell.soak.processes import RESTART_DELAY_S
from pearwell.soak.role_process import RoleProcess, measure_interpreter_start
from pearwell.soak.schedule import FaultKind
from pearwell.soak.soak_harness import (
    CONTACT_S,
    CONTROL_PORT,
    GRACE_S,
    PACKET_PORT,
    PEER_PORT,
    READY_PORT,
    Harness,
    is_ready,
    probe_readiness,
    run_client,
    start_platform,
    stop_all,
    stop_clients,
    write_settings,
)
from pearwell.soak.start_schedule import (
    Ending,
    HeldPort,
    Output,
    SettingsFault,
    SignalAt,
    Start,
    Trouble,
    TroubleKind,
    draw_starts,
    draw_store_faults,
    draw_troubles,
)
from pearwell.soak.store_faults import switch_fault

__all__ = ["run_start_soak"]

# Time limit for readiness after the last trouble.
RECOVERY_S = 12.0
# Time beyond the grace time for a process to start and end on a busy machine.
STOP_SLACK_S = 2.0
POLL_INTERVAL_S = 0.05
# A share of 0.163 of a processor.
_RUN_S, _STOP_S = 0.016, 0.082
MAX_HANGUPS = 20
# Limits of open file descriptors; the interpreter needs a few to import modules.
MIN_DESCRIPTORS, MAX_DESCRIPTORS = 8, 40
MAX_IDLE_CONNECTIONS = 200
SETTINGS_PIECES = 8
# Time between planned stops of instance after instance, and between signals to those that stop.
PLANNED_GAP_S, STOP_HANGUP_GAP_S = 0.5, 0.005

_ENDING_SIGNALS = {
    Ending.KILLED: signal.SIGKILL,
    Ending.TERMINATED: signal.SIGTERM,
    Ending.INTERRUPTED: signal.SIGINT,
    Ending.DRAINING: signal.SIGTERM,
    Ending.FROZEN: signal.SIGSTOP,
}
_OVERLAPPING = {Ending.DRAINING, Ending.FROZEN}
_HELD_SOCKETS = {
    HeldPort.PACKETS: (socket.SOCK_DGRAM, PACKET_PORT),
    HeldPort.READY: (socket.SOCK_STREAM, READY_PORT),
    HeldPort.CONTROL: (socket.SOCK_STREAM, CONTROL_PORT),
    HeldPort.HINTS: (socket.SOCK_DGRAM, PEER_PORT),
    HeldPort.METRICS: (socket.SOCK_STREAM, METRICS_PORT),
}
_TCP_PORTS = (READY_PORT, CONTROL_PORT, METRICS_PORT)
_UDP_PORTS = (PACKET_PORT, PEER_PORT)


@dataclass(slots=True)
class _Instance:
    """A machine.

    Attributes:
        index: Its index.
        ip: Its IP address.
        settings: Its settings file.
        text: What the settings file should hold.
        process: The process that it runs; a predecessor may still run beside it.
        lock: Held while a process is replaced.
    """

    index: int
    ip: str
    settings: Path
    text: str
    process: RoleProcess | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(slots=True)
class _StartSoak:
    harness: Harness
    interpreter_s: float
    instances: list[_Instance] = field(default_factory=list)
    processes: list[RoleProcess] = field(default_factory=list)

    @property
    def checker(self) -> Checker:
        return self.harness.checker

    async def launch(self, instance: _Instance, start: Start | None = None) -> RoleProcess:
        """Starts a process of an instance, without trouble by default."""
        name = f"edge-{instance.index}.{len(self.processes)}"
        process = RoleProcess(
            name,
            instance.settings,
            self.harness.options.directory / f"{name}.log",
            self.checker.check_log_line,
            Output.READ if start is None else start.output,
            self.interpreter_s,
        )
        process.circumstances.append(str(start))
        # Also known to the harness, which ends all processes.
        self.harness.instances.append(process)
        self.processes.append(process)
        instance.process = process
        await process.start()
        return process


async def run_start_soak(options: SoakOptions) -> Checker:
    """Runs one soak of starts and stops and returns its outcomes and violations."""
    harness = Harness(options)
    soak = _StartSoak(harness, measure_interpreter_start())
    try:
        await start_platform(harness)
        for index in range(options.instances):
            settings = write_settings(harness, index)
            ip = harness.ip(1, index + 1)
            soak.instances.append(_Instance(index, ip, settings, settings.read_text()))
            harness.spawn(probe_readiness(harness, index))
        clients = [
            asyncio.ensure_future(run_client(harness, index)) for index in range(options.clients)
        ]
        harness.record_fault(options.length_s)
        await _make_trouble(soak)
        await _check_readiness(soak)
        await _check_planned_stops(soak)
        await stop_clients(clients)
    finally:
        await stop_all(harness)
    for process in soak.processes:
        fault = process.exit_fault
        soak.checker.require(not fault, Guarantee.NO_UNEXPECTED_EXIT, fault)
    soak.checker.outcomes["starts"] = len(soak.processes)
    return soak.checker


async def _make_trouble(soak: _StartSoak) -> None:
    """Plays the schedules of all instances, and waits until all trouble has ended."""
    options = soak.harness.options
    end = time.monotonic() + options.length_s
    work = [_inject_store_faults(soak, end)]
    for instance in soak.instances:
        work += [_run_starts(soak, instance, end), _run_troubles(soak, instance, end)]
    await asyncio.gather(*map(soak.harness.spawn, work))
    for instance in soak.instances:
        soak.harness.spawn(_keep_running(soak, instance))
    await asyncio.gather(*[_wait_for_asked_end(soak, process) for process in soak.processes])
    soak.harness.record_fault()


async def _run_starts(soak: _StartSoak, instance: _Instance, end: float) -> None:
    options, started_at = soak.harness.options, end - soak.harness.options.length_s
    after: list[asyncio.Future[None]] = []
    starts = draw_starts(options.seed, instance.index, options.length_s, options.instances)
    for start in starts:
        await asyncio.sleep(max(0.0, started_at + start.at_s - time.monotonic()))
        if time.monotonic() < end:
            async with instance.lock:
                after += await _replace(soak, instance, start)
    await asyncio.gather(*after)


async def _replace(
    soak: _StartSoak, instance: _Instance, start: Start
) -> list["asyncio.Future[None]"]:
    """Replaces the process of an instance; returns what goes on at its successor."""
    spawn = soak.harness.spawn
    after = []
    predecessor = instance.process
    if predecessor is not None:
        predecessor.send(_ENDING_SIGNALS[start.ending])
        ends = spawn(_end(soak, predecessor, start))
        after.append(ends)
        if start.ending not in _OVERLAPPING:
            await ends
    after.append(spawn(_break_settings(instance, start.settings, start.length, start.for_s)))
    after.append(spawn(_hold_port(instance, start.held_port, start.for_s)))
    # Lets both take effect.
    await asyncio.sleep(0)
    process = await soak.launch(instance, start)
    after.append(spawn(_send_signals(process, start.signals)))
    if start.output is Output.READER_LEAVES:
        after.append(spawn(_leave(process, start.for_s)))
    return after


async def _end(soak: _StartSoak, process: RoleProcess, start: Start) -> None:
    if start.ending is Ending.FROZEN:
        await process.pause(start.patience_s)
    elif not await process.wait(start.patience_s):
        asked_at = process.asked_at or time.monotonic()
        in_time = time.monotonic() - asked_at < _stop_bound_s(process)
        soak.checker.require(in_time, Guarantee.STOP, process.lateness)
    await process.end()


def _stop_bound_s(process: RoleProcess) -> float:
    return GRACE_S + STOP_SLACK_S + process.stopped_s


async def _wait_for_asked_end(soak: _StartSoak, process: RoleProcess) -> None:
    if process.asked_at is None or not process.running:
        return
    left_s = process.asked_at + _stop_bound_s(process) - time.monotonic()
    in_time = await process.wait(max(0.0, left_s))
    soak.checker.require(in_time, Guarantee.STOP, process.lateness)
    await process.end()


async def _send_signals(process: RoleProcess, signals: tuple[SignalAt, ...]) -> None:
    started_at = time.monotonic()
    for item in signals:
        await asyncio.sleep(max(0.0, started_at + item.delay_s - time.monotonic()))
        if item.number == signal.SIGHUP:
            await process.reach_script()
        process.send(item.number)


async def _leave(process: RoleProcess, after_s: float) -> None:
    await asyncio.sleep(after_s)
    process.close_reader()


async def _break_settings(
    instance: _Instance, fault: SettingsFault, length: float, for_s: float
) -> None:
    path, text = instance.settings, instance.text
    if fault is SettingsFault.NONE:
        return
    if fault is SettingsFault.MISSING:
        path.unlink(missing_ok=True)
    elif fault is not SettingsFault.PIECES:
        path.write_text(text[: int(len(text) * length)] if fault is SettingsFault.TRUNCATED else "")
    else:
        for piece in range(SETTINGS_PIECES):
            path.write_text(text[: len(text) * piece // SETTINGS_PIECES])
            await asyncio.sleep(for_s / SETTINGS_PIECES)
        for_s = 0.0
    await asyncio.sleep(for_s)
    path.write_text(text)


async def _hold_port(instance: _Instance, port: HeldPort, for_s: float) -> None:
    if port is HeldPort.NONE:
        return
    kind, number = _HELD_SOCKETS[port]
    with contextlib.suppress(OSError), socket.socket(socket.AF_INET, kind) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, kind == socket.SOCK_STREAM)
        sock.bind((instance.ip, number))
        if kind == socket.SOCK_STREAM:
            sock.listen()
        await asyncio.sleep(for_s)


async def _keep_running(soak: _StartSoak, instance: _Instance) -> None:
    """Starts the process of an instance again whenever it has ended, as the platform does."""
    while True:
        async with instance.lock:
            if instance.process is None or not instance.process.running:
                await asyncio.sleep(RESTART_DELAY_S)
                await soak.launch(instance)
        await asyncio.sleep(POLL_INTERVAL_S)


async def _run_troubles(soak: _StartSoak, instance: _Instance, end: float) -> None:
    options, started_at = soak.harness.options, end - soak.harness.options.length_s
    running = []
    for trouble in draw_troubles(options.seed, instance.index, options.length_s):
        await asyncio.sleep(max(0.0, started_at + trouble.at_s - time.monotonic()))
        if instance.process is not None and instance.process.running:
            instance.process.circumstances.append(trouble.kind)
            work = _TROUBLES[trouble.kind](instance, instance.process, trouble)
            running.append(soak.harness.spawn(work))
    await asyncio.gather(*running)


async def _hang_up(instance: _Instance, process: RoleProcess, trouble: Trouble) -> None:
    rng = random.Random(trouble.variant)
    for _ in range(rng.randint(1, MAX_HANGUPS)):
        await process.reach_script()
        process.send(signal.SIGHUP)
        await asyncio.sleep(rng.choice((0.0, trouble.for_s / MAX_HANGUPS)))


async def _freeze(instance: _Instance, process: RoleProcess, trouble: Trouble) -> None:
    await process.pause(trouble.for_s)


async def _share_processor(instance: _Instance, process: RoleProcess, trouble: Trouble) -> None:
    end = time.monotonic() + trouble.for_s
    while time.monotonic() < end:
        await process.pause(_STOP_S)
        await asyncio.sleep(_RUN_S)


async def _limit_descriptors(instance: _Instance, process: RoleProcess, trouble: Trouble) -> None:
    limit = random.Random(trouble.variant).randint(MIN_DESCRIPTORS, MAX_DESCRIPTORS)
    await process.limit_descriptors(limit, trouble.for_s)


async def _send_datagrams(instance: _Instance, process: RoleProcess, trouble: Trouble) -> None:
    rng = random.Random(trouble.variant)
    # Hints are taken from instances only.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((instance.ip, 0))
        for data in odd_input.draw_datagrams(rng):
            with contextlib.suppress(OSError):
                sock.sendto(data, (instance.ip, rng.choice(_UDP_PORTS)))
            await asyncio.sleep(0)


async def _send_http(instance: _Instance, process: RoleProcess, trouble: Trouble) -> None:
    rng = random.Random(trouble.variant)
    for data in odd_input.draw_requests(rng):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(instance.ip, rng.choice(_TCP_PORTS))
            writer.write(data)
            await asyncio.sleep(rng.choice((0.0, 0.1)))
            writer.transport.abort()


async def _hold_connections(instance: _Instance, process: RoleProcess, trouble: Trouble) -> None:
    rng = random.Random(trouble.variant)
    writers = []
    with contextlib.suppress(OSError):
        for _ in range(rng.randint(1, MAX_IDLE_CONNECTIONS)):
            address = (instance.ip, rng.choice(_TCP_PORTS))
            writers.append((await asyncio.open_connection(*address))[1])
    await asyncio.sleep(trouble.for_s)
    for writer in writers:
        writer.transport.abort()


async def _rewrite_settings(instance: _Instance, process: RoleProcess, trouble: Trouble) -> None:
    instance.settings.write_text(f"New.Field={trouble.variant}\n{instance.text}")
    if trouble.variant % 2:
        await process.reach_script()
        process.send(signal.SIGHUP)
    await asyncio.sleep(trouble.for_s)
    instance.settings.write_text(instance.text)


async def _spoil_settings(instance: _Instance, process: RoleProcess, trouble: Trouble) -> None:
    rng = random.Random(trouble.variant)
    fault = rng.choice([fault for fault in SettingsFault if fault is not SettingsFault.NONE])
    await asyncio.gather(
        _break_settings(instance, fault, rng.random(), trouble.for_s),
        _hang_up(instance, process, trouble),
    )


_TROUBLES: dict[TroubleKind, Callable[[_Instance, RoleProcess, Trouble], Awaitable[None]]] = {
    TroubleKind.HANGUPS: _hang_up,
    TroubleKind.FREEZE: _freeze,
    TroubleKind.PROCESSOR_SHARE: _share_processor,
    TroubleKind.FEW_DESCRIPTORS: _limit_descriptors,
    TroubleKind.ODD_DATAGRAMS: _send_datagrams,
    TroubleKind.ODD_HTTP: _send_http,
    TroubleKind.IDLE_CONNECTIONS: _hold_connections,
    TroubleKind.SETTINGS_REWRITTEN: _rewrite_settings,
    TroubleKind.SETTINGS_BROKEN: _spoil_settings,
}


async def _inject_store_faults(soak: _StartSoak, end: float) -> None:
    options, started_at = soak.harness.options, end - soak.harness.options.length_s
    running = []
    for fault in draw_store_faults(options.seed, options.length_s):
        await asyncio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
        only_refuses = fault.kind is FaultKind.STORE_REFUSES
        indices = range(fault.subject % 2, options.instances, 2)
        refused = frozenset(soak.harness.ip(4, index + 1) for index in indices)
        running.append(
            soak.harness.spawn(
                switch_fault(
                    soak.harness.store,
                    fault.kind,
                    fault.for_s,
                    refused if only_refuses else frozenset(),
                )
            )
        )
    await asyncio.gather(*running)


async def _check_readiness(soak: _StartSoak) -> None:
    """Checks that all instances are ready in time after the trouble."""
    deadline = time.monotonic() + RECOVERY_S
    await asyncio.gather(*[_check_ready(soak, instance, deadline) for instance in soak.instances])


async def _check_ready(soak: _StartSoak, instance: _Instance, deadline: float) -> None:
    ready = False
    while not ready and time.monotonic() < deadline:
        ready = await is_ready(instance.ip)
        await asyncio.sleep(POLL_INTERVAL_S)
    soak.checker.require(ready, Guarantee.READINESS, str(instance.process))


async def _check_planned_stops(soak: _StartSoak) -> None:
    """Stops instance after instance, overlapping, while clients go on with their open flows."""
    await asyncio.sleep(CONTACT_S + 1.0)
    stopping = []
    for instance in soak.instances[:-1]:
        if instance.process is not None:
            stopping.append(soak.harness.spawn(_stop_as_planned(soak, instance.process)))
            await asyncio.sleep(PLANNED_GAP_S)
    await asyncio.gather(*stopping)
    await _check_readiness(soak)


async def _stop_as_planned(soak: _StartSoak, process: RoleProcess) -> None:
    """Stops a process, whose settings go on changing until it is gone."""
    process.send(signal.SIGTERM)
    hangups = soak.harness.spawn(_hang_up_until_end(process))
    await _wait_for_asked_end(soak, process)
    await hangups


async def _hang_up_until_end(process: RoleProcess) -> None:
    while process.running:
        process.send(signal.SIGHUP)
        await asyncio.sleep(STOP_HANGUP_GAP_S)
