"""Tests of pearwell.steering.record."""

import random

import pytest

from pearwell.steering.record import (
    RECORD_BYTES,
    SHARDS,
    FlowRecords,
    RecordFlag,
    flags_of,
    index_of,
    stamp_of,
    target_tag,
    unpack,
)


def make_records(count, targets=7, seed=1):
    records = FlowRecords("intake")
    rng = random.Random(seed)
    indices = [records.intern(target_tag("intake", f"t{n}")) for n in range(targets)]
    hashes = [rng.getrandbits(64) for _ in range(count)]
    for number, flow_hash in enumerate(hashes):
        records.advance(number / 100)
        records.put(flow_hash, indices[number % targets], RecordFlag.NONE)
    return records, hashes


@pytest.mark.parametrize("count", [200, 1_000, 10_000, 50_000])
def test_a_record_takes_less_than_128_bytes(count):
    records, _ = make_records(count)
    assert records.size == count
    assert records.state_bytes / count < 128


def test_records_are_found_touched_and_removed():
    records, hashes = make_records(50)
    records.advance(90.0)
    value = records.find(hashes[3])
    records.touch(hashes[3], value, RecordFlag.ENDED)
    touched = records.find(hashes[3])
    assert index_of(touched) == index_of(value) == 3
    assert flags_of(touched) == RecordFlag.ENDED
    assert stamp_of(touched) == 90
    records.discard(hashes[3])
    assert records.find(hashes[3]) is None
    assert records.size == 49


def test_shards_and_partitions_cover_every_record_once():
    records, hashes = make_records(500)
    by_shard = [flow for shard in range(SHARDS) for flow, _ in records.items(shard)]
    by_partition = [flow for number in range(16) for flow, _ in records.partition(number)]
    assert sorted(by_shard) == sorted(by_partition) == sorted(hashes)
    records.clear(hashes[0] % SHARDS)
    assert records.find(hashes[0]) is None


def test_packed_records_identify_their_targets():
    records, hashes = make_records(3)
    packed = b"".join(records.pack(flow, records.find(flow)) for flow in hashes)
    assert len(packed) == 3 * RECORD_BYTES
    expected = [(flow, target_tag("intake", f"t{n}"), 0) for n, flow in enumerate(hashes)]
    assert list(unpack(packed)) == expected
