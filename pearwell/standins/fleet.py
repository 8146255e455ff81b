"""A fleet of real processes on loopback: platform stand-in, instances and target stand-ins."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from pearwell.standins.target import Ledger, LoadReport, TargetConfig, TargetMode
from pearwell.standins.target_host import HostConfig

__all__ = ["Fleet", "FleetPorts", "ProcessUsage"]

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0
POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class FleetPorts:
    """Ports that every process of a kind uses on its own loopback address."""

    fabric: int = 20100
    peer: int = 20101
    control: int = 20102
    admin: int = 20103
    metrics: int = 20104
    platform: int = 20105
    target: int = 20110
    health: int = 20111
    callers: int = 20120


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What a process used so far.

    Attributes:
        cpu_s: Processor time in seconds.
        memory_bytes: Largest resident memory.
    """

    cpu_s: float
    memory_bytes: int


@dataclass(slots=True)
class Fleet:
    """Starts, stops and breaks processes.

    Attributes:
        directory: Where settings and logs go.
        region: Region of the instances.
        zone: Availability zone of the instances.
        octet: Second octet of the loopback addresses.
        ports: Ports of the processes.
        instances: Numbers of the running instances, by instance id.
        targets: Target stand-ins by name.
    """

    directory: Path
    region: str
    zone: str
    octet: int
    ports: FleetPorts = field(default_factory=FleetPorts)
    instances: dict[str, int] = field(default_factory=dict)
    targets: dict[str, TargetConfig] = field(default_factory=dict)
    _processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    _next_instance: int = 1
    _next_target: int = 1

    def address(self, kind: int, number: int) -> str:
        """Returns a loopback address: kind 0 for callers and platform, 1 instances, 2 targets."""
        return f"127.{self.octet}.{kind}.{number}"

    @property
    def callers_address(self) -> str:
        """Address of the callers and of the fabric."""
        return self.address(0, 1)

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return f"http://{self.address(0, 2)}:{self.ports.platform}"

    @property
    def admin_servers(self) -> list[str]:
        """Admin endpoints of the running instances."""
        return [f"{self.instance_address(name)}:{self.ports.admin}" for name in self.instances]

    def instance_address(self, name: str) -> str:
        """Returns the address of an instance."""
        return self.address(1, self.instances[name])

    async def start_platform(self) -> None:
        """Starts the platform stand-in and waits for it."""
        address = self.address(0, 2)
        arguments = ("--address", address, "--port", str(self.ports.platform))
        self._start("platform", "pearwell.standins.platform", *arguments)
        await wait_for_port(address, self.ports.platform)

    async def start_targets(
        self, names: Iterable[str], services: tuple[tuple[str, int], ...], slots: int
    ) -> list[TargetConfig]:
        """Starts target stand-ins of one service in one process and waits for them.

        Args:
            names: Names of the targets.
            services: Addresses and ports that they serve.
            slots: Requests that each serves at once.
        """
        started = [self._new_target(name, services, slots) for name in names]
        host = HostConfig(tuple(started), self.callers_address, self.ports.callers)
        label = f"targets-{started[0].name}"
        path = self._write(label, host)
        self._start(label, "pearwell.standins.target_host", "--config", path)
        for target in started:
            await wait_for_port(target.address, target.health_port)
        return started

    async def start_instances(self, count: int) -> list[str]:
        """Starts instances side by side and waits until they serve; returns their ids."""
        names = [self._launch_instance() for _ in range(count)]
        for name in names:
            await wait_for_port(self.instance_address(name), self.ports.admin)
        return names

    async def stop_instance(self, name: str) -> int:
        """Stops an instance gracefully and returns its exit status."""
        process = self._processes[name]
        process.terminate()
        status = await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
        self._processes.pop(name, None)
        self.instances.pop(name, None)
        return status

    async def crash_instance(self, name: str) -> None:
        """Kills an instance."""
        process = self._processes.pop(name)
        process.kill()
        await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
        self.instances.pop(name, None)

    async def pause_instance(self, name: str, seconds: float) -> None:
        """Pauses an instance for a while."""
        pid = self._processes[name].pid
        os.kill(pid, signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            os.kill(pid, signal.SIGCONT)

    def stop_all(self) -> None:
        """Stops every process; one that doesn't end in time is killed."""
        processes = list(self._processes.values())
        for process in processes:
            process.terminate()
        for process in processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait(STOP_TIMEOUT_S)
        self._processes.clear()

    def usage(self, name: str) -> ProcessUsage:
        """Returns what a process used so far.

        Raises:
            LookupError: The process isn't running.
        """
        pid = self._processes[name].pid
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
            status = Path(f"/proc/{pid}/status").read_text()
        except OSError as error:
            raise LookupError(f"{name} isn't running") from error
        ticks = int(fields[11]) + int(fields[12])
        peak = next((line for line in status.splitlines() if line.startswith("VmHWM")), "0 0")
        return ProcessUsage(ticks / os.sysconf("SC_CLK_TCK"), int(peak.split()[1]) * 1024)

    async def set_faults(self, **switches: Any) -> None:
        """Sets fault switches of the platform stand-in."""
        url = f"{self.platform_url}/standin/faults"
        async with aiohttp.ClientSession() as session, session.put(url, json=switches) as answer:
            answer.raise_for_status()

    async def ledger(self, target: str) -> Ledger:
        """Returns what a target did."""
        return msgspec.json.decode(await self._target_page(target, "ledger"), type=Ledger)

    async def load(self, target: str) -> LoadReport:
        """Returns the load report of a target."""
        return msgspec.json.decode(await self._target_page(target, "load"), type=LoadReport)

    async def set_mode(self, target: str, mode: TargetMode) -> None:
        """Sets the switches of a target."""
        url = self._target_url(target, "mode")
        body = msgspec.json.encode(mode)
        async with aiohttp.ClientSession() as session, session.post(url, data=body) as answer:
            answer.raise_for_status()

    def _target_url(self, target: str, page: str) -> str:
        config = self.targets[target]
        return f"http://{config.address}:{config.health_port}/{page}"

    async def _target_page(self, target: str, page: str) -> bytes:
        url = self._target_url(target, page)
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            answer.raise_for_status()
            return await answer.read()

    def _new_target(
        self, name: str, services: tuple[tuple[str, int], ...], slots: int
    ) -> TargetConfig:
        address = self.address(2, self._next_target)
        self._next_target += 1
        ports = self.ports
        config = TargetConfig(name, address, ports.target, ports.health, services, slots)
        self.targets[name] = config
        return config

    def _launch_instance(self) -> str:
        number = self._next_instance
        self._next_instance += 1
        name = f"entry-{number}"
        self.instances[name] = number
        path = self._write(name, self._settings(name, number))
        self._start(name, "pearwell.cli.entry", "--settings", path)
        return name

    def _settings(self, name: str, number: int) -> dict[str, Any]:
        ports = self.ports
        return {
            "instance": name,
            "region": self.region,
            "zone": self.zone,
            "address": self.address(1, number),
            "fabric_port": ports.fabric,
            "peer_port": ports.peer,
            "control_port": ports.control,
            "admin_port": ports.admin,
            "metrics_port": ports.metrics,
            "platform": {"address": self.address(0, 2), "port": ports.platform},
            "return_endpoint": {"address": self.callers_address, "port": ports.callers},
            "peers": self._peers(name),
            "plaintext": True,
        }

    def _peers(self, name: str) -> list[dict[str, Any]]:
        ports = self.ports
        return [
            {
                "instance": other,
                "address": self.address(1, number),
                "peer_port": ports.peer,
                "control_port": ports.control,
            }
            for other, number in self.instances.items()
            if other != name
        ]

    def _write(self, name: str, content: object) -> str:
        path = self.directory / f"{name}.json"
        path.write_bytes(msgspec.json.encode(content))
        return str(path)

    def _start(self, name: str, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        with (self.directory / f"{name}.log").open("wb") as log:
            self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)


async def wait_for_port(address: str, port: int) -> None:
    """Waits until a TCP port accepts connections.

    Raises:
        OSError: It didn't within START_TIMEOUT_S.
    """
    deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
    while True:
        try:
            _, writer = await asyncio.open_connection(address, port)
        except OSError:
            if asyncio.get_running_loop().time() > deadline:
                raise
            await asyncio.sleep(POLL_S)
        else:
            writer.close()
            return
