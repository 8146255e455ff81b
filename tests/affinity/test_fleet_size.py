"""Tests of pearwell.affinity.fleet_size with relays and their callers in virtual time."""

import pytest

from pearwell.affinity.fleet_size import HOLD_S, LEASE_S, UNKNOWN_SIZE, FleetSize
from pearwell.affinity.instance import order_relays
from pearwell.affinity.relay_clients import CLIENT_TIMEOUT_S, RelayClients

RELAYS = 3


class FleetHarness:
    """Relays, and instances that call the first one of their order that is up, once a second."""

    def __init__(self, instances, *, relays=RELAYS):
        self.now = 100.0
        self.seeds = [f"10.0.{number}.1" for number in range(relays)]
        self.clients = {seed: RelayClients() for seed in self.seeds}
        self.serving_since = dict.fromkeys(self.seeds, self.now)
        self.down = set()
        self.sizes = {seed: FleetSize(relays) for seed in self.seeds}
        self.add(instances - relays)

    def add(self, count):
        for _ in range(count):
            self.sizes[f"e-{len(self.sizes)}"] = FleetSize(len(self.seeds))

    def remove(self, count):
        for name in [name for name in self.sizes if name not in self.seeds][:count]:
            del self.sizes[name]

    def start_relay(self, seed):
        self.down.discard(seed)
        self.clients[seed] = RelayClients()
        self.serving_since[seed] = self.now
        self.sizes[seed] = FleetSize(len(self.seeds))

    def run(self, seconds, cut=()):
        """Lets all instances call their relays, but for those that are cut off."""
        for _ in range(seconds):
            self.now += 1.0
            for name in self.sizes:
                if name not in cut:
                    self._call(name)

    def _call(self, name):
        relay = next((seed for seed in self._order(name) if seed not in self.down), None)
        if relay is None:
            return
        if name != relay:
            self.clients[relay].record_call(name, self.now)
        callers = self.clients[relay].count(self.now, self.serving_since[relay])
        if callers is not None:
            self.sizes[name].record_callers(callers, self.now, self.now)

    def _order(self, name):
        if name in self.seeds:
            return (name,)
        return [seed for seed, _ in order_relays(name, None, tuple((s, 80) for s in self.seeds))]

    def estimates(self):
        return [size.estimate(self.now) for size in self.sizes.values()]

    def shares(self, names=None):
        """Returns what instances take of a limit of 1 together."""
        sizes = [self.sizes[name] for name in names or self.sizes if name not in self.down]
        return sum(1 / size.bound(self.now) for size in sizes)


@pytest.mark.parametrize("instances", [3, 5, 24, 112, 300])
def test_the_estimates_of_a_calm_fleet(instances):
    harness = FleetHarness(instances)
    harness.run(15)
    assert 0.6 * instances <= min(harness.estimates())
    assert max(harness.estimates()) <= 1.5 * instances + RELAYS
    assert harness.shares() == pytest.approx(1.0)


@pytest.mark.parametrize("instances", [5, 112])
def test_an_instance_that_was_told_nothing_assumes_a_large_fleet(instances):
    """All instances have restarted at once, the relays among them."""
    harness = FleetHarness(instances)
    harness.run(int(CLIENT_TIMEOUT_S) - 1)
    assert set(harness.estimates()) == {UNKNOWN_SIZE}
    assert harness.shares() <= 0.2
    harness.run(2)
    assert harness.shares() == pytest.approx(1.0, rel=0.05)


@pytest.mark.parametrize("relays", [0, 3])
def test_a_fleet_without_relays_that_tell(relays):
    """There are none, all are down, or they are of an earlier release."""
    size = FleetSize(relays)
    assert (size.estimate(5.0), size.bound(5.0)) == (UNKNOWN_SIZE, UNKNOWN_SIZE)
    assert not size.is_current(5.0)


def test_a_single_instance():
    size = FleetSize(1)
    size.record_callers(0, 5.0, 5.0)
    assert (size.estimate(5.0), size.bound(5.0)) == (1, 1)


def test_a_relay_that_fails_lets_no_share_grow():
    harness = FleetHarness(112)
    harness.run(20)
    harness.down.add(harness.seeds[0])
    for _ in range(30):
        harness.run(1)
        assert harness.shares() <= 1.01
    assert min(harness.estimates()) >= 112


@pytest.mark.parametrize("restarted", [True, False])
def test_a_relay_that_returns_lets_no_share_grow(restarted):
    """It counts too few callers at first, as they return one by one."""
    harness = FleetHarness(112)
    harness.run(20)
    seed = harness.seeds[0]
    harness.down.add(seed)
    harness.run(20)
    if restarted:
        harness.start_relay(seed)
    harness.down.discard(seed)
    callers = [name for name in harness.sizes if name not in harness.seeds]
    for second in range(30):
        late = {name for number, name in enumerate(callers) if number % 7 > second}
        harness.run(1, cut=late)
        assert harness.shares() <= 1.05


@pytest.mark.parametrize("share_cut", [0.1, 0.34, 0.7])
def test_instances_cut_off_stop_before_others_take_over_their_share(share_cut):
    harness = FleetHarness(112)
    harness.run(20)
    others = [name for name in harness.sizes if name not in harness.seeds]
    cut = set(others[: int(112 * share_cut)])
    for _ in range(40):
        harness.run(1, cut=cut)
        assert harness.shares() <= 1.12
    assert harness.shares(cut) <= 0.1
    assert harness.shares() >= 0.95


@pytest.mark.parametrize("instances", [24, 112])
def test_growth_by_a_quarter_within_a_second(instances):
    harness = FleetHarness(instances)
    harness.run(20)
    harness.add(instances // 4)
    assert harness.shares() <= 1.1
    harness.run(1)
    assert harness.shares() <= 1.25
    harness.run(1)
    assert harness.shares() <= 1.01


def test_a_fleet_that_shrinks_is_estimated_too_large_for_a_time():
    harness = FleetHarness(112)
    harness.run(20)
    harness.remove(60)
    harness.run(int(CLIENT_TIMEOUT_S))
    assert harness.shares() <= 0.6
    harness.run(int(CLIENT_TIMEOUT_S + HOLD_S))
    assert harness.shares() == pytest.approx(1.0)


def test_the_estimate_stays_while_nothing_is_told():
    """An outage of the store, in which relays refuse their callers."""
    size = FleetSize(3)
    size.record_callers(36, 100.0, 101.0)
    assert size.is_current(100.0 + LEASE_S - 0.1) and not size.is_current(100.0 + LEASE_S)
    assert (size.estimate(400.0), size.bound(400.0)) == (111, UNKNOWN_SIZE)
    size.record_callers(9, 400.0, 400.1)
    assert (size.estimate(400.2), size.bound(400.2)) == (30, 30)


def test_a_call_that_took_long_is_current_for_less():
    size = FleetSize(3)
    size.record_callers(36, 100.0, 100.0 + LEASE_S)
    assert not size.is_current(100.0 + LEASE_S)


def test_a_client_is_counted_for_longer_than_its_number_is_current():
    clients = RelayClients()
    clients.record_call("10.0.0.9", 100.0)
    assert clients.count(100.0 + LEASE_S, 0.0) == 1
    assert clients.count(102.0 + CLIENT_TIMEOUT_S, 0.0) == 0
