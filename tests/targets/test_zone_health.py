"""Tests of pearwell.targets.zone_health."""

import msgspec
import pytest

from pearwell.clock import ManualClock
from pearwell.messages.gossip import Entry, EntryVersion
from pearwell.messages.targets import SilenceVerdict, TargetVerdict
from pearwell.model.configuration import Configuration
from pearwell.model.group import GroupSpec, HealthCheck, TargetSpec
from pearwell.model.placement import TargetState
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.targets.zone_health import ZoneHealth, silence_key, verdict_key

INSTANCES = tuple(f"i{i}" for i in range(9))
TARGETS = tuple(TargetSpec(f"t{i}", f"10.0.0.{i}", "a" if i < 7 else "b") for i in range(10))


def make_configuration(spill_zones=(), port=80):
    group = GroupSpec("g", TARGETS, HealthCheck(port=port))
    service = ServiceSpec("s", "192.0.2.1", 80, TransportProtocol.TCP, "g", spill_zones=spill_zones)
    return Configuration(services={"s": service}, groups={"g": group})


def make_entry(key, value, counter=1):
    return Entry(key, EntryVersion(counter, "w"), msgspec.msgpack.encode(value))


def make_zone_health(instance, **kwargs):
    zone = ZoneHealth(instance, "a", ManualClock(100.0))
    zone.set_instances(INSTANCES)
    zone.configure(make_configuration(**kwargs))
    return zone


@pytest.mark.parametrize(
    ("kwargs", "probed"),
    [({}, 7), ({"spill_zones": ("b",)}, 10), ({"port": 0}, 0)],
)
def test_three_instances_probe_each_target(kwargs, probed):
    counts = {}
    for instance in INSTANCES:
        for key in make_zone_health(instance, **kwargs).assignments:
            counts[key] = counts.get(key, 0) + 1
    assert set(counts.values()) <= {3}
    assert len(counts) == probed


def test_failed_prober_is_replaced():
    before = {i for i in INSTANCES if ("g", "t0") in make_zone_health(i).assignments}
    lost = min(before)
    after = set()
    for instance in INSTANCES:
        zone = make_zone_health(instance)
        zone.set_instances(tuple(i for i in INSTANCES if i != lost))
        if instance != lost and ("g", "t0") in zone.assignments:
            after.add(instance)
    assert before - after == {lost}
    assert len(after) == 3


@pytest.mark.parametrize("early", [False, True])
def test_verdicts_that_arrive_before_the_configuration_count(early):
    probers = [i for i in INSTANCES if ("g", "t0") in make_zone_health(i).assignments]
    zone = ZoneHealth("i0", "a", ManualClock(100.0))
    zone.set_instances(INSTANCES)
    entries = [
        make_entry(verdict_key("g", "t0", prober), TargetVerdict(TargetState.DEAD))
        for prober in probers[:2]
    ]
    if not early:
        zone.configure(make_configuration())
    for item in entries:
        zone.apply_entry(item)
    if early:
        zone.configure(make_configuration())
    assert list(zone.evaluate()) == [("g", "t0", TargetState.DEAD)]
    assert zone.state_of("g", "t0") is TargetState.DEAD


@pytest.mark.parametrize(
    "item",
    [
        Entry("verdict/g/t0/x", EntryVersion(1), b"\xff\xff"),
        Entry("verdict/g", EntryVersion(1), b""),
        Entry("silence/g/t0", EntryVersion(1), b"junk"),
        Entry("silence/g/none", EntryVersion(1), b""),
        Entry("other/g/t0", EntryVersion(1), b""),
    ],
)
def test_malformed_entries_are_ignored(item):
    zone = make_zone_health("i0")
    zone.apply_entry(item)
    assert list(zone.evaluate()) == []


def test_silence_marks_a_target_suspect():
    zone = make_zone_health("i0")
    zone.apply_entry(make_entry(silence_key("g", "t0"), SilenceVerdict(10.0)))
    assert list(zone.evaluate()) == [("g", "t0", TargetState.SUSPECT)]
    zone.apply_entry(make_entry(silence_key("g", "t0"), SilenceVerdict(0.0)))
    assert list(zone.evaluate()) == [("g", "t0", TargetState.WORKING)]
