"""A small deployment on loopback: instances as processes, with stand-ins around them."""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from client import Client, Router
from host import Host
from packet import End
from record import Record
from store import Store

__all__ = ["CONTACT_S", "Deployment", "Instance", "run_case"]

ROOT = Path(__file__).resolve().parents[1]
CASE_TIMEOUT_S = 110.0
START_TIMEOUT_S = 20.0
# A process that ends is started again after a short delay.
RESTART_DELAY_S = 0.4
CONTACT_S = 4.0
ZONE = "pnw-a"
SERVICE = "intake"
# Each route's address and port.
REMOTE_PORT = 443


class Instance:
    """One process of the role, which is started again when it ends."""

    def __init__(self, name: str, ip: str, settings: Path, record: Record) -> None:
        self.name = name
        self.ip = ip
        self.exits_by_itself = 0
        self._settings = settings
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task[None] | None = None
        self._stops = False
        self._ended_by_case = False

    def start(self) -> None:
        """Starts the process."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._record.write("signal", instance=self.name, number=number.name)
        self._ended_by_case |= number in (signal.SIGTERM, signal.SIGKILL)
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Ends the process for good."""
        self._stops = True
        self.send(signal.SIGKILL)
        if self._task is not None:
            self._task.cancel()
        if self._process is not None:
            await self._process.wait()

    async def _run(self) -> None:
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["edge"]["run"].split(" ")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        while not self._stops:
            with self._settings.with_suffix(".log").open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    *command,
                    cwd=ROOT,
                    env={**kept, "PEARWELL_BOOT": str(self._settings)},
                    stdout=log,
                    stderr=log,
                )
            status = await self._process.wait()
            self._record.write(
                "exit", instance=self.name, status=status, by_itself=not self._ended_by_case
            )
            self.exits_by_itself += not self._ended_by_case
            self._ended_by_case = False
            await asyncio.sleep(RESTART_DELAY_S)


