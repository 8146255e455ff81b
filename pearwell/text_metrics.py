"""Metrics in the Prometheus text format, without a library.

Importing aioprometheus takes 40 ms of CPU time and needs asyncio; pearwell.metrics uses it for the
daemon's endpoint.
"""

from collections.abc import Iterable, Sequence

__all__ = ["Histogram", "Sample", "render_samples"]

# Name, type ("counter" or "gauge"), labels, value.
Sample = tuple[str, str, dict[str, str], float]

PREFIX = "pearwell_"


class Histogram:
    """A histogram metric.

    Args:
        name: Name without the prefix, including the unit.
        bounds: Upper bounds of the buckets in increasing order.
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
        """Returns the histogram in the text format."""
        name, total = PREFIX + self._name, 0
        lines = [f"# TYPE {name} histogram"]
        for bound, count in zip([*map(str, self._bounds), "+Inf"], self._counts, strict=True):
            total += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
        lines += [f"{name}_sum {self._sum:.6f}", f"{name}_count {total}"]
        return "\n".join(lines) + "\n"


def render_samples(samples: Iterable[Sample]) -> str:
    """Returns counters and gauges in the text format, grouped by name."""
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
