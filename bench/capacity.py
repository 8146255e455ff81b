"""Unit costs in memory, messages and CPU time, the input of docs/CAPACITY.md.

Prints one JSON line per measurement. Timings are CPU time of this process and depend on the
machine; sizes don't.
"""

import json
import random
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass
from functools import partial
from typing import Any

import msgspec
from absl import app, flags

from bench.idle_zone import measure_idle
from pearwell.clock import ManualClock
from pearwell.configuration.schema import decode_spec, encode_spec
from pearwell.messages import Message, decode, encode
from pearwell.messages.gossip import Entry, EntryVersion, Push
from pearwell.model.configuration import Configuration, Kind
from pearwell.model.group import GroupSpec, TargetSpec
from pearwell.model.membership import Member
from pearwell.model.placement import Generation, PlacedTarget, Placement
from pearwell.model.service import FlowLimits, ServiceSpec, TransportProtocol
from pearwell.placement.change import activate, initial, prepare
from pearwell.steering.invariants import Invariants
from pearwell.steering.record import FlowRecords, RecordFlag
from pearwell.steering.steered_group import SteeredGroup
from pearwell.steering.steering import Steering
from pearwell.steering.verdict import FlowEvent
from pearwell.targets.admission import Admission

__all__ = ["Measurement", "main", "measure"]

_SEED = flags.DEFINE_integer("seed", 1, "Seed of all random choices.")
_SIZES = flags.DEFINE_list(
    "sizes", ["20", "60", "173"], "Numbers of instances of the measured zones."
)

