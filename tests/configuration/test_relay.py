"""Tests of pearwell.configuration.relay, applied and zone_status: versions never decrease."""

import random

import pytest

from pearwell.configuration.applied import AppliedConfiguration, entry_of, key_of, tombstone_entry
from pearwell.configuration.relay import RELAY_COUNT, Relay, select_relays
from pearwell.configuration.zone_status import MAX_KEYS_PER_STATUS, STATUS_RENEWAL_S, StatusReporter
from pearwell.errors import Code, PearwellError
from pearwell.messages.gossip import Entry, EntryVersion
from pearwell.model.configuration import Kind
from pearwell.model.membership import Member, MemberState, View
from pearwell.object_store import ObjectList, StoredObject, WatchEvent, WatchEventType

TARGET = {"name": "t1", "address": "10.0.0.1", "zone": "pnw-a"}
ADDED, MODIFIED, DELETED, BOOKMARK = WatchEventType


def spec(weight=100):
    return {"name": "g", "targets": [TARGET | {"weight": weight}]}


def stored(version, weight=100, name="g"):
    value = {"spec": spec(weight) | {"name": name} if weight else None, "audit": []}
    return StoredObject("group", name, version, value)


class Table:
    """An entry table of one instance without peers, whose holders are set by the test."""

    def __init__(self, adopted=lambda entry: None):
        self._adopted = adopted
        self._entries = {}
        self.held = {}

    def put(self, entry):
        held = self._entries.get(entry.key)
        if held is not None and entry.version <= held.version:
            return False
        self._entries[entry.key] = entry
        self._adopted(entry)
        return True

    def get(self, key):
        return self._entries.get(key)

    def entries(self, prefix):
        return [self._entries[key] for key in sorted(self._entries) if key.startswith(prefix)]

    def holders(self, key):
        return {name: EntryVersion(version) for name, version in self.held.get(key, {}).items()}


class Instance:
    """A relay and the configuration that is applied from its table."""

    def __init__(self):
        self.applied = AppliedConfiguration()
        self.rejected = []
        self.table = Table(self.applied.apply)
        self.relay = Relay(self.table, lambda error: self.rejected.append(error.code))

    def state(self):
        found = self.applied.snapshot
        weights = {name: group.targets[0].weight for name, group in found.groups.items()}
        return weights, {name: version for (_, name), version in found.versions.items()}


@pytest.mark.parametrize(
    ("events", "weight", "version"),
    [
        ([(ADDED, 5, 10), (MODIFIED, 7, 20)], 20, 7),
        ([(ADDED, 5, 10), (ADDED, 5, 10)], 10, 5),
        ([(MODIFIED, 7, 20), (ADDED, 5, 10)], 20, 7),
        ([(ADDED, 5, 10), (MODIFIED, 7, None)], None, 7),
        ([(ADDED, 5, 10), (DELETED, 8, 10)], None, 8),
        ([(DELETED, 8, 10), (ADDED, 5, 10)], None, 8),
        ([(ADDED, 5, 10), (DELETED, 8, 10), (ADDED, 9, 30)], 30, 9),
        ([(ADDED, 5, 10), (BOOKMARK, 99, None)], 10, 5),
    ],
)
def test_events_in_any_order_end_at_the_highest_version(events, weight, version):
    instance = Instance()
    for type_, at, value in events:
        instance.relay.apply_event(Kind.GROUP, WatchEvent(type_, stored(at, value)))
    weights, versions = instance.state()
    assert (weights.get("g"), versions["g"]) == (weight, version)
    assert instance.relay.cursor(Kind.GROUP) == max(at for _, at, _ in events)


@pytest.mark.parametrize(
    ("items", "version", "weights", "versions"),
    [
        ([stored(5, 10)], 6, {"g": 10}, {"g": 5}),
        ([stored(4, 99)], 4, {"g": 10}, {"g": 5}),
        ([], 9, {}, {"g": 9}),
        ([], 4, {"g": 10}, {"g": 5}),
        ([stored(7, None)], 9, {}, {"g": 7}),
        ([stored(7, 30), stored(8, 40, "h")], 9, {"g": 30, "h": 40}, {"g": 7, "h": 8}),
    ],
    ids=["same", "old", "removed", "old-omits-object", "deleted", "newer"],
)
def test_a_list_never_lowers_a_version(items, version, weights, versions):
    instance = Instance()
    instance.relay.apply_event(Kind.GROUP, WatchEvent(ADDED, stored(5, 10)))
    instance.relay.apply_list(Kind.GROUP, ObjectList(tuple(items), version))
    assert instance.state() == (weights, versions)
    assert instance.relay.cursor(Kind.GROUP) == version
    assert instance.rejected == []


@pytest.mark.parametrize(
    ("value", "code"),
    [
        ({"spec": spec(20)}, Code.INVARIANT_VIOLATED),
        ({}, Code.CONFIG_INVALID),
        ({"spec": "text"}, Code.CONFIG_INVALID),
    ],
)
def test_a_rejected_object_keeps_the_applied_value_and_other_objects_are_applied(value, code):
    instance = Instance()
    instance.relay.apply_event(Kind.GROUP, WatchEvent(ADDED, stored(5, 10)))
    bad = StoredObject("group", "g", 5, value)
    instance.relay.apply_list(Kind.GROUP, ObjectList((bad, stored(6, 40, "h")), 9))
    assert instance.state() == ({"g": 10, "h": 40}, {"g": 5, "h": 6})
    assert instance.rejected == [code]


