"""Tests of pearwell.affinity.fetch_scheduler."""

import pytest

from pearwell.affinity import fetch_scheduler as module
from pearwell.affinity.fetch_scheduler import FetchScheduler, WatchLimits
from pearwell.errors import Code

LIMITS = WatchLimits.for_bounds(1.0, 4.0)


def make(relays=0, limits=LIMITS):
    return FetchScheduler(limits, relays, "a", lambda: 1.0)


def test_a_list_comes_first_and_a_watch_after_it():
    scheduler = make()
    assert scheduler.next_call(0.0).position is None
    scheduler.on_list((0, 7), 0.0)
    call = scheduler.next_call(0.2)
    assert (call.position, call.relay) == ((0, 7), None)
    assert call.delay_s == pytest.approx(0.8)


@pytest.mark.parametrize(("events", "delay_s"), [(0, 0.0), (1, 1.0), (40, 1.0)])
def test_events_are_followed_by_a_pause(events, delay_s):
    scheduler = make()
    scheduler.on_list((0, 7), 0.0)
    scheduler.on_watch(events, (0, 9), 5.0)
    call = scheduler.next_call(5.0)
    assert (call.delay_s, call.position) == (delay_s, (0, 9))


@pytest.mark.parametrize(
    ("waited_s", "delay_s"), [(0.0, 1.0), (0.05, 1.0), (0.11, 0.0), (2.4, 0.0)]
)
def test_a_store_that_answers_watches_at_once_was_asked_without_end(waited_s, delay_s):
    """868 times a second by each instance, which used its whole share of the processor."""
    scheduler = make()
    scheduler.on_list((0, 7), 0.0)
    scheduler.on_watch(0, (0, 7), 5.0)
    scheduler.on_watch(0, (0, 7), 5.0 + waited_s)
    assert scheduler.next_call(5.0 + waited_s).delay_s == pytest.approx(delay_s)


def test_a_revision_never_decreases():
    scheduler = make()
    scheduler.on_list((0, 9), 0.0)
    scheduler.on_watch(0, (0, 7), 1.0)
    assert scheduler.position == (0, 9)


@pytest.mark.parametrize("code", [Code.PLATFORM_UNAVAILABLE, Code.PLATFORM_TIMEOUT])
def test_a_failure_of_the_store_is_followed_by_a_list_with_backoff(code):
    scheduler = make()
    scheduler.on_list((0, 7), 0.0)
    delays = []
    for _ in range(8):
        scheduler.on_failure(scheduler.next_call(1.0), code, 1.0)
        call = scheduler.next_call(1.0)
        assert call.position is None
        delays.append(call.delay_s)
    assert delays == sorted(delays)
    assert delays[0] == module.FIRST_BACKOFF_S and delays[-1] == module.MAX_BACKOFF_S
    assert scheduler.store_healthy_since == float("inf")
    scheduler.on_list((0, 9), 20.0)
    assert scheduler.store_healthy_since == 20.0
    scheduler.on_list((0, 9), 30.0)
    assert scheduler.store_healthy_since == 20.0


def test_an_expired_watch_is_followed_by_a_list_at_once():
    scheduler = make()
    scheduler.on_list((0, 7), 0.0)
    scheduler.on_failure(scheduler.next_call(0.0), Code.PLATFORM_WATCH_EXPIRED, 1.0)
    call = scheduler.next_call(1.0)
    assert (call.delay_s, call.position) == (0.0, None)
    assert scheduler.store_healthy_since == 0.0


def test_a_store_that_expires_each_watch_at_once_was_listed_without_end():
    scheduler = make()
    scheduler.on_list((0, 7), 0.0)
    scheduler.on_failure(scheduler.next_call(0.01), Code.PLATFORM_WATCH_EXPIRED, 0.01)
    call = scheduler.next_call(0.01)
    assert (call.delay_s, call.position) == (pytest.approx(0.99), None)


def test_the_recovery_time_covers_a_watch_lost_in_an_outage():
    """A watch sent just before the store recovers is followed by a timeout, a pause and a list."""
    time_out_s, list_s = 1.0, 0.1
    for contact_s in (4.0, 5.0):
        limits = WatchLimits.for_bounds(1.0, contact_s)
        assert limits.max_wait_s + time_out_s + module.FIRST_BACKOFF_S + list_s < contact_s


def test_relays_are_called_in_order_and_the_store_when_all_have_failed():
    scheduler = make(relays=2)
    assert scheduler.next_call(0.0).relay is None
    scheduler.on_list((0, 7), 0.0)
    first = scheduler.next_call(0.0)
    assert (first.relay, first.position, first.delay_s) == (0, (0, 7), 0.0)
    scheduler.on_failure(first, Code.PLATFORM_UNAVAILABLE, 1.0)
    catch_up = scheduler.next_call(1.0)
    assert (catch_up.relay, catch_up.position, catch_up.wait_s) == (None, (0, 7), 0.0)
    scheduler.on_watch(0, (0, 7), 1.0)
    second = scheduler.next_call(1.0)
    assert (second.relay, second.position) == (1, (0, 7))
    scheduler.on_failure(second, Code.PLATFORM_TIMEOUT, 1.0)
    third = scheduler.next_call(1.0)
    assert (third.relay, third.position, third.delay_s) == (None, None, 0.0)
    scheduler.on_list((0, 8), 1.1)
    assert scheduler.next_call(1.2).relay is None
    assert scheduler.next_call(1.0 + 1.25 * module.RELAY_DOWN_RETRY_S).relay == 0
    assert scheduler.store_healthy_since == 0.0


