"""Tests of pearwell.affinity.cache."""

from hypothesis import given
from hypothesis import strategies as st

from pearwell.affinity.cache import MAX_AGE_S, MAX_BATCHES, ObjectCache


def put(cache, revision, *names, now=0.0):
    changes = [(name, {"meta": {"Name": name}, "spec": revision}) for name in names]
    return cache.extend([{"Object": item} for _, item in changes], changes, revision, now)


def test_events_reach_whoever_is_behind_and_nobody_twice():
    cache = ObjectCache(whole=True)
    cache.replace({}, 5, 0.0)
    assert put(cache, 8, "a", "b")
    assert not put(cache, 12)
    assert not put(cache, 14)
    assert put(cache, 15, "c")
    assert len(cache.events_after(5)) == 3
    assert len(cache.events_after(8)) == 1
    assert len(cache.events_after(12)) == 1
    assert cache.events_after(15) == cache.events_after(99) == []
    assert cache.events_after(4) is None


def test_an_older_answer_changes_nothing():
    cache = ObjectCache(whole=True)
    cache.replace({"a": 1}, 5, 0.0)
    assert not cache.replace({}, 4, 1.0)
    assert not put(cache, 5, "b")
    assert cache.items() == [1]


def test_a_list_drops_the_events_before_it():
    cache = ObjectCache(whole=True)
    cache.replace({}, 5, 0.0)
    put(cache, 6, "a")
    cache.replace({}, 9, 0.0)
    assert cache.events_after(6) is None


def test_a_cache_of_announcements_holds_no_objects():
    cache = ObjectCache(whole=False)
    cache.replace({"main": {"large": 1}}, 5, 0.0)
    put(cache, 6, "main")
    assert cache.items() == []
    assert cache.events_after(5) == [None]


def test_freshness_follows_the_store():
    cache = ObjectCache(whole=True)
    assert not cache.fresh(0.0)
    cache.replace({}, 5, 10.0)
    assert cache.fresh(10.0 + MAX_AGE_S) and not cache.fresh(10.1 + MAX_AGE_S)
    put(cache, 5, now=20.0)
    assert cache.fresh(20.0)


@given(st.lists(st.integers(0, 3), max_size=3 * MAX_BATCHES), st.integers(0, 400))
def test_a_follower_of_the_cache_never_misses_an_event(sizes, start):
    cache = ObjectCache(whole=True)
    cache.replace({}, 0, 0.0)
    revision, all_events = 0, []
    for index, size in enumerate(sizes):
        names = [f"{index}-{number}" for number in range(size)]
        put(cache, revision + size + 1, *names)
        all_events += [(revision + size + 1, name) for name in names]
        revision += size + 1
    found = cache.events_after(start)
    if found is not None:
        expected = {name for at, name in all_events if at > start}
        assert expected <= {event["Object"]["meta"]["Name"] for event in found}
