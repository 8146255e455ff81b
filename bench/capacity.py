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

__all__ = ["Slope", "main", "measure"]

_SEED = flags.DEFINE_integer("seed", 1, "Seed of all random choices.")
_SIZES = flags.DEFINE_list(
    "sizes", ["20", "60", "173"], "Numbers of instances of the measured zones."
)

OBJECTS = 1000
TARGETS = 7
ROUNDS = 20_000
MICROSECOND = 1e6
CHANGES = 10
GRPC_INSTANCES = 6


@dataclass(frozen=True, slots=True)
class Slope:
    """One measured unit cost.

    Attributes:
        name: Name by which the capacity page refers to it.
        value: Measured value.
        unit: Unit of the value.
    """

    name: str
    value: float
    unit: str


class _Nowhere:
    """Counts the messages and bytes sent, and delivers none."""

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0

    def send(self, to: str, message: Message) -> None:
        """Counts a message and its encoded size."""
        self.messages += 1
        self.bytes += len(encode(message))


def measure(seed: int, sizes: Sequence[int]) -> Iterator[Slope]:
    """Measures all unit costs.

    Args:
        seed: Seed of all random choices.
        sizes: Numbers of instances of the zones whose control plane cost is measured.
    """
    yield from _configuration_slopes()
    yield from _placement_slopes()
    yield from _record_slopes(seed)
    yield from _decision_slopes(seed)
    yield from _message_slopes()
    yield from _process_slopes()
    yield from _idle_slopes()
    yield from _packet_slopes(seed)
    yield from _control_slopes(seed, GRPC_INSTANCES, grpc=True)
    for size in sizes:
        yield from _control_slopes(seed, size, grpc=False)


def _memory_of(make: Callable[[], Any]) -> int:
    """Returns the traced memory of a newly created value in bytes."""
    tracemalloc.start()
    value = make()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del value
    return held


def _microseconds(action: Callable[[], Any], rounds: int) -> float:
    started = time.process_time()
    for _ in range(rounds):
        action()
    return (time.process_time() - started) / rounds * MICROSECOND


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


def _parsed(kind: Kind, spec: ServiceSpec | GroupSpec) -> ServiceSpec | GroupSpec:
    """Returns a specification decoded from its stored form."""
    document = msgspec.json.decode(msgspec.json.encode(encode_spec(kind, spec)))
    return decode_spec(kind, document)


def _configuration_slopes() -> Iterator[Slope]:
    services = _memory_of(lambda: [_parsed(Kind.SERVICE, _service(n)) for n in range(OBJECTS)])
    yield Slope("service_memory", services / OBJECTS, "B")
    empty = _memory_of(lambda: [_parsed(Kind.GROUP, _group(n, 1)) for n in range(OBJECTS)])
    full = _memory_of(lambda: [_parsed(Kind.GROUP, _group(n, 9)) for n in range(OBJECTS)])
    per_target = (full - empty) / OBJECTS / 8
    yield Slope("group_memory", empty / OBJECTS - per_target, "B")
    yield Slope("group_target_memory", per_target, "B")
    stored = len(msgspec.json.encode(encode_spec(Kind.SERVICE, _service(1))))
    yield Slope("service_stored", stored, "B")
    one, nine = (
        len(msgspec.json.encode(encode_spec(Kind.GROUP, _group(1, targets)))) for targets in (1, 9)
    )
    yield Slope("group_target_stored", (nine - one) / 8, "B")
    document = encode_spec(Kind.SERVICE, _service(1))
    parse = _microseconds(lambda: decode_spec(Kind.SERVICE, document), OBJECTS)
    yield Slope("configuration_parse", parse, "µs")


def _targets(count: int, number: int = 0) -> tuple[PlacedTarget, ...]:
    return tuple(
        PlacedTarget(f"target-{number}-{index:02}", f"10.0.{number % 250}.{index + 1}", 6080, 100)
        for index in range(count)
    )


def _placement(targets: int, number: int = 0) -> Placement:
    generation = Generation(1, "entry-1")
    return initial(f"group-{number}", "pnw-a", _targets(targets, number), 0, generation)


