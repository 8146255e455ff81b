"""Hash rings that select the neighbours an instance probes and gossips with."""

from bisect import bisect_right
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

__all__ = ["RING_COUNT", "successors"]

RING_COUNT = 4


def successors(instance: str, members: Iterable[str], rings: int = RING_COUNT) -> tuple[str, ...]:
    """Returns the next member after an instance on each of several hash rings.

    Every ring connects all members, so flooding along the rings reaches each of them, while the
    number of neighbours doesn't depend on the size of the zone.

    Args:
        instance: Instance whose neighbours to select.
        members: Instance ids in any order, with or without the instance itself.
        rings: Number of independent rings.

    Returns:
        Distinct neighbours, at most one per ring.
    """
    others = [name for name in members if name != instance]
    chosen: list[str] = []
    for ring in range(rings):
        positions = sorted((_position(ring, name), name) for name in others if name not in chosen)
        if not positions:
            break
        index = bisect_right(positions, (_position(ring, instance), instance))
        chosen.append(positions[index % len(positions)][1])
    return tuple(chosen)


def _position(ring: int, name: str) -> int:
    return xxh3_64_intdigest(name.encode(), seed=ring)
