"""Flow records: the target of each known flow of a moving bucket."""

import sys
from collections.abc import Iterator
from enum import IntFlag

from xxhash import xxh3_64_intdigest

__all__ = [
    "PARTITIONS",
    "RECORD_BYTES",
    "SHARDS",
    "SHARD_BITS",
    "FlowRecords",
    "RecordFlag",
    "flags_of",
    "index_of",
    "stamp_of",
    "target_tag",
    "unpack",
]

SHARD_BITS = 8
SHARDS = 1 << SHARD_BITS
# Shards share the dictionaries of partitions, so that few records don't need one per shard.
PARTITION_BITS = 4
PARTITIONS = 1 << PARTITION_BITS
RECORD_BYTES = 14
STAMP_S = 1.0

_PARTITION_MASK = PARTITIONS - 1
_SHARD_KEY_MASK = (SHARDS >> PARTITION_BITS) - 1
_FLAG_BITS = 4
_FLAG_MASK = (1 << _FLAG_BITS) - 1
_INDEX_BITS = 16
_INDEX_MASK = (1 << _INDEX_BITS) - 1
_STAMP_SHIFT = _FLAG_BITS + _INDEX_BITS
_TAG_MASK = (1 << 44) - 1
_HASH_BITS = 64
_HASH_MASK = (1 << _HASH_BITS) - 1
# Memory of an int object with a 60-bit key.
_KEY_BYTES = 32


class RecordFlag(IntFlag):
    """State of a recorded flow."""

    NONE = 0
    ENDED = 1
    RESET = 2
    LEARNED = 4


def target_tag(group: str, target: str) -> int:
    """Returns the 44-bit number that identifies a target in messages between instances."""
    return xxh3_64_intdigest(f"{group}\0{target}".encode()) & _TAG_MASK


def index_of(value: int) -> int:
    """Returns the target index of a record's value."""
    return value >> _FLAG_BITS & _INDEX_MASK


def flags_of(value: int) -> int:
    """Returns the flags of a record's value."""
    return value & _FLAG_MASK


def stamp_of(value: int) -> int:
    """Returns the time of the latest packet in units of STAMP_S."""
    return value >> _STAMP_SHIFT


def unpack(records: bytes) -> Iterator[tuple[int, int, int]]:
    """Yields the flow hash, target tag and flags of packed records."""
    for start in range(0, len(records), RECORD_BYTES):
        packed = int.from_bytes(records[start : start + RECORD_BYTES], "little")
        rest = packed >> _HASH_BITS
        yield packed & _HASH_MASK, rest >> _FLAG_BITS, rest & _FLAG_MASK


class FlowRecords:
    """The flow records of one group at one instance.

    A record is a dictionary entry that maps the upper 60 bits of the flow hash to an integer of
    time stamp, target index and flags. Equal values share one integer object to save memory.

    Args:
        group: Name of the group.
    """

    def __init__(self, group: str) -> None:
        self._group = group
        self._partitions: list[dict[int, int]] = [{} for _ in range(PARTITIONS)]
        self._tags: list[int] = []
        self._indices: dict[int, int] = {}
        self._stamp = 0
        self._values: dict[int, int] = {}

    @property
    def group(self) -> str:
        """Name of the group."""
        return self._group

    @property
    def stamp(self) -> int:
        """Current time in units of STAMP_S."""
        return self._stamp

    @property
    def size(self) -> int:
        """Number of records."""
        return sum(map(len, self._partitions))

    @property
    def state_bytes(self) -> int:
        """Memory of the records in bytes, including the overhead of Python objects."""
        used = [partition for partition in self._partitions if partition]
        tables = sum(map(sys.getsizeof, used))
        values = {id(value): value for partition in used for value in partition.values()}
        shared = sum(map(sys.getsizeof, values.values()))
        return tables + shared + self.size * _KEY_BYTES

    def advance(self, now: float) -> None:
        """Sets the current time in seconds."""
        stamp = int(now / STAMP_S)
        if stamp != self._stamp:
            self._stamp = stamp
            self._values.clear()

    def intern(self, tag: int) -> int:
        """Returns the local index of a target tag, and assigns one to a new tag."""
        index = self._indices.get(tag)
        if index is None:
            index = self._indices[tag] = len(self._tags)
            self._tags.append(tag)
        return index

    def find(self, flow_hash: int) -> int | None:
        """Returns the value of a flow's record, or None."""
        return self._partitions[flow_hash & _PARTITION_MASK].get(flow_hash >> PARTITION_BITS)

    def put(self, flow_hash: int, index: int, flags: int) -> None:
        """Records a flow, or replaces its record."""
        partition = self._partitions[flow_hash & _PARTITION_MASK]
        partition[flow_hash >> PARTITION_BITS] = self._value(index, flags)

    def touch(self, flow_hash: int, value: int, flags: int) -> None:
        """Updates the time stamp of a recorded flow and adds flags."""
        fresh = self._value(index_of(value), flags_of(value) | flags)
        if fresh is not value:
            partition = self._partitions[flow_hash & _PARTITION_MASK]
            partition[flow_hash >> PARTITION_BITS] = fresh

    def discard(self, flow_hash: int) -> None:
        """Removes the record of a flow, if there is one."""
        number = flow_hash & _PARTITION_MASK
        partition = self._partitions[number]
        partition.pop(flow_hash >> PARTITION_BITS, None)
        if not partition:
            self._partitions[number] = {}

    def clear(self, shard: int) -> None:
        """Removes the records of a shard."""
        for flow_hash, _ in self.items(shard):
            self.discard(flow_hash)

    def items(self, shard: int) -> list[tuple[int, int]]:
        """Returns the flow hashes and values of one shard."""
        number = shard & _PARTITION_MASK
        upper = shard >> PARTITION_BITS
        return [
            (key << PARTITION_BITS | number, value)
            for key, value in self._partitions[number].items()
            if key & _SHARD_KEY_MASK == upper
        ]

    def partition(self, number: int) -> list[tuple[int, int]]:
        """Returns the flow hashes and values of the shards that equal number modulo PARTITIONS."""
        entries = self._partitions[number].items()
        return [(key << PARTITION_BITS | number, value) for key, value in entries]

    def pack(self, flow_hash: int, value: int) -> bytes:
        """Packs one record for another instance."""
        rest = self._tags[index_of(value)] << _FLAG_BITS | flags_of(value)
        return (rest << _HASH_BITS | flow_hash).to_bytes(RECORD_BYTES, "little")

    def _value(self, index: int, flags: int) -> int:
        value = self._stamp << _STAMP_SHIFT | index << _FLAG_BITS | flags
        return self._values.setdefault(value, value)
