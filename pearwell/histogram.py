"""Histograms of durations and other values."""

from collections.abc import Sequence

__all__ = ["Histogram"]


class Histogram:
    """A histogram.

    Attributes:
        name: Name without the prefix of all metrics, including the unit.
        bounds: Upper bounds of the buckets in increasing order.
        counts: Number of observations in each bucket and above the last one.
        sum: Sum of all observations.
    """

    def __init__(self, name: str, bounds: Sequence[float]) -> None:
        self.name = name
        self.bounds = tuple(bounds)
        self.counts = [0] * (len(self.bounds) + 1)
        self.sum = 0.0

    def observe(self, value: float) -> None:
        """Counts one observation."""
        self.counts[sum(bound < value for bound in self.bounds)] += 1
        self.sum += value
