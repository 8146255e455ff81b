"""Metrics in the Prometheus text format, without a library.

Importing aioprometheus takes 40 ms of CPU time and needs asyncio; pearwell.metrics uses it for the
daemon's endpoint.
"""

from collections.abc import Iterable

from pearwell.histogram import Histogram

__all__ = ["Sample", "render_histogram", "render_samples"]

# Name, type ("counter" or "gauge"), labels, value.
Sample = tuple[str, str, dict[str, str], float]

PREFIX = "pearwell_"


def render_histogram(histogram: Histogram) -> str:
    """Returns a histogram in the text format."""
    name, total = PREFIX + histogram.name, 0
    lines = [f"# TYPE {name} histogram"]
    for bound, count in zip([*map(str, histogram.bounds), "+Inf"], histogram.counts, strict=True):
        total += count
        lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
    lines += [f"{name}_sum {histogram.sum:.6f}", f"{name}_count {total}"]
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
