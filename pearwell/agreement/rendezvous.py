"""Rendezvous hashing: instances with the same candidates compute the same ranking."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

__all__ = ["rank"]


def rank(key: str, candidates: Iterable[str], count: int) -> tuple[str, ...]:
    """Ranks candidates for a key by highest random weight.

    Args:
        key: Key to assign.
        candidates: Names to choose from, in any order.
        count: Maximum number of names to return.

    Returns:
        The highest ranked names, best first.
    """
    scored = ((xxh3_64_intdigest(f"{key}\0{name}".encode()), name) for name in candidates)
    return tuple(name for _, name in sorted(scored, reverse=True)[:count])
