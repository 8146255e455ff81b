"""The demo: a zone of real processes that changes while flows run.

The last line of output is `flows=N broken=N misrouted=N duplicated=N refused=N imbalance=X.XXX`.
The exit status is 0 only if nothing failed, which includes that broken, misrouted and duplicated
are 0. The imbalance of a group is the number of open flows of its busiest target divided by the
mean of its targets, averaged from the time at which the last change has settled until the last new
flow; the line shows the higher imbalance of the two groups.
"""

import asyncio
import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import uvloop
from absl import app, flags

from pearwell.admin import porcelain
from pearwell.admin.client import AdminClient
from pearwell.admin.porcelain import WriteOptions
from pearwell.model.group import GroupSpec, HealthCheck, TargetSpec
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.standins.caller import CallerService, FlowOutcome, FlowPlan
from pearwell.standins.caller_host import CallerHost
from pearwell.standins.target import Ledger, TargetConfig
from pearwell.standins.zone import ZONE, ZoneProcesses, read_ledger, read_load

__all__ = ["main"]

_FLOWS = flags.DEFINE_integer("flows", 2400, "Flows to open.", lower_bound=1)
_SECONDS = flags.DEFINE_float("seconds", 40.0, "Time over which flows open, in seconds.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of all random choices.")
_OCTET = flags.DEFINE_integer("octet", 40, "Second octet of the loopback addresses.")
_LOGS = flags.DEFINE_string("logs", "", "Directory for settings and logs; temporary by default.")
_KILL = flags.DEFINE_bool("kill", False, "Kill the replaced instance instead of stopping it.")

TARGET_PORT = 20110
HEALTH_PORT = 20111
RETURN_PORT = 20120
READY_TIMEOUT_S = 30.0
FINISH_TIMEOUT_S = 25.0
IN_FORCE_WAIT_S = 5.0
SAMPLE_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.1
REQUEST_INTERVAL_S = 1.0
REQUESTS_PER_FLOW = 10
INSTANCES = 4

# Times of the changes, and the time by which the added target has warmed up, as shares of the time
# over which flows open.
REPLACE_AT_SHARE = 0.05
DRAIN_AT_SHARE = 0.18
ADD_AT_SHARE = 0.25
SETTLED_AT_SHARE = 0.8
# Time for which a target may still receive new flows after the request to drain it.
DRAIN_SETTLE_S = 2.0

ACTOR = "demo"
SERVICES = (
    CallerService("intake", "198.51.100.10", 443, "203.0.113.5"),
    CallerService("tables", "2001:db8::20", 5432, "2001:db8:1::5"),
)
TARGETS = {"intake": 3, "tables": 2}
DRAINED = "intake-1"
ADDED = "intake-9"


