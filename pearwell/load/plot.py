"""Plots of experiment reports."""

from pathlib import Path
from typing import Any

from pearwell.load.report import Report

__all__ = ["draw_report"]

_WIDTH_INCHES = 11
_HEIGHT_INCHES = 9


def draw_report(report: Report, path: Path) -> None:
    """Plots open flows, imbalance, broken flows and request rate over time to an image file.

    Args:
        report: A report with at least one sample.
        path: Image file to write; its suffix selects the format.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        4, 1, sharex=True, figsize=(_WIDTH_INCHES, _HEIGHT_INCHES), layout="constrained"
    )
    times = [sample.at_s for sample in report.samples]
    _draw_targets(axes[0], times, report)
    axes[1].plot(times, [sample.imbalance for sample in report.samples], color="tab:blue")
    axes[1].set_ylabel("imbalance (max/mean)")
    axes[2].step(times, [sample.broken for sample in report.samples], color="tab:red")
    axes[2].set_ylabel("broken flows")
    axes[3].plot(times, [sample.requests_per_s for sample in report.samples], color="tab:green")
    axes[3].set_ylabel("requests/s")
    axes[3].set_xlabel("seconds")
    for axis in axes:
        _mark_events(axis, report)
    figure.suptitle(f"{report.profile}, seed {report.seed}, {report.flows} flows")
    figure.savefig(path)
    pyplot.close(figure)


def _draw_targets(axis: Any, times: list[float], report: Report) -> None:
    names = sorted({name for sample in report.samples for name in sample.open_flows})
    for name in names:
        values = [sample.open_flows.get(name, 0) for sample in report.samples]
        axis.plot(times, values, label=name, linewidth=1)
    axis.set_ylabel("open flows")
    axis.legend(ncols=5, fontsize="x-small")


def _mark_events(axis: Any, report: Report) -> None:
    for event in report.events:
        axis.axvline(event.at_s, color="grey", linewidth=0.5, linestyle=":")
    if axis.get_subplotspec().is_first_row():
        for event in report.events:
            axis.annotate(
                event.kind,
                (event.at_s, 1.0),
                xycoords=("data", "axes fraction"),
                rotation=60,
                fontsize="xx-small",
            )
