"""The demo: a zone of real processes that changes while flows run.

Ends with one line `flows=N broken=N misrouted=N duplicated=N refused=N imbalance=X.XXX` and exit
status 0 only if broken, misrouted and duplicated are 0.
"""

import asyncio
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec
import uvloop
from absl import app, flags

from pearwell.packet_path import bind_udp
from pearwell.standins.caller import CallerCore, CallerService, FlowOutcome, FlowPlan
from pearwell.standins.fabric import Fabric
from pearwell.standins.target import Ledger, TargetConfig
from pearwell.standins.target_host import HostConfig

__all__ = ["main"]

_FLOWS = flags.DEFINE_integer("flows", 1200, "Flows to open.", lower_bound=1)
_SECONDS = flags.DEFINE_float("seconds", 10.0, "Time over which flows open.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of all random choices.")
_OCTET = flags.DEFINE_integer("octet", 10, "Second octet of the loopback addresses.")

FABRIC_PORT = 20100
PEER_PORT = 20101
CONTROL_PORT = 20102
ADMIN_PORT = 20103
METRICS_PORT = 20104
PLATFORM_PORT = 20105
TARGET_PORT = 20110
HEALTH_PORT = 20111
RETURN_PORT = 20120
START_TIMEOUT_S = 20.0
FINISH_TIMEOUT_S = 30.0
TICK_S = 0.005
REQUEST_INTERVAL_S = 0.5
REQUESTS_PER_FLOW = 10
BATCH_PACKETS = 256
PACKET_BUFFER_BYTES = 65535

ZONE = "pnw-a"


