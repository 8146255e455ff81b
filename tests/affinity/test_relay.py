"""Tests of pearwell.affinity.relay."""

import json
from collections import Counter
from zlib import decompress

import pytest

from pearwell.affinity.cache import MAX_AGE_S, ObjectCache
from pearwell.affinity.relay import (
    CLIENT_TIMEOUT_S,
    LEAVING_HEADER,
    MAX_CLIENTS,
    NEXT_RELAY_HEADER,
    VERIFIED_HEADER,
    Relay,
    RelayClients,
)
from tests.affinity.fakes import FakeWait, run

CALLER = "10.0.0.9"


class AdvancingTrigger:
    """A trigger that advances the clock on each wait, and may change the cache."""

    def __init__(self, harness):
        self._harness = harness

    def wait(self, timeout_s):
        self._harness.now += min(timeout_s, 0.1)
        self._harness.on_wait()
        return FakeWait(True)


class RelayHarness:
    def __init__(self, max_hops=0):
        self.max_hops = max_hops
        self.now = 100.0
        self.on_wait = lambda: None
        self.leaving = False
        self.healthy_since = 98.5
        self.cache = ObjectCache()
        self.cache.reset((0, 5), self.now)
        self.relay = Relay(
            "a",
            8166,
            self.max_hops,
            {"servers": self.cache},
            lambda: self.healthy_since,
            AdvancingTrigger(self),
            lambda: self.now,
            lambda: self.leaving,
        )

    def change(self):
        self.cache.append_events([{"Object": {"meta": {"Name": "b"}}}], (0, 6), self.now)

    def request(self, path, ip=CALLER):
        status, body, _ = run(self.relay.respond(path, ip))
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
        {"events": [], "Era": 0, "AsOf": 5, "GoodS": 1.8, "Zone": "a"},
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
        ("/objects/servers?Watch=5&WaitMs=0&Era=x", 404),
        ("/objects/servers?Watch=5&WaitMs=0&Era=1", 503),
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
    _, one, _ = run(harness.relay.respond("/objects/servers?Watch=5&WaitMs=1000", CALLER))
    _, two, _ = run(harness.relay.respond("/objects/servers?Watch=5&WaitMs=1000", CALLER))
    assert one is two
    harness.cache.append_events([{"Object": {"meta": {"Name": "c"}}}], (0, 7), harness.now)
    _, three = harness.request("/objects/servers?Watch=5&WaitMs=1000")
    assert [event["Object"]["meta"]["Name"] for event in three["events"]] == ["b", "c"]


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


def test_a_snapshot_has_all_objects():
    harness = RelayHarness()
    harness.cache.reset((2, 5), harness.now, {"a": {"meta": {"Name": "a"}}, "b": {}})
    harness.cache.apply("b", None)
    harness.cache.apply("c", {"meta": {"Name": "c"}})
    harness.cache.append_events([{"Object": {}}], (2, 6), harness.now)
    status, payload = harness.request("/objects/servers?Snapshot=1&WaitMs=200")
    assert (status, payload["Era"], payload["AsOf"]) == (200, 2, 6)
    assert [item["meta"]["Name"] for item in payload["items"]] == ["a", "c"]


def test_snapshots_of_one_position_are_shared_while_the_store_is_healthy():
    harness = RelayHarness()
    path = "/objects/servers?Snapshot=1"
    _, one, _ = run(harness.relay.respond(path, CALLER))
    _, two, _ = run(harness.relay.respond(path, CALLER))
    harness.healthy_since = harness.now
    _, three, _ = run(harness.relay.respond(path, CALLER))
    assert one is two
    assert json.loads(decompress(three))["GoodS"] == 0.0


@pytest.mark.parametrize("path", ["Snapshot=1&WaitMs=500", "Watch=5&WaitMs=500&Era=0"])
def test_a_relay_that_is_starting_responds_after_its_first_list(path):
    harness = RelayHarness()
    harness.cache.__init__()
    assert harness.request(f"/objects/servers?{path}")[0] == 503
    assert harness.now == pytest.approx(100.5)
    harness.on_wait = lambda: harness.cache.reset((0, 5), harness.now)
    assert harness.request(f"/objects/servers?{path}")[0] == 200


def test_a_stale_relay_has_no_snapshot():
    harness = RelayHarness()
    harness.now += MAX_AGE_S + 0.1
    assert harness.request("/objects/servers?Snapshot=1&WaitMs=200")[0] == 503


