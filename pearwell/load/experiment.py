"""Experiments: run the flows of a profile through real processes during scheduled events."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import aiohttp
import structlog
from hdrh.histogram import HdrHistogram

from pearwell.admin.client import AdminClient
from pearwell.admin.porcelain import WriteOptions, create_group, create_service
from pearwell.errors import PearwellError
from pearwell.load.fleet import HEALTH_PORT, Fleet, ProcessUsage
from pearwell.load.fleet_events import FleetEvents
from pearwell.load.profile import Profile, ServiceProfile
from pearwell.load.report import EventReport, InstanceReport, Report, Sample
from pearwell.load.schedule import Event
from pearwell.load.traffic import TrafficShape, plan_flows
from pearwell.model.group import GroupSpec, HealthCheck, TargetSpec
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.standins.caller import CallerService, FlowOutcome
from pearwell.standins.caller_host import CallerHost
from pearwell.standins.zone import ZONE
from pearwell.targets.drain import NEW_FLOW_GRACE_S

__all__ = ["Experiment", "ExperimentPlan"]

SAMPLE_INTERVAL_S = 1.0
FINISH_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 60.0
METRICS_TIMEOUT_S = 0.5
APPLY_TIMEOUT_S = 10.0
SERVICE_NETWORK = "198.51.100"
SERVICE_PORT = 443
MAX_LATENCY_US = 60_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ExperimentPlan:
    """Parameters of an experiment.

    Attributes:
        profile: Services and flows.
        seed: Seed of all random choices.
        duration_s: Length of the run in seconds, including the ramp.
        ramp_s: Time in seconds over which the flows open.
        instances: Number of instances.
        scale: Fraction of the profile's flows to open.
        mean_flow_s: Mean lifetime of a flow in seconds.
        events: Scheduled events.
    """

    profile: Profile
    seed: int
    duration_s: float
    ramp_s: float
    instances: int
    scale: float
    mean_flow_s: float
    events: tuple[Event, ...] = ()


@dataclass(slots=True)
class _Usage:
    """First and latest readings of an instance's CPU time, memory and counters."""

    first_at: float
    first_cpu_s: float
    last_at: float = 0.0
    last_cpu_s: float = 0.0
    memory_bytes: int = 0
    first_bytes_sent: float = -1.0
    last_bytes_sent: float = 0.0
    violations: float = 0.0

    def update(self, now: float, usage: ProcessUsage, metrics: Mapping[str, float]) -> None:
        """Updates the latest reading."""
        sent = metrics.get("pearwell_peer_bytes_sent_total", 0.0)
        if self.first_bytes_sent < 0:
            self.first_bytes_sent = sent
        self.last_at = now
        self.last_cpu_s = usage.cpu_s
        self.memory_bytes = usage.memory_bytes
        self.last_bytes_sent = sent
        self.violations = metrics.get("pearwell_invariant_violations_total", 0.0)


@dataclass(slots=True)
class _Progress:
    """Running totals that the samples and the report use."""

    lost_with_targets: int = 0
    requests: int = 0
    usage: dict[str, _Usage] = field(default_factory=dict)


