"""Tests of pearwell.affinity.chooser with simulated load."""

import random
from collections import Counter

import pytest

from pearwell.affinity.chooser import COLD_FACTOR, DEFAULT_SLOTS, MAX_SLOTS, choose_target
from pearwell.affinity.slot_ratios import MAX_SLOTS_RATIO
from pearwell.affinity.zone_queues import RECENT_SAMPLES
from tests.affinity.builders import DirectorHarness, flow_key, target
from tests.affinity.burst import QUEUE, SERVICE_S, SLOTS, BurstSimulation


def choose(targets, *, tried=(), number=1, now=100.0):
    return choose_target(targets, "a", tried, flow_key(number), now)


def loaded(number, **state):
    told = ("zone", "draining", "slots")
    built = target(number, **{key: state.pop(key) for key in told if key in state})
    for name, value in state.items():
        setattr(built, name, value)
    return built


@pytest.mark.parametrize(
    ("targets", "tried", "chosen"),
    [
        ([loaded(1, open_flows=9), loaded(2, zone="b")], (), 1),
        ([loaded(1, draining=True), loaded(2, zone="b")], (), 2),
        ([loaded(1, suspect_until=101.0), loaded(2, zone="b")], (), 2),
        ([loaded(1, suspect_until=99.0), loaded(2, zone="b")], (), 1),
        ([loaded(1, gone=True), loaded(2, token_conflict=True)], (), None),
        ([loaded(1, draining=True)], (), None),
        ([loaded(1, suspect_until=101.0)], (), 1),
        ([loaded(1), loaded(2, zone="b")], (1,), 2),
        ([loaded(1), loaded(2, suspect_until=101.0)], (1,), 2),
        ([loaded(1)], (1,), 1),
        ([loaded(1, open_flows=2), loaded(2, open_flows=1)], (), 2),
        ([loaded(1, open_flows=2), loaded(2, open_flows=1, in_flight=1)], (), 1),
        ([loaded(1, open_flows=2), loaded(2, open_flows=1, warmup_ends_at=101.0)], (), 1),
        ([loaded(1, open_flows=9), loaded(2, warmup_ends_at=101.0)], (), 2),
        ([loaded(1, open_flows=9, in_flight=1), loaded(2, zone="b")], (), 1),
        ([loaded(1, in_flight=2), loaded(2, zone="b")], (), 2),
        ([loaded(1, in_flight=2), loaded(2, zone="b", in_flight=3)], (), 1),
        ([loaded(1, in_flight=2), loaded(2, zone="b", suspect_until=101.0)], (), 1),
        ([loaded(1, in_flight=2), loaded(2, in_flight=1), loaded(3, zone="b")], (), 2),
        ([], (), None),
    ],
)
def test_target_preference(targets, tried, chosen):
    skipped = [held for held in targets if int(held.name[2:], 16) in tried]
    found = choose(targets, tried=skipped)
    assert (found and int(found.name[2:], 16)) == chosen


def test_reconnect_wave_after_all_instances_were_down():
    """All instances assign their first flows at once, without any load data."""
    counts = Counter()
    for instance in range(15):
        targets = [target(number) for number in range(1, 8)]
        for number in range(20):
            chosen = choose(targets, number=instance * 100 + number)
            chosen.open_flows += 1
            counts[chosen.name] += 1
    assert max(counts.values()) / (sum(counts.values()) / 7) < 1.2


def test_reconnect_wave_into_a_zone_with_too_few_targets():
    """The only target of a zone would get 93 requests of its clients; it can hold 15."""
    counts = Counter()
    for instance in range(4):
        targets = [target(1, zone="a"), *[target(number, zone="b") for number in range(2, 7)]]
        for number in range(23):
            chosen = choose(targets, number=instance * 100 + number)
            chosen.open_flows += 1
            chosen.in_flight += 1
            counts[chosen.name] += 1
    assert counts["i-00000001"] <= 2 * 92 / 6


def test_a_cold_target_gets_flows_in_proportion_to_its_speed():
    targets = [loaded(1, warmup_ends_at=200.0), loaded(2), loaded(3)]
    for number in range(300):
        choose(targets, number=number).open_flows += 1
    assert targets[0].open_flows == pytest.approx(300 / (1 + 2 * COLD_FACTOR), rel=0.1)


REMOTE = [loaded(number, slots=2, zone="b", open_flows=9) for number in (7, 8, 9)]


@pytest.mark.parametrize(
    ("targets", "chosen"),
    [
        ([loaded(1, slots=4, open_flows=5), loaded(2, slots=2, open_flows=3)], 1),
        ([loaded(1, slots=4, open_flows=8), loaded(2, slots=2, open_flows=2)], 2),
        ([loaded(1, slots=4, in_flight=3), loaded(2, slots=2, in_flight=2, open_flows=1)], 1),
        ([loaded(1, open_flows=5), loaded(2, slots=2, open_flows=9), loaded(3, slots=1)], 3),
        # The local zone's target is full at two requests for the usual slots.
        ([loaded(1, slots=4, in_flight=3), *REMOTE], 1),
        ([loaded(1, slots=4, in_flight=4), loaded(2, slots=4, zone="b"), *REMOTE], 2),
        ([loaded(1, slots=1, in_flight=1), loaded(2, slots=4, zone="b"), *REMOTE], 2),
        ([loaded(1, slots=1, open_flows=9), loaded(2, slots=4, zone="b"), *REMOTE], 1),
    ],
)
def test_load_counts_against_unlike_slots(targets, chosen):
    assert choose(targets).name == f"i-{chosen:08x}"


