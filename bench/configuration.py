"""Cost of configuration: writes to the platform, a full listing, and memory at an instance.

Prints one JSON line. The platform stand-in runs in the same process, so latencies include it.
"""

import argparse
import asyncio
import json
import random
import time
import tracemalloc
from collections.abc import Sequence
from typing import Any

from pearwell.clock import MonotonicClock
from pearwell.configuration import edits
from pearwell.configuration.applied import AppliedConfiguration, entry_of
from pearwell.configuration.audit import MAX_AUDIT_ENTRIES, Action
from pearwell.configuration.editor import ConfigurationEditor, WriteRequest
from pearwell.configuration.schema import encode_spec
from pearwell.messages import Entry
from pearwell.model.configuration import Kind
from pearwell.model.group import GroupSpec, TargetSpec
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.object_store import MemoryObjectStore, RetryingObjectStore, StoredObject
from pearwell.object_store.platform_client import PlatformClient
from pearwell.standins.platform import PlatformStandin

__all__ = ["main"]

ADDRESS = "127.20.0.9"
PORT = 20950
TARGETS_PER_GROUP = 10
SNAPSHOTS = 20


def _service(number: int) -> ServiceSpec:
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return ServiceSpec(f"s{number}", address, 443, TransportProtocol.TCP, f"g{number}")


def _group(number: int, targets: int = TARGETS_PER_GROUP) -> GroupSpec:
    specs = (TargetSpec(f"t{n}", f"10.9.{n >> 8}.{n & 255}", "pnw-a") for n in range(targets))
    return GroupSpec(f"g{number}", tuple(specs))


def _request(kind: Kind, name: str, action: Action, key: str) -> WriteRequest:
    return WriteRequest(kind, name, action, key, "f" * 32, "operator")


async def _measure_writes(editor: ConfigurationEditor, writes: int) -> dict[str, float]:
    create = _request(Kind.GROUP, "g0", Action.CREATE, "create")
    await editor.write(create, edits.create(_group(0)))
    latencies = []
    for number in range(writes):
        request = _request(Kind.GROUP, "g0", Action.DRAIN_TARGET, f"k{number}")
        started_at = time.perf_counter()
        await editor.write(request, edits.drain_target("g0", "t1", float(number)))
        latencies.append(1000 * (time.perf_counter() - started_at))
    latencies.sort()
    quantiles = {
        name: latencies[int(share * (writes - 1))] for name, share in (("p50", 0.5), ("p99", 0.99))
    }
    return {f"write_{name}_ms": round(value, 2) for name, value in quantiles.items()}


async def _measure_list(
    store: MemoryObjectStore, client: RetryingObjectStore, objects: int
) -> dict[str, float]:
    for number in range(1, objects):
        spec = encode_spec(Kind.SERVICE, _service(number))
        await store.create("service", f"s{number}", {"spec": spec, "audit": []})
    started_at = time.perf_counter()
    listing = await client.list("service")
    elapsed_s = time.perf_counter() - started_at
    return {"listed_objects": len(listing.items), "list_s": round(elapsed_s, 2)}


def _entries(services: int) -> list[Entry]:
    specs: list[tuple[Kind, Any]] = [(Kind.SERVICE, _service(n)) for n in range(services)]
    specs += [(Kind.GROUP, _group(n)) for n in range(services // 4)]
    return [_entry(version, kind, spec) for version, (kind, spec) in enumerate(specs, 1)]


def _entry(version: int, kind: Kind, spec: Any) -> Entry:
    return entry_of(StoredObject(kind, spec.name, version, {"spec": encode_spec(kind, spec)}))


def _apply(entries: Sequence[Entry]) -> AppliedConfiguration:
    applied = AppliedConfiguration()
    for entry in entries:
        applied.apply(entry)
    return applied


def _measure_applied(services: int) -> dict[str, float]:
    entries = _entries(services)
    started_at = time.perf_counter()
    applied = _apply(entries)
    elapsed_s = time.perf_counter() - started_at
    started_at = time.perf_counter()
    for _ in range(SNAPSHOTS):
        _ = applied.snapshot
    snapshot = (time.perf_counter() - started_at) / SNAPSHOTS
    # Memory is measured on a second copy, because tracing would slow the timed code down.
    tracemalloc.start()
    copy = _entries(services)
    retained = (copy, _apply(copy))
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return {
        "held_objects": len(retained[0]),
        "held_mb": round(megabytes, 1),
        "apply_us_per_object": round(1e6 * elapsed_s / len(entries), 1),
        "snapshot_ms": round(1000 * snapshot, 2),
        "entry_bytes": round(sum(len(entry.payload) for entry in entries) / len(entries)),
    }


async def _measure(writes: int, services: int) -> dict[str, Any]:
    standin = PlatformStandin()
    await standin.start(ADDRESS, PORT)
    async with PlatformClient(f"http://{ADDRESS}:{PORT}") as platform:
        client = RetryingObjectStore(platform, MonotonicClock(), random.Random(1))
        editor = ConfigurationEditor(client, random.Random(1), "pnw-a-1")
        results: dict[str, Any] = await _measure_writes(editor, writes)
        results["calls_per_write"] = round(sum(platform.calls.values()) / (writes + 1), 2)
        stored = await client.get("group", "g0")
        results["stored_bytes_with_full_audit"] = len(json.dumps(stored.value))
        results["audit_entries"] = MAX_AUDIT_ENTRIES
        results |= await _measure_list(standin.store, client, services)
    await standin.stop()
    return results | _measure_applied(services)


def main() -> None:
    """Runs the benchmark and prints one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--writes", type=int, default=300)
    parser.add_argument("--services", type=int, default=10_000)
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(_measure(arguments.writes, arguments.services))))


if __name__ == "__main__":
    main()