def _placement_slopes() -> Iterator[Slope]:
    few, many = 4, 32
    copies = OBJECTS // 50
    invariants = Invariants()
    clock = ManualClock()

    def groups(targets: int) -> list[SteeredGroup]:
        payloads = [encode_placement(_placement(targets, n)) for n in range(copies)]
        return [SteeredGroup(decode_placement(p), clock, invariants) for p in payloads]

    small, large = (_memory_of(partial(groups, size)) / copies for size in (few, many))
    yield Slope("placement_target_memory", (large - small) / (many - few), "B")
    wire = [len(encode_placement(_placement(size))) for size in (few, many)]
    yield Slope("placement_target_wire", (wire[1] - wire[0]) / (many - few), "B")
    steady = _placement(TARGETS)
    wanted = _targets(TARGETS + 1)
    generation = Generation(2, "entry-1")
    change = _microseconds(lambda: activate(prepare(steady, wanted, generation), generation), 50)
    yield Slope("change_per_target", change / TARGETS, "µs")
    payload = encode_placement(steady)
    apply = _microseconds(lambda: SteeredGroup(decode_placement(payload), clock, invariants), 200)
    yield Slope("apply_placement_per_target", apply / TARGETS, "µs")


def encode_placement(placement: Placement) -> bytes:
    """Encodes a placement as in a message."""
    return msgspec.msgpack.encode(placement)


def decode_placement(payload: bytes) -> Placement:
    """Decodes a placement from a message."""
    return msgspec.msgpack.decode(payload, type=Placement)


def _record_slopes(seed: int) -> Iterator[Slope]:
    rng = random.Random(seed)
    hashes = [rng.getrandbits(64) for _ in range(ROUNDS)]

    def fill() -> FlowRecords:
        records = FlowRecords("group-0")
        index = records.intern(1)
        for flow_hash in hashes:
            records.put(flow_hash, index, RecordFlag.NONE)
        return records

    records = fill()
    # Record keys are the int objects of the hashes list; state_bytes counts them as well.
    yield Slope("record_memory", records.state_bytes / len(hashes), "B")
    yield Slope("record_wire", len(records.pack(hashes[0], records.find(hashes[0]) or 0)), "B")


def _decision_slopes(seed: int) -> Iterator[Slope]:
    clock = ManualClock()
    transport = _Nowhere()
    steering = Steering(
        "entry-1", "pnw-a", transport, clock, random.Random(seed), publish=lambda message: None
    )
    steering.apply_placement(_placement(TARGETS))
    table = steering.table("group-0")
    assert table is not None
    rng = random.Random(seed)
    hashes = iter([rng.getrandbits(64) for _ in range(ROUNDS)] * 2)
    stable = _microseconds(lambda: steering.decide(table, next(hashes), FlowEvent.NONE), ROUNDS)
    yield Slope("decide_stable", stable, "µs")
    change = prepare(_placement(TARGETS), _targets(TARGETS + 1), Generation(2, "entry-1"))
    steering.apply_placement(change)
    steering.apply_placement(activate(change, Generation(3, "entry-1")))
    candidates = [rng.getrandbits(64) for _ in range(ROUNDS * 4)]
    moving = [flow_hash for flow_hash in candidates if flow_hash & table.mask in table.moving]
    source = iter(moving)
    start = _microseconds(
        lambda: steering.decide(table, next(source), FlowEvent.START), len(moving)
    )
    yield Slope("decide_moving_start", start, "µs")
    again = iter(moving)
    recorded = _microseconds(
        lambda: steering.decide(table, next(again), FlowEvent.NONE), len(moving)
    )
    yield Slope("decide_moving_recorded", recorded, "µs")
    yield from _admission_slopes(seed, clock)


def _admission_slopes(seed: int, clock: ManualClock) -> Iterator[Slope]:
    admission = Admission(clock, random.Random(seed))
    admission.configure(Configuration(services={"service-1": _service(1)}))
    rng = random.Random(seed)
    hashes = iter([rng.getrandbits(64) for _ in range(ROUNDS)])
    cost = _microseconds(
        lambda: admission.admit("service-1", b"\xcb\x00\x71", "target-1", next(hashes)), ROUNDS
    )
    yield Slope("admit_start", cost, "µs")


