"""Tests of pearwell.affinity.relay."""

import json
from zlib import decompress

import pytest

from pearwell.affinity.cache import MAX_AGE_S, ObjectCache
from pearwell.affinity.relay import Relay
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
        self.cache = ObjectCache()
        self.cache.reset(5, self.now)
        self.relay = Relay(
            "a", {"servers": self.cache}, lambda: 98.5, AdvancingTrigger(self), lambda: self.now
        )

    def change(self):
        self.cache.append_events([{"Object": {"meta": {"Name": "b"}}}], 6, self.now)

    def request(self, path):
        status, body = run(self.relay.respond(path))
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
        {"events": [], "AsOf": 5, "GoodS": 1.8, "Zone": "a"},
    )


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
        ("/objects/other?Watch=5", 404),
        ("/ready", 404),
        ("", 404),
    ],
)
def test_requests_that_a_relay_refuses(path, status):
    assert RelayHarness().request(path)[0] == status


def test_clients_of_one_revision_share_a_response():
    harness = RelayHarness()
    harness.change()
    _, one = run(harness.relay.respond("/objects/servers?Watch=5&WaitMs=1000"))
    _, two = run(harness.relay.respond("/objects/servers?Watch=5&WaitMs=1000"))
    assert one is two
    harness.cache.append_events([{"Object": {"meta": {"Name": "c"}}}], 7, harness.now)
    _, three = harness.request("/objects/servers?Watch=5&WaitMs=1000")
    assert [event["Object"]["meta"]["Name"] for event in three["events"]] == ["b", "c"]