@pytest.mark.parametrize(
    ("slots", "in_flight", "chosen"),
    [
        (None, DEFAULT_SLOTS - 1, "a"),
        (None, DEFAULT_SLOTS, "b"),
        (1, 0, "a"),
        (1, 1, "b"),
        (3, 2, "a"),
        (3, 3, "b"),
        (1_000_000, MAX_SLOTS - 1, "a"),
        (1_000_000, MAX_SLOTS, "b"),
    ],
)
def test_flows_go_to_all_zones_once_the_slots_of_the_local_ones_are_busy(slots, in_flight, chosen):
    busy = [loaded(number, slots=slots, in_flight=in_flight) for number in (1, 2)]
    idle = [loaded(number, slots=slots, zone="b") for number in (3, 4)]
    assert choose([*busy, *idle]).zone == chosen


@pytest.mark.parametrize("slots", [1, 2, 3, 1_000_000])
def test_targets_with_equal_slots_are_chosen_as_if_they_told_none(slots):
    """Below the requests in flight at which flows go to all zones, with or without told slots."""
    max_in_flight = 2 if slots == DEFAULT_SLOTS else min(slots, DEFAULT_SLOTS) - 1
    rng = random.Random(slots)
    for number in range(2_000):
        states = [
            {
                "zone": rng.choice("ab"),
                "draining": rng.random() < 0.1,
                "open_flows": rng.randrange(4),
                "in_flight": rng.randint(0, max_in_flight),
                "warmup_ends_at": rng.choice((99.0, 101.0)),
                "suspect_until": rng.choice((99.0, 99.0, 101.0)),
            }
            for _ in range(rng.randrange(1, 9))
        ]
        untold = [loaded(n, **state) for n, state in enumerate(states, 1)]
        # A target that tells none counts as one of the usual slots.
        told = [
            loaded(n, slots=slots if rng.random() < 0.9 else None, **state)
            for n, state in enumerate(states, 1)
        ]
        tried = rng.randrange(3)
        expected = choose(untold, number=number, tried=untold[:tried])
        found = choose(told, number=number, tried=told[:tried])
        assert (found and found.name) == (expected and expected.name)


@pytest.mark.parametrize(("instances", "flows"), [(1, 600), (24, 60), (112, 10)])
def test_a_target_with_twice_the_slots_gets_twice_the_flows(instances, flows):
    """With 10 flows for each of 112 instances, most targets get none from any one of them."""
    counts = Counter()
    for instance in range(instances):
        targets = [target(number, slots=4 if number % 3 else 2) for number in range(1, 31)]
        for number in range(flows):
            chosen = choose(targets, number=instance * flows + number)
            chosen.open_flows += 1
            counts[chosen.slots] += 1
    # Twenty targets of 4 slots stand beside ten of 2; an uneven load of a slot of a quarter takes
    # no target from half its capacity to its limit.
    assert counts[4] / counts[2] == pytest.approx(4.0, rel=0.25)


def test_a_target_that_tells_absurd_slots_does_not_get_all_flows():
    targets = [loaded(1, slots=1_000_000), *[loaded(number, slots=2) for number in range(2, 34)]]
    for number in range(960):
        choose(targets, number=number).open_flows += 1
    assert targets[0].open_flows == pytest.approx(960 * MAX_SLOTS_RATIO / (32 + MAX_SLOTS_RATIO), 2)


@pytest.mark.parametrize("told", [4, 1])
def test_a_change_of_slots_shifts_flows_without_a_wave(told):
    """Eight flows stand open on each of eight targets when one of them tells other slots."""
    harness = DirectorHarness(*[target(number, slots=2) for number in range(1, 9)])
    for number in range(64):
        harness.open(number)
    harness.directory.put(target(1, slots=told), harness.now)
    shares = []
    # Each second a quarter of the flows ends and as many start.
    for second in range(1, 31):
        harness.director.tick(harness.now)
        for number in range(16):
            harness.flows.remove(flow_key(16 * (second - 1) + number))
        started = [harness.open(48 + 16 * second + number).name for number in range(16)]
        shares.append(started.count("i-00000001") / 16)
        harness.now += 1.0
    even = told / (7 * 2 + told)
    assert sum(shares[-10:]) / 10 == pytest.approx(even, rel=0.3)
    assert max(shares) <= 2 * max(even, 1 / 8)


def test_simulated_burst_in_one_zone():
    """4 targets of the zone serve 200 requests/s and all 16 serve 800; 500 requests/s arrive."""
    simulation = BurstSimulation(instances=12, local_hosts=4, remote_hosts=12)
    simulation.run(seconds=12, requests_per_s=60, start=100.0)
    assert (simulation.shed, simulation.spilled) == (0, 0)
    simulation.run(seconds=4, requests_per_s=500, start=112.0)
    # Time until detection: the queues fill, and each instance gets RECENT_SAMPLES of the 200
    # responses/s that all instances share.
    detection_s = (SLOTS + QUEUE) / SLOTS * SERVICE_S + RECENT_SAMPLES / (200 / 12)
    assert 0 < simulation.shed < detection_s * 300
