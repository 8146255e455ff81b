"""Lookup tables: a deterministic assignment of buckets to weighted targets."""

from collections.abc import Iterable, Mapping, Sequence

from xxhash import xxh3_64_intdigest

__all__ = [
    "BUCKETS_PER_TARGET",
    "MAX_BUCKETS",
    "MIN_BUCKETS",
    "assign",
    "quotas",
    "table_size",
]

BUCKETS_PER_TARGET = 128
MIN_BUCKETS = 256
MAX_BUCKETS = 1 << 17


def table_size(targets: int) -> int:
    """Returns the number of buckets for a number of targets, a power of two."""
    wanted = min(max(targets * BUCKETS_PER_TARGET, MIN_BUCKETS), MAX_BUCKETS)
    return 1 << (wanted - 1).bit_length()


def quotas(weights: Mapping[str, int], size: int) -> dict[str, int]:
    """Splits a number of buckets by weight with the largest-remainder method.

    Args:
        weights: Positive weight of each target.
        size: Number of buckets.

    Returns:
        Number of buckets of each target; at equal weights they differ by one at most.
    """
    total = sum(weights.values())
    shares = {name: divmod(size * weight, total) for name, weight in weights.items()}
    counts = {name: whole for name, (whole, _) in shares.items()}
    unassigned = size - sum(counts.values())
    ranked = sorted(shares, key=lambda name: (-shares[name][1], name))
    for name in ranked[:unassigned]:
        counts[name] += 1
    return counts


def assign(
    weights: Mapping[str, int], size: int, previous: Sequence[str] | None = None
) -> tuple[str, ...]:
    """Assigns every bucket to a target.

    Without a previous table, targets take turns to claim the next free bucket of their own
    permutation, as in Maglev. With one, each target keeps its buckets up to its quota, so that no
    more buckets move than the quotas require; the remaining buckets are claimed in turns.

    Args:
        weights: Positive weight of each target; at least one.
        size: Number of buckets, a power of two.
        previous: Target of each bucket in the previous table; names without a weight lose their
            buckets.

    Returns:
        The target of each bucket, independent of the order of the weights.
    """
    needed = quotas(weights, size)
    table: list[str | None] = [None] * size
    if previous is not None:
        _keep_previous(table, needed, previous)
    _assign_free_buckets(table, needed)
    return tuple(name or "" for name in table)


def _keep_previous(
    table: list[str | None], needed: dict[str, int], previous: Sequence[str]
) -> None:
    """Keeps buckets on their previous targets and subtracts them from the needed counts."""
    held: dict[str, list[int]] = {}
    for bucket, name in enumerate(previous):
        if name in needed:
            held.setdefault(name, []).append(bucket)
    for name, buckets in held.items():
        for bucket in _retained_buckets(name, buckets, needed[name]):
            table[bucket] = name
            needed[name] -= 1


def _retained_buckets(name: str, buckets: list[int], quota: int) -> Iterable[int]:
    if len(buckets) <= quota:
        return buckets
    return sorted(buckets, key=lambda b: xxh3_64_intdigest(f"{b}\0{name}".encode()))[:quota]


def _assign_free_buckets(table: list[str | None], needed: dict[str, int]) -> None:
    """Assigns free buckets to the targets in turns until each has its needed count."""
    size = len(table)
    probes = {name: _probe_sequence(name, size) for name in sorted(needed) if needed[name]}
    while probes:
        for name in list(probes):
            offset, skip = probes[name]
            while table[offset] is not None:
                offset = (offset + skip) % size
            table[offset] = name
            probes[name] = (offset + skip) % size, skip
            needed[name] -= 1
            if not needed[name]:
                del probes[name]


def _probe_sequence(name: str, size: int) -> tuple[int, int]:
    """Returns the offset and skip with which a target visits all buckets.

    The skip is odd, so that it visits every bucket of a table whose size is a power of two.
    """
    digest = xxh3_64_intdigest(name.encode())
    return digest % size, (digest >> 32) % size | 1
