"""pearwell-load: load experiments with daemon processes and stand-ins on loopback addresses.

pearwell-load run --profile bureau --report reports/run.json
pearwell-load plot reports/run.json --picture reports/run.png
"""

import asyncio
import random
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import uvloop
from absl import app, flags

from pearwell.errors import PearwellError
from pearwell.load.experiment import Experiment, ExperimentPlan
from pearwell.load.fleet import Fleet
from pearwell.load.plot import draw_report
from pearwell.load.profile import PROFILES, find_profile
from pearwell.load.report import Report, read_report, write_report
from pearwell.load.schedule import Event, EventKind, load_schedule, periodic_schedule
from pearwell.logs import configure_logs
from pearwell.standins.zone import ZoneProcesses

__all__ = ["main"]

_PROFILE = flags.DEFINE_enum("profile", "bureau", sorted(PROFILES), "Profile of the services.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of all random choices.")
_DURATION = flags.DEFINE_float("duration_s", 120.0, "Length of the run.", 1.0, 3600.0)
_RAMP = flags.DEFINE_float("ramp_s", 30.0, "Duration of the ramp-up of flows.", 0.1, 600.0)
_INSTANCES = flags.DEFINE_integer("instances", 6, "Number of instances.", 1, 40)
_SCALE = flags.DEFINE_float("scale", 0.1, "Fraction of the profile's flows to open.", 0.001, 1.0)
_MEAN_FLOW = flags.DEFINE_float("mean_flow_s", 600.0, "Mean lifetime of a flow.", 1.0)
_SCHEDULE = flags.DEFINE_string("schedule", "", "JSON file with scheduled events.")
_EVENT_INTERVAL = flags.DEFINE_float(
    "every_s", 0.0, "Seconds between events, which use each of --kinds in turn; 0 for none."
)
_EVENT_KINDS = flags.DEFINE_list(
    "kinds", [], "Kinds of events for --every_s; a default selection if empty."
)
_REPORT = flags.DEFINE_string("report", "reports/load.json", "Report file to write.")
_PICTURE = flags.DEFINE_string("picture", "reports/load.png", "Image file to write.")
_OCTET = flags.DEFINE_integer("octet", 70, "Second octet of the loopback addresses.", 1, 254)
_LOGS = flags.DEFINE_string("logs", "", "Directory for the logs of all processes.")

RETURN_PORT = 20120
EXIT_FAILED = 1
EXIT_USAGE = 2
PROGRESS_INTERVAL_S = 5.0

DEFAULT_KINDS = (
    EventKind.TARGET_DRAIN,
    EventKind.TARGET_UNDRAIN,
    EventKind.TARGET_JOIN,
    EventKind.INSTANCE_CRASH,
    EventKind.INSTANCE_JOIN,
    EventKind.INSTANCE_PAUSE,
    EventKind.INSTANCE_REPLACE,
    EventKind.PLATFORM_OUTAGE,
    EventKind.PLATFORM_LOST_ANSWERS,
    EventKind.CONFIGURATION_CHANGE,
)


def _scheduled_events(rng: random.Random) -> tuple[Event, ...]:
    if _SCHEDULE.value:
        return load_schedule(Path(_SCHEDULE.value))
    if not _EVENT_INTERVAL.value:
        return ()
    kinds = tuple(EventKind(kind) for kind in _EVENT_KINDS.value) or DEFAULT_KINDS
    return periodic_schedule(_EVENT_INTERVAL.value, _DURATION.value, kinds, rng)


def _plan() -> ExperimentPlan:
    return ExperimentPlan(
        profile=find_profile(_PROFILE.value),
        seed=_SEED.value,
        duration_s=_DURATION.value,
        ramp_s=_RAMP.value,
        instances=_INSTANCES.value,
        scale=_SCALE.value,
        mean_flow_s=_MEAN_FLOW.value,
        events=_scheduled_events(random.Random(_SEED.value)),
    )


def _progress_printer() -> Callable[[str], None]:
    """Returns a function that prints progress lines at most once per interval."""
    shown_at = float("-inf")

    def show(line: str) -> None:
        nonlocal shown_at
        if time.monotonic() - shown_at >= PROGRESS_INTERVAL_S:
            shown_at = time.monotonic()
            print(line, file=sys.stderr, flush=True)

    return show


async def _run_experiment(directory: Path) -> Report:
    plan = _plan()
    return_address = (f"127.{_OCTET.value}.0.1", RETURN_PORT)
    processes = ZoneProcesses(directory, _OCTET.value, return_address)
    try:
        return await Experiment(plan, Fleet(processes), _progress_printer()).run()
    finally:
        await asyncio.to_thread(processes.stop_all)


def _run(arguments: Sequence[str]) -> int:
    """Runs an experiment, writes its report and prints a summary line."""
    del arguments
    configure_logs("info")
    if _LOGS.value:
        directory = Path(_LOGS.value)
        directory.mkdir(parents=True, exist_ok=True)
        report = uvloop.run(_run_experiment(directory))
    else:
        with tempfile.TemporaryDirectory(prefix="pearwell-load-") as scratch:
            report = uvloop.run(_run_experiment(Path(scratch)))
    write_report(report, Path(_REPORT.value))
    print(
        f"flows={report.flows} broken={report.broken} "
        f"lost_with_targets={report.broken_by_target_loss} misrouted={report.misrouted} "
        f"duplicated={report.duplicated} refused={report.refused} "
        f"violations={report.invariant_violations} late_drains={len(report.late_drains)} "
        f"imbalance={report.imbalance:.3f} report={_REPORT.value}"
    )
    unexpected = report.broken - report.broken_by_target_loss
    failures = (
        unexpected,
        report.misrouted,
        report.duplicated,
        report.invariant_violations,
        report.late_drains,
    )
    return EXIT_FAILED if any(failures) else 0


def _plot(arguments: Sequence[str]) -> int:
    """Plots a report to an image file."""
    if len(arguments) != 1:
        print("usage: pearwell-load plot REPORT [--picture FILE]", file=sys.stderr)
        return EXIT_USAGE
    draw_report(read_report(Path(arguments[0])), Path(_PICTURE.value))
    print(_PICTURE.value)
    return 0


_COMMANDS = {"run": _run, "plot": _plot}


def _main(argv: Sequence[str]) -> int:
    command = _COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        print(__doc__, file=sys.stderr)
        return EXIT_USAGE
    try:
        return command(argv[2:])
    except PearwellError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE


def main() -> None:
    """Entry point of pearwell-load."""
    app.run(_main)


if __name__ == "__main__":
    main()
