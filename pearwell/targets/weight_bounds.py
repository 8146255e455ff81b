"""Scaling and rounding of weights to integers within bounds and with a fixed sum."""

import math
from collections.abc import Mapping

from pearwell.errors import Code, InvariantError

__all__ = ["round_to_sum", "scale_weights"]

MAX_SCALE = 1e6
SCALE_BISECTIONS = 60


def scale_weights(
    factors: Mapping[str, float],
    configured_weights: Mapping[str, int],
    floors: Mapping[str, float],
    ceilings: Mapping[str, float],
) -> dict[str, int]:
    """Scales factors so that the weights stay within bounds and keep the configured sum.

    Args:
        factors: Desired multiple of each target's configured weight.
        configured_weights: Configured weights.
        floors: Minimum factor of each target.
        ceilings: Maximum factor of each target; takes precedence over the minimum.

    Returns:
        Integer weights of at least 1.

    Raises:
        InvariantError: INVARIANT_VIOLATED if a weight or their sum is out of bounds.
    """
    total = sum(configured_weights.values())
    max_total = sum(configured_weights[n] * ceilings[n] for n in configured_weights)
    if max_total < total:
        ceilings = {n: ceilings[n] * total / max_total for n in configured_weights}
    scale = _find_scale(factors, configured_weights, floors, ceilings)
    exact = {
        n: configured_weights[n] * _clamp(factors[n] * scale, floors[n], ceilings[n])
        for n in configured_weights
    }
    weights = round_to_sum(exact, total)
    _check_weights(weights, exact, total)
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
    configured_weights: Mapping[str, int],
    floors: Mapping[str, float],
    ceilings: Mapping[str, float],
) -> float:
    """Bisects for the scale at which the clamped weights reach the configured sum."""
    total = sum(configured_weights.values())
    low, high = 0.0, MAX_SCALE
    for _ in range(SCALE_BISECTIONS):
        midpoint = (low + high) / 2
        scaled_total = sum(
            configured_weights[n] * _clamp(factors[n] * midpoint, floors[n], ceilings[n])
            for n in configured_weights
        )
        low, high = (midpoint, high) if scaled_total < total else (low, midpoint)
    return high


def _check_weights(weights: Mapping[str, int], exact: Mapping[str, float], total: int) -> None:
    is_close = all(abs(weights[n] - exact[n]) <= 1.0 for n in weights)
    if not is_close or abs(sum(weights.values()) - total) > len(weights):
        detail = f"weights {dict(weights)} violate their bounds or the sum of {total}"
        raise InvariantError(Code.INVARIANT_VIOLATED, detail)


def _clamp(factor: float, floor: float, ceiling: float) -> float:
    return min(max(factor, floor), ceiling)
