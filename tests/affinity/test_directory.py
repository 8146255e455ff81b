"""Tests of pearwell.affinity.directory."""

import pytest

from pearwell.affinity import directory as module
from pearwell.affinity.directory import MAX_FLOW_LIFETIME_S, RELISTING_S, Directory
from pearwell.affinity.target import Target
from tests.affinity.builders import target


def names(changes):
    return [(event, changed.name) for event, changed in changes]


def test_a_listing_returns_the_changes():
    directory = Directory()
    assert names(directory.replace([target(1), target(2)], 0.0)) == [
        ("target_listed", "i-00000001"),
        ("target_listed", "i-00000002"),
    ]
    changes = directory.replace([target(2, draining=True), target(3)], 1.0)
    assert names(changes) == [
        ("target_unlisted", "i-00000001"),
        ("target_draining", "i-00000002"),
        ("target_listed", "i-00000003"),
    ]
    assert [found.name for found in directory.find_by_service("intake")] == [
        "i-00000002",
        "i-00000003",
    ]


def test_a_draining_target_is_gone_when_its_entry_is_removed():
    directory = Directory()
    directory.put(target(1, draining=True), 0.0)
    assert names(directory.remove("i-00000001", 5.0)) == [("target_left", "i-00000001")]
    assert directory.find_by_token(target(1).token).gone


@pytest.mark.parametrize(
    ("removed_at", "store_healthy_since", "last_response_at", "gone_at"),
    [
        (10.0, 0.0, 0.0, 10.0 + RELISTING_S),
        (10.0, 11.0, 0.0, 11.0 + RELISTING_S),
        (10.0, 0.0, 12.0, 12.0 + RELISTING_S),
        (10.0, float("inf"), 0.0, float("inf")),
    ],
    ids=["unresponsive", "store was down", "still responds", "store is down"],
)
def test_a_missing_entry_alone_does_not_make_a_target_gone(
    removed_at, store_healthy_since, last_response_at, gone_at
):
    directory = Directory()
    directory.put(target(1), 0.0)
    unlisted = directory.find_by_token(target(1).token)
    unlisted.last_response_at = last_response_at
    directory.remove(unlisted.name, removed_at)
    for tenth in range(int(removed_at * 10), 400):
        now = tenth / 10
        directory.expire(now, store_healthy_since)
        assert unlisted.gone == (now >= gone_at)


@pytest.mark.parametrize(
    ("draining", "trusted", "accepts_new_flows"),
    [(False, False, True), (False, True, False), (True, False, False), (True, True, False)],
)
def test_targets_whose_entries_lapse_in_a_store_outage_get_new_flows(
    draining, trusted, accepts_new_flows
):
    """In a recorded outage the store came back after 4 s without any entries."""
    directory = Directory()
    directory.replace([target(1, draining=draining)], 0.0)
    directory.replace([], 14.0, trusted)
    assert [found.name for found in directory.find_by_service("intake")] == [
        "i-00000001"
    ] * accepts_new_flows
    directory.expire(14.0 + RELISTING_S - 0.1, 14.0)
    assert len(directory.find_by_service("intake")) == accepts_new_flows
    directory.expire(14.0 + RELISTING_S, 14.0)
    assert directory.find_by_service("intake") == []


def test_a_draining_target_whose_entry_lapsed_keeps_its_flows():
    """The target may keep serving for many seconds; a reset would break its flows."""
    directory = Directory()
    directory.replace([target(1, draining=True)], 0.0)
    draining = directory.find_by_token(target(1).token)
    directory.replace([], 14.0, trusted=False)
    assert not draining.gone
    assert directory.take_newly_gone() == []
    draining.last_response_at = 16.0
    directory.expire(14.0 + RELISTING_S, 14.0)
    assert not draining.gone
    directory.expire(16.0 + RELISTING_S, 14.0)
    assert directory.take_newly_gone() == [draining]


def test_a_lapsed_entry_that_reappears_is_listed_once():
    directory = Directory()
    directory.replace([target(1)], 0.0)
    directory.remove("i-00000001", 14.0, trusted=False)
    assert names(directory.put(target(1), 0.0)) == [("target_listed", "i-00000001")]
    assert len(directory.find_by_service("intake")) == len(directory) == 1
    directory.expire(20.0, 14.0)
    assert len(directory.find_by_service("intake")) == 1


def test_a_lapsed_target_whose_address_is_reused_gets_no_new_flows():
    directory = Directory()
    directory.replace([target(1)], 0.0)
    directory.remove("i-00000001", 14.0, trusted=False)
    directory.put(target(2, ip="10.0.0.1"), 0.0)
    assert [found.name for found in directory.find_by_service("intake")] == ["i-00000002"]


def test_an_unlisted_target_that_is_listed_again_keeps_its_counts():
    directory = Directory()
    directory.put(target(1), 0.0)
    unlisted = directory.find_by_token(target(1).token)
    unlisted.open_flows = 3
    directory.remove(unlisted.name, 1.0)
    assert directory.find_by_service("intake") == []
    assert names(directory.put(target(1), 0.0)) == [("target_listed", "i-00000001")]
    assert directory.find_by_service("intake") == [unlisted]
    assert unlisted.listed and not unlisted.gone and unlisted.open_flows == 3


