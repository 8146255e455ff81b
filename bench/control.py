"""Control plane benchmark: time until a change is applied everywhere, and its cost per instance.

Prints one JSON line. Uses virtual time and an in-memory network by default, or real time and
sockets with --grpc.
"""

import asyncio
import gc
import json
import math
import random
import resource
import time
import tracemalloc
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any

import structlog
import uvloop
from absl import app, flags

from bench.control_zone import ControlZone
from bench.virtual_time import VirtualTimeLoop
from pearwell.agreement.peers import Peers
from pearwell.clock import Clock, MonotonicClock
from pearwell.configuration.document import Document, encode_document
from pearwell.model.configuration import Kind
from pearwell.model.group import GroupSpec, TargetSpec

__all__ = ["main"]

_SEED = flags.DEFINE_integer("seed", 1, "Seed of all random choices.")
_INSTANCES = flags.DEFINE_integer(
    "instances", 20, "Number of instances in the zone.", lower_bound=1
)
_CHANGES = flags.DEFINE_integer("changes", 20, "Number of configuration changes.", lower_bound=1)
_GROUPS = flags.DEFINE_integer("groups", 4, "Number of target groups.", lower_bound=1)
_QUIET_S = flags.DEFINE_float("quiet_s", 20.0, "Seconds measured without changes first.")
_GRPC = flags.DEFINE_bool("grpc", False, "Use real sockets and real time, with few instances.")
_LOSS = flags.DEFINE_float("loss", 0.0, "Fraction of peer messages that are lost.")

TARGETS_PER_GROUP = 7
CHANGE_INTERVAL_S = 2.0
APPLY_TIMEOUT_S = 30.0
START_BATCH_INSTANCES = 20
GRPC_START_BATCH_INSTANCES = 4
START_PAUSE_S = 0.25
LATENCY_S = 0.0005


class ControlBench:
    """One run of the benchmark.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rng = random.Random(_SEED.value)
        self._zone = ControlZone(clock, _SEED.value, _GRPC.value)
        self._zone.faults.delivery = self._message_delays

    async def run(self) -> dict[str, Any]:
        """Starts the zone, then measures it without and with changes."""
        zone = self._zone
        if not _GRPC.value:
            tracemalloc.start()
        for number in range(_GROUPS.value):
            await self._write_group(number)
        gc.collect()
        memory = _memory_bytes()
        batch = GRPC_START_BATCH_INSTANCES if _GRPC.value else START_BATCH_INSTANCES
        for first in range(0, _INSTANCES.value, batch):
            await zone.start(*range(first, min(first + batch, _INSTANCES.value)))
            await asyncio.sleep(START_PAUSE_S)
        join_s = await zone.wait_until_joined()
        await zone.wait_until(self._all_placed, 60.0)
        gc.collect()
        memory = _memory_bytes() - memory
        tracemalloc.stop()
        quiet = await self._measure(asyncio.sleep(_QUIET_S.value))
        delays: list[float] = []
        changing = await self._measure(self._make_changes(delays))
        violations = [v for i in zone.instances.values() for v in i.observer.violations]
        await zone.stop()
        return {
            "instances": _INSTANCES.value,
            "changes": _CHANGES.value,
            "transport": "grpc" if _GRPC.value else "memory",
            "join_s": round(join_s, 3),
            "in_force_p50_s": _quantile(delays, 0.5),
            "in_force_p99_s": _quantile(delays, 0.99),
            "in_force_max_s": _quantile(delays, 1.0),
            "quiet": quiet,
            "changing": changing,
            "memory_kb_per_instance": round(memory / _INSTANCES.value / 1000, 1),
            "violations": len(violations),
        }

    async def _write_group(self, number: int) -> tuple[str, int]:
        """Writes a group to the platform and returns its name and version."""
        name = f"group-{number}"
        weights = [self._rng.randint(50, 150) for _ in range(TARGETS_PER_GROUP)]
        targets = tuple(
            TargetSpec(f"t{index}", f"10.0.{number}.{index}", "pnw-a", weight=weight)
            for index, weight in enumerate(weights)
        )
        value = encode_document(Document(Kind.GROUP, name, spec=GroupSpec(name, targets)))
        platform = self._zone.platform
        if any(item.name == name for item in (await platform.list("group")).items):
            stored = await platform.get("group", name)
            return name, (await platform.update("group", name, value, stored.version)).version
        return name, (await platform.create("group", name, value)).version

    async def _make_changes(self, delays: list[float]) -> None:
        for _ in range(_CHANGES.value):
            name, version = await self._write_group(self._rng.randrange(_GROUPS.value))
            started_at = self._clock.now()
            await self._zone.wait_until(partial(self._is_applied, name, version), APPLY_TIMEOUT_S)
            applied_times = [
                i.observer.applied_at[name, version] for i in self._zone.instances.values()
            ]
            delays.extend(at - started_at for at in applied_times)
            await asyncio.sleep(max(0.0, started_at + CHANGE_INTERVAL_S - self._clock.now()))

    def _is_applied(self, name: str, version: int) -> bool:
        return all(
            i.observer.versions.get(name, 0) >= version for i in self._zone.instances.values()
        )

    def _all_placed(self) -> bool:
        return all(
            len(i.observer.placement_times) == _GROUPS.value for i in self._zone.instances.values()
        )

    async def _measure(self, operation: Any) -> dict[str, float]:
        """Returns the cost per instance while an awaitable runs."""
        before = self._totals()
        cpu, started_at = _cpu_s(), self._clock.now()
        await operation
        seconds = self._clock.now() - started_at
        after = self._totals()
        cpu = _cpu_s() - cpu
        rates = {name: (after[name] - before[name]) / seconds for name in before}
        count = len(self._zone.instances)
        return {
            "seconds": round(seconds, 2),
            "payload_bytes_per_s": round(rates["bytes"] / count, 1),
            "messages_per_s": round(rates["messages"] / count, 2),
            "batches_per_s": round(rates["batches"] / count, 2),
            "platform_calls_per_s": round(rates["calls"], 3),
            "core_percent": round(100 * cpu / seconds / count, 3),
        }

    def _totals(self) -> dict[str, float]:
        peers = [instance.peers for instance in self._zone.instances.values()]
        grpc_peers = [peer for peer in peers if isinstance(peer, Peers)]
        return {
            "bytes": sum(peer.bytes_sent for peer in peers),
            "messages": sum(peer.messages_sent for peer in peers),
            "batches": sum(peer.batches_sent for peer in grpc_peers),
            "calls": sum(self._zone.platform.calls.values()),
        }

    def _message_delays(self, sender: str, to: str, message: object) -> tuple[float, ...]:
        return () if self._rng.random() < _LOSS.value else (LATENCY_S,)


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _memory_bytes() -> int:
    """Returns traced memory, or resident memory with gRPC, whose C core tracemalloc can't trace."""
    if not _GRPC.value:
        return tracemalloc.get_traced_memory()[0]
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return round(ordered[max(0, math.ceil(share * len(ordered)) - 1)], 4)


async def _run_virtual() -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    return await ControlBench(loop).run()


async def _run_real() -> dict[str, Any]:
    return await ControlBench(MonotonicClock()).run()


def main(argv: Sequence[str]) -> None:
    """Runs the benchmark."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    started_at = time.monotonic()
    if _GRPC.value:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            report = runner.run(_run_real())
    else:
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            report = runner.run(_run_virtual())
    report["run_s"] = round(time.monotonic() - started_at, 1)
    print(json.dumps(report))


if __name__ == "__main__":
    app.run(main)
