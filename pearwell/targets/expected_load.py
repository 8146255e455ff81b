"""Estimates of target load from the zone's own counts of new and ended flows.

By Little's law the mean flow duration is the number of open flows divided by the rate of new flows.
New flows, decayed exponentially with that duration, estimate the open flows of a target
independently of what its load endpoint reports.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["ExpectedLoad", "SheddingDetector"]

MIN_FLOW_DURATION_S = 1.0
MAX_FLOW_DURATION_S = 86_400.0
RATE_TIME_CONSTANT_S = 300.0
# Minimum fraction of the open flows that must have been counted for an estimate.
MIN_COVERAGE = 0.5

SHEDDING_WINDOW_S = 300.0
REPORT_LAG_S = 150.0
MIN_NEW_FLOWS = 20.0
SHEDDING_DEVIATIONS = 3.0
MIN_SHED_FRACTION = 0.1


class ExpectedLoad:
    """Estimates the open flows of a group's targets.

    Args:
        now: Current time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._updated_at = now
        self._pending: dict[str, int] = {}
        self._decayed: dict[str, float] = {}
        self._rate = 0.0
        self._rate_age_s = 0.0

    @property
    def new_flow_rate(self) -> float:
        """New flows per second of the whole group, averaged over RATE_TIME_CONSTANT_S."""
        return self._rate

    def mean_flow_duration(self, open_flows: float) -> float:
        """Returns the mean flow duration in seconds, given the open flows of the group."""
        duration_s = open_flows / self._rate if self._rate else MAX_FLOW_DURATION_S
        return min(max(duration_s, MIN_FLOW_DURATION_S), MAX_FLOW_DURATION_S)

    def count_new_flows(self, target: str, count: int) -> None:
        """Counts new flows to a target."""
        self._pending[target] = self._pending.get(target, 0) + count

    def retain(self, targets: Iterable[str]) -> None:
        """Removes all targets except the given ones."""
        kept = set(targets)
        self._decayed = {name: n for name, n in self._decayed.items() if name in kept}

    def reset(self, target: str) -> None:
        """Clears the counts of a target whose flows are gone."""
        self._decayed.pop(target, None)
        self._pending.pop(target, None)

    def update(self, now: float, open_flows: float) -> None:
        """Decays the estimates and adds the flows counted since the last update.

        Args:
            now: Current time in seconds.
            open_flows: Open flows of the group, which determine the mean flow duration.
        """
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        self._update_rate(elapsed)
        decay = math.exp(-elapsed / self.mean_flow_duration(open_flows))
        names = self._decayed.keys() | self._pending.keys()
        self._decayed = {
            name: self._decayed.get(name, 0.0) * decay + self._pending.get(name, 0)
            for name in names
        }
        self._pending.clear()
        self._updated_at = now

    def estimate(self, target: str, open_flows: float) -> float | None:
        """Returns the expected open flows of a target, or None until enough flows were counted.

        Args:
            target: Name of the target.
            open_flows: Open flows of the group.
        """
        counted = sum(self._decayed.values())
        if not counted or counted < MIN_COVERAGE * open_flows:
            return None
        return self._decayed.get(target, 0.0) * open_flows / counted

    def _update_rate(self, elapsed: float) -> None:
        self._rate_age_s = min(self._rate_age_s + elapsed, RATE_TIME_CONSTANT_S)
        weight = 1.0 - math.exp(-elapsed / self._rate_age_s)
        self._rate += (sum(self._pending.values()) / elapsed - self._rate) * weight


@dataclass(slots=True)
class _DecayedSums:
    """Decayed sums of new flows, and of those that neither ended nor were reported as open."""

    started: float = 0.0
    missing: float = 0.0

    def add(self, decay: float, started: int, ended: int, growth: int) -> None:
        """Adds counts; a target can't refuse more flows than were sent to it."""
        missing = min(max(started - ended - growth, -started), started)
        self.started = self.started * decay + started
        self.missing = self.missing * decay + missing

    @property
    def missing_fraction(self) -> float:
        """Missing flows as a fraction of new flows."""
        return self.missing / self.started if self.started else 0.0


