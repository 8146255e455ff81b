"""Tests of target weights, expected load and load reports."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearwell.clock import ManualClock
from pearwell.model.group import TargetSpec
from pearwell.model.load_report import LoadReport, LoadReportError, parse_load_report
from pearwell.model.service import Preference
from pearwell.targets.weight_bounds import scale_weights
from pearwell.targets.weights import POLICIES, SLOW_START_STEPS, WeightController


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b'{"open_flows": 5}', LoadReport(5)),
        (b'{"open_flows": 5, "in_use": 1.5, "slots": 3, "other": 1}', LoadReport(5, 1.5, 3)),
        (b'{"open_flows": 5, "shedding": true}', LoadReport(5, 0.0, 0, True)),
        (b'{"open_flows": -1}', None),
        (b'{"open_flows": 1e99}', None),
        (b'{"in_use": 1}', None),
        (b"[]", None),
        (b"\xff", None),
        (b"", None),
    ],
)
def test_load_reports_are_validated(body, expected):
    if expected is None:
        with pytest.raises(LoadReportError):
            parse_load_report(body)
    else:
        assert parse_load_report(body) == expected


def targets(count):
    return [TargetSpec(f"t{i}", f"10.0.0.{i}", "z") for i in range(count)]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0.01, 10.0), st.integers(1, 1000), st.sampled_from([0.25, 1.0, 3.0])),
        min_size=1,
        max_size=12,
    )
)
def test_weights_stay_in_bounds_and_keep_their_sum(rows):
    names = [f"t{i}" for i in range(len(rows))]
    factors = {n: row[0] for n, row in zip(names, rows, strict=True)}
    configured_weights = {n: row[1] for n, row in zip(names, rows, strict=True)}
    ceilings = {n: row[2] for n, row in zip(names, rows, strict=True)}
    floors = dict.fromkeys(names, 0.2)
    weights = scale_weights(factors, configured_weights, floors, ceilings)
    total = sum(configured_weights.values())
    assert abs(sum(weights.values()) - total) <= len(names)
    has_capacity = sum(configured_weights[n] * ceilings[n] for n in names) >= total
    for name in names:
        assert weights[name] >= 1
        if has_capacity:
            assert weights[name] <= configured_weights[name] * ceilings[name] + 2


class SimulatedTargets:
    """Simulated targets whose open flows follow the weights with the delay of the flow duration."""

    def __init__(self, controller, clock, flows, flow_duration_s=600.0):
        self.controller = controller
        self.clock = clock
        self.flows = dict(flows)
        self.flow_duration_s = flow_duration_s
        self.rate = 7 * 4300 / flow_duration_s
        self.report_factors = {}
        self.history = []
        self.lag_s = 0

    def run(self, seconds):
        for _ in range(0, seconds, 5):
            self.clock.advance(5.0)
            weights = {n: self.controller.weights.get(n, 100) for n in self.flows}
            total = sum(weights.values())
            for name in self.flows:
                started = self.rate * 5.0 * weights[name] / total
                ended = self.flows[name] * 5.0 / self.flow_duration_s
                self.flows[name] += started - ended
                self.controller.record_flows(name, round(started), round(ended))
            self.history.append(dict(self.flows))
            reported = self.history[max(0, len(self.history) - 1 - self.lag_s // 5)]
            for name, flows in reported.items():
                report_factor = self.report_factors.get(name, 1.0)
                self.controller.record_report(name, LoadReport(round(flows * report_factor)))
            self.controller.adjust()

    @property
    def max_over_mean(self):
        return max(self.flows.values()) * len(self.flows) / sum(self.flows.values())


def simulate_targets(preference, flows, **kwargs):
    clock = ManualClock(100.0)
    controller = WeightController(clock, POLICIES[preference])
    controller.set_targets(targets(len(flows)))
    return SimulatedTargets(controller, clock, {f"t{i}": n for i, n in enumerate(flows)}, **kwargs)


@pytest.mark.parametrize("preference", list(Preference))
@pytest.mark.parametrize("lag_s", [0, 60])
def test_imbalance_decays_without_oscillation(preference, lag_s):
    model = simulate_targets(preference, [6000, 4300, 4300, 4300, 4300, 4300, 2600])
    model.lag_s = lag_s
    curve = []
    for _ in range(40):
        model.run(60)
        curve.append(model.flows["t0"] - model.flows["t6"])
    assert abs(curve[-1]) < 0.07 * 4300
    beyond_band = [value > 0 for value in curve if abs(value) > 0.03 * 4300]
    crossings = sum(a != b for a, b in zip(beyond_band, beyond_band[1:], strict=False))
    assert crossings <= 1
    assert min(curve) > -0.1 * 4300


@pytest.mark.parametrize("preference", list(Preference))
def test_even_load_causes_no_movement(preference):
    model = simulate_targets(preference, [4300 + 20 * i for i in range(7)])
    model.run(60)
    before = dict(model.controller.weights)
    model.run(3600)
    assert model.controller.weights == before == dict.fromkeys(model.flows, 100)


@pytest.mark.parametrize("preference", list(Preference))
@pytest.mark.parametrize("report_factor", [0.0, 0.3, 3.0, 50.0])
def test_false_report_has_a_bounded_effect(preference, report_factor):
    model = simulate_targets(preference, [4300] * 7)
    model.run(1800)
    model.report_factors["t0"] = report_factor
    model.run(3600)
    assert model.max_over_mean < 1.05
    assert model.flows["t0"] > 0.5 * 4300


def test_new_target_slow_starts_and_reaches_even_load():
    clock = ManualClock(100.0)
    policy = POLICIES[Preference.EVEN]
    controller = WeightController(clock, policy)
    controller.set_targets(targets(7))
    controller.adjust()
    controller.set_targets(targets(8))
    steps = []
    for _ in range(SLOW_START_STEPS):
        controller.adjust()
        steps.append(controller.weights["t7"])
        clock.advance(max(policy.interval_s, policy.slow_start_s / SLOW_START_STEPS))
    assert steps[0] == 25
    assert steps == sorted(steps)
    assert steps[-1] <= 100
    model = SimulatedTargets(controller, clock, {f"t{i}": 4300 for i in range(7)} | {"t7": 0})
    model.run(1200)
    assert model.max_over_mean < 1.05


def test_shedding_target_gets_fewer_flows_and_recovers():
    model = simulate_targets(Preference.UNBROKEN, [4300] * 7)
    model.run(600)
    for _ in range(60):
        model.clock.advance(10.0)
        for name in model.flows:
            model.controller.record_flows(name, 70, 70 if name != "t0" else 35)
            model.controller.record_report(name, LoadReport(4300))
        model.controller.adjust()
    assert model.controller.weights["t0"] <= 60
    for _ in range(360):
        model.clock.advance(10.0)
        for name in model.flows:
            model.controller.record_flows(name, 70, 70)
            model.controller.record_report(name, LoadReport(4300))
        model.controller.adjust()
    assert model.controller.weights["t0"] >= 95


def test_stale_reports_are_not_used():
    model = simulate_targets(Preference.EVEN, [6000, 4300, 2600])
    for name, flows in model.flows.items():
        model.controller.record_report(name, LoadReport(flows))
    model.clock.advance(60.0)
    model.controller.adjust()
    assert set(model.controller.weights.values()) == {100}


def test_movement_stays_within_the_budget():
    clock, rng = ManualClock(100.0), random.Random(1)
    policy = POLICIES[Preference.UNBROKEN]
    controller = WeightController(clock, policy)
    controller.set_targets(targets(7))
    controller.adjust()
    moved = 0.0
    for _ in range(360):
        clock.advance(10.0)
        before = dict(controller.weights)
        for name in before:
            controller.record_report(name, LoadReport(rng.randrange(10_000)))
        controller.adjust()
        moved += sum(abs(controller.weights[n] - before[n]) for n in before) / 2 / 700
    assert 0.1 < moved <= 2 * policy.moves_per_hour + 0.01


def test_new_owner_continues_with_the_weights_in_force():
    controller = WeightController(ManualClock(100.0), POLICIES[Preference.UNBROKEN])
    controller.set_targets(targets(3))
    controller.adopt({"t0": 80, "t1": 100, "t2": 120, "gone": 5})
    assert controller.weights == {"t0": 80, "t1": 100, "t2": 120}
    controller.adjust()
    assert controller.weights == {"t0": 100, "t1": 100, "t2": 100}


@pytest.mark.parametrize("preference", list(Preference))
def test_corrections_wait_for_their_interval(preference):
    model = simulate_targets(preference, [6000, 4300, 4300, 4300, 4300, 4300, 2600])
    changes = []
    for _ in range(300):
        model.clock.advance(1.0)
        for name, flows in model.flows.items():
            model.controller.record_report(name, LoadReport(flows))
        if model.controller.adjust() is not None:
            changes.append(model.clock.now())
    gaps = [b - a for a, b in zip(changes, changes[1:], strict=False)]
    assert all(gap >= POLICIES[preference].interval_s for gap in gaps)
    assert len(changes) <= 3


@pytest.mark.parametrize("preference", list(Preference))
def test_random_imbalance_of_few_flows_is_not_corrected(preference):
    rng = random.Random(1)
    model = simulate_targets(preference, [0] * 3)
    for _ in range(60):
        model.clock.advance(10.0)
        for name in model.flows:
            model.controller.record_report(name, LoadReport(100 + rng.randrange(-9, 10)))
        model.controller.adjust()
        assert set(model.controller.weights.values()) == {100}


def test_correction_is_reduced_for_short_flows():
    model = simulate_targets(Preference.EVEN, [400, 100, 100], flow_duration_s=10.0)
    for name, flows in model.flows.items():
        model.controller.record_flows(name, 200, 200)
        model.controller.record_report(name, LoadReport(flows))
    model.controller.adjust()
    model.clock.advance(10.0)
    for name, flows in model.flows.items():
        model.controller.record_flows(name, 200, 200)
        model.controller.record_report(name, LoadReport(flows))
    model.controller.adjust()
    assert model.controller.weights["t0"] >= 60


@pytest.mark.parametrize(
    ("flows", "largest_change"), [((3, 1, 2), 5), ((30, 10, 20), 30), ((9000, 3000, 6000), 50)]
)
def test_few_flows_change_weights_slightly(flows, largest_change):
    clock = ManualClock()
    controller = WeightController(clock, POLICIES[Preference.UNBROKEN])
    controller.set_targets(targets(3))
    for target, count in zip(("t0", "t1", "t2"), flows, strict=True):
        controller.record_report(target, LoadReport(count))
    controller.adjust()
    assert max(abs(weight - 100) for weight in controller.weights.values()) <= largest_change