def test_a_relay_that_stops_tells_waiting_clients_and_starts_none():
    harness = RelayHarness()
    harness.on_wait = lambda: setattr(harness, "leaving", True)
    status, _, headers = run(harness.relay.respond("/objects/servers?Watch=5&WaitMs=1000", CALLER))
    assert (status, headers[LEAVING_HEADER]) == (200, "1")
    assert harness.now < 100.5
    assert harness.request("/objects/servers?Snapshot=1")[0] == 503


def test_only_recent_clients_are_active():
    clients = RelayClients(lambda: True)
    clients.record_call("10.0.0.1", "a", 0.0)
    clients.record_call("10.0.0.2", "a", 5.0)
    assert clients.active(CLIENT_TIMEOUT_S) == ["10.0.0.1", "10.0.0.2"]
    assert clients.active(CLIENT_TIMEOUT_S + 1) == ["10.0.0.2"]
    clients.tick(CLIENT_TIMEOUT_S + 1)
    assert clients.active(CLIENT_TIMEOUT_S) == ["10.0.0.2"]


def full_clients(may_hand_on=True, zones=("a", "b")):
    clients = RelayClients(lambda: may_hand_on)
    for number in range(MAX_CLIENTS):
        clients.record_call(f"10.0.0.{number}", zones[number % len(zones)], 100.0)
    return clients


def test_callers_beyond_the_limit_are_handed_on_evenly_within_their_zone():
    clients, found = full_clients(), Counter()
    for number in range(1_000):
        found[clients.find_relay(f"10.1.{number >> 8}.{number & 255}", "b", "", False, 100.0)] += 1
    assert len(found) == MAX_CLIENTS / 2
    assert {int(ip.rpartition(".")[2]) % 2 for ip in found} == {1}
    assert max(found.values()) < 2 * 1_000 / len(found)


@pytest.mark.parametrize(
    ("ip", "zone", "serves", "may_hand_on", "now"),
    [
        ("10.0.0.3", "b", False, True, 100.0),
        ("10.1.0.1", "c", False, True, 100.0),
        ("10.1.0.1", "", False, True, 100.0),
        ("10.1.0.1", "a", True, True, 100.0),
        ("10.1.0.1", "a", False, False, 100.0),
        ("10.1.0.1", "a", False, True, 110.0),
    ],
    ids=["client", "no relay in its zone", "earlier release", "relay", "too many hops", "calm"],
)
def test_callers_that_are_not_handed_on(ip, zone, serves, may_hand_on, now):
    assert full_clients(may_hand_on).find_relay(ip, zone, "", serves, now) is None


def test_a_caller_is_not_handed_on_to_a_relay_that_has_failed_it():
    clients = full_clients()
    first = clients.find_relay("10.1.0.1", "a", "", False, 100.0)
    second = clients.find_relay("10.1.0.1", "a", first, False, 100.0)
    assert None not in (first, second) and first != second


def test_a_caller_beyond_the_limit_gets_the_address_of_another_relay():
    harness = RelayHarness(max_hops=1)
    for number in range(MAX_CLIENTS):
        path = "/objects/servers?Watch=5&WaitMs=0&Era=0&Zone=b"
        assert harness.request(path, f"10.0.0.{number}")[0] == 200
    status, body, headers = run(harness.relay.respond(path, "10.1.0.1"))
    assert (status, body) == (307, b"")
    assert headers[NEXT_RELAY_HEADER].endswith(":8166")


def test_a_relay_too_many_hops_from_the_store_refuses_clients():
    harness = RelayHarness(max_hops=1)
    harness.cache.reset((0, 6), harness.now, {}, 2)
    assert harness.request("/objects/servers?Watch=5&WaitMs=0&Era=0")[0] == 503


def test_the_age_of_the_state_counts_from_the_call():
    harness = RelayHarness()
    harness.now += 0.5
    path = "/objects/servers?Watch=5&WaitMs=1000&Era=0"
    _, _, headers = run(harness.relay.respond(path, CALLER))
    assert headers[VERIFIED_HEADER] == "-500"
    harness.on_wait = harness.change
    _, _, headers = run(harness.relay.respond(path, CALLER))
    assert headers[VERIFIED_HEADER] == "100"
