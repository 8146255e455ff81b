"""Scaling and rounding of weights to integers within bounds and with a fixed sum."""

import math
from collections.abc import Mapping

from pearwell.errors import Code, InvariantError

__all__ = ["round_to_sum", "split_weights"]

MAX_SCALE = 1e6
SCALE_BISECTIONS = 60


def split_weights(
    factors: Mapping[str, float],
    bases: Mapping[str, int],
    floors: Mapping[str, float],
    ceilings: Mapping[str, float],
) -> dict[str, int]:
    """Scales factors so that the weights stay within bounds and keep the configured sum.

    Args:
        factors: Desired multiple of each target's configured weight.
        bases: Configured weights.
        floors: Minimum factor of each target.
        ceilings: Maximum factor of each target; takes precedence over the minimum.

    Returns:
        Integer weights of at least 1.

    Raises:
        InvariantError: INVARIANT_VIOLATED if a weight or their sum is out of bounds.
    """
    total = sum(bases.values())
    highest = sum(bases[n] * ceilings[n] for n in bases)
    if highest < total:
        ceilings = {n: ceilings[n] * total / highest for n in bases}
    scale = _find_scale(factors, bases, floors, ceilings)
    exact = {n: bases[n] * _clamp(factors[n] * scale, floors[n], ceilings[n]) for n in bases}
    weights = round_to_sum(exact, total)
    _check(weights, exact, total)
    return weights


def round_to_sum(exact: Mapping[str, float], total: int) -> dict[str, int]:
    """Rounds to integer weights of a given sum by the largest remainder method."""
    weights = {n: max(1, math.floor(value)) for n, value in exact.items()}
    by_remainder = sorted(exact, key=lambda n: (weights[n] - exact[n], n))
    for name in by_remainder[: max(0, total - sum(weights.values()))]:
        weights[name] += 1
    return weights


def _find_scale(
    factors: Mapping[str, float],
    bases: Mapping[str, int],
    floors: Mapping[str, float],
    ceilings: Mapping[str, float],
) -> float:
    """Bisects for the scale at which the clamped weights reach the configured sum."""
    total = sum(bases.values())
    below, above = 0.0, MAX_SCALE
    for _ in range(SCALE_BISECTIONS):
        middle = (below + above) / 2
        reached = sum(bases[n] * _clamp(factors[n] * middle, floors[n], ceilings[n]) for n in bases)
        below, above = (middle, above) if reached < total else (below, middle)
    return above


def _check(weights: Mapping[str, int], exact: Mapping[str, float], total: int) -> None:
    near = all(abs(weights[n] - exact[n]) <= 1.0 for n in weights)
    if not near or abs(sum(weights.values()) - total) > len(weights):
        detail = f"weights {dict(weights)} violate their bounds or the sum of {total}"
        raise InvariantError(Code.INVARIANT_VIOLATED, detail)


def _clamp(factor: float, floor: float, ceiling: float) -> float:
    return min(max(factor, floor), ceiling)