class Deployment:
    """Instances, hosts, clients, routers and the store, all on loopback addresses.

    Args:
        record: Record of the case.
        directory: Temporary folder for settings and logs.
        instances: Number of instances, in one zone.
        page_entries: Entries of one page of the store's lists.
    """

    def __init__(
        self, record: Record, directory: Path, instances: int, page_entries: int = 500
    ) -> None:
        self.record = record
        self._net = f"127.{random.randrange(20, 250)}"
        ips = [f"{self._net}.1.{number}" for number in range(1, instances + 1)]
        self._port = _free_ports([*ips, self.ip(0, 1), *(self.ip(2, n) for n in range(1, 70))])
        self.store = Store(record, page_entries)
        self.hosts: list[Host] = []
        self.clients: list[Client] = []
        self.remote: End = (bytes(map(int, self.ip(9, 1).split("."))), REMOTE_PORT)
        self._version = 7
        seeds = ",".join(f"{ip}:{self._port + 2}" for ip in ips[:3])
        self.instances = {}
        for number, ip in enumerate(ips):
            name = f"edge-{ZONE}-{number + 1}"
            path = directory / f"{name}.conf"
            path.write_text(self._settings(name, ip, seeds))
            self.instances[name] = Instance(name, ip, path, record)
        self.router = Router(
            {
                name: ((instance.ip, self._port), (instance.ip, self._port + 1))
                for name, instance in self.instances.items()
            },
            record,
        )

    def ip(self, third: int, fourth: int) -> str:
        """Returns a loopback address."""
        return f"{self._net}.{third}.{fourth}"

    @property
    def seeds(self) -> list[Instance]:
        """The instances that the settings name as seeds."""
        return [*self.instances.values()][:3]

    async def start(self, hosts: int) -> None:
        """Starts everything and waits until all instances are in rotation.

        Raises:
            TimeoutError: If an instance isn't ready in time.
        """
        await self.store.start(self.ip(0, 1), self._port + 3)
        for _ in range(hosts):
            await self.add_host()
        self.write_configuration()
        for instance in self.instances.values():
            instance.start()
        self.router.start()
        await self.wait_for(lambda: len(self.router.rotation) == len(self.instances))

    async def wait_for(
        self, condition: Callable[[], bool], limit_s: float = START_TIMEOUT_S
    ) -> None:
        """Waits until a condition holds.

        Raises:
            TimeoutError: If it does not hold in time.
        """
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def add_host(self) -> Host:
        """Starts a host, which then registers."""
        number = len(self.hosts) + 1
        host = Host(
            f"{SERVICE}-{number:016x}",
            SERVICE,
            (self.ip(2, number), self._port + 4),
            self._port,
            self.record,
        )
        await host.start()
        self.hosts.append(host)
        host.register(self.store, ZONE)
        return host

    async def add_client(self) -> Client:
        """Starts a client."""
        client = Client(self.ip(3, len(self.clients) + 1), self._port, self.router, self.record)
        await client.start()
        self.clients.append(client)
        return client

    def host_at(self, address: tuple[str, int]) -> Host | None:
        """Returns the host at an address, or None."""
        return next((host for host in self.hosts if host.address == address), None)

    def host_of(self, flow: tuple[End, End]) -> Host | None:
        """Returns the host that holds an open flow, or None."""
        return next((host for host in self.hosts if host.holds(flow)), None)

    def write_configuration(self) -> None:
        """Writes the operator's configuration."""
        self._version += 3
        service = {
            "Name": SERVICE,
            "HealthPath": "/health",
            "MaxConns": 4286,
            "Protocol": "http",
        }
        route = {
            "Name": "payroll-submit",
            "Host": self.ip(9, 1),
            "PathPrefix": f"/{REMOTE_PORT}/",
            "Service": SERVICE,
            "Type": "non_idempotent",
            "TimeoutMs": 2504,
            "TargetLatencyMs": 250,
            "MaxAttempts": 1,
            "Priority": 1,
        }
        spec = {
            "Version": self._version,
            "Routes": [route],
            "Services": [service],
            "Limits": {"IdleTimeoutMs": 12_000},
        }
        self.store.put("config", "main", spec)

    async def stop(self) -> None:
        """Ends everything that was started."""
        self.router.stop()
        await asyncio.gather(*(instance.end() for instance in self.instances.values()))
        for client in self.clients:
            client.stop()
        for host in self.hosts:
            host.stop()
        self.store.stop()

    def _settings(self, name: str, ip: str, seeds: str) -> str:
        fields: dict[str, object] = {
            "NodeName": name,
            "Role": "edge",
            "MachineClass": "edge",
            "Serves": "edge,control",
            "Ip": ip,
            "Zone": ZONE,
            "Region": "pnw",
            f"Zones.{ZONE}": "pnw",
            "ListenAddrs.DatagramAddr": f"{ip}:{self._port}",
            "ListenAddrs.Ready": f"{ip}:{self._port + 1}",
            "ListenAddrs.Control": f"{ip}:{self._port + 2}",
            "InternalPorts": f"{self._port + 5},{self._port + 20}",
            "Seeds": seeds,
            "Bootstrap": "true",
            "CountsAsLoss": "false",
            "Limits.CpuShare": 0.731,
            "Limits.CpuCores": 1,
            "Limits.MemoryMb": 222,
            "Limits.MaxFds": 1535,
            "Limits.LinkMbps": 350.0,
            "Limits.DiskMb": 0,
            "Discovery": "platform",
            "Entry": "announce",
            "HeartbeatMs": 770,
            "Contracts": "base,drain,config,cost,recover,flows,platform",
            "FaultTolerance.Machines": 2,
            "FaultTolerance.Zones": 1,
            "FaultTolerance.Regions": 0,
            "Bounds.SeedLagS": 3,
            "Bounds.ReuseAfterS": 2,
            "Bounds.ContactMs": int(1000 * CONTACT_S),
            "Bounds.AckMs": 5000,
            "Bounds.CatchUpS": 4,
            "Bounds.DrainMs": 3000,
            "Bounds.GraceS": 6,
            "Bounds.LossSlackMs": 200,
            "Bounds.ConfigApplyMs": 3000,
            "Bounds.DowngradeSlackMs": 250,
            "Bounds.MaxStretchMs": 12000,
            "Bounds.RecoveryS": 12,
            "Bounds.FlowReorderMs": 2000,
            "Bounds.MaxFlowS": 60,
            "Hash": "steady",
            "ForwardingMode": "echo",
            "platform.Address": f"{self.ip(0, 1)}:{self._port + 3}",
            "platform.ForwardingMode": "objects",
            "platform.WritesPerS": 400,
            "platform.ReadsPerS": 2000,
            "platform.HistoryS": 20,
            "platform.ValueBytes": 1048576,
            "platform.MinTtlMs": 1000,
        }
        return "".join(f"{key}={value}\n" for key, value in fields.items())


def run_case(case: Callable[[Record, Path, bool], Awaitable[bool]], record_path: Path) -> None:
    """Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if it couldn't run.

    Args:
        case: Plays the case and returns whether the rule held; gets the record, a temporary
            folder, and whether the disruption takes place.
        record_path: File of the record.
    """
    record = Record(record_path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> int:
        with tempfile.TemporaryDirectory() as directory:
            try:
                async with asyncio.timeout(CASE_TIMEOUT_S):
                    held = await case(record, Path(directory), has_trouble)
            except Exception:
                record.write("could_not_run")
                traceback.print_exc()
                return 2
            finally:
                _copy_log_ends(record, Path(directory))
            record.write("verdict", trouble=has_trouble, held=held)
            print(f"trouble={has_trouble}: the rule {'held' if held else 'was broken'}")
            return 0 if held else 1

    status = asyncio.run(play())
    record.close()
    sys.exit(status)


def _copy_log_ends(record: Record, directory: Path) -> None:
    """Adds to the record what the instances that ended by themselves wrote last."""
    for path in sorted(directory.glob("*.log")):
        lines = path.read_text(errors="backslashreplace").splitlines()
        ends = [number for number, line in enumerate(lines) if "Error:" in line]
        if ends:
            record.write("last_error", instance=path.stem, line=lines[ends[-1]])


def _free_ports(ips: list[str]) -> int:
    """Returns the first of 24 ports that are free at all addresses."""
    for _ in range(50):
        first = random.randrange(20_000, 29_000, 24)
        if all(_is_free(ip, first + offset) for ip in ips for offset in range(6)):
            return first
    raise OSError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True
