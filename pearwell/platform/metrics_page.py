"""The page that the metrics endpoint of the role serves."""

from collections.abc import Iterable, Sequence

from pearwell.event_log import EventLog
from pearwell.histogram import Histogram
from pearwell.platform.store import StoreClient
from pearwell.text_metrics import Sample, render_histogram, render_samples

__all__ = ["render_page"]


def render_page(
    samples: Sequence[Sample],
    stores: Iterable[StoreClient],
    relays: Iterable[StoreClient],
    histograms: Iterable[Histogram],
    log: EventLog,
) -> bytes:
    """Returns the metrics of an instance in the text format.

    Args:
        samples: What the instance tells of its decisions.
        stores: Clients of the store.
        relays: Clients of the relays.
        histograms: Durations.
        log: The event log, which may have left out lines.
    """
    calls: list[Sample] = [
        ("calls_total", "counter", {"to": to}, sum(client.calls for client in clients))
        for to, clients in (("store", stores), ("relay", relays))
    ]
    left_out: Sample = ("log_lines_left_out", "gauge", {}, log.dropped_lines)
    text = render_samples([*samples, *calls, left_out]) + "".join(map(render_histogram, histograms))
    return text.encode(errors="backslashreplace")