@pytest.mark.parametrize(
    "again",
    [target(1, started_ms=2), target(1, ip="10.9.9.9"), target(1, service="tables")],
    ids=["born", "address", "service"],
)
def test_the_same_name_may_be_another_incarnation(again):
    directory = Directory()
    directory.put(target(1), 0.0)
    first = directory.find_by_token(target(1).token)
    first.open_flows = 3
    assert names(directory.put(again, 0.0)) == [("target_restarted", "i-00000001")]
    assert first.gone
    assert directory.find_by_token(again.token) is again
    assert directory.find_by_service(again.service) == [again]
    assert len(directory) == 1


def test_a_target_is_gone_when_its_address_is_reused():
    directory = Directory()
    directory.put(target(1), 0.0)
    earlier = directory.find_by_token(target(1).token)
    directory.remove(earlier.name, 1.0)
    changes = directory.put(target(2, service="tables", ip="10.0.0.1"), 0.0)
    assert ("target_address_reused", earlier.name) in names(changes)
    assert earlier.gone


@pytest.mark.parametrize("listed_again", [False, True], ids=["event", "list"])
@pytest.mark.parametrize(
    ("known", "written", "draining"), [(8, 7, True), (8, 8, False), (8, 9, False), (0, 7, False)]
)
def test_a_late_write_of_before_a_drain_brings_no_new_flows(known, written, draining, listed_again):
    """The target's heartbeat of before the drain got no answer, and was executed 6 s later."""
    directory = Directory()
    directory.put(target(1, draining=True, sequence=known), 0.0)
    late = target(1, sequence=written)
    changes = directory.replace([late], 6.0) if listed_again else directory.put(late, 6.0)
    event = "target_outdated" if draining else "target_ready"
    assert names(changes) == [(event, "i-00000001")]
    assert directory.find_by_name("i-00000001").draining == draining
    directory.put(target(1, draining=True, sequence=10), 6.7)
    assert directory.confirm_outdated(1_000.0, 0.0) == []
    assert directory.find_by_name("i-00000001").draining


def test_a_target_that_counts_its_entries_anew_is_known_after_some_heartbeats():
    directory = Directory(heartbeat_s=1.0)
    directory.put(target(1, draining=True, sequence=8), 0.0)
    directory.put(target(1, sequence=1), 1.0)
    assert names(directory.confirm_outdated(7.0, 0.0)) == [("target_ready", "i-00000001")]
    assert names(directory.put(target(1, draining=True, sequence=2), 8.0)) == [
        ("target_draining", "i-00000001")
    ]


def test_a_late_write_of_a_target_that_has_left_brings_no_new_flows():
    directory = Directory()
    directory.put(target(1, draining=True, sequence=8), 0.0)
    directory.remove("i-00000001", 5.0)
    assert names(directory.put(target(1, sequence=7), 6.0)) == [("target_outdated", "i-00000001")]
    assert directory.find_by_name("i-00000001").gone
    assert directory.find_by_service("intake") == []


def test_an_older_entry_of_a_restored_store_names_a_target_that_lives():
    """Its latest entries are lost, and the one that the store has is right until the next."""
    directory = Directory()
    directory.put(target(1, sequence=8), 0.0)
    directory.remove("i-00000001", 5.0, trusted=False)
    assert names(directory.put(target(1, sequence=5), 5.5, trusted=False)) == [
        ("target_listed", "i-00000001")
    ]
    assert names(directory.put(target(1, sequence=9, draining=True), 6.0, trusted=False)) == [
        ("target_draining", "i-00000001")
    ]


@pytest.mark.parametrize(
    ("trusted", "draining"), [(True, False), (False, True)], ids=["stable", "restored"]
)
def test_a_copy_of_the_store_does_not_undo_a_drain(trusted, draining):
    """The copy may hold the entry from before the target announced that it leaves."""
    directory = Directory()
    directory.put(target(1, draining=True), 0.0)
    directory.put(target(1), 0.0, trusted)
    assert directory.find_by_name("i-00000001").draining == draining


@pytest.mark.parametrize(
    ("trusted", "started_ms", "gone"),
    [(True, 1, False), (False, 1, False), (False, 3, True), (True, 3, True)],
    ids=["late write", "restored", "restarted meanwhile", "restarted"],
)
def test_an_earlier_incarnation_written_late_or_in_a_copy_does_not_reset_flows(
    trusted, started_ms, gone
):
    """A write without an answer may be executed seconds later, when its target has restarted."""
    directory = Directory()
    directory.put(target(1, started_ms=2), 0.0)
    current = directory.find_by_name("i-00000001")
    directory.put(target(1, started_ms=started_ms, ip="10.9.9.9"), 0.0, trusted)
    assert current.gone == gone
    assert (directory.find_by_name("i-00000001") is current) == (not gone)