class Experiment:
    """Runs one experiment.

    Args:
        plan: Parameters of the run.
        fleet: Processes of the zone; the experiment starts them.
        on_progress: Called with a progress line after each sample.
    """

    def __init__(
        self, plan: ExperimentPlan, fleet: Fleet, on_progress: Callable[[str], None]
    ) -> None:
        self._plan = plan
        self._fleet = fleet
        self._on_progress = on_progress
        self._rng = random.Random(plan.seed)
        self._callers = CallerHost(
            fleet.processes.return_address, fleet.processes.platform_url, ZONE, self._rng
        )
        self._callers.core.on_latency = self._record_latency
        self._events = FleetEvents(fleet, self._rng)
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self._progress = _Progress()
        self._report = Report(plan.profile.name, plan.seed, plan.duration_s)
        self._started_at = 0.0

    async def run(self) -> Report:
        """Runs the experiment and returns its report."""
        await self._start_fleet()
        self._callers.start()
        await self._callers.wait_for_instances(self._plan.instances, READY_TIMEOUT_S)
        self._started_at = time.monotonic()
        self._plan_flows()
        background = [
            asyncio.ensure_future(self._sample_forever()),
            asyncio.ensure_future(self._run_events()),
        ]
        try:
            await asyncio.sleep(self._plan.duration_s)
            await self._finish()
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            await self._callers.stop()
        await self._complete_report()
        return self._report

    def _services(self) -> list[tuple[ServiceProfile, CallerService]]:
        return [
            (
                profile,
                CallerService(profile.name, f"{SERVICE_NETWORK}.{index}", SERVICE_PORT, ""),
            )
            for index, profile in enumerate(self._plan.profile.services, 1)
        ]

    async def _start_fleet(self) -> None:
        await self._fleet.processes.start_platform()
        await self._fleet.start_instances(self._plan.instances)
        async with AdminClient(self._fleet.admin_servers) as client:
            for profile, service in self._services():
                await self._create_group_and_service(client, profile, service)
        groups = len(self._plan.profile.services)
        for number in self._fleet.instances.values():
            await self._fleet.processes.wait_for_placements(number, groups)

    async def _create_group_and_service(
        self, client: AdminClient, profile: ServiceProfile, service: CallerService
    ) -> None:
        names = [f"{profile.name}-{number}" for number in range(1, profile.targets + 1)]
        endpoints = ((service.address, service.port),)
        configs = await self._fleet.start_targets(names, endpoints, profile.slots)
        targets = tuple(
            TargetSpec(config.name, config.address, ZONE, config.port, slots=config.slots)
            for config in configs
        )
        health = HealthCheck(port=HEALTH_PORT)
        write = WriteOptions("pearwell-load", wait_s=APPLY_TIMEOUT_S)
        await create_group(client, GroupSpec(profile.name, targets, health), write)
        spec = ServiceSpec(
            profile.name,
            service.address,
            service.port,
            TransportProtocol.TCP,
            profile.name,
            preference=profile.preference,
        )
        await create_service(client, spec, WriteOptions("pearwell-load", wait_s=APPLY_TIMEOUT_S))

    def _plan_flows(self) -> None:
        plan = self._plan
        for profile, service in self._services():
            flows = round(profile.targets * profile.flows_per_target * plan.scale)
            shape = TrafficShape(
                flows,
                plan.ramp_s,
                plan.mean_flow_s,
                plan.profile.request_interval_s,
                plan.duration_s,
            )
            for flow in plan_flows(profile, service, shape, self._started_at, self._rng):
                self._callers.core.add(flow)

    async def _run_events(self) -> None:
        for event in self._plan.events:
            await asyncio.sleep(max(0.0, self._started_at + event.at_s - time.monotonic()))
            self._attribute_broken_flows()
            entry = EventReport(
                time.monotonic() - self._started_at, event.kind.value, event.subject
            )
            self._report.events.append(entry)
            await self._run_event(event, entry)

    def _attribute_broken_flows(self) -> None:
        """Attributes the flows broken since the latest event to it."""
        if self._report.events:
            attributed = sum(entry.broken for entry in self._report.events[:-1])
            self._report.events[-1].broken = self._broken - attributed

    async def _run_event(self, event: Event, entry: EventReport) -> None:
        try:
            outcome = await self._events.execute(event)
        except (PearwellError, OSError, LookupError) as error:
            entry.error = str(error)
            _log.warning("event_failed", kind=event.kind.value, error=str(error))
            return
        entry.subject = outcome.subject
        self._progress.lost_with_targets += outcome.lost_flows
        _log.info("event_caused", kind=event.kind.value, subject=outcome.subject)

    @property
    def _broken(self) -> int:
        return self._callers.core.outcomes[FlowOutcome.BROKEN]

    def _record_latency(self, seconds: float) -> None:
        self._progress.requests += 1
        self._histogram.record_value(min(max(1, round(seconds * 1e6)), MAX_LATENCY_US))

    async def _sample_forever(self) -> None:
        previous_requests = 0
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            requests = self._progress.requests
            sample = await self._sample((requests - previous_requests) / SAMPLE_INTERVAL_S)
            previous_requests = requests
            self._report.samples.append(sample)
            await self._record_usage()
            self._on_progress(_progress_line(sample, sum(sample.open_flows.values())))

    async def _sample(self, requests_per_s: float) -> Sample:
        core = self._callers.core
        open_flows = await self._read_open_flows()
        return Sample(
            time.monotonic() - self._started_at,
            open_flows,
            core.outcomes[FlowOutcome.BROKEN],
            core.outcomes[FlowOutcome.REFUSED],
            self._imbalance(open_flows),
            requests_per_s,
        )

    async def _read_open_flows(self) -> dict[str, int]:
        names = list(self._fleet.targets)
        reads: list[Awaitable[object]] = [self._fleet.load(name) for name in names]
        loads = await asyncio.gather(*reads, return_exceptions=True)
        return {
            name: getattr(load, "open_flows", 0) for name, load in zip(names, loads, strict=True)
        }

    def _imbalance(self, open_flows: dict[str, int]) -> float:
        highest = 1.0
        for profile in self._plan.profile.services:
            names = [n for n in open_flows if n.startswith(f"{profile.name}-")]
            counts = [open_flows[name] for name in names if name in self._events.serving]
            if sum(counts):
                highest = max(highest, max(counts) * len(counts) / sum(counts))
        return highest

    async def _record_usage(self) -> None:
        for name in list(self._fleet.instances):
            try:
                usage = self._fleet.usage(name)
                async with asyncio.timeout(METRICS_TIMEOUT_S):
                    metrics = await self._fleet.metrics(name)
            except (LookupError, OSError, TimeoutError, aiohttp.ClientError):
                continue
            now = time.monotonic()
            readings = self._progress.usage.setdefault(name, _Usage(now, usage.cpu_s))
            readings.update(now, usage, metrics)

    async def _finish(self) -> None:
        """Stops new requests and waits for the open flows to finish."""
        self._callers.core.stop_requests()
        deadline = time.monotonic() + FINISH_TIMEOUT_S + self._plan.profile.request_interval_s
        while self._callers.core.open_flows and time.monotonic() < deadline:
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _complete_report(self) -> None:
        report = self._report
        core = self._callers.core
        self._attribute_broken_flows()
        report.broken = core.outcomes[FlowOutcome.BROKEN] + core.open_flows
        report.flows = core.outcomes.total() + core.open_flows
        report.refused = core.outcomes[FlowOutcome.REFUSED]
        report.broken_by_target_loss = min(report.broken, self._progress.lost_with_targets)
        report.requests = self._progress.requests
        report.latency_ms = {
            f"p{percentile:g}": self._histogram.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        }
        samples = [s.imbalance for s in report.samples if s.at_s >= self._plan.ramp_s]
        report.imbalance = sum(samples) / len(samples) if samples else 1.0
        report.instances = [
            _usage_report(name, usage) for name, usage in self._progress.usage.items()
        ]
        report.invariant_violations = round(
            sum(usage.violations for usage in self._progress.usage.values())
        )
        await self._read_ledgers()

    async def _read_ledgers(self) -> None:
        runs: dict[str, int] = {}
        for name in self._fleet.targets:
            ledger = await self._fleet.ledger(name)
            self._report.misrouted += ledger.misrouted
            self._check_drain(name, ledger.last_start)
            for request, count in ledger.runs.items():
                runs[request] = runs.get(request, 0) + count
        self._report.duplicated = sum(count - 1 for count in runs.values())

    def _check_drain(self, target: str, last_start: float) -> None:
        drained_at = self._events.drained_at.get(target)
        if drained_at is not None and last_start > drained_at + NEW_FLOW_GRACE_S:
            self._report.late_drains[target] = round(last_start - drained_at, 3)


def _progress_line(sample: Sample, open_flows: int) -> str:
    return (
        f"t={sample.at_s:.0f}s open={open_flows} requests/s={sample.requests_per_s:.0f} "
        f"broken={sample.broken} refused={sample.refused} imbalance={sample.imbalance:.3f}"
    )


def _usage_report(name: str, usage: _Usage) -> InstanceReport:
    seconds = max(usage.last_at - usage.first_at, SAMPLE_INTERVAL_S)
    share = (usage.last_cpu_s - usage.first_cpu_s) / seconds
    sent = (usage.last_bytes_sent - max(usage.first_bytes_sent, 0.0)) / seconds
    return InstanceReport(name, share, usage.memory_bytes, sent)
