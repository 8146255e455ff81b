"""Tests of pearwell.affinity.relay."""

import json
from zlib import decompress

import pytest

from pearwell.affinity.cache import MAX_AGE_S, ObjectCache
from pearwell.affinity.relay import LEVEL_HEADER, Relay
from tests.affinity.fakes import FakeWait, run


class AdvancingTrigger:
    """A trigger that advances the clock on each wait, and may change the cache."""

    def __init__(self, harness):
        self._harness = harness

    def wait(self, timeout_s):
        self._harness.now += min(timeout_s, 0.1)
        self._harness.on_wait()
        return FakeWait(True)


class RelayHarness:
    def __init__(self):
        self.now = 100.0
        self.on_wait = lambda: None
        self.callers = None
        self.cache = ObjectCache()
        self.cache.reset((0, 5), self.now)
        self.relay = Relay(
            "a",
            {"servers": self.cache},
            lambda: 98.5,
            AdvancingTrigger(self),
            lambda: self.now,
            lambda: self.callers,
        )

    def change(self):
        self.cache.append_events([{"Object": {"meta": {"Name": "b"}}}], (0, 6), self.now)

    def request(self, path):
        status, body, self.headers = run(self.relay.respond(path))
        return status, json.loads(decompress(body)) if body else None


def test_a_watch_returns_the_next_event():
    harness = RelayHarness()
    harness.on_wait = harness.change
    status, payload = harness.request("/objects/servers?Watch=5&WaitMs=1000")
    assert (status, payload["AsOf"], len(payload["events"])) == (200, 6, 1)
    assert payload["GoodS"] == pytest.approx(1.6)


def test_a_watch_ends_without_events():
    harness = RelayHarness()
    assert harness.request("/objects/servers?Watch=5&WaitMs=300") == (
        200,
        {"events": [], "Era": 0, "AsOf": 5, "GoodS": 1.8, "Zone": "a", "CompleteS": -MAX_AGE_S},
    )


@pytest.mark.parametrize(("since_s", "told"), [(0.0, 0.0), (0.7, -0.7), (9.0, -MAX_AGE_S)])
def test_a_relay_tells_until_when_it_knows_all_changes(since_s, told):
    harness = RelayHarness()
    harness.cache.complete_at = harness.now - since_s
    _, body = harness.request("/objects/servers?Watch=5&WaitMs=300")
    assert body["CompleteS"] == pytest.approx(told)


@pytest.mark.parametrize("change", [False, True])
def test_a_relay_tells_when_it_was_level_with_the_store(change):
    """Also with events, or its callers would ask the store while there are changes all the time."""
    harness = RelayHarness()
    if change:
        harness.change()
    harness.cache.level_at = harness.now - 2.75
    harness.request("/objects/servers?Watch=5&WaitMs=300")
    assert harness.headers == {LEVEL_HEADER: "-2.750"}


def test_a_relay_with_a_stale_cache_refuses_watches():
    harness = RelayHarness()
    harness.now += MAX_AGE_S + 0.1
    assert harness.request("/objects/servers?Watch=5&WaitMs=300")[0] == 503


def test_a_watch_ends_when_the_cache_becomes_stale():
    harness = RelayHarness()
    status, _ = harness.request("/objects/servers?Watch=5&WaitMs=5000")
    assert status == 503
    assert harness.now <= 100.0 + MAX_AGE_S + 0.1


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/objects/servers?Watch=3&WaitMs=0", 410),
        ("/objects/servers", 404),
        ("/objects/servers?Watch=x", 404),
        ("/objects/servers?Watch=5&WaitMs=x", 404),
        ("/objects/servers?Watch=5&WaitMs=0&Era=x", 404),
        ("/objects/servers?Watch=5&WaitMs=0&Era=1", 503),
        (f"/objects/servers?Watch={'9' * 5_000}", 404),
        (f"/objects/servers?Watch=5&WaitMs={'9' * 5_000}", 404),
        (f"/objects/servers?Watch=5&WaitMs={'9' * 400}", 404),
        (f"/objects/servers?Watch=5&WaitMs=0&Era={'9' * 5_000}", 404),
        ("/objects/servers?Watch=5&WaitMs=0&Era=\u00b2", 404),
        ("/objects/other?Watch=5", 404),
        ("/ready", 404),
        ("", 404),
    ],
)
def test_requests_that_a_relay_refuses(path, status):
    """A number of thousands of digits ended the process."""
    assert RelayHarness().request(path)[0] == status


def test_clients_of_one_revision_share_a_response():
    harness = RelayHarness()
    harness.change()
    _, one, _ = run(harness.relay.respond("/objects/servers?Watch=5&WaitMs=1000"))
    _, two, _ = run(harness.relay.respond("/objects/servers?Watch=5&WaitMs=1000"))
    assert one is two
    harness.cache.append_events([{"Object": {"meta": {"Name": "c"}}}], (0, 7), harness.now)
    _, three = harness.request("/objects/servers?Watch=5&WaitMs=1000")
    assert [event["Object"]["meta"]["Name"] for event in three["events"]] == ["b", "c"]


@pytest.mark.parametrize("callers", [0, 37])
def test_a_relay_tells_its_number_of_callers(callers):
    harness = RelayHarness()
    harness.callers = callers
    _, payload = harness.request("/objects/servers?Watch=5&WaitMs=300")
    assert payload["Callers"] == callers


def test_a_shared_response_tells_the_latest_number_of_callers():
    harness = RelayHarness()
    harness.change()
    path = "/objects/servers?Watch=5&WaitMs=1000"
    for harness.callers in (None, 8, 9):
        assert harness.request(path)[1].get("Callers") == harness.callers


@pytest.mark.parametrize(
    ("query", "status", "events"),
    [
        ("Watch=9&Era=3", 200, [None]),
        ("Watch=2&Era=3", 200, [None]),
        ("Watch=2&Era=4", 200, []),
        ("Watch=2&Era=5", 503, None),
        ("Watch=2", 410, None),
    ],
    ids=["earlier era", "reissued revision", "same era", "later era", "earlier release"],
)
def test_positions_of_other_eras(query, status, events):
    """An earlier era needs a list; in a later era another relay may be further."""
    harness = RelayHarness()
    harness.cache.reset((4, 2), harness.now)
    found, payload = harness.request(f"/objects/servers?{query}&WaitMs=0")
    assert found == status
    assert payload is None or (payload["events"], payload["Era"], payload["AsOf"]) == (events, 4, 2)


def test_a_waiting_watch_learns_that_the_store_was_restored():
    harness = RelayHarness()
    harness.on_wait = lambda: harness.cache.reset((1, 2), harness.now)
    status, payload = harness.request("/objects/servers?Watch=5&WaitMs=1000&Era=0")
    assert (status, payload["events"], payload["Era"]) == (200, [None], 1)