@pytest.mark.parametrize(
    ("entry", "code"),
    [
        (Entry(key_of("group", "g"), EntryVersion(5), b"null"), Code.INVARIANT_VIOLATED),
        (Entry(key_of("group", "g"), EntryVersion(6), b"{}"), Code.CONFIG_BAD_NAME),
        (Entry(key_of("group", "g"), EntryVersion(6), b"nonsense"), Code.CONFIG_INVALID),
        (Entry(key_of("nonsense", "g"), EntryVersion(6), b"null"), Code.CONFIG_INVALID),
        (Entry(key_of("group", "h"), EntryVersion(6), entry_of(stored(6)).payload), None),
    ],
)
def test_an_invalid_entry_keeps_the_applied_configuration(entry, code):
    applied = AppliedConfiguration()
    applied.apply(entry_of(stored(5, 10)))
    before = applied.snapshot
    with pytest.raises(PearwellError) as refused:
        applied.apply(entry)
    assert refused.value.code is (code or Code.CONFIG_INVALID)
    assert applied.snapshot == before


@pytest.mark.parametrize(("version", "weight"), [(4, 99), (5, 10), (6, 20), (6, None)])
def test_only_a_higher_version_is_applied(version, weight):
    applied = AppliedConfiguration()
    applied.apply(entry_of(stored(5, 10)))
    assert applied.apply(entry_of(stored(version, weight))) == (version > 5)
    expected = weight if version > 5 else 10
    groups = applied.snapshot.groups
    assert (groups["g"].targets[0].weight if groups else None) == expected


@pytest.mark.parametrize("seed", range(5))
def test_old_duplicate_and_missing_events_never_lower_a_version(seed):
    rng = random.Random(seed)
    history = [stored(version, rng.choice([None, version])) for version in range(1, 40)]
    instance = Instance()
    applied = 0
    for _ in range(300):
        if rng.random() < 0.2:
            at = rng.randrange(1, 40)
            instance.relay.apply_list(Kind.GROUP, ObjectList((history[at - 1],), at))
        else:
            event = WatchEvent(rng.choice([ADDED, MODIFIED]), rng.choice(history))
            instance.relay.apply_event(Kind.GROUP, event)
        weights, versions = instance.state()
        assert versions["g"] >= applied
        applied = versions["g"]
        assert weights.get("g") in (None, applied)
    assert instance.rejected == []


def members(states):
    found = (Member(f"i{n}", "127.20.0.1", 1, 2, 0, state) for n, state in enumerate(states))
    return View(tuple(found), 1)


@pytest.mark.parametrize(
    ("states", "count"),
    [
        ([], 1),
        ([MemberState.ALIVE], 1),
        ([MemberState.ALIVE, MemberState.SUSPECT], 2),
        ([MemberState.ALIVE] * 20, RELAY_COUNT),
        ([MemberState.ALIVE, MemberState.LEAVING, MemberState.ALIVE], 2),
        ([MemberState.LEAVING], 1),
    ],
)
def test_a_zone_has_at_most_three_relays_that_all_members_agree_on(states, count):
    view = members(states)
    chosen = {
        select_relays("pnw-a", view, member.instance) for member in view.members if member.state < 2
    }
    found = chosen or {select_relays("pnw-a", view, "i0")}
    assert len(found) == 1
    assert [len(names) for names in found] == [count]


def test_a_reporter_names_lagging_members_until_all_hold_the_version():
    table = Table()
    reporter = StatusReporter("pnw-a", table)
    reporter.start(None)
    for version, name in ((5, "g"), (8, "h")):
        entry = entry_of(stored(version, 10, name))
        table.put(entry)
        reporter.track(entry)
    key_g, key_h = key_of("group", "g"), key_of("group", "h")
    table.held = {key_g: {"i0": 5, "i1": 5}, key_h: {"i0": 8, "i1": 3}}
    status = reporter.compute_status(["i0", "i1", "i2"], 100.0)
    assert (status.seen, status.lagging) == (8, {"i2": 4, "i1": 7})
    reports = [status.report(version, 103.0) for version in (4, 5, 8, 9)]
    assert [(r.holding, set(r.lagging)) for r in reports] == [
        (3, set()),
        (2, {"i2"}),
        (1, {"i1", "i2"}),
        (0, {"i1", "i2"}),
    ]
    assert reports[0].age_s == 3.0
    reporter.record_written(status)
    assert not reporter.is_due(reporter.compute_status(["i0", "i1", "i2"], 101.0))
    table.held = {key: {"i0": 8, "i1": 8, "i2": 8} for key in (key_g, key_h)}
    done = reporter.compute_status(["i0", "i1", "i2"], 102.0)
    assert (done.lagging, done.held_through, reporter.is_due(done)) == ({}, 8, True)
    reporter.record_written(done)
    assert reporter.is_due(reporter.compute_status(["i0", "i1", "i2"], 102.0 + STATUS_RENEWAL_S))


def test_a_new_reporter_checks_only_entries_that_its_predecessor_left_pending():
    table = Table()
    for version in range(1, 2 * MAX_KEYS_PER_STATUS):
        table.put(entry_of(stored(version, 10, f"g{version}")))
    predecessor = StatusReporter("pnw-a", table)
    predecessor.start(None)
    table.held = {entry.key: {"i0": entry.version.counter} for entry in table.entries("")}
    first = predecessor.compute_status(["i0"], 1.0)
    assert (first.held_through, first.lagging) == (
        MAX_KEYS_PER_STATUS,
        {"i0": MAX_KEYS_PER_STATUS},
    )
    second = predecessor.compute_status(["i0"], 2.0)
    assert second.held_through == second.seen == 2 * MAX_KEYS_PER_STATUS - 1
    reporter = StatusReporter("pnw-a", table)
    reporter.start(second)
    table.put(tombstone_entry(key_of("group", "g1"), 9999))
    assert reporter.compute_status(["i0"], 3.0).lagging == {}
