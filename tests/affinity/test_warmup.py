"""Tests of pearwell.affinity.warmup: many instances and cold targets in virtual time."""

import random
from bisect import bisect_left
from itertools import accumulate
from math import ceil, exp, floor, lgamma, log, log1p

import pytest

from pearwell.affinity.directory import Directory
from pearwell.affinity.fleet_size import FleetSize
from pearwell.affinity.flow_placement import FlowPlacement, NewFlow
from pearwell.affinity.routes import Route, Routes, RouteTable
from pearwell.affinity.service import Service
from pearwell.affinity.target import NEVER
from pearwell.affinity.warmup import (
    FIRST_WARM_SHARE,
    GROWTH,
    MAX_INTERVAL_S,
    TURN_S,
    WarmupLimit,
    turn_interval_s,
)
from tests.affinity.builders import ROUTE, DirectorHarness, syn, target
from tests.affinity.test_fleet_size import FleetHarness as RelaysHarness

OVERAGE, SLACK = 1.5, 5.0
WARMUP_S = 10.0
# Part of its rate that a cold target gets at least while callers wait for room.
FAIR_SHARE = 0.2


def routes(rate, version=1):
    service = Service("intake", warmup_starts_per_s=rate)
    return Routes(version, {ROUTE: Route("r", (("intake", 1),))}, services={"intake": service})


class Member:
    """An instance with a clock of its own, and its copies of all targets."""

    def __init__(self, rng, rate, cold, warm, size):
        self.offset = rng.uniform(0.0, 1e6)
        self.directory = Directory()
        self.directory.replace([target(number + 1) for number in range(cold + warm)], 0.0)
        self.table = RouteTable()
        self.table.apply(routes(rate), 0.0)
        self.events = []
        self.limit = WarmupLimit(
            self.table, self.directory, size, OVERAGE, SLACK, rng.random, self._log
        )
        self.placement = FlowPlacement("a", self.directory, rng.random, self._log)
        self.placement.add_limit(self.limit)

    def _log(self, event, **fields):
        self.events.append((event, fields))

    def set_warmup(self, numbers, ends_at):
        for number in numbers:
            found = self.directory.find_by_name(f"i-{number:08x}")
            found.warmup_ends_at = self.offset + ends_at

    def start_flow(self, now, key):
        """Returns the number of the target that gets a new flow, or None."""
        chosen, _ = self.placement.place(NewFlow(key, ROUTE_IN_FORCE), self.offset + now)
        if chosen is None:
            return None
        self.placement.record_start(chosen, self.offset + now)
        chosen.open_flows += 1
        return int(chosen.name[2:], 16)


ROUTE_IN_FORCE = routes(None).by_address[ROUTE]


class FleetHarness:
    """Instances that get flows at random; the first targets are cold from the start."""

    def __init__(self, instances, rate, *, cold=2, warm=1, size=None, warmup_s=WARMUP_S):
        self.rng = random.Random(1)
        self.rate, self.cold, self.warm = rate, cold, warm
        self.warmup_s = warmup_s
        self.sizes = [size or instances] * instances
        self.members = [self.make_member(number) for number in range(instances)]
        self.now = 0.0
        # Times of starts by target.
        self.starts = {number: [] for number in range(1, cold + warm + 1)}
        self.refused = 0

    def make_member(self, number):
        member = Member(self.rng, self.rate, self.cold, self.warm, lambda now: self.sizes[number])
        member.set_warmup(range(1, self.cold + 1), self.warmup_s)
        return member

    def run(self, until, per_s, weights=None):
        """Starts flows at a rate of all instances together until a time."""
        tick_at = self.now + 1.0
        summed = None if weights is None else list(accumulate(weights))
        while (now := self.now + self.rng.expovariate(per_s)) < until:
            self.now = now
            if now >= tick_at:
                tick_at += 1.0
                for member in self.members:
                    member.limit.tick(member.offset + now)
            (member,) = self.rng.choices(self.members, cum_weights=summed)
            number = member.start_flow(now, self.rng.randbytes(14))
            if number is None:
                self.refused += 1
            else:
                self.starts[number].append(now)
        self.now = until

    def most_in_a_second(self, number, until=WARMUP_S):
        """Returns the most starts on a target in any second that starts while it is cold."""
        times = [at for at in self.starts[number] if at < until]
        return max((bisect_left(times, at + 1.0) - k for k, at in enumerate(times)), default=0)

    def assert_within_allowance(self, until=WARMUP_S):
        for number in range(1, self.cold + 1):
            assert self.most_in_a_second(number, until) <= self.rate * OVERAGE + SLACK


