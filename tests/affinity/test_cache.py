"""Tests of pearwell.affinity.cache."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearwell.affinity.cache import MAX_AGE_S, MAX_BATCHES, ObjectCache


def put(cache, revision, *names, now=0.0, era=0):
    events = [{"Object": {"meta": {"Name": name}, "spec": revision}} for name in names]
    return cache.append_events(events, (era, revision), now)


def test_clients_get_only_the_events_after_their_revision():
    cache = ObjectCache()
    cache.reset((0, 5), 0.0)
    assert put(cache, 8, "a", "b")
    assert not put(cache, 12)
    assert not put(cache, 14)
    assert put(cache, 15, "c")
    assert len(cache.events_after((0, 5))) == 3
    assert len(cache.events_after((0, 8))) == 1
    assert len(cache.events_after((0, 12))) == 1
    assert cache.events_after((0, 15)) == cache.events_after((0, 99)) == []
    assert cache.events_after((0, 4)) is None


def test_an_older_response_changes_nothing():
    cache = ObjectCache()
    cache.reset((0, 5), 0.0)
    assert not cache.reset((0, 4), 1.0)
    assert not put(cache, 5, "b")
    assert cache.position == (0, 5)
    assert cache.events_after((0, 5)) == []


@pytest.mark.parametrize("depth", [500, 5_000])
def test_a_deeply_nested_event_is_announced_without_its_object(depth):
    """A relay ended when it encoded such an entry of another writer for its clients."""
    nested: list = []
    for _ in range(depth):
        nested = [nested]
    cache = ObjectCache()
    cache.reset((0, 5), 0.0)
    assert cache.append_events([{"Object": nested}], (0, 6), 0.0)
    assert cache.events_after((0, 5)) == [None]


def test_a_list_discards_earlier_events():
    cache = ObjectCache()
    cache.reset((0, 5), 0.0)
    put(cache, 6, "a")
    cache.reset((0, 9), 0.0)
    assert cache.events_after((0, 6)) is None


@pytest.mark.parametrize(("routes", "whole"), [(45, True), (1400, False)])
def test_a_large_configuration_is_only_announced(routes, whole):
    route = {"Name": "r-a3hwrr6", "Host": "198.18.0.1", "PathPrefix": "/8443/", "Service": "a"}
    event = {"Object": {"meta": {"Name": "main"}, "spec": {"Routes": [route] * routes}}}
    cache = ObjectCache()
    cache.reset((0, 5), 0.0)
    cache.append_events([event], (0, 6), 0.0)
    assert cache.events_after((0, 5)) == [event if whole else None]


@pytest.mark.parametrize("revision", [2, 5, 9])
def test_a_list_of_another_era_replaces_the_cache_whatever_its_revision(revision):
    """A cache that keeps the higher revision of a lost history forwards nothing for a while."""
    cache = ObjectCache()
    cache.reset((3, 5), 0.0)
    put(cache, 6, "a", era=3)
    assert cache.is_behind((4, 1)) and not cache.is_behind((3, 9))
    assert cache.reset((4, revision), 1.0)
    assert cache.position == (4, revision)
    assert cache.events_after((3, 6)) == [None]
    assert cache.events_after((4, revision - 1)) is None
    put(cache, revision + 1, "b", era=4)
    assert len(cache.events_after((4, revision))) == 1
    assert cache.events_after((3, 6)) == cache.events_after((3, 99)) == [None]


def test_events_of_another_era_are_no_continuation():
    cache = ObjectCache()
    cache.reset((3, 5), 0.0)
    with pytest.raises(ValueError, match="era 4"):
        put(cache, 6, "a", era=4)


def test_freshness_depends_on_the_latest_response():
    cache = ObjectCache()
    assert not cache.is_fresh(0.0)
    cache.reset((0, 5), 10.0)
    assert cache.is_fresh(10.0 + MAX_AGE_S) and not cache.is_fresh(10.1 + MAX_AGE_S)
    put(cache, 5, now=20.0)
    assert cache.is_fresh(20.0)


@given(st.lists(st.integers(0, 3), max_size=3 * MAX_BATCHES), st.integers(0, 400))
def test_a_client_of_the_cache_never_misses_an_event(sizes, start):
    cache = ObjectCache()
    cache.reset((0, 0), 0.0)
    revision, all_events = 0, []
    for index, size in enumerate(sizes):
        names = [f"{index}-{number}" for number in range(size)]
        put(cache, revision + size + 1, *names)
        all_events += [(revision + size + 1, name) for name in names]
        revision += size + 1
    found = cache.events_after((0, start))
    if found is not None:
        expected = {name for at, name in all_events if at > start}
        assert expected <= {event["Object"]["meta"]["Name"] for event in found}


@pytest.mark.parametrize(
    "value",
    [
        "x" * 1_000_000,
        ["x"] * 100_000,
        {str(number): number for number in range(90_000)},
        [[]] * 500_000,
        10**4_299,
        [10**4_299] * 230,
        "\x00" * 5_000,
    ],
    ids=range(7),
)
def test_a_large_event_is_told_in_short(value):
    """Encoding an event of 1 MB to see its size took 0.1 s of a core."""
    cache = ObjectCache()
    cache.reset((0, 1), 0.0)
    small, large = {"Object": {"a": 1}}, {"Object": {"a": value}}
    cache.append_events([large, small], (0, 2), 0.0, lambda event: "short")
    is_kept = value == 10**4_299
    assert cache.events_after((0, 1)) == [large if is_kept else "short", small]
