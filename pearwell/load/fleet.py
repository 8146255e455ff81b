"""The fleet of an experiment: processes of one zone, addressed by instance and target name."""

import asyncio
import os
import signal
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from pearwell.standins.target import Ledger, LoadReport, TargetConfig, TargetMode
from pearwell.standins.zone import METRICS_PORT, ZoneProcesses, read_ledger, read_load

__all__ = ["Fleet", "ProcessUsage"]

TARGET_PORT = 20110
HEALTH_PORT = 20111


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Cumulative resource usage of a process.

    Attributes:
        cpu_s: CPU time in seconds.
        memory_bytes: Peak resident memory.
    """

    cpu_s: float
    memory_bytes: int


@dataclass(slots=True)
class Fleet:
    """Starts and stops the processes of a zone and injects faults into them.

    Attributes:
        processes: Underlying process manager.
        instances: Numbers of the running instances by instance ID.
        targets: Configurations of the target stand-ins by name.
    """

    processes: ZoneProcesses
    instances: dict[str, int] = field(default_factory=dict)
    targets: dict[str, TargetConfig] = field(default_factory=dict)
    _last_instance: int = 0

    @property
    def admin_servers(self) -> list[str]:
        """Admin endpoints of the running instances."""
        return [self.processes.admin_endpoint(number) for number in self.instances.values()]

    async def start_targets(
        self, names: Iterable[str], services: tuple[tuple[str, int], ...], slots: int
    ) -> list[TargetConfig]:
        """Starts target stand-ins of one service in one process and waits until they are ready.

        Args:
            names: Names of the targets.
            services: Addresses and ports of the services that they serve.
            slots: Requests that each target serves concurrently.
        """
        started = [self._new_target(name, services, slots) for name in names]
        await self.processes.start_targets(f"targets-{started[0].name}", tuple(started))
        return started

    async def start_instances(self, count: int) -> list[str]:
        """Starts instances in parallel, waits until they serve and returns their IDs."""
        numbers = range(self._last_instance + 1, self._last_instance + 1 + count)
        self._last_instance += count
        for number in numbers:
            self.processes.start_instance(number)
        for number in numbers:
            await self.processes.wait_for_instance(number)
            self.instances[_instance_id(number)] = number
        return [_instance_id(number) for number in numbers]

    async def stop_instance(self, name: str) -> int:
        """Stops an instance gracefully and returns its exit status."""
        return await self.processes.stop_instance(self.instances.pop(name))

    def crash_instance(self, name: str) -> int:
        """Kills an instance and returns its number."""
        number = self.instances.pop(name)
        self.processes.kill_instance(number)
        return number

    async def pause_instance(self, name: str, seconds: float) -> None:
        """Suspends an instance with SIGSTOP for a number of seconds."""
        pid = self.processes.pid(name)
        os.kill(pid, signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            os.kill(pid, signal.SIGCONT)

    def usage(self, name: str) -> ProcessUsage:
        """Returns the cumulative resource usage of an instance.

        Raises:
            LookupError: The instance isn't running.
        """
        pid = self.processes.pid(name)
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
            status = Path(f"/proc/{pid}/status").read_text()
        except OSError as error:
            raise LookupError(f"{name} isn't running") from error
        ticks = int(fields[11]) + int(fields[12])
        peak = next((line for line in status.splitlines() if line.startswith("VmHWM")), "0 0")
        return ProcessUsage(ticks / os.sysconf("SC_CLK_TCK"), int(peak.split()[1]) * 1024)

    async def metrics(self, name: str) -> dict[str, float]:
        """Returns an instance's metrics, each summed over its label sets."""
        address = self.processes.instance_address(self.instances[name])
        url = f"http://{address}:{METRICS_PORT}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            lines = (await response.text()).splitlines()
        totals: dict[str, float] = {}
        for line in lines:
            if line and not line.startswith("#"):
                sample, value = line.rsplit(" ", 1)
                metric = sample.partition("{")[0]
                totals[metric] = totals.get(metric, 0.0) + float(value)
        return totals

    async def set_faults(self, **faults: Any) -> None:
        """Updates the injected faults of the platform stand-in."""
        url = f"{self.processes.platform_url}/standin/faults"
        async with aiohttp.ClientSession() as session, session.put(url, json=faults) as response:
            response.raise_for_status()

    async def ledger(self, target: str) -> Ledger:
        """Returns the ledger of requests that a target has run."""
        return await read_ledger(self.targets[target])

    async def load(self, target: str) -> LoadReport:
        """Returns the load report of a target."""
        return await read_load(self.targets[target])

    async def set_mode(self, target: str, mode: TargetMode) -> None:
        """Sets the fault mode of a target."""
        config = self.targets[target]
        url = f"http://{config.address}:{config.health_port}/mode"
        body = msgspec.json.encode(mode)
        async with aiohttp.ClientSession() as session, session.post(url, data=body) as response:
            response.raise_for_status()

    def _new_target(
        self, name: str, services: tuple[tuple[str, int], ...], slots: int
    ) -> TargetConfig:
        address = self.processes.target_address(len(self.targets) + 1)
        config = TargetConfig(name, address, TARGET_PORT, HEALTH_PORT, services, slots)
        self.targets[name] = config
        return config


def _instance_id(number: int) -> str:
    return f"entry-{number}"
