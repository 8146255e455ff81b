"""A zone of real processes on loopback addresses: platform, targets and instances."""

import asyncio
import contextlib
import random
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec

from pearwell.admin.client import AdminClient
from pearwell.admin.porcelain import list_placements
from pearwell.agreement.instance_list import InstanceList
from pearwell.errors import PlatformError
from pearwell.object_store.platform_client import PlatformClient
from pearwell.standins.target import Ledger, LoadReport, TargetConfig
from pearwell.standins.target_host import HostConfig
from pearwell.steering.verdict import Address

__all__ = ["ZONE", "ZoneProcesses", "read_ledger", "read_load", "wait_for_port"]

FABRIC_PORT = 20100
PEER_PORT = 20101
CONTROL_PORT = 20102
ADMIN_PORT = 20103
METRICS_PORT = 20104
PLATFORM_PORT = 20105
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
TEAR_DOWN_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
# Time in which the platform detects a dead instance; also its retry interval in an outage.
DEAD_INSTANCE_DETECTION_S = 3.0

REGION = "pnw"
ZONE = "pnw-a"


@dataclass(slots=True)
class ZoneProcesses:
    """Starts and stops the processes of one zone.

    Attributes:
        directory: Directory for settings and logs.
        octet: Second octet of all loopback addresses.
        return_address: Address to which targets and instances send packets to callers.
    """

    directory: Path
    octet: int
    return_address: Address
    _processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    @property
    def platform_address(self) -> str:
        """Address of the platform stand-in."""
        return f"127.{self.octet}.0.2"

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://{self.platform_address}:{PLATFORM_PORT}"

    def instance_address(self, number: int) -> str:
        """Returns the address of an instance."""
        return f"127.{self.octet}.1.{number}"

    def admin_endpoint(self, number: int) -> str:
        """Returns the endpoint of the admin API of an instance."""
        return f"{self.instance_address(number)}:{ADMIN_PORT}"

    def target_address(self, number: int) -> str:
        """Returns the address of a target."""
        return f"127.{self.octet}.2.{number}"

    async def start_platform(self) -> None:
        """Starts the platform stand-in and waits until it accepts connections."""
        address = f"--address={self.platform_address}"
        self._start("platform", "pearwell.standins.platform", address, f"--port={PLATFORM_PORT}")
        await wait_for_port(self.platform_address, PLATFORM_PORT)

    async def start_targets(self, name: str, targets: tuple[TargetConfig, ...]) -> None:
        """Starts a process that hosts targets and waits until they accept connections."""
        config = HostConfig(targets, *self.return_address)
        path = self._write_config(name, config)
        self._start(name, "pearwell.standins.target_host", "--config", path)
        for target in targets:
            await wait_for_port(target.address, target.health_port)

    def start_instance(self, number: int) -> None:
        """Starts an instance."""
        name = f"entry-{number}"
        path = self._write_config(name, self._settings(number))
        self._start(name, "pearwell.cli.entry", "--settings", path)

    async def wait_for_instance(self, number: int) -> None:
        """Waits until an instance serves its admin API."""
        await wait_for_port(self.instance_address(number), ADMIN_PORT)

    async def wait_for_placements(self, number: int, groups: int) -> None:
        """Waits until an instance has at least this many placements; may raise TimeoutError."""
        async with (
            asyncio.timeout(START_TIMEOUT_S),
            AdminClient([self.admin_endpoint(number)]) as client,
        ):
            while len(await list_placements(client)) < groups:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def stop_instance(self, number: int) -> int:
        """Stops an instance with SIGTERM and returns its exit status."""
        process = self._processes.pop(f"entry-{number}")
        process.terminate()
        return await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)

    def kill_instance(self, number: int) -> None:
        """Kills an instance with SIGKILL."""
        process = self._processes.pop(f"entry-{number}")
        process.kill()
        process.wait()

    async def remove_dead_instance(self, number: int) -> None:
        """Removes a dead instance from the platform's list, as the platform does after a delay."""
        async with PlatformClient(self.platform_url) as platform:
            instances = InstanceList(platform, ZONE, random.Random(number))
            listed = True
            while listed:
                await asyncio.sleep(DEAD_INSTANCE_DETECTION_S)
                with contextlib.suppress(PlatformError):
                    await instances.remove(f"entry-{number}")
                    listed = False

    def pid(self, name: str) -> int:
        """Returns the process id of a running process; raises LookupError if there is none."""
        return self._processes[name].pid

    def stop_all(self) -> None:
        """Stops every process; kills those that run longer than TEAR_DOWN_TIMEOUT_S."""
        deadline = time.monotonic() + TEAR_DOWN_TIMEOUT_S
        for process in self._processes.values():
            process.terminate()
        for process in self._processes.values():
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._processes.clear()

    def _settings(self, number: int) -> dict[str, object]:
        address, port = self.return_address
        return {
            "instance": f"entry-{number}",
            "region": REGION,
            "zone": ZONE,
            "address": self.instance_address(number),
            "fabric_port": FABRIC_PORT,
            "peer_port": PEER_PORT,
            "control_port": CONTROL_PORT,
            "admin_port": ADMIN_PORT,
            "metrics_port": METRICS_PORT,
            "platform": {"address": self.platform_address, "port": PLATFORM_PORT},
            "return_endpoint": {"address": address, "port": port},
            "plaintext": True,
        }

    def _start(self, name: str, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        with (self.directory / f"{name}.log").open("wb") as log:
            self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def _write_config(self, name: str, content: object) -> str:
        path = self.directory / f"{name}.json"
        path.write_bytes(msgspec.json.encode(content))
        return str(path)


async def wait_for_port(address: str, port: int) -> None:
    """Waits until a TCP port accepts connections; raises OSError after START_TIMEOUT_S."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            _, writer = await asyncio.open_connection(address, port)
        except OSError:
            if time.monotonic() > deadline:
                raise
            await asyncio.sleep(POLL_INTERVAL_S)
        else:
            writer.close()
            return


async def read_ledger(target: TargetConfig) -> Ledger:
    """Returns the ledger of a target."""
    return msgspec.json.decode(await _get(target, "/ledger"), type=Ledger)


async def read_load(target: TargetConfig) -> LoadReport:
    """Returns the load that a target reports."""
    return msgspec.json.decode(await _get(target, "/load"), type=LoadReport)


async def _get(target: TargetConfig, path: str) -> bytes:
    url = f"http://{target.address}:{target.health_port}{path}"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return await response.read()
