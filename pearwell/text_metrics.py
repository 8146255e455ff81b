"""Metrics in the text format of Prometheus, without a library.

aioprometheus takes 40 ms of processor time to import and needs asyncio; see pearwell.metrics for
the daemon's page.
"""

from collections.abc import Iterable, Sequence

__all__ = ["Histogram", "Sample", "render_samples"]

# Name, type ("counter" or "gauge"), labels, value.
Sample = tuple[str, str, dict[str, str], float]

PREFIX = "pearwell_"


class Histogram:
    """Counts observations in buckets.

    Args:
        name: Name without the prefix, with its unit.
        bounds: Upper bounds of the buckets, rising.
    """

    def __init__(self, name: str, bounds: Sequence[float]) -> None:
        self._name = name
        self._bounds = tuple(bounds)
        self._counts = [0] * (len(self._bounds) + 1)
        self._sum = 0.0

    def observe(self, value: float) -> None:
        """Counts one observation."""
        self._counts[sum(bound < value for bound in self._bounds)] += 1
        self._sum += value

    def render(self) -> str:
        """Returns the lines of the histogram."""
        name, total = PREFIX + self._name, 0
        lines = [f"# TYPE {name} histogram"]
        for bound, count in zip([*map(str, self._bounds), "+Inf"], self._counts, strict=True):
            total += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
        lines += [f"{name}_sum {self._sum:.6f}", f"{name}_count {total}"]
        return "\n".join(lines) + "\n"


def render_samples(samples: Iterable[Sample]) -> str:
    """Returns the lines of counters and gauges, grouped by name."""
    groups: dict[str, list[str]] = {}
    for name, kind, labels, value in samples:
        lines = groups.setdefault(name, [f"# TYPE {PREFIX}{name} {kind}"])
        pairs = ",".join(f'{key}="{_escape(text)}"' for key, text in labels.items())
        lines.append(
            f"{PREFIX}{name}{{{pairs}}} {value:g}" if pairs else f"{PREFIX}{name} {value:g}"
        )
    return "".join("\n".join(lines) + "\n" for lines in groups.values())


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
