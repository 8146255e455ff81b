"""Cost of idle daemons: a zone of processes without flows, with or without health probes."""

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from pearwell.admin.client import AdminClient
from pearwell.admin.porcelain import WriteOptions, create_group
from pearwell.load.fleet import HEALTH_PORT, Fleet
from pearwell.model.group import GroupSpec, HealthCheck, TargetSpec
from pearwell.standins.zone import ZONE, ZoneProcesses
from pearwell.targets.health import PROBERS_PER_TARGET

__all__ = ["IdleCost", "measure_idle"]

INSTANCES = 6
TARGETS = 10
LOOPBACK_OCTET = 74
RETURN_PORT = 20120
SETTLE_S = 5.0
MEASURE_S = 20.0
APPLY_TIMEOUT_S = 10.0
BYTES_SENT = "pearwell_peer_bytes_sent_total"


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Mean cost of an idle instance.

    Attributes:
        cpu_share: Fraction of a CPU core.
        memory_bytes: Peak resident memory.
        bytes_per_s: Bytes of peer messages sent per second.
        probes_per_s: Health probes sent per second.
    """

    cpu_share: float
    memory_bytes: float
    bytes_per_s: float
    probes_per_s: float


def measure_idle(probing: bool) -> IdleCost:
    """Measures the instances of a zone without flows.

    Args:
        probing: Whether each prober probes its targets once per second.
    """
    with tempfile.TemporaryDirectory(prefix="pearwell-idle-") as directory:
        return_address = (f"127.{LOOPBACK_OCTET}.0.1", RETURN_PORT)
        fleet = Fleet(ZoneProcesses(Path(directory), LOOPBACK_OCTET, return_address))
        try:
            return asyncio.run(_measure(fleet, probing))
        finally:
            fleet.processes.stop_all()


async def _measure(fleet: Fleet, probing: bool) -> IdleCost:
    await fleet.processes.start_platform()
    names = await fleet.start_instances(INSTANCES)
    await _configure(fleet, probing)
    await asyncio.sleep(SETTLE_S)
    before = [(fleet.usage(name), await fleet.metrics(name)) for name in names]
    await asyncio.sleep(MEASURE_S)
    after = [(fleet.usage(name), await fleet.metrics(name)) for name in names]
    pairs = list(zip(before, after, strict=True))
    cpu = sum(new[0].cpu_s - old[0].cpu_s for old, new in pairs)
    sent = sum(new[1].get(BYTES_SENT, 0.0) - old[1].get(BYTES_SENT, 0.0) for old, new in pairs)
    return IdleCost(
        cpu / MEASURE_S / INSTANCES,
        sum(usage.memory_bytes for usage, _ in after) / INSTANCES,
        sent / MEASURE_S / INSTANCES,
        TARGETS * PROBERS_PER_TARGET / INSTANCES if probing else 0.0,
    )


async def _configure(fleet: Fleet, probing: bool) -> None:
    configs = await fleet.start_targets(
        [f"idle-{number}" for number in range(1, TARGETS + 1)], (("198.51.100.1", 443),), 3
    )
    targets = tuple(TargetSpec(c.name, c.address, ZONE, c.port, slots=c.slots) for c in configs)
    health = HealthCheck(port=HEALTH_PORT if probing else 0)
    async with AdminClient(fleet.admin_servers) as client:
        write = WriteOptions("bench-capacity", wait_s=APPLY_TIMEOUT_S)
        await create_group(client, GroupSpec("idle", targets, health), write)