@dataclass(slots=True)
class _Processes:
    """Child processes of the demo."""

    directory: Path
    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Starts a module; its output goes to a file."""
        log = (self.directory / f"{name}.log").open("wb")
        command = [sys.executable, "-m", module, *arguments]
        self.running[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def write(self, name: str, content: object) -> str:
        """Writes a JSON file and returns its path."""
        path = self.directory / f"{name}.json"
        path.write_bytes(msgspec.json.encode(content))
        return str(path)

    def stop(self, name: str) -> int:
        """Stops a process with SIGTERM and returns its exit status."""
        process = self.running.pop(name)
        process.terminate()
        return process.wait(timeout=FINISH_TIMEOUT_S)

    def stop_all(self) -> None:
        """Stops every process."""
        for process in self.running.values():
            process.terminate()
        for process in self.running.values():
            try:
                process.wait(timeout=FINISH_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
        self.running.clear()


def _address(kind: int, number: int) -> str:
    return f"127.{_OCTET.value}.{kind}.{number}"


SERVICES = (
    CallerService("intake", "198.51.100.10", 443, "203.0.113.5"),
    CallerService("tables", "2001:db8::20", 5432, "2001:db8:1::5"),
)
GROUPS = {"intake": ("intake-1", "intake-2"), "tables": ("tables-1", "tables-2")}


class Demo:
    """Runs the demo."""

    def __init__(self, processes: _Processes) -> None:
        self._processes = processes
        self._rng = random.Random(_SEED.value)
        self._socket = bind_udp(_address(0, 1), RETURN_PORT)
        self._fabric = Fabric(self._socket, self._rng)
        self._callers = CallerCore(self._fabric.send, self._rng)
        self._targets: list[TargetConfig] = []

    async def run(self) -> int:
        """Runs everything and returns the exit status."""
        self._start_targets()
        static = self._processes.write("static", self._static_configuration())
        instances = [f"entry-{number}" for number in range(1, 5)]
        for number, name in enumerate(instances, 1):
            self._start_instance(name, number, static)
        for number in range(1, 5):
            await _wait_for_port(_address(1, number), METRICS_PORT)
        for target in self._targets:
            await _wait_for_port(target.address, HEALTH_PORT)
        self._fabric.set_instances((_address(1, number), FABRIC_PORT) for number in range(1, 5))
        asyncio.get_running_loop().add_reader(self._socket, self._drain)
        self._plan_flows()
        await self._run_flows()
        return await self._report()

    def _start_targets(self) -> None:
        number = 0
        for service in SERVICES:
            for name in GROUPS[service.name]:
                number += 1
                self._targets.append(
                    TargetConfig(
                        name,
                        _address(2, number),
                        TARGET_PORT,
                        HEALTH_PORT,
                        ((service.address, service.port),),
                    )
                )
        host = HostConfig(tuple(self._targets), _address(0, 1), RETURN_PORT)
        path = self._processes.write("targets", host)
        self._processes.start("targets", "pearwell.standins.target_host", "--config", path)

    def _start_instance(self, name: str, number: int, static: str) -> None:
        settings = {
            "instance": name,
            "region": "pnw",
            "zone": ZONE,
            "address": _address(1, number),
            "fabric_port": FABRIC_PORT,
            "peer_port": PEER_PORT,
            "control_port": CONTROL_PORT,
            "admin_port": ADMIN_PORT,
            "metrics_port": METRICS_PORT,
            "platform": {"address": _address(0, 2), "port": PLATFORM_PORT},
            "return_endpoint": {"address": _address(0, 1), "port": RETURN_PORT},
            "plaintext": True,
            "static_configuration": static,
        }
        path = self._processes.write(name, settings)
        self._processes.start(name, "pearwell.cli.entry", "--settings", path)

    def _static_configuration(self) -> dict[str, object]:
        groups = [
            {
                "name": group,
                "targets": [
                    {"name": t.name, "address": t.address, "port": t.port, "zone": ZONE}
                    for t in self._targets
                    if t.name in names
                ],
            }
            for group, names in GROUPS.items()
        ]
        services = [
            {"name": s.name, "address": s.address, "port": s.port, "protocol": 6, "group": s.name}
            for s in SERVICES
        ]
        return {"services": services, "groups": groups}

    def _plan_flows(self) -> None:
        now = time.monotonic()
        for number in range(_FLOWS.value):
            start = now + self._rng.random() * _SECONDS.value
            service = SERVICES[number % len(SERVICES)]
            self._callers.add(FlowPlan(service, start, REQUESTS_PER_FLOW, REQUEST_INTERVAL_S))

    async def _run_flows(self) -> None:
        deadline = time.monotonic() + _SECONDS.value + FINISH_TIMEOUT_S
        while self._callers.open_flows and time.monotonic() < deadline:
            self._callers.tick(time.monotonic())
            await asyncio.sleep(TICK_S)

    def _drain(self) -> None:
        for _ in range(BATCH_PACKETS):
            try:
                packet = self._socket.recv(PACKET_BUFFER_BYTES)
            except OSError:
                return
            self._callers.receive(packet, time.monotonic())

    async def _report(self) -> int:
        ledgers = {target.name: await _ledger(target) for target in self._targets}
        runs: Counter[str] = Counter()
        for ledger in ledgers.values():
            runs.update(ledger.runs)
        duplicated = sum(count - 1 for count in runs.values())
        misrouted = sum(ledger.misrouted for ledger in ledgers.values())
        outcomes = self._callers.outcomes
        broken = outcomes[FlowOutcome.BROKEN] + self._callers.open_flows
        for reason, count in self._callers.reasons.items():
            print(f"broken flows: {count} {reason}", file=sys.stderr)
        imbalance = max(
            max(started) * len(started) / sum(started)
            for started in ([ledgers[name].started for name in names] for names in GROUPS.values())
        )
        print(
            f"flows={outcomes.total() + self._callers.open_flows} broken={broken} "
            f"misrouted={misrouted} duplicated={duplicated} "
            f"refused={outcomes[FlowOutcome.REFUSED]} imbalance={imbalance:.3f}"
        )
        return 1 if broken or misrouted or duplicated else 0


async def _wait_for_port(address: str, port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            _, writer = await asyncio.open_connection(address, port)
        except OSError:
            if time.monotonic() > deadline:
                raise
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return


async def _ledger(target: TargetConfig) -> Ledger:
    url = f"http://{target.address}:{target.health_port}/ledger"
    async with aiohttp.ClientSession() as session, session.get(url) as answer:
        return msgspec.json.decode(await answer.read(), type=Ledger)


def main(argv: Sequence[str]) -> int:
    """Runs the demo and returns its exit status."""
    del argv
    with tempfile.TemporaryDirectory(prefix="pearwell-demo-") as directory:
        processes = _Processes(Path(directory))
        try:
            return uvloop.run(Demo(processes).run())
        finally:
            processes.stop_all()


if __name__ == "__main__":
    app.run(main)
