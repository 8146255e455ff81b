"""Reports: what an experiment saw, as JSON."""

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from pearwell.errors import Code, SettingsError

__all__ = ["EventReport", "InstanceReport", "Report", "Sample", "read_report", "write_report"]


@dataclass(slots=True)
class Sample:
    """One reading during the run.

    Attributes:
        at_s: Time from the start in seconds.
        open_flows: Open flows by target.
        broken: Flows broken so far.
        refused: Flows refused so far.
        imbalance: Largest over mean of the open flows of serving targets, worst service.
        requests_per_s: Answered requests a second since the last reading.
    """

    at_s: float
    open_flows: dict[str, int]
    broken: int
    refused: int
    imbalance: float
    requests_per_s: float


@dataclass(slots=True)
class InstanceReport:
    """What one instance used.

    Attributes:
        instance: Instance id.
        cpu_share: Share of a core over its life, packets included.
        memory_bytes: Largest resident memory.
        control_bytes_per_s: Bytes of peer messages sent a second.
    """

    instance: str
    cpu_share: float
    memory_bytes: int
    control_bytes_per_s: float


@dataclass(slots=True)
class EventReport:
    """One event as it happened.

    Attributes:
        at_s: Time it was caused, from the start in seconds.
        kind: Kind of the event.
        subject: What it happened to.
        broken: Flows broken from it to the next event.
        error: Why it couldn't be caused; empty if it was.
    """

    at_s: float
    kind: str
    subject: str
    broken: int = 0
    error: str = ""


@dataclass(slots=True)
class Report:
    """The outcome of an experiment.

    Attributes:
        profile: Name of the profile.
        seed: Seed of the flows and of the choice of events.
        duration_s: Length of the run in seconds.
        flows: Flows opened.
        broken: Flows that lost their target or got no answer.
        broken_by_target_loss: Those among them whose target was crashed on purpose.
        misrouted: Packets that reached a target of another service or a second target.
        duplicated: Requests that ran twice.
        refused: Flows refused.
        invariant_violations: Violations that the instances counted.
        requests: Requests answered.
        late_drains: Seconds after its drain at which a target took its last new flow, by target,
            where that is beyond the allowed time.
        latency_ms: Latency of requests by percentile, in milliseconds.
        imbalance: Mean over time of the samples' imbalance.
        samples: Readings over time.
        instances: What each instance used.
        events: The events.
        not_reproducible: What the seed doesn't decide.
    """

    profile: str
    seed: int
    duration_s: float
    flows: int = 0
    broken: int = 0
    broken_by_target_loss: int = 0
    misrouted: int = 0
    duplicated: int = 0
    refused: int = 0
    invariant_violations: int = 0
    requests: int = 0
    late_drains: dict[str, float] = field(default_factory=dict)
    latency_ms: dict[str, float] = field(default_factory=dict)
    imbalance: float = 0.0
    samples: list[Sample] = field(default_factory=list)
    instances: list[InstanceReport] = field(default_factory=list)
    events: list[EventReport] = field(default_factory=list)
    not_reproducible: str = "order of packets, choice of ports by the kernel, all timings"


def write_report(report: Report, path: Path) -> None:
    """Writes a report as indented JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))


def read_report(path: Path) -> Report:
    """Reads a report.

    Raises:
        SettingsError: The file can't be read or isn't a report.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except OSError as error:
        raise SettingsError(Code.SETTINGS_UNREADABLE, str(error)) from error
    except msgspec.DecodeError as error:
        raise SettingsError(Code.SETTINGS_INVALID_VALUE, f"{path}: {error}") from error