def uneven(instances):
    """Returns weights of traffic: the first instance gets ten times that of the others."""
    return [10.0] + [1.0] * (instances - 1)


@pytest.mark.parametrize("rate", [0.5, 5, 20])
@pytest.mark.parametrize("instances", [1, 5, 24, 112, 300])
def test_a_zone_is_back_after_an_evacuation_under_double_load(instances, rate):
    """Callers press at all instances, one of which gets ten times the traffic of the others."""
    harness = FleetHarness(instances, rate)
    harness.run(WARMUP_S, per_s=max(300, 10 * instances), weights=uneven(instances))
    harness.assert_within_allowance()
    assert harness.refused == 0


@pytest.mark.parametrize(
    ("instances", "rate"), [(5, 1), (5, 5), (24, 1), (24, 5), (112, 1), (112, 5), (112, 20)]
)
def test_a_cold_target_gets_a_fair_part_of_its_rate(instances, rate):
    """While every instance has callers for each of its turns."""
    harness = FleetHarness(instances, rate, cold=12, warm=0)
    harness.run(WARMUP_S, per_s=15 * instances)
    harness.assert_within_allowance()
    mean = sum(map(len, harness.starts.values())) / len(harness.starts)
    assert mean >= FAIR_SHARE * rate * WARMUP_S


@pytest.mark.parametrize("instances", [5, 112, 300])
def test_a_wave_after_a_pause_finds_nothing_saved_up(instances):
    """All clients open their flows at the same moment, after seconds without any."""
    harness = FleetHarness(instances, 20, warmup_s=40.0)
    for member in harness.members:
        for found in member.directory:
            member.limit.allows(found, member.offset)
    harness.now = 30.0
    harness.run(30.5, per_s=30 * instances)
    harness.assert_within_allowance(until=40.0)


@pytest.mark.parametrize("factor", [0.8, 1.25])
@pytest.mark.parametrize("rate", [1, 5, 20])
@pytest.mark.parametrize("instances", [5, 24, 112])
def test_an_estimate_of_the_fleet_that_is_wrong_by_a_fifth(instances, rate, factor):
    harness = FleetHarness(instances, rate, cold=4, size=max(1, round(factor * instances)))
    harness.run(WARMUP_S, per_s=max(300, 10 * instances))
    harness.assert_within_allowance()


@pytest.mark.parametrize("instances", [5, 112])
def test_all_instances_restarted(instances):
    """They forget the turns that they have used, and don't know the size of the fleet at first."""
    harness = FleetHarness(instances, 5)
    harness.run(4.0, per_s=20 * instances)
    harness.sizes = [1000] * instances
    harness.members = [harness.make_member(number) for number in range(instances)]
    harness.run(6.0, per_s=20 * instances)
    harness.sizes = [instances] * instances
    harness.run(WARMUP_S, per_s=20 * instances)
    harness.assert_within_allowance()
    assert any(at > 6.0 for at in harness.starts[1])


def test_instances_restart_one_after_the_other():
    harness = FleetHarness(24, 5)
    for number in range(24):
        harness.members[number] = harness.make_member(number)
        harness.run(0.4 * (number + 1), per_s=600)
    harness.assert_within_allowance()


def fail_relay(relays):
    relays.down.add(relays.seeds[0])
    return ()


def cut_a_third(relays):
    return set([name for name in relays.sizes if name not in relays.seeds][:37])


def restart_all(relays):
    for seed in relays.seeds:
        relays.start_relay(seed)
    relays.sizes = {name: FleetSize(len(relays.seeds)) for name in relays.sizes}
    return ()


