"""Tests of pearwell.affinity.directory."""

import pytest

from pearwell.affinity import directory as module
from pearwell.affinity.directory import MAX_FLOW_LIFETIME_S, RELISTING_S, Directory
from pearwell.affinity.target import Target
from tests.affinity.builders import target


def names(changes):
    return [(event, changed.name) for event, changed in changes]


def test_listing_tells_what_changed():
    held = Directory()
    assert names(held.replace([target(1), target(2)], 0.0)) == [
        ("target_listed", "i-00000001"),
        ("target_listed", "i-00000002"),
    ]
    changes = held.replace([target(2, draining=True), target(3)], 1.0)
    assert names(changes) == [
        ("target_unlisted", "i-00000001"),
        ("target_draining", "i-00000002"),
        ("target_listed", "i-00000003"),
    ]
    assert [found.name for found in held.find_by_service("intake")] == ["i-00000002", "i-00000003"]


def test_a_target_that_was_draining_is_gone_when_its_entry_is():
    held = Directory()
    held.put(target(1, draining=True))
    assert names(held.remove("i-00000001", 5.0)) == [("target_left", "i-00000001")]
    assert held.find_by_token(target(1).token).gone


@pytest.mark.parametrize(
    ("removed_at", "store_good_since", "last_response_at", "gone_at"),
    [
        (10.0, 0.0, 0.0, 10.0 + RELISTING_S),
        (10.0, 11.0, 0.0, 11.0 + RELISTING_S),
        (10.0, 0.0, 12.0, 12.0 + RELISTING_S),
        (10.0, float("inf"), 0.0, float("inf")),
    ],
    ids=["unresponsive", "store was down", "still responds", "store is down"],
)
def test_a_lapsed_entry_alone_does_not_make_a_target_gone(
    removed_at, store_good_since, last_response_at, gone_at
):
    held = Directory()
    held.put(target(1))
    lapsed = held.find_by_token(target(1).token)
    lapsed.last_response_at = last_response_at
    held.remove(lapsed.name, removed_at)
    for tenth in range(int(removed_at * 10), 400):
        now = tenth / 10
        held.expire(now, store_good_since)
        assert lapsed.gone == (now >= gone_at)


@pytest.mark.parametrize(
    ("draining", "trusted", "takes_new"),
    [(False, False, True), (False, True, False), (True, False, False), (True, True, False)],
)
def test_entries_that_lapse_with_the_store_go_on_taking_new_flows(draining, trusted, takes_new):
    """In a recorded outage the store came back after 4 s without any entries."""
    held = Directory()
    held.replace([target(1, draining=draining)], 0.0)
    held.replace([], 14.0, trusted)
    assert [found.name for found in held.find_by_service("intake")] == ["i-00000001"] * takes_new
    held.expire(14.0 + RELISTING_S - 0.1, 14.0)
    assert len(held.find_by_service("intake")) == takes_new
    held.expire(14.0 + RELISTING_S, 14.0)
    assert held.find_by_service("intake") == []


def test_a_draining_target_whose_entry_lapsed_with_the_store_keeps_its_flows():
    """The target may keep serving for many seconds; a reset would break its flows."""
    held = Directory()
    held.replace([target(1, draining=True)], 0.0)
    draining = held.find_by_token(target(1).token)
    held.replace([], 14.0, trusted=False)
    assert not draining.gone
    assert held.take_newly_gone() == []
    draining.last_response_at = 16.0
    held.expire(14.0 + RELISTING_S, 14.0)
    assert not draining.gone
    held.expire(16.0 + RELISTING_S, 14.0)
    assert held.take_newly_gone() == [draining]


def test_a_lapsed_entry_that_is_back_is_listed_once():
    held = Directory()
    held.replace([target(1)], 0.0)
    held.remove("i-00000001", 14.0, trusted=False)
    assert names(held.put(target(1))) == [("target_listed", "i-00000001")]
    assert len(held.find_by_service("intake")) == len(held) == 1
    held.expire(20.0, 14.0)
    assert len(held.find_by_service("intake")) == 1


def test_a_lapsed_target_whose_address_is_used_again_takes_no_new_flows():
    held = Directory()
    held.replace([target(1)], 0.0)
    held.remove("i-00000001", 14.0, trusted=False)
    held.put(target(2, ip="10.0.0.1"))
    assert [found.name for found in held.find_by_service("intake")] == ["i-00000002"]


def test_a_lapsed_target_that_is_listed_again_keeps_its_counts():
    held = Directory()
    held.put(target(1))
    lapsed = held.find_by_token(target(1).token)
    lapsed.open_flows = 3
    held.remove(lapsed.name, 1.0)
    assert held.find_by_service("intake") == []
    assert names(held.put(target(1))) == [("target_listed", "i-00000001")]
    assert held.find_by_service("intake") == [lapsed]
    assert lapsed.listed and not lapsed.gone and lapsed.open_flows == 3


@pytest.mark.parametrize(
    "again",
    [target(1, started_ms=2), target(1, ip="10.9.9.9"), target(1, service="tables")],
    ids=["born", "address", "service"],
)
def test_the_same_name_may_be_another_incarnation(again):
    held = Directory()
    held.put(target(1))
    first = held.find_by_token(target(1).token)
    first.open_flows = 3
    assert names(held.put(again)) == [("target_restarted", "i-00000001")]
    assert first.gone
    assert held.find_by_token(again.token) is again
    assert held.find_by_service(again.service) == [again]
    assert len(held) == 1


def test_an_address_used_again_means_that_the_earlier_target_is_gone():
    held = Directory()
    held.put(target(1))
    earlier = held.find_by_token(target(1).token)
    held.remove(earlier.name, 1.0)
    changes = held.put(target(2, service="tables", ip="10.0.0.1"))
    assert ("target_address_reused", earlier.name) in names(changes)
    assert earlier.gone


def test_unlisted_targets_are_forgotten_after_the_longest_life_of_a_flow():
    held = Directory()
    held.put(target(1))
    held.remove("i-00000001", 0.0)
    held.expire(MAX_FLOW_LIFETIME_S - 0.1, 0.0)
    assert held.find_by_token(target(1).token) is not None
    held.expire(MAX_FLOW_LIFETIME_S, 0.0)
    assert held.find_by_token(target(1).token) is None
    assert list(held.unlisted) == []


@pytest.mark.parametrize("order", [(1, 2), (2, 1)])
def test_of_two_targets_with_one_token_the_older_takes_new_flows(order, monkeypatch):
    monkeypatch.setattr("pearwell.affinity.target.token_of", lambda name: 77)
    held = Directory()
    for number in order:
        held.put(target(number, started_ms=number))
    assert held.find_by_token(77).name == "i-00000001"
    token_conflict = {
        found.name for found in held.find_by_service("intake") if found.token_conflict
    }
    assert token_conflict == {"i-00000002"}
    held.remove("i-00000001", 0.0)
    held.expire(MAX_FLOW_LIFETIME_S, 0.0)
    assert held.find_by_token(77).name == "i-00000002"
    assert not held.find_by_token(77).token_conflict


def test_known_only_after_a_complete_listing():
    held = Directory()
    held.put(target(1))
    assert not held.known
    held.replace([], 0.0)
    assert held.known and module.RELISTING_S > 2.0 and isinstance(target(1), Target)