def test_a_change_announced_by_a_relay_is_listed_from_the_store():
    scheduler = make(relays=1)
    scheduler.on_list((0, 7), 0.0)
    scheduler.require_list()
    call = scheduler.next_call(1.0)
    assert (call.relay, call.position, call.delay_s) == (None, None, 0.0)


def test_lists_that_a_relay_requires_are_spaced():
    """A relay and a store that disagree must not cause a list after each other."""
    scheduler = make(relays=1)
    scheduler.on_list((0, 7), 1.0)
    scheduler.require_list()
    assert scheduler.next_call(1.2).delay_s == pytest.approx(0.8)


@pytest.mark.parametrize(("era", "restored"), [(3, False), (4, True), (2, True)])
def test_a_restored_store_is_listed_and_its_entries_may_reappear(era, restored):
    scheduler = make()
    assert not scheduler.on_era(3)
    scheduler.on_list((3, 7), 0.0)
    assert scheduler.on_era(era) == restored
    assert scheduler.store_healthy_since == (float("inf") if restored else 0.0)
    call = scheduler.next_call(5.0)
    assert (call.position, call.delay_s) == (None if restored else (3, 7), 0.0)
    scheduler.on_list((era, 2), 5.0)
    assert scheduler.position == (era, 2)
    assert scheduler.store_healthy_since == (5.0 if restored else 0.0)


def test_a_relay_reports_since_when_the_store_is_healthy():
    """Instances that did not call the store themselves can also detect lapsed entries."""
    scheduler = make(relays=1)
    scheduler.on_list((0, 7), 0.0)
    scheduler.on_relay_status(0, "a", 5.0)
    assert scheduler.store_healthy_since == 5.0
    scheduler.on_relay_status(0, "a", 2.0)
    assert scheduler.store_healthy_since == 5.0


@pytest.mark.parametrize(
    ("code", "position"),
    [
        (Code.PLATFORM_UNAVAILABLE, (0, 7)),
        (Code.PLATFORM_TIMEOUT, (0, 7)),
        (Code.PLATFORM_WATCH_EXPIRED, None),
    ],
)
def test_a_store_that_fails_after_a_relay_leaves_the_other_relays(code, position):
    """The store may turn away an instance that other relays still serve."""
    scheduler = make(relays=2)
    scheduler.on_list((0, 7), 0.0)
    scheduler.on_failure(scheduler.next_call(1.0), Code.PLATFORM_TIMEOUT, 1.0)
    scheduler.on_failure(scheduler.next_call(1.0), code, 1.0)
    call = scheduler.next_call(1.0)
    assert (call.position, call.delay_s) == (position, 0.0)
    assert call.relay == (None if position is None else 1)
    assert scheduler.store_healthy_since == 0.0


def test_a_store_that_failed_after_one_relay_is_not_asked_after_the_next():
    """An outage of the store must not cost a call for each relay that has lost it."""
    scheduler = make(relays=3)
    scheduler.on_list((0, 7), 0.0)
    called = []
    for _ in range(5):
        call = scheduler.next_call(1.0)
        called.append(call.relay)
        scheduler.on_failure(call, Code.PLATFORM_UNAVAILABLE, 1.0)
    assert called == [0, None, 1, 2, None]
    assert scheduler.store_healthy_since == float("inf")


@pytest.mark.parametrize(
    ("zones", "called"),
    [
        (("b", "c", "a"), [0, 1, 2, 2, 2]),
        (("a", "b", "c"), [0, 0, 0, 0, 0]),
        (("b", "c", "d"), [0, 1, 2, 0, 0]),
    ],
)
def test_a_relay_in_the_local_zone_is_found_and_kept(zones, called):
    scheduler = make(relays=3)
    scheduler.on_list((0, 7), 0.0)
    found = []
    for step in range(5):
        call = scheduler.next_call(1.0 + step)
        found.append(call.relay)
        scheduler.on_relay_status(call.relay, zones[call.relay], 0.0)
        scheduler.on_watch(0, (0, 7), 1.0 + step)
    assert found == called


