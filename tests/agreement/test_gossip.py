"""Tests of pearwell.agreement.gossip in virtual time."""

import random

import pytest

from pearwell.agreement.gossip import Gossip
from pearwell.agreement.transport import MemoryNetwork
from pearwell.clock import ManualClock
from pearwell.messages import Digest, Entry, EntryVersion, Push

TICK_S = 0.25


class Zone:
    """Gossip cores on an in-memory network with periodic ticks and simulated loss."""

    def __init__(self, count, lost=lambda sender, to, message, rng: False):
        self.clock = ManualClock()
        self.rng = random.Random(7)
        self.adopted = {}
        self.network = MemoryNetwork(
            self.clock, lambda s, t, m: () if lost(s, t, m, self.rng) else (0.001,)
        )
        self.cores = {}
        for number in range(count):
            self.start(f"i{number}")

    def start(self, name):
        core = None
        transport = self.network.attach(name, lambda sender, m: core.handle(sender, m))
        versions = self.adopted.setdefault(name, {})

        def adopted(entry):
            assert versions.get(entry.key, EntryVersion(-1)) < entry.version
            versions[entry.key] = entry.version

        core = Gossip(name, transport, self.clock, random.Random(name), adopted)
        self.cores[name] = core
        for other in self.cores.values():
            other.set_peers(self.cores)
        self._tick(core)
        return core

    def _tick(self, core):
        core.tick()
        self.network.call_at(self.clock.now() + TICK_S, lambda: self._tick(core))

    def run(self, seconds):
        self.network.run_until(self.clock.now() + seconds)

    def versions(self, key):
        held = [core.get(key) for core in self.cores.values()]
        return {entry.version.counter if entry else None for entry in held}


def entry(key="config/service/intake", counter=1, writer="", payload=b"x" * 100):
    return Entry(key, EntryVersion(counter, writer), payload)


@pytest.mark.parametrize("count", [1, 2, 5, 60])
def test_push_reaches_every_instance_immediately(count):
    zone = Zone(count)
    assert zone.cores["i0"].put(entry())
    zone.run(0.05)
    assert zone.versions("config/service/intake") == {1}


LOSSES = {
    "every push to one instance": lambda s, t, m, rng: t == "i3" and isinstance(m, Push),
    "a third of all messages": lambda s, t, m, rng: rng.random() < 0.33,
    "first comparisons": lambda s, t, m, rng: isinstance(m, Digest) and rng.random() < 0.7,
}


@pytest.mark.parametrize("lost", LOSSES.values(), ids=LOSSES.keys())
def test_anti_entropy_repairs_lost_messages(lost):
    zone = Zone(20, lost)
    zone.cores["i0"].put(entry())
    zone.run(1.0)
    zone.network._delivery = lambda s, t, m: (0.001,)
    zone.run(3.0)
    assert zone.versions("config/service/intake") == {1}


def test_versions_only_rise():
    zone = Zone(3)
    zone.cores["i0"].put(entry(counter=5))
    zone.run(0.1)
    assert not zone.cores["i1"].put(entry(counter=4))
    zone.cores["i2"].handle("i1", Push((entry(counter=3),)))
    zone.run(2.0)
    assert zone.versions("config/service/intake") == {5}


def test_equal_counters_are_ordered_by_writer():
    zone = Zone(4)
    zone.cores["i0"].put(entry("placement/g", 3, "i0", b"a"))
    zone.cores["i1"].put(entry("placement/g", 3, "i1", b"b"))
    zone.run(2.0)
    assert {core.get("placement/g").payload for core in zone.cores.values()} == {b"b"}


def test_joiner_gets_every_entry():
    zone = Zone(5)
    for number in range(500):
        zone.cores["i0"].put(entry(f"config/service/s{number}", payload=b"x" * 300))
    zone.run(2.0)
    joiner = zone.start("i9")
    zone.run(2.0)
    assert len(joiner.entries("config/")) == 500
    assert joiner.checksum("config") == zone.cores["i0"].checksum("config")


def test_holders_lists_the_version_at_each_instance():
    zone = Zone(6, lambda s, t, m, rng: t == "i5")
    zone.cores["i0"].put(entry(counter=1))
    zone.cores["i0"].holders("config/service/intake")
    zone.run(0.1)
    zone.cores["i0"].put(entry(counter=2))
    zone.run(0.1)
    held = zone.cores["i0"].holders("config/service/intake")
    assert held == {f"i{number}": EntryVersion(2) for number in range(5)}
    zone.network._delivery = lambda s, t, m: (0.001,)
    zone.run(3.0)
    assert zone.cores["i0"].holders("config/service/intake")["i5"] == EntryVersion(2)


def test_push_budget_delays_frequent_load_entries_but_not_configuration():
    zone = Zone(20)
    for counter in range(1, 2001):
        zone.cores["i0"].put(entry("load/g/t1", counter, "i0", b"y" * 200))
    zone.cores["i0"].put(entry())
    zone.run(0.05)
    assert zone.versions("config/service/intake") == {1}
    assert zone.network.bytes_sent["i0"] < 100_000
    zone.run(20.0)
    assert zone.versions("load/g/t1") == {2000}


def test_entries_that_are_not_renewed_expire_everywhere_including_late_joiners():
    zone = Zone(6)
    zone.cores["i0"].put(entry("verdict/g/t1/i0"))
    zone.cores["i0"].put(entry())
    zone.run(290.0)
    joiner = zone.start("i9")
    zone.run(2.0)
    assert joiner.get("verdict/g/t1/i0") is not None
    zone.run(20.0)
    assert zone.versions("verdict/g/t1/i0") == {None}
    assert zone.versions("config/service/intake") == {1}
    sent = dict(zone.network.bytes_sent)
    zone.run(10.0)
    assert max(zone.network.bytes_sent[name] - sent[name] for name in sent) < 1000


def test_many_verdicts_stay_within_the_bandwidth_and_delay_no_configuration():
    zone, rng = Zone(30), random.Random(1)
    zone.run(2.0)
    before, started_at = dict(zone.network.bytes_sent), zone.clock.now()
    for counter in range(1, 1001):
        writer, target = f"i{rng.randrange(30)}", rng.randrange(100)
        verdict = entry(f"verdict/g/t{target}/{writer}", counter, writer, b"x" * 20)
        zone.cores[writer].put(verdict)
        zone.run(0.01)
    seconds = zone.clock.now() - started_at
    rates = [(zone.network.bytes_sent[name] - before[name]) / seconds for name in before]
    assert max(rates) < 25_000
    zone.cores["i0"].put(entry())
    zone.run(0.05)
    assert zone.versions("config/service/intake") == {1}
    zone.run(10.0)
    assert len({core.checksum("verdict") for core in zone.cores.values()}) == 1