class Demo:
    """Runs the demo.

    Args:
        directory: Directory for settings and logs.
    """

    def __init__(self, directory: Path) -> None:
        octet = _OCTET.value
        self._rng = random.Random(_SEED.value)
        self._return_address = (f"127.{octet}.0.1", RETURN_PORT)
        self._zone = ZoneProcesses(directory, octet, self._return_address)
        self._caller_host = CallerHost(
            self._return_address, self._zone.platform_url, ZONE, self._rng
        )
        self._callers = self._caller_host.core
        self._admin = AdminClient(
            [self._zone.admin_endpoint(number) for number in range(2, INSTANCES + 1)]
        )
        self._targets: dict[str, TargetConfig] = {}
        self._groups: dict[str, list[str]] = {}
        self._failures: list[str] = []
        self._drained_at = float("inf")
        self._opening_ends_at = float("inf")
        self._imbalance_ratios: dict[str, list[float]] = {}

    async def run(self) -> str:
        """Runs the demo, collects failures and returns the summary line."""
        self._caller_host.start()
        try:
            await self._start_zone()
            await self._configure()
            await self._caller_host.wait_for_instances(INSTANCES, READY_TIMEOUT_S)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._apply_changes())
                tasks.create_task(self._run_flows())
            return await self._summarize()
        finally:
            await self._admin.close()
            await self._caller_host.stop()
            self._zone.stop_all()

    @property
    def failures(self) -> list[str]:
        """Descriptions of what failed during the run."""
        return self._failures

    async def _start_zone(self) -> None:
        await self._zone.start_platform()
        for number in range(1, INSTANCES + 1):
            self._zone.start_instance(number)
        number = 0
        for service in SERVICES:
            for index in range(1, TARGETS[service.name] + 1):
                number += 1
                self._add_target_config(f"{service.name}-{index}", service, number)
        await self._zone.start_targets("targets", tuple(self._targets.values()))
        for number in range(1, INSTANCES + 1):
            await self._zone.wait_for_instance(number)

    def _add_target_config(self, name: str, service: CallerService, number: int) -> TargetConfig:
        config = TargetConfig(
            name,
            self._zone.target_address(number),
            TARGET_PORT,
            HEALTH_PORT,
            ((service.address, service.port),),
        )
        self._targets[name] = config
        self._groups.setdefault(service.name, []).append(name)
        return config

    async def _configure(self) -> None:
        """Creates groups and services through the admin API and waits for their placements."""
        health = HealthCheck(port=HEALTH_PORT)
        for service in SERVICES:
            targets = tuple(_target_spec(self._targets[n]) for n in self._groups[service.name])
            group = GroupSpec(service.name, targets, health)
            spec = ServiceSpec(
                service.name, service.address, service.port, TransportProtocol.TCP, service.name
            )
            await porcelain.create_group(self._admin, group, _write_options())
            await porcelain.create_service(self._admin, spec, _write_options())
        for number in range(1, INSTANCES + 1):
            await self._zone.wait_for_placements(number, len(SERVICES))

    async def _apply_changes(self) -> None:
        """Replaces an instance, drains a target and adds one while flows run."""
        steps = (
            (REPLACE_AT_SHARE, self._replace_instance),
            (DRAIN_AT_SHARE, self._drain_target),
            (ADD_AT_SHARE, self._add_target),
            (SETTLED_AT_SHARE, self._sample_loads),
        )
        started_at = time.monotonic()
        for share, step in steps:
            await asyncio.sleep(max(0.0, started_at + share * _SECONDS.value - time.monotonic()))
            await step()

    async def _replace_instance(self) -> None:
        self._zone.start_instance(INSTANCES + 1)
        await self._caller_host.wait_for_instances(INSTANCES + 1, READY_TIMEOUT_S)
        if _KILL.value:
            self._zone.kill_instance(1)
            await self._zone.remove_dead_instance(1)
            return
        status = await self._zone.stop_instance(1)
        if status:
            self._failures.append(f"the stopped instance exited with status {status}")

    async def _drain_target(self) -> None:
        await porcelain.drain_target(self._admin, "intake", DRAINED, _write_options())
        self._drained_at = time.time()

    async def _add_target(self) -> None:
        config = self._add_target_config(ADDED, SERVICES[0], sum(TARGETS.values()) + 1)
        await self._zone.start_targets("added", (config,))
        await porcelain.put_target(self._admin, "intake", _target_spec(config), _write_options())

    async def _sample_loads(self) -> None:
        """Samples how evenly open flows are distributed, until no more flows open."""
        while time.monotonic() < self._opening_ends_at:
            for group, names in self._groups.items():
                loads = [await read_load(self._targets[n]) for n in names if n != DRAINED]
                flows = [load.open_flows for load in loads]
                ratio = max(flows) * len(flows) / max(1, sum(flows))
                self._imbalance_ratios.setdefault(group, []).append(ratio)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _run_flows(self) -> None:
        started_at = time.monotonic()
        for number in range(_FLOWS.value):
            start = started_at + self._rng.random() * _SECONDS.value
            service = SERVICES[number % len(SERVICES)]
            self._callers.add(FlowPlan(service, start, REQUESTS_PER_FLOW, REQUEST_INTERVAL_S))
        self._opening_ends_at = started_at + _SECONDS.value
        deadline = self._opening_ends_at + FINISH_TIMEOUT_S
        while self._callers.open_flows and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read_ledgers(self) -> dict[str, Ledger]:
        return {name: await read_ledger(target) for name, target in self._targets.items()}

    async def _summarize(self) -> str:
        ledgers = await self._read_ledgers()
        runs: Counter[str] = Counter()
        for ledger in ledgers.values():
            runs.update(ledger.runs)
        outcomes, unfinished = self._callers.outcomes, self._callers.open_flows
        broken = outcomes[FlowOutcome.BROKEN] + unfinished
        misrouted = sum(ledger.misrouted for ledger in ledgers.values())
        duplicated = runs.total() - len(runs)
        self._failures += [f"{n} flows: {reason}" for reason, n in self._callers.reasons.items()]
        if misrouted or duplicated or unfinished:
            self._failures.append(f"misrouted {misrouted}, duplicated {duplicated}")
        if ledgers[DRAINED].last_start > self._drained_at + DRAIN_SETTLE_S:
            self._failures.append("the drained target received new flows")
        return (
            f"flows={outcomes.total() + unfinished} broken={broken} misrouted={misrouted} "
            f"duplicated={duplicated} refused={outcomes[FlowOutcome.REFUSED]} "
            f"imbalance={self._imbalance():.3f}"
        )

    def _imbalance(self) -> float:
        return max(
            (statistics.fmean(ratios) for ratios in self._imbalance_ratios.values()), default=0.0
        )


def _target_spec(config: TargetConfig) -> TargetSpec:
    return TargetSpec(config.name, config.address, ZONE, config.port)


def _write_options() -> WriteOptions:
    return WriteOptions(ACTOR, wait_s=IN_FORCE_WAIT_S)


async def _run(directory: Path) -> int:
    demo = Demo(directory)
    line = await demo.run()
    for failure in demo.failures:
        print(failure, file=sys.stderr)
    print(line)
    return 1 if demo.failures else 0


def main(argv: Sequence[str]) -> int:
    """Runs the demo and returns its exit status."""
    del argv
    if _LOGS.value:
        return uvloop.run(_run(Path(_LOGS.value)))
    with tempfile.TemporaryDirectory(prefix="pearwell-demo-") as directory:
        return uvloop.run(_run(Path(directory)))


if __name__ == "__main__":
    app.run(main)