def test_a_relay_in_another_zone_is_called_while_the_local_one_is_down():
    scheduler = make(relays=2)
    scheduler.on_list((0, 7), 0.0)
    scheduler.on_relay_status(0, "b", 0.0)
    scheduler.on_relay_status(1, "a", 0.0)
    scheduler.on_failure(scheduler.next_call(1.0), Code.PLATFORM_TIMEOUT, 1.0)
    catch_up = scheduler.next_call(1.0)
    assert (catch_up.relay, catch_up.position, catch_up.wait_s) == (None, (0, 7), 0.0)
    scheduler.on_watch(0, (0, 7), 1.0)
    assert scheduler.next_call(1.0).relay == 0
    assert scheduler.next_call(1.0 + 1.25 * module.RELAY_TIMEOUT_RETRY_S).relay == 1


def test_a_follower_calls_the_store_only_while_the_calls_of_its_leader_succeed():
    """In an outage hundreds of instances retry for one kind rather than for each."""
    leader = make(relays=1)
    follower = FetchScheduler(LIMITS, 1, "a", lambda: 1.0, leader)
    assert not follower.awaits_leader(0.0)
    for scheduler in (leader, follower):
        scheduler.on_list((0, 7), 0.0)
        scheduler.on_failure(scheduler.next_call(1.0), Code.PLATFORM_UNAVAILABLE, 1.0)
    assert not follower.awaits_leader(1.0)
    leader.on_failure(leader.next_call(1.0), Code.PLATFORM_UNAVAILABLE, 1.0)
    assert leader.store_failing and follower.awaits_leader(1.0)
    leader.on_list((0, 9), 3.0)
    assert not follower.awaits_leader(3.0)


def test_a_follower_calls_a_relay_whatever_its_leader_does():
    leader = make()
    follower = FetchScheduler(LIMITS, 1, "a", lambda: 1.0, leader)
    follower.on_list((0, 7), 0.0)
    leader.on_failure(leader.next_call(1.0), Code.PLATFORM_TIMEOUT, 1.0)
    assert leader.store_failing and not follower.awaits_leader(1.0)


@pytest.mark.parametrize(
    ("age_s", "relay", "wait_s", "response_s"),
    [
        (0.0, 0, 1.0, 1.0),
        (0.5, 0, 1.0, 0.9),
        (1.0, 0, 1.0, 0.4),
        (1.5, 0, 0.5, 0.4),
        (1.85, 0, 0.15, 0.4),
        (1.95, None, 0.0, 1.0),
        (9.0, None, 0.0, 1.0),
    ],
)
def test_a_relay_is_called_for_as_long_as_what_is_known_is_young_enough(
    age_s, relay, wait_s, response_s
):
    """The ages that a relay and its caller allowed for added up to more than the bound of 3 s."""
    scheduler = make(relays=1, limits=WatchLimits.for_bounds(1.0, 4.0, 3.0))
    scheduler.on_list((0, 7), 10.0)
    scheduler.on_level(10.0 - age_s)
    scheduler.on_level(5.0 - age_s)
    call = scheduler.next_call(10.0)
    assert (call.relay, call.position, call.delay_s) == (relay, (0, 7), 0.0)
    assert (call.wait_s, call.response_s) == pytest.approx((wait_s, response_s))


def test_a_store_that_does_not_answer_is_asked_once_for_what_relays_withhold():
    """While it is away, the relays that still respond are all that there is."""
    scheduler = make(relays=1, limits=WatchLimits.for_bounds(1.0, 4.0, 3.0))
    scheduler.on_list((0, 7), 0.0)
    scheduler.on_level(0.0)
    asked = scheduler.next_call(3.0)
    scheduler.on_failure(asked, Code.PLATFORM_TIMEOUT, 4.0)
    call = scheduler.next_call(4.0)
    assert (asked.relay, call.relay, call.wait_s) == (None, 0, 1.0)
    assert not scheduler.store_failing


def test_a_follower_calls_a_relay_with_old_news_while_the_store_fails_its_leader():
    leader = make(relays=1)
    follower = FetchScheduler(WatchLimits.for_bounds(1.0, 4.0, 3.0), 1, "a", lambda: 1.0, leader)
    follower.on_list((0, 7), 0.0)
    follower.on_level(0.0)
    leader.on_failure(leader.next_call(0.0), Code.PLATFORM_UNAVAILABLE, 0.0)
    assert leader.store_failing and not follower.awaits_leader(9.0)
    assert follower.next_call(9.0).relay == 0


@pytest.mark.parametrize(
    ("events", "level_at", "delay_s", "wait_s"),
    [(0, 10.0, 0.0, 1.5), (1, 10.0, 0.3, 1.5), (1, 9.0, 0.3, 0.5), (1, 8.5, 0.3, 0.0)],
    ids=["no events", "at once", "late in a watch", "at its end"],
)
def test_a_relay_is_level_with_the_store_before_it_waits_long(events, level_at, delay_s, wait_s):
    """When the store made a response with events is only known to lie within the watch."""
    scheduler = make(limits=WatchLimits.for_relay())
    scheduler.on_list((0, 7), 0.0)
    scheduler.on_watch(events, (0, 8), 10.0)
    scheduler.on_level(level_at)
    call = scheduler.next_call(10.0)
    assert (call.delay_s, call.wait_s) == pytest.approx((delay_s, wait_s))
