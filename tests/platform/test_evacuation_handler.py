"""Tests of pearwell.platform.evacuation_handler."""

import pytest

from pearwell.affinity.evacuations import Evacuations
from pearwell.errors import Code
from pearwell.platform.evacuation_handler import EvacuationHandler


class Harness:
    """A handler with its evacuations and the logged events."""

    def __init__(self, trusted=True):
        self.events = []
        self.evacuations = Evacuations(
            "a", [], lambda: False, lambda: 0.5, lambda zone: None, self._log
        )
        self.handler = EvacuationHandler(self.evacuations, lambda now: trusted, self._log)

    def _log(self, event, **fields):
        self.events.append((event, fields))

    def apply(self, item, now=0.0):
        self.handler.apply(self.handler.name_of(item), item, now)

    def replace(self, *items, now=0.0):
        self.handler.replace({self.handler.name_of(item): item for item in items}, now)


def item(name, revision=7, **fields):
    return {"meta": {"Name": name, "Revision": revision}, "spec": {}, **fields}


@pytest.mark.parametrize(
    "odd_item",
    [
        item("b"),
        item("b", spec=None),
        item("b", spec="unreadable"),
        item("b", spec=[1, {"Zone": "c"}]),
        item("b", revision="seven"),
        item("b", revision=True),
        {"meta": {"Name": "b"}},
        {"meta": {"Name": "b", "Deleting": True, "Finalizers": ["x"]}, "spec": {}},
    ],
)
@pytest.mark.parametrize("is_listed", [False, True])
def test_an_object_evacuates_its_zone_whatever_it_holds(odd_item, is_listed):
    harness = Harness()
    harness.replace(*([odd_item] if is_listed else []))
    if not is_listed:
        harness.apply(odd_item)
    assert harness.evacuations.zones == ["b"]
    harness.handler.apply("b", None, 1.0)
    assert harness.evacuations.zones == []


@pytest.mark.parametrize("unusable", [None, 3, [], {}, {"meta": []}, item(""), item(5), item(None)])
@pytest.mark.parametrize("is_listed", [False, True])
def test_an_object_without_a_name_is_logged_and_ignored(unusable, is_listed):
    harness = Harness()
    harness.replace(item("b"), *([unusable] if is_listed else []))
    if not is_listed:
        harness.apply(unusable)
    assert harness.evacuations.known and harness.evacuations.zones == ["b"]
    logged = [fields for event, fields in harness.events if event == "evacuation_unusable"]
    assert [fields["code"] for fields in logged] == [int(Code.PLATFORM_BAD_ANSWER)]


def test_several_zones_known_or_not_are_evacuated_one_by_one():
    harness = Harness()
    harness.replace(item("b"), item("c"))
    harness.apply(item("no-such-zone"))
    assert sorted(harness.evacuations.zones) == ["b", "c", "no-such-zone"]
    harness.handler.apply("b", None, 1.0)
    harness.handler.apply("never-evacuated", None, 1.0)
    assert sorted(harness.evacuations.zones) == ["c", "no-such-zone"]


def test_an_object_that_is_removed_and_written_again_within_a_second():
    harness = Harness()
    harness.apply(item("b", 7), now=1.0)
    harness.handler.apply("b", None, 1.4)
    harness.apply(item("b", 9), now=1.8)
    assert harness.evacuations.zones == ["b"] and not harness.evacuations.returning
    assert harness.events == [
        ("zone_evacuated", {"zone": "b", "revision": 7}),
        ("zone_taken_back", {"zone": "b", "revision": 7, "in_force_s": 0.4}),
        ("zone_evacuated", {"zone": "b", "revision": 9}),
    ]


def test_what_an_untrusted_store_removes_stays_in_force():
    harness = Harness(trusted=False)
    harness.replace(item("b"), item("c"))
    harness.replace(item("c"), now=1.0)
    harness.handler.apply("c", None, 2.0)
    assert sorted(harness.evacuations.zones) == ["b", "c"]


@pytest.mark.parametrize("is_listed", [True, False])
def test_a_name_that_is_too_long_for_a_zone_is_logged_and_ignored(is_listed):
    """It would be a label of the metrics and a field of log lines."""
    harness = Harness()
    long = item("z" * 1_000_000)
    harness.replace(item("b"), *([long] if is_listed else []))
    if not is_listed:
        harness.apply(long)
    assert harness.evacuations.zones == ["b"]
    [detail] = [fields["detail"] for event, fields in harness.events if "detail" in fields]
    assert len(detail) <= 200


@pytest.mark.parametrize("revision", [10**400, -1, 1e300, None, [], "3", float("nan")])
def test_the_revision_of_an_object_is_logged_only_if_it_is_plausible(revision):
    harness = Harness()
    harness.apply(item("b", revision))
    assert harness.events == [("zone_evacuated", {"zone": "b", "revision": -1})]


def test_what_relays_tell_of_a_large_object_evacuates_its_zone():
    handler = Harness().handler
    assert handler.shorten(item("b", spec="x" * 100_000)) == {"meta": {"Name": "b", "Revision": 7}}
    assert len(str(handler.shorten(item("z" * 100_000)))) < 1_000