@dataclass(slots=True)
class _TargetFlows:
    """New, ended and open flows of one target.

    Attributes:
        prompt: Sums under the assumption that load reports are current.
        lagging: Sums under the assumption that load reports are REPORT_LAG_S old.
        unreported: Time, new flows and ended flows that a lagging report doesn't include yet.
        started: New flows since the last update.
        ended: Ended flows since the last update.
        growth: Growth of the reported open flows since the last update.
        reported_open_flows: Open flows in the latest report.
    """

    prompt: _DecayedSums = field(default_factory=_DecayedSums)
    lagging: _DecayedSums = field(default_factory=_DecayedSums)
    unreported: deque[tuple[float, int, int]] = field(default_factory=deque)
    started: int = 0
    ended: int = 0
    growth: int = 0
    reported_open_flows: int | None = None

    def update(self, now: float, decay: float) -> None:
        """Adds the latest counts to the sums."""
        self.prompt.add(decay, self.started, self.ended, self.growth)
        self.unreported.append((now, self.started, self.ended))
        started = ended = 0
        while self.unreported and self.unreported[0][0] <= now - REPORT_LAG_S:
            _, more_started, more_ended = self.unreported.popleft()
            started += more_started
            ended += more_ended
        self.lagging.add(decay, started, ended, self.growth)
        self.started = self.ended = self.growth = 0


class SheddingDetector:
    """Detects targets that refuse flows, which callers observe but instances don't.

    New flows that haven't ended should be reported as open. Some never are, because their callers
    disappear without closing them. That affects all targets equally, so only the excess over the
    group's median counts.

    Args:
        now: Current time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._updated_at = now
        self._flows: dict[str, _TargetFlows] = {}

    def count_flows(self, target: str, started: int, ended: int) -> None:
        """Counts new and ended flows of a target."""
        flows = self._flows.setdefault(target, _TargetFlows())
        flows.started += started
        flows.ended += ended

    def record_open_flows(self, target: str, open_flows: int) -> None:
        """Records the open flows that a target reports."""
        flows = self._flows.setdefault(target, _TargetFlows())
        if flows.reported_open_flows is not None:
            flows.growth += open_flows - flows.reported_open_flows
        flows.reported_open_flows = open_flows

    def reset(self, target: str) -> None:
        """Removes a target."""
        self._flows.pop(target, None)

    def update(self, now: float) -> None:
        """Decays the sums and adds the flows counted since the last update."""
        decay = math.exp(-(now - self._updated_at) / SHEDDING_WINDOW_S)
        self._updated_at = now
        for flows in self._flows.values():
            flows.update(now, decay)

    def shed_fraction(self, target: str) -> float:
        """Returns the estimated fraction of new flows that a target refuses; 0 if uncertain.

        Takes the lower estimate of the two assumptions on report lag, since either alone would
        mistake some targets with growing load for targets that refuse flows.
        """
        flows = self._flows.get(target)
        if flows is None:
            return 0.0
        all_flows = self._flows.values()
        prompt = _excess_fraction(flows.prompt, [other.prompt for other in all_flows])
        lagging = _excess_fraction(flows.lagging, [other.lagging for other in all_flows])
        return min(prompt, lagging)


def _excess_fraction(sums: _DecayedSums, all_sums: list[_DecayedSums]) -> float:
    """Returns the excess of a target's missing fraction over the median; 0 if insignificant."""
    if sums.started < MIN_NEW_FLOWS:
        return 0.0
    group_median = statistics.median(
        other.missing_fraction for other in all_sums if other.started >= MIN_NEW_FLOWS
    )
    fraction = sums.missing_fraction - group_median
    if fraction * sums.started < SHEDDING_DEVIATIONS * math.sqrt(sums.started):
        return 0.0
    return min(fraction, 1.0) if fraction >= MIN_SHED_FRACTION else 0.0
