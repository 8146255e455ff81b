"""Target weights: bounded, damped corrections based on reported load.

The controller is proportional: the correction depends on a target's excess over the mean load. An
integral controller would oscillate, since open flows follow a weight change only with the delay of
the flow duration. Every weight change moves buckets, and packets of a moved bucket need an extra
hop until its existing flows end. A dead band, a minimum step and a budget limit that cost; they
depend on the service's preference.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from pearwell.clock import Clock
from pearwell.errors import Code, InvariantError
from pearwell.model.group import TargetSpec
from pearwell.model.load_report import LoadReport
from pearwell.model.service import Preference
from pearwell.targets.expected_load import ExpectedLoad, SheddingDetector
from pearwell.targets.weight_bounds import round_to_sum, scale_weights

__all__ = ["POLICIES", "WeightController", "WeightPolicy"]

REPORT_LIFETIME_S = 30.0
BUSY_TIME_CONSTANT_S = 1800.0
MIN_OBSERVATION_S = 900.0
INITIAL_OBSERVATION_S = 1.0
MIN_SIGNIFICANT_UTILIZATION = 0.3
PLAUSIBLE_FACTOR = 1.25
PLAUSIBLE_DEVIATIONS = 3.0
SLOW_START_STEPS = 4
FEEDBACK_DELAY_S = 20.0
# Open flows per target at which half of an excess counts; with fewer it is mostly random.
HALF_CREDIBILITY_FLOWS = 200.0
SHED_DECREASE_FACTOR = 0.5
SHED_RECOVERY_STEP = 0.02
MIN_SHED_FACTOR = 0.2
REPORTED_SHED_FRACTION = 0.2
SECONDS_PER_HOUR = 3600.0


@dataclass(frozen=True, slots=True)
class WeightPolicy:
    """Controller parameters: how weights respond to load.

    Attributes:
        dead_band: Relative excess over the mean load that isn't corrected.
        deviations: The same in standard deviations of a random distribution; the larger applies.
        gain: Relative weight change per unit of excess.
        min_factor: Minimum factor on a configured weight.
        max_factor: Maximum factor on a configured weight.
        busy_share: Fraction of busy slots in the load metric; the rest is open flows.
        moves_per_hour: Fraction of the buckets that corrections may move per hour.
        min_step: Minimum change of a target's factor that justifies a new placement.
        interval_s: Time in seconds between corrections.
        slow_start_s: Time in seconds until a new target reaches its full weight.
    """

    dead_band: float
    deviations: float
    gain: float
    min_factor: float
    max_factor: float
    busy_share: float
    moves_per_hour: float
    min_step: float
    interval_s: float = 10.0
    slow_start_s: float = 20.0


POLICIES: Mapping[Preference, WeightPolicy] = {
    Preference.UNBROKEN: WeightPolicy(0.03, 2.0, 2.0, 0.5, 1.5, 0.1, 0.2, 0.03),
    Preference.EVEN: WeightPolicy(0.02, 1.3, 4.0, 0.5, 3.0, 0.2, 1.0, 0.04),
}


@dataclass(slots=True)
class _TargetLoad:
    """Load and correction state of one target."""

    configured_weight: int
    joined_at: float
    report: LoadReport | None = None
    reported_at: float = -math.inf
    busy_slots: float = 0.0
    observed_s: float = INITIAL_OBSERVATION_S
    shed_factor: float = 1.0
    correcting: bool = False


class WeightController:
    """Sets the weights of one group's working targets in one zone.

    Args:
        clock: Source of monotonic time.
        policy: Controller parameters.
    """

    def __init__(self, clock: Clock, policy: WeightPolicy) -> None:
        self._clock = clock
        self._policy = policy
        self._targets: dict[str, _TargetLoad] = {}
        self._expected_load = ExpectedLoad(clock.now())
        self._shedding_detector = SheddingDetector(clock.now())
        self._budget = policy.moves_per_hour
        self._budget_at = clock.now()
        self._corrected_at = -math.inf
        self._weights: dict[str, int] = {}
        self._ceilings: dict[str, float] = {}

    @property
    def weights(self) -> Mapping[str, int]:
        """The weights in force, by target."""
        return self._weights

    @property
    def open_flows(self) -> Mapping[str, int]:
        """Open flows by target, estimated where reports are missing, stale or implausible."""
        loads = self._open_flows()
        return {name: round(flows) for name, flows in loads.items()}

    def set_policy(self, policy: WeightPolicy) -> None:
        """Replaces the controller parameters."""
        self._policy = policy

    def set_targets(self, working: Iterable[TargetSpec]) -> None:
        """Sets the targets that accept new flows; targets that join a running group slow-start."""
        now = self._clock.now()
        is_first = not self._targets
        joined_at = -math.inf if is_first else now
        previous, self._targets = self._targets, {}
        for spec in working:
            load = previous.get(spec.name) or _TargetLoad(spec.weight, joined_at)
            load.configured_weight = spec.weight
            self._targets[spec.name] = load
        for name in previous.keys() - self._targets.keys():
            self._expected_load.reset(name)
            self._shedding_detector.reset(name)

    def adopt(self, weights: Mapping[str, int]) -> None:
        """Continues from weights that are already in force."""
        self._weights = {name: weights[name] for name in self._targets if weights.get(name)}

    def record_report(self, target: str, report: LoadReport) -> None:
        """Records a load report; an unknown target is ignored."""
        load = self._targets.get(target)
        if load is None:
            return
        now = self._clock.now()
        elapsed = min(now - load.reported_at, REPORT_LIFETIME_S)
        load.observed_s = min(load.observed_s + elapsed, BUSY_TIME_CONSTANT_S)
        load.busy_slots += (report.in_use - load.busy_slots) * elapsed / load.observed_s
        load.report = report
        load.reported_at = now
        self._shedding_detector.record_open_flows(target, report.open_flows)

    def record_flows(self, target: str, started: int, ended: int = 0) -> None:
        """Counts new and ended flows of a target as observed by the whole zone."""
        if target in self._targets:
            self._expected_load.count_new_flows(target, started)
            self._shedding_detector.count_flows(target, started, ended)

    def adjust(self) -> dict[str, int] | None:
        """Corrects the weights if a correction is due.

        Returns:
            The weights of all working targets if they changed, else None.
        """
        now = self._clock.now()
        same_targets = self._weights.keys() == self._targets.keys()
        waiting = now - self._corrected_at < self._policy.interval_s
        ceilings = {name: self._ceiling(target, now) for name, target in self._targets.items()}
        if not self._targets or (same_targets and waiting and ceilings == self._ceilings):
            return None
        self._ceilings = ceilings
        self._corrected_at = now
        self._expected_load.update(now, sum(self._open_flows().values()))
        self._shedding_detector.update(now)
        self._refill_budget(now)
        weights = self._bounded_weights(self._desired_factors())
        if same_targets and not self._any_in_slow_start(now):
            weights = self._limit_to_budget(weights)
        if weights == self._weights:
            return None
        self._check_bounds(weights)
        self._weights = weights
        return dict(weights)

    def _check_bounds(self, weights: Mapping[str, int]) -> None:
        """Asserts that the weights are within bounds and close to the configured sum."""
        lowest = self._policy.min_factor * MIN_SHED_FACTOR
        total = sum(target.configured_weight for target in self._targets.values())
        bounded = all(
            max(1, math.floor(target.configured_weight * lowest)) <= weights[name] <= total
            for name, target in self._targets.items()
        )
        if not bounded or abs(sum(weights.values()) - total) > 2 * len(weights):
            detail = f"weights {dict(weights)} violate their bounds or the sum of {total}"
            raise InvariantError(Code.INVARIANT_VIOLATED, detail)

    def _limit_to_budget(self, desired: dict[str, int]) -> dict[str, int]:
        """Returns the weights closest to the desired ones that the budget allows."""
        current = self._weights
        changes = {name: desired[name] - current[name] for name in desired}
        relative_changes = (
            abs(change) / self._targets[n].configured_weight for n, change in changes.items()
        )
        if max(relative_changes) < self._policy.min_step:
            return dict(current)
        moved_fraction = (
            sum(abs(change) for change in changes.values()) / 2.0 / sum(desired.values())
        )
        if self._budget * sum(desired.values()) < 1.0:
            return dict(current)
        fraction = min(1.0, self._budget / moved_fraction)
        exact = {name: current[name] + changes[name] * fraction for name in desired}
        weights = round_to_sum(exact, sum(desired.values()))
        spent = sum(abs(weights[name] - current[name]) for name in desired) / 2.0
        self._budget -= spent / sum(desired.values())
        return weights

    def _any_in_slow_start(self, now: float) -> bool:
        """Whether a target is in slow start, or left it since the last correction."""
        until = self._policy.slow_start_s + self._policy.interval_s
        return any(now - target.joined_at <= until for target in self._targets.values())

    def _desired_factors(self) -> dict[str, float]:
        loads = self._relative_loads()
        open_flows = sum(self._open_flows().values())
        dead_band = self._dead_band(open_flows)
        gain = self._stable_gain(open_flows)
        credibility = self._credibility(open_flows)
        desired = {}
        for name, target in self._targets.items():
            excess = (loads.get(name, 1.0) - 1.0) * credibility
            threshold = dead_band * (0.5 if target.correcting else 1.0)
            target.correcting = abs(excess) > threshold
            self._update_shedding(name, target)
            factor = 1.0 - gain * excess if target.correcting else 1.0
            upper_bound = self._policy.max_factor if target.shed_factor == 1.0 else 1.0
            factor = min(max(factor, self._policy.min_factor), upper_bound)
            desired[name] = factor * target.shed_factor
        return desired

    def _dead_band(self, open_flows: float) -> float:
        """Returns the excess to ignore, which grows with the random variation of few flows."""
        flows_per_target = max(1.0, open_flows / len(self._targets))
        return max(self._policy.dead_band, self._policy.deviations / math.sqrt(flows_per_target))

    def _stable_gain(self, open_flows: float) -> float:
        """Returns the gain, reduced for flows that are short compared with the feedback delay."""
        duration_s = self._expected_load.mean_flow_duration(open_flows)
        return min(self._policy.gain, duration_s / (2.0 * FEEDBACK_DELAY_S))

    def _credibility(self, open_flows: float) -> float:
        """Returns the fraction of an excess that counts, which grows with the number of flows."""
        mean = open_flows / len(self._targets)
        return mean / (mean + HALF_CREDIBILITY_FLOWS)

    def _relative_loads(self) -> dict[str, float]:
        """Returns each target's load relative to the mean for its configured weight."""
        flows = _relative(self._open_flows(), self._targets)
        busy_slots = {
            name: t.busy_slots for name, t in self._targets.items() if self._has_busy_slot_data(t)
        }
        if len(busy_slots) < len(self._targets):
            return flows
        share = self._policy.busy_share if self._is_utilization_significant(busy_slots) else 0.0
        relative = _relative(busy_slots, self._targets)
        return {n: flows.get(n, 1.0) * (1 - share) + relative[n] * share for n in relative}

    def _is_utilization_significant(self, busy_slots: Mapping[str, float]) -> bool:
        """Whether slot utilization is high enough for its distribution to matter."""
        slots = sum(t.report.slots for t in self._targets.values() if t.report is not None)
        return slots > 0 and sum(busy_slots.values()) / slots >= MIN_SIGNIFICANT_UTILIZATION

    def _has_busy_slot_data(self, target: _TargetLoad) -> bool:
        report = self._fresh_report(target)
        observed = target.observed_s >= MIN_OBSERVATION_S
        return observed and report is not None and report.slots > 0

    def _fresh_report(self, target: _TargetLoad) -> LoadReport | None:
        fresh = self._clock.now() - target.reported_at <= REPORT_LIFETIME_S
        return target.report if fresh else None

    def _open_flows(self) -> dict[str, float]:
        """Returns open flows by target: reported where plausible, otherwise expected."""
        reports = {name: self._fresh_report(t) for name, t in self._targets.items()}
        reported = {name: float(r.open_flows) for name, r in reports.items() if r is not None}
        total = _robust_total(reported, self._targets)
        flows = {}
        for name in self._targets:
            expected = self._expected_load.estimate(name, total)
            value = reported.get(name)
            if value is None or (expected is not None and not _plausible(value, expected)):
                value = expected
            if value is not None:
                flows[name] = value
        return flows

    def _update_shedding(self, name: str, target: _TargetLoad) -> None:
        report = self._fresh_report(target)
        shed = self._shedding_detector.shed_fraction(name)
        if report is not None and report.shedding:
            shed = max(shed, REPORTED_SHED_FRACTION)
        lowered = target.shed_factor * (1.0 - SHED_DECREASE_FACTOR * shed)
        raised = min(1.0, target.shed_factor + SHED_RECOVERY_STEP)
        target.shed_factor = max(MIN_SHED_FACTOR, lowered) if shed else raised

    def _refill_budget(self, now: float) -> None:
        limit = self._policy.moves_per_hour
        earned = (now - self._budget_at) * limit / SECONDS_PER_HOUR
        self._budget = min(limit, self._budget + earned)
        self._budget_at = now

    def _bounded_weights(self, factors: Mapping[str, float]) -> dict[str, int]:
        configured_weights = {
            name: target.configured_weight for name, target in self._targets.items()
        }
        floors = {n: self._policy.min_factor * t.shed_factor for n, t in self._targets.items()}
        return scale_weights(factors, configured_weights, floors, self._ceilings)

    def _ceiling(self, target: _TargetLoad, now: float) -> float:
        """Returns the maximum factor of a target, which rises in steps during slow start."""
        elapsed = now - target.joined_at
        if elapsed >= self._policy.slow_start_s:
            return self._policy.max_factor
        return (elapsed * SLOW_START_STEPS // self._policy.slow_start_s + 1) / SLOW_START_STEPS


def _plausible(reported: float, expected: float) -> bool:
    """Whether a report agrees with an estimate, allowing for random variation of new flows."""
    spread = PLAUSIBLE_DEVIATIONS * math.sqrt(max(expected, 1.0))
    lowest = expected / PLAUSIBLE_FACTOR - spread
    return lowest <= reported <= expected * PLAUSIBLE_FACTOR + spread


def _robust_total(reported: Mapping[str, float], targets: Mapping[str, _TargetLoad]) -> float:
    """Returns the total open flows from the median per weight, which is robust to false reports."""
    if not reported:
        return 0.0
    per_weight = sorted(flows / targets[name].configured_weight for name, flows in reported.items())
    middle = len(per_weight) // 2
    median = (per_weight[middle] + per_weight[-1 - middle]) / 2
    return median * sum(target.configured_weight for target in targets.values())


def _relative(loads: Mapping[str, float], targets: Mapping[str, _TargetLoad]) -> dict[str, float]:
    total = sum(loads.values())
    total_weight = sum(targets[name].configured_weight for name in loads)
    if not total:
        return {}
    return {
        name: load * total_weight / total / targets[name].configured_weight
        for name, load in loads.items()
    }