@pytest.mark.parametrize("fail", [fail_relay, cut_a_third, restart_all])
def test_a_failure_while_targets_are_cold(fail):
    """A relay ends, a third of the instances lose the relays, or all instances restart."""
    relays = RelaysHarness(112)
    harness = FleetHarness(112, 5, warmup_s=40.0)
    relays.run(15)
    cut = ()
    for second in range(30):
        if second == 5:
            cut = fail(relays)
        relays.run(1, cut=cut)
        harness.sizes = [size.bound(relays.now) for size in relays.sizes.values()]
        harness.run(second + 1.0, per_s=560)
    harness.assert_within_allowance(until=30.0)
    for number in (1, 2):
        assert any(at > 20.0 for at in harness.starts[number])


def test_the_fleet_grows_by_a_quarter_within_a_second():
    harness = FleetHarness(112, 5)
    harness.run(3.0, per_s=1120)
    harness.sizes = [112] * 140
    harness.members += [harness.make_member(number) for number in range(112, 140)]
    harness.run(4.0, per_s=1400)
    harness.sizes = [140] * 140
    harness.run(WARMUP_S, per_s=1400)
    harness.assert_within_allowance()


def test_a_target_turns_cold_again():
    harness = FleetHarness(24, 5)
    harness.run(WARMUP_S + 2.0, per_s=600)
    for member in harness.members:
        member.set_warmup([1, 2], 30.0)
    harness.starts = {number: [] for number in harness.starts}
    harness.run(28.0, per_s=600)
    harness.assert_within_allowance(until=30.0)


def cold_harness(rate, *, cold=2, warm=0):
    """Returns a member of a fleet of one, whose targets are cold for ten seconds."""
    return FleetHarness(1, rate, cold=cold, warm=warm)


def test_a_rate_that_changes_applies_at_once():
    harness = cold_harness(0.5)
    (member,) = harness.members
    member.table.apply(routes(50, version=2), 0.0)
    harness.run(2.0, per_s=200)
    assert len(harness.starts[1]) > 20
    member.table.apply(routes(None, version=3), 0.0)
    before = harness.refused
    harness.run(3.0, per_s=200)
    assert harness.refused == before
    assert not member.limit.active


def test_starts_on_cold_targets_are_logged_once_each_with_counts():
    harness = cold_harness(1, warm=1)
    harness.run(WARMUP_S + 2.0, per_s=100)
    (member,) = harness.members
    logged = [(event, fields["target"]) for event, fields in member.events]
    names = ["i-00000001", "i-00000002"]
    assert sorted(logged) == sorted(
        (event, name) for event in ("warmup_limited", "warmup_limited_end") for name in names
    )
    ends = [fields for event, fields in member.events if event == "warmup_limited_end"]
    samples = {name: value for name, _, _, value in member.limit.samples()}
    assert samples["warmup_starts_total"] == sum(fields["starts"] for fields in ends)
    assert samples["warmup_held_back_total"] == sum(fields["held_back"] for fields in ends)
    assert all(fields["starts"] >= 4 and fields["held_back"] >= 100 for fields in ends)


@pytest.mark.parametrize("state", ["gone", "without rate"])
def test_a_target_is_forgotten_before_its_warmup_ends(state):
    harness = cold_harness(1)
    harness.run(3.0, per_s=100)
    (member,) = harness.members
    if state == "gone":
        member.directory.mark_gone(member.directory.find_by_name("i-00000001"))
    else:
        member.table.apply(routes(None, version=2), 0.0)
    member.limit.tick(member.offset + 3.0)
    ended = [fields["target"] for event, fields in member.events if event == "warmup_limited_end"]
    assert ended[0] == "i-00000001"


@pytest.mark.parametrize("instances", [5, 112])
def test_no_wave_once_a_target_is_warm(instances):
    """It has few flows, so that it is the least loaded one to every instance."""
    harness = FleetHarness(instances, 5, cold=1, warm=19)
    harness.run(30.0, per_s=400)
    even = 400 / 20
    assert harness.most_in_a_second(1, until=30.0) <= 2 * FIRST_WARM_SHARE * even
    last = [at for at in harness.starts[1] if at >= 25.0]
    assert len(last) / 5.0 >= 0.5 * even


