"""Tests of pearwell.affinity.relay."""

import json
from zlib import decompress

import pytest

from pearwell.affinity.cache import MAX_AGE_S, ObjectCache
from pearwell.affinity.relay import Relay
from tests.affinity.fakes import Pause, run


class Changes:
    """A signal that advances the clock on each wait, and may change the cache."""

    def __init__(self, rig):
        self._rig = rig

    def wait(self, timeout_s):
        self._rig.now += min(timeout_s, 0.1)
        self._rig.on_wait()
        return Pause(True)


class Rig:
    def __init__(self):
        self.now = 100.0
        self.on_wait = lambda: None
        self.cache = ObjectCache()
        self.cache.reset(5, self.now)
        self.relay = Relay(
            "a", {"servers": self.cache}, lambda: 98.5, Changes(self), lambda: self.now
        )

    def change(self):
        self.cache.append_events([{"Object": {"meta": {"Name": "b"}}}], 6, self.now)

    def ask(self, path):
        status, body = run(self.relay.respond(path))
        return status, json.loads(decompress(body)) if body else None


def test_a_watch_is_answered_with_the_next_event():
    rig = Rig()
    rig.on_wait = rig.change
    status, payload = rig.ask("/objects/servers?Watch=5&WaitMs=1000")
    assert (status, payload["AsOf"], len(payload["events"])) == (200, 6, 1)
    assert payload["GoodS"] == pytest.approx(1.6)


def test_a_watch_ends_without_events():
    rig = Rig()
    assert rig.ask("/objects/servers?Watch=5&WaitMs=300") == (
        200,
        {"events": [], "AsOf": 5, "GoodS": 1.8, "Zone": "a"},
    )


def test_a_relay_that_the_store_has_left_refuses():
    rig = Rig()
    rig.now += MAX_AGE_S + 0.1
    assert rig.ask("/objects/servers?Watch=5&WaitMs=300")[0] == 503


def test_a_watch_ends_when_the_objects_get_old():
    rig = Rig()
    status, _ = rig.ask("/objects/servers?Watch=5&WaitMs=5000")
    assert status == 503
    assert rig.now <= 100.0 + MAX_AGE_S + 0.1


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
def test_what_a_relay_cannot_answer(path, status):
    assert Rig().ask(path)[0] == status


def test_followers_of_one_revision_share_an_answer():
    rig = Rig()
    rig.change()
    _, one = run(rig.relay.respond("/objects/servers?Watch=5&WaitMs=1000"))
    _, two = run(rig.relay.respond("/objects/servers?Watch=5&WaitMs=1000"))
    assert one is two
    rig.cache.append_events([{"Object": {"meta": {"Name": "c"}}}], 7, rig.now)
    _, three = rig.ask("/objects/servers?Watch=5&WaitMs=1000")
    assert [event["Object"]["meta"]["Name"] for event in three["events"]] == ["b", "c"]