@pytest.mark.parametrize("unlisted", [False, True])
@pytest.mark.parametrize("listed_again", [False, True], ids=["event", "list"])
def test_a_late_write_of_an_earlier_incarnation_leaves_the_known_one(unlisted, listed_again):
    """Whether the entry of the target that lives is there, or lapsed with a few lost writes."""
    directory = Directory()
    directory.put(target(1, started_ms=2), 0.0)
    current = directory.find_by_name("i-00000001")
    if unlisted:
        directory.remove(current.name, 1.0)
    earlier = target(1, started_ms=1, ip="10.9.9.9", draining=True)
    changes = directory.replace([earlier], 2.0) if listed_again else directory.put(earlier, 2.0)
    assert names(changes) == [("target_outdated", "i-00000001")]
    assert names(directory.put(target(1, started_ms=1, draining=True), 2.1)) == [
        ("target_outdated", "i-00000001")
    ]
    assert directory.put(target(1, started_ms=1, draining=True), 2.2) == []
    assert directory.find_by_name("i-00000001") is current
    assert (current.gone, current.draining) == (False, False)
    directory.put(target(1, started_ms=2), 2.5)
    assert current.listed
    assert directory.confirm_outdated(1_000.0, 0.0) == []
    assert directory.take_newly_gone() == []


@pytest.mark.parametrize(
    ("since", "store_healthy_since", "confirmed_at"),
    [(10.0, 0.0, 16.0), (10.0, 12.0, 18.0), (10.0, float("inf"), float("inf"))],
    ids=["stable", "store was down", "store is down"],
)
def test_a_target_whose_clock_was_set_back_is_known_after_some_heartbeats(
    since, store_healthy_since, confirmed_at
):
    """No newer entry replaces the one of its restart, and none removes it."""
    directory = Directory(heartbeat_s=1.0)
    directory.put(target(1, started_ms=9), 0.0)
    before = directory.find_by_name("i-00000001")
    directory.put(target(1, started_ms=7, ip="10.9.9.9"), since)
    for tenth in range(100, 200):
        complete_at = tenth / 10
        directory.confirm_outdated(complete_at, store_healthy_since)
        found = directory.find_by_name("i-00000001")
        assert (found.started_ms == 7) == before.gone == (complete_at >= confirmed_at)


def test_an_outdated_entry_that_is_removed_is_never_applied():
    """The earlier incarnation is dead, as is the later one that has been known."""
    directory = Directory(heartbeat_s=1.0)
    directory.put(target(1, started_ms=9), 0.0)
    directory.put(target(1, started_ms=7), 1.0)
    directory.remove("i-00000001", 2.0)
    assert directory.confirm_outdated(100.0, 0.0) == []
    directory.expire(2.0 + RELISTING_S, 0.0)
    assert directory.find_by_name("i-00000001").gone


@pytest.mark.parametrize(
    ("trusted", "started_ms", "gone"),
    [(True, 1, False), (False, 1, False), (False, 3, True), (True, 3, True)],
    ids=["late write", "restored", "reused meanwhile", "reused"],
)
def test_the_earlier_user_of_an_address_does_not_reset_flows(trusted, started_ms, gone):
    """The present user's entry is missing, and that of the target before it is written late."""
    directory = Directory()
    directory.put(target(1, started_ms=2), 0.0)
    current = directory.find_by_name("i-00000001")
    directory.remove(current.name, 5.0, trusted=False)
    directory.put(target(2, started_ms=started_ms, ip="10.0.0.1"), 0.0, trusted)
    assert current.gone == gone


def test_unlisted_targets_are_removed_after_the_maximum_flow_lifetime():
    directory = Directory()
    directory.put(target(1), 0.0)
    directory.remove("i-00000001", 0.0)
    directory.expire(MAX_FLOW_LIFETIME_S - 0.1, 0.0)
    assert directory.find_by_token(target(1).token) is not None
    directory.expire(MAX_FLOW_LIFETIME_S, 0.0)
    assert directory.find_by_token(target(1).token) is None
    assert list(directory.unlisted) == []


@pytest.mark.parametrize("order", [(1, 2), (2, 1)])
def test_of_two_targets_with_one_token_the_older_gets_new_flows(order, monkeypatch):
    monkeypatch.setattr("pearwell.affinity.target.token_of", lambda name: 77)
    directory = Directory()
    for number in order:
        directory.put(target(number, started_ms=number), 0.0)
    assert directory.find_by_token(77).name == "i-00000001"
    token_conflict = {
        found.name for found in directory.find_by_service("intake") if found.token_conflict
    }
    assert token_conflict == {"i-00000002"}
    directory.remove("i-00000001", 0.0)
    directory.expire(MAX_FLOW_LIFETIME_S, 0.0)
    assert directory.find_by_token(77).name == "i-00000002"
    assert not directory.find_by_token(77).token_conflict


def test_known_only_after_a_complete_listing():
    directory = Directory()
    directory.put(target(1), 0.0)
    assert not directory.known
    directory.replace([], 0.0)
    assert directory.known and module.RELISTING_S > 2.0 and isinstance(target(1), Target)