def test_targets_that_turn_warm_together_get_all_flows():
    harness = FleetHarness(5, 5, cold=6, warm=0)
    harness.run(WARMUP_S, per_s=100)
    before = harness.refused
    harness.run(WARMUP_S + 5.0, per_s=100)
    assert harness.refused == before


def binomial(count, hits, chance):
    """Returns the probability of a number of hits."""
    if not 0 < chance < 1:
        return float(hits == round(chance * count))
    ways = lgamma(count + 1) - lgamma(hits + 1) - lgamma(count - hits + 1)
    return exp(ways + hits * log(chance) + (count - hits) * log1p(-chance))


@pytest.mark.parametrize("rate", [0.5, 1, 2, 5, 20, 100])
@pytest.mark.parametrize("instances", [1, 2, 5, 24, 112, 300, 1000])
@pytest.mark.parametrize("bounds", [(1.5, 5.0), (1.0, 0.0), (2.0, 1.0)])
def test_the_probability_of_an_excess(instances, rate, bounds):
    """Also with a quarter more instances than the estimate tells."""
    overage, slack = bounds
    most = floor(rate * overage + slack)
    interval_s = turn_interval_s(instances, rate, rate * overage + slack)
    assert interval_s * rate >= instances * 0.999
    count = ceil(GROWTH * instances)
    expected = (1 + min(interval_s, TURN_S)) / interval_s
    whole = floor(expected)
    chance = expected - whole
    extras = range(max(0, most + 1 - count * whole), count + 1)
    assert sum(binomial(count, extra, chance) for extra in extras) <= 1e-6


def test_an_allowance_below_one_start_allows_none():
    assert turn_interval_s(5, 0.5, 0.75) >= 1e6
    assert turn_interval_s(1000, 0.5, 0.5) >= 1e9
    assert turn_interval_s(5, 1e-12, 5.0) == MAX_INTERVAL_S


def with_rate(harness, rate):
    """Adds the limit to a director's harness, as an instance with that rate does."""
    harness.routes.apply(routes(rate, version=2), harness.now)
    limit = WarmupLimit(
        harness.routes,
        harness.directory,
        lambda now: 1,
        1.0,
        2.0,
        lambda: 0.0,
        lambda event, **fields: harness.events.append((event, fields)),
    )
    harness.director.placement.add_limit(limit)
    return limit


def count_starts(limit):
    return {name: value for name, _, _, value in limit.samples()}["warmup_starts_total"]


def test_all_targets_cold_without_a_turn_refuse_callers_at_once():
    harness = DirectorHarness(*[target(number, warmup_ends_at=1000.0) for number in (1, 2)])
    with_rate(harness, 1)
    answers = [harness.send(syn(number)) for number in range(10)]
    assert len([found for found in answers if found in list(harness.directory)]) == 2
    assert harness.director.counts["FLOW_NO_TARGET"] == 8


def test_every_transmission_of_a_syn_counts():
    """An unanswered one that goes on to another cold target, a client's own, and a late copy."""
    harness = DirectorHarness(*[target(number, warmup_ends_at=1000.0) for number in (1, 2)])
    limit = with_rate(harness, 100)
    harness.send(syn(1))
    harness.advance(0.05)
    assert count_starts(limit) == 2
    ((_, resent_to),) = harness.advance(0.05)
    assert count_starts(limit) == 3
    harness.answer_probes()
    assert harness.send(syn(1, earlier_syns=1)) is resent_to
    assert count_starts(limit) == 4
    harness.advance(0.5)
    chosen = harness.open(2)
    assert harness.send(syn(2, earlier_syns=1)) is chosen
    assert count_starts(limit) == 6


@pytest.mark.parametrize("warmup_ends_at", [NEVER, 1000.0])
def test_without_a_rate_choices_are_as_before(warmup_ends_at):
    """The same targets in the same order, whether or not some are cold."""
    decisions = []
    for is_limited in (False, True):
        harness = DirectorHarness(
            target(1, warmup_ends_at=warmup_ends_at), target(2), target(3, zone="b")
        )
        harness.routes.apply(routes(None, version=2), harness.now)
        if is_limited:
            with_rate(harness, None)
        decisions.append([harness.send(syn(number)).name for number in range(200)])
    assert decisions[0] == decisions[1]