OBJECTS = 1000
TARGETS = 7
ITERATIONS = 20_000
MICROSECONDS_PER_S = 1e6
CHANGES = 10
GRPC_INSTANCES = 6


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measured unit cost.

    Attributes:
        name: Name by which the capacity page refers to it.
        value: Measured value.
        unit: Unit of the value.
    """

    name: str
    value: float
    unit: str


class _CountingTransport:
    """Counts the messages and bytes sent, and delivers none."""

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0

    def send(self, to: str, message: Message) -> None:
        """Counts a message and its encoded size."""
        self.messages += 1
        self.bytes += len(encode(message))


def measure(seed: int, sizes: Sequence[int]) -> Iterator[Measurement]:
    """Measures all unit costs.

    Args:
        seed: Seed of all random choices.
        sizes: Numbers of instances of the zones whose control plane cost is measured.
    """
    yield from _measure_configuration()
    yield from _measure_placement()
    yield from _measure_records(seed)
    yield from _measure_decisions(seed)
    yield from _measure_messages()
    yield from _measure_process()
    yield from _measure_idle_zone()
    yield from _measure_packets(seed)
    yield from _measure_control(seed, GRPC_INSTANCES, grpc=True)
    for size in sizes:
        yield from _measure_control(seed, size, grpc=False)


def _traced_bytes(create: Callable[[], Any]) -> int:
    """Returns the traced memory of a newly created value in bytes."""
    tracemalloc.start()
    value = create()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del value
    return size


def _mean_cpu_us(action: Callable[[], Any], iterations: int) -> float:
    started = time.process_time()
    for _ in range(iterations):
        action()
    return (time.process_time() - started) / iterations * MICROSECONDS_PER_S


def _service(number: int) -> ServiceSpec:
    address = f"198.18.{number // 250}.{number % 250 + 1}"
    return ServiceSpec(
        f"service-{number}", address, 443, TransportProtocol.TCP, f"group-{number}", limits=_LIMITS
    )


def _group(number: int, targets: int) -> GroupSpec:
    network = f"10.{number // 250}.{number % 250}"
    return GroupSpec(
        f"group-{number}",
        tuple(
            TargetSpec(f"target-{number}-{index}", f"{network}.{index}", "pnw-a")
            for index in range(targets)
        ),
    )


_LIMITS = FlowLimits(new_flows_per_s=10_000)


def _parse_stored(kind: Kind, spec: ServiceSpec | GroupSpec) -> ServiceSpec | GroupSpec:
    """Returns a specification decoded from its stored form."""
    document = msgspec.json.decode(msgspec.json.encode(encode_spec(kind, spec)))
    return decode_spec(kind, document)


def _measure_configuration() -> Iterator[Measurement]:
    services = _traced_bytes(
        lambda: [_parse_stored(Kind.SERVICE, _service(n)) for n in range(OBJECTS)]
    )
    yield Measurement("service_memory", services / OBJECTS, "B")
    empty = _traced_bytes(lambda: [_parse_stored(Kind.GROUP, _group(n, 1)) for n in range(OBJECTS)])
    full = _traced_bytes(lambda: [_parse_stored(Kind.GROUP, _group(n, 9)) for n in range(OBJECTS)])
    per_target = (full - empty) / OBJECTS / 8
    yield Measurement("group_memory", empty / OBJECTS - per_target, "B")
    yield Measurement("group_target_memory", per_target, "B")
    stored = len(msgspec.json.encode(encode_spec(Kind.SERVICE, _service(1))))
    yield Measurement("service_stored", stored, "B")
    one, nine = (
        len(msgspec.json.encode(encode_spec(Kind.GROUP, _group(1, targets)))) for targets in (1, 9)
    )
    yield Measurement("group_target_stored", (nine - one) / 8, "B")
    document = encode_spec(Kind.SERVICE, _service(1))
    parse = _mean_cpu_us(lambda: decode_spec(Kind.SERVICE, document), OBJECTS)
    yield Measurement("configuration_parse", parse, "µs")


def _targets(count: int, number: int = 0) -> tuple[PlacedTarget, ...]:
    return tuple(
        PlacedTarget(f"target-{number}-{index:02}", f"10.0.{number % 250}.{index + 1}", 6080, 100)
        for index in range(count)
    )


def _placement(targets: int, number: int = 0) -> Placement:
    generation = Generation(1, "entry-1")
    return initial(f"group-{number}", "pnw-a", _targets(targets, number), 0, generation)


def _measure_placement() -> Iterator[Measurement]:
    few, many = 4, 32
    group_count = OBJECTS // 50
    invariants = Invariants()
    clock = ManualClock()

    def groups(targets: int) -> list[SteeredGroup]:
        payloads = [encode_placement(_placement(targets, n)) for n in range(group_count)]
        return [SteeredGroup(decode_placement(p), clock, invariants) for p in payloads]

    small, large = (_traced_bytes(partial(groups, size)) / group_count for size in (few, many))
    yield Measurement("placement_target_memory", (large - small) / (many - few), "B")
    encoded_sizes = [len(encode_placement(_placement(size))) for size in (few, many)]
    yield Measurement(
        "placement_target_wire", (encoded_sizes[1] - encoded_sizes[0]) / (many - few), "B"
    )
    steady = _placement(TARGETS)
    desired = _targets(TARGETS + 1)
    generation = Generation(2, "entry-1")
    change = _mean_cpu_us(lambda: activate(prepare(steady, desired, generation), generation), 50)
    yield Measurement("change_per_target", change / TARGETS, "µs")
    payload = encode_placement(steady)
    apply = _mean_cpu_us(lambda: SteeredGroup(decode_placement(payload), clock, invariants), 200)
    yield Measurement("apply_placement_per_target", apply / TARGETS, "µs")


def encode_placement(placement: Placement) -> bytes:
    """Encodes a placement as in a message."""
    return msgspec.msgpack.encode(placement)


def decode_placement(payload: bytes) -> Placement:
    """Decodes a placement from a message."""
    return msgspec.msgpack.decode(payload, type=Placement)


def _measure_records(seed: int) -> Iterator[Measurement]:
    rng = random.Random(seed)
    hashes = [rng.getrandbits(64) for _ in range(ITERATIONS)]

    def fill() -> FlowRecords:
        records = FlowRecords("group-0")
        index = records.intern(1)
        for flow_hash in hashes:
            records.put(flow_hash, index, RecordFlag.NONE)
        return records

    records = fill()
    # Record keys are the int objects of the hashes list; state_bytes counts them as well.
    yield Measurement("record_memory", records.state_bytes / len(hashes), "B")
    yield Measurement(
        "record_wire", len(records.pack(hashes[0], records.find(hashes[0]) or 0)), "B"
    )


def _measure_decisions(seed: int) -> Iterator[Measurement]:
    clock = ManualClock()
    transport = _CountingTransport()
    steering = Steering(
        "entry-1", "pnw-a", transport, clock, random.Random(seed), publish=lambda message: None
    )
    steering.apply_placement(_placement(TARGETS))
    table = steering.table("group-0")
    assert table is not None
    rng = random.Random(seed)
    hashes = iter([rng.getrandbits(64) for _ in range(ITERATIONS)] * 2)
    stable = _mean_cpu_us(lambda: steering.decide(table, next(hashes), FlowEvent.NONE), ITERATIONS)
    yield Measurement("decide_stable", stable, "µs")
    change = prepare(_placement(TARGETS), _targets(TARGETS + 1), Generation(2, "entry-1"))
    steering.apply_placement(change)
    steering.apply_placement(activate(change, Generation(3, "entry-1")))
    candidates = [rng.getrandbits(64) for _ in range(ITERATIONS * 4)]
    moving = [flow_hash for flow_hash in candidates if flow_hash & table.mask in table.moving]
    first_packets = iter(moving)
    start = _mean_cpu_us(
        lambda: steering.decide(table, next(first_packets), FlowEvent.START), len(moving)
    )
    yield Measurement("decide_moving_start", start, "µs")
    later_packets = iter(moving)
    recorded = _mean_cpu_us(
        lambda: steering.decide(table, next(later_packets), FlowEvent.NONE), len(moving)
    )
    yield Measurement("decide_moving_recorded", recorded, "µs")
    yield from _measure_admission(seed, clock)


def _measure_admission(seed: int, clock: ManualClock) -> Iterator[Measurement]:
    admission = Admission(clock, random.Random(seed))
    admission.configure(Configuration(services={"service-1": _service(1)}))
    rng = random.Random(seed)
    hashes = iter([rng.getrandbits(64) for _ in range(ITERATIONS)])
    cost = _mean_cpu_us(
        lambda: admission.admit("service-1", b"\xcb\x00\x71", "target-1", next(hashes)), ITERATIONS
    )
    yield Measurement("admit_start", cost, "µs")


def _measure_messages() -> Iterator[Measurement]:
    entry = Entry("config/service/service-1", EntryVersion(7), bytes(300))
    push = Push((entry,))
    payload = encode(push)
    yield Measurement("message_encode", _mean_cpu_us(lambda: encode(push), ITERATIONS), "µs")
    yield Measurement("message_decode", _mean_cpu_us(lambda: decode(payload), ITERATIONS), "µs")
    yield Measurement("push_overhead", len(payload) - len(entry.payload), "B")
    member = Member("entry-1", "10.0.0.1", 6081, 6082)
    yield Measurement("member_wire", len(msgspec.msgpack.encode(member)), "B")


def _measure_control(seed: int, size: int, grpc: bool) -> Iterator[Measurement]:
    """Runs bench-control and converts its results to unit costs."""
    arguments = [f"--seed={seed}", f"--instances={size}", f"--changes={CHANGES}"]
    report = _run_bench("bench.control", *arguments, *(["--grpc"] if grpc else []))
    suffix = f"grpc_{size}" if grpc else f"at_{size}"
    for phase in ("quiet", "changing"):
        cost = report[phase]
        yield Measurement(f"{phase}_bytes_{suffix}", cost["payload_bytes_per_s"], "B/s")
        yield Measurement(f"{phase}_messages_{suffix}", cost["messages_per_s"], "1/s")
        yield Measurement(f"{phase}_batches_{suffix}", cost["batches_per_s"], "1/s")
        yield Measurement(f"{phase}_cpu_{suffix}", cost["core_percent"] / 100, "core")
        yield Measurement(f"{phase}_platform_calls_{suffix}", cost["platform_calls_per_s"], "1/s")
    extra = report["changing"]["payload_bytes_per_s"] - report["quiet"]["payload_bytes_per_s"]
    yield Measurement(
        f"change_bytes_{suffix}", extra * report["changing"]["seconds"] / CHANGES, "B"
    )
    yield Measurement(f"in_force_max_{suffix}", report["in_force_max_s"], "s")
    yield Measurement(f"control_memory_{suffix}", report["memory_kb_per_instance"] * 1000, "B")


def _measure_process() -> Iterator[Measurement]:
    """Measures the memory of a process that has imported the daemon without running it."""
    code = "import resource, pearwell.daemon; print(resource.getrusage(0).ru_maxrss)"
    completed = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True
    )
    yield Measurement("process_memory", float(completed.stdout) * 1024, "B")


def _measure_idle_zone() -> Iterator[Measurement]:
    """Measures daemons without flows, with and without probes; the difference is the probe cost."""
    idle = measure_idle(probing=False)
    probing = measure_idle(probing=True)
    yield Measurement("idle_cpu", idle.cpu_share, "core")
    yield Measurement("idle_memory", idle.memory_bytes, "B")
    yield Measurement("idle_bytes", idle.bytes_per_s, "B/s")
    per_probe = (probing.cpu_share - idle.cpu_share) / probing.probes_per_s
    yield Measurement("probe_cpu", per_probe * MICROSECONDS_PER_S, "µs")
    extra = (probing.bytes_per_s - idle.bytes_per_s) / probing.probes_per_s
    yield Measurement("probe_bytes", extra, "B")


def _measure_packets(seed: int) -> Iterator[Measurement]:
    """Runs bench-packet for the number of packets that one CPU core forwards."""
    report = _run_bench("bench.packet", f"--seed={seed}", "--turns=3")
    yield Measurement("packets_per_cpu_s", report["pearwell_packets_per_cpu_s"], "1/s")


def _run_bench(module: str, *arguments: str) -> dict[str, Any]:
    """Runs another benchmark in a subprocess and returns its last JSON line."""
    command = [sys.executable, "-m", module, *arguments]
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    report: dict[str, Any] = json.loads(completed.stdout.splitlines()[-1])
    return report


def main(argv: Sequence[str]) -> None:
    """Prints all unit costs as JSON lines."""
    del argv
    sizes = [int(size) for size in _SIZES.value]
    for measurement in measure(_SEED.value, sizes):
        print(json.dumps(asdict(measurement), ensure_ascii=False), flush=True)


if __name__ == "__main__":
    app.run(main)
