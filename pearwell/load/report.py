"""Reports: results of an experiment, stored as JSON."""

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from pearwell.errors import Code, SettingsError

__all__ = ["EventReport", "InstanceReport", "Report", "Sample", "read_report", "write_report"]


@dataclass(slots=True)
class Sample:
    """One periodic sample of a run.

    Attributes:
        at_s: Seconds since the start of the run.
        open_flows: Open flows by target.
        broken: Flows broken so far.
        refused: Flows refused so far.
        imbalance: Maximum divided by mean of the open flows per serving target, for the least
            balanced service.
        requests_per_s: Completed requests per second since the previous sample.
    """

    at_s: float
    open_flows: dict[str, int]
    broken: int
    refused: int
    imbalance: float
    requests_per_s: float


@dataclass(slots=True)
class InstanceReport:
    """Resource usage of one instance.

    Attributes:
        instance: Instance ID.
        cpu_share: Fraction of a core used while it was observed, including packet processing.
        memory_bytes: Peak resident memory.
        control_bytes_per_s: Bytes of peer messages sent per second.
    """

    instance: str
    cpu_share: float
    memory_bytes: int
    control_bytes_per_s: float


@dataclass(slots=True)
class EventReport:
    """One executed event.

    Attributes:
        at_s: Seconds from the start of the run to the event.
        kind: Kind of the event.
        subject: Instance, target or service that it affected, or "platform".
        broken: Flows broken between this event and the next one.
        error: Why the event failed; empty if it succeeded.
    """

    at_s: float
    kind: str
    subject: str
    broken: int = 0
    error: str = ""


@dataclass(slots=True)
class Report:
    """The results of an experiment.

    Attributes:
        profile: Name of the profile.
        seed: Seed of the flows and events.
        duration_s: Length of the run in seconds.
        flows: Flows opened.
        broken: Flows that lost their target or received no response.
        broken_by_target_loss: Broken flows whose target an event made unresponsive.
        misrouted: Packets that reached a target of another service or a second target.
        duplicated: Repeated runs of requests, beyond the first of each.
        refused: Flows refused.
        invariant_violations: Invariant violations that the instances counted.
        requests: Completed requests.
        late_drains: Seconds between the drain of a target and its last new flow, by target;
            only targets that exceeded the grace time.
        latency_ms: Latency of requests by percentile, in milliseconds.
        imbalance: Mean imbalance of the samples taken after the ramp.
        samples: Periodic samples.
        instances: Resource usage of each instance.
        events: Executed events.
        not_reproducible: Aspects of the run that the seed doesn't determine.
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