def _message_slopes() -> Iterator[Slope]:
    entry = Entry("config/service/service-1", EntryVersion(7), bytes(300))
    push = Push((entry,))
    payload = encode(push)
    yield Slope("message_encode", _microseconds(lambda: encode(push), ROUNDS), "µs")
    yield Slope("message_decode", _microseconds(lambda: decode(payload), ROUNDS), "µs")
    yield Slope("push_overhead", len(payload) - len(entry.payload), "B")
    member = Member("entry-1", "10.0.0.1", 6081, 6082)
    yield Slope("member_wire", len(msgspec.msgpack.encode(member)), "B")


def _control_slopes(seed: int, size: int, grpc: bool) -> Iterator[Slope]:
    """Runs bench-control and converts its results to unit costs."""
    flags_given = [f"--seed={seed}", f"--instances={size}", f"--changes={CHANGES}"]
    report = _run_bench("bench.control", *flags_given, *(["--grpc"] if grpc else []))
    suffix = f"grpc_{size}" if grpc else f"at_{size}"
    for phase in ("quiet", "changing"):
        cost = report[phase]
        yield Slope(f"{phase}_bytes_{suffix}", cost["payload_bytes_per_s"], "B/s")
        yield Slope(f"{phase}_messages_{suffix}", cost["messages_per_s"], "1/s")
        yield Slope(f"{phase}_batches_{suffix}", cost["batches_per_s"], "1/s")
        yield Slope(f"{phase}_cpu_{suffix}", cost["core_percent"] / 100, "core")
        yield Slope(f"{phase}_platform_calls_{suffix}", cost["platform_calls_per_s"], "1/s")
    extra = report["changing"]["payload_bytes_per_s"] - report["quiet"]["payload_bytes_per_s"]
    yield Slope(f"change_bytes_{suffix}", extra * report["changing"]["seconds"] / CHANGES, "B")
    yield Slope(f"in_force_max_{suffix}", report["in_force_max_s"], "s")
    yield Slope(f"control_memory_{suffix}", report["memory_kb_per_instance"] * 1000, "B")


def _process_slopes() -> Iterator[Slope]:
    """Measures the memory of a process that has imported the daemon without running it."""
    code = "import resource, pearwell.daemon; print(resource.getrusage(0).ru_maxrss)"
    done = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    yield Slope("process_memory", float(done.stdout) * 1024, "B")


def _idle_slopes() -> Iterator[Slope]:
    """Measures daemons without flows, with and without probes; the difference is the probe cost."""
    silent = measure_idle(probing=False)
    probing = measure_idle(probing=True)
    yield Slope("idle_cpu", silent.cpu_share, "core")
    yield Slope("idle_memory", silent.memory_bytes, "B")
    yield Slope("idle_bytes", silent.bytes_per_s, "B/s")
    per_probe = (probing.cpu_share - silent.cpu_share) / probing.probes_per_s
    yield Slope("probe_cpu", per_probe * MICROSECOND, "µs")
    extra = (probing.bytes_per_s - silent.bytes_per_s) / probing.probes_per_s
    yield Slope("probe_bytes", extra, "B")


def _packet_slopes(seed: int) -> Iterator[Slope]:
    """Runs bench-packet for the number of packets that one CPU core forwards."""
    report = _run_bench("bench.packet", f"--seed={seed}", "--turns=3")
    yield Slope("packets_per_cpu_s", report["pearwell_packets_per_cpu_s"], "1/s")


def _run_bench(module: str, *arguments: str) -> dict[str, Any]:
    """Runs another benchmark in a subprocess and returns its last JSON line."""
    command = [sys.executable, "-m", module, *arguments]
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    report: dict[str, Any] = json.loads(done.stdout.splitlines()[-1])
    return report


def main(argv: Sequence[str]) -> None:
    """Prints all unit costs as JSON lines."""
    del argv
    sizes = [int(size) for size in _SIZES.value]
    for slope in measure(_SEED.value, sizes):
        print(json.dumps(asdict(slope), ensure_ascii=False), flush=True)


if __name__ == "__main__":
    app.run(main)
