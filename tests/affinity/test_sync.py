"""Tests of pearwell.affinity.sync with every fault of the store."""

import pytest

from pearwell.affinity.cache import ObjectCache
from pearwell.affinity.fetch_scheduler import FetchScheduler, WatchLimits
from pearwell.affinity.routes import RouteTable
from pearwell.affinity.sync import ObjectSync, StoreResponse
from pearwell.errors import Code, PlatformError
from pearwell.platform.objects import ConfigHandler
from tests.affinity.fakes import FakeStore, Pause, run

EXPIRED = PlatformError(Code.PLATFORM_WATCH_EXPIRED)
DOWN = PlatformError(Code.PLATFORM_UNAVAILABLE)
SILENT = PlatformError(Code.PLATFORM_TIMEOUT)
BROKEN = PlatformError(Code.PLATFORM_BAD_ANSWER)


def config(version):
    return {"meta": {"Name": "main"}, "spec": {"Version": version, "Routes": []}}


def listed(revision, *versions):
    return StoreResponse([config(version) for version in versions], revision)


def events(revision, *versions):
    return StoreResponse([{"Object": config(version)} for version in versions], revision)


class Rig:
    def __init__(self, store, *relays):
        self.now = 0.0
        self.routes = RouteTable()
        self.logged = []
        self.slept = 0.0
        self.cache = ObjectCache()
        self.store = store
        self.sync = ObjectSync(
            ConfigHandler(self.routes, self._log),
            FetchScheduler(WatchLimits.for_bounds(0.5, 4.0), len(relays), "a", lambda: 1.0),
            self.cache,
            store,
            relays,
            lambda: self.now,
            self._sleep,
            lambda: None,
            self._log,
        )

    def _log(self, event, **fields):
        self.logged.append(event)

    def _sleep(self, seconds):
        self.now += seconds
        return Pause(False)

    def steps(self, count):
        versions = []
        for _ in range(count):
            run(self.sync.step())
            versions.append(self.routes.version)
        return versions


@pytest.mark.parametrize(
    ("script", "versions"),
    [
        ((listed(5, 1), events(6, 2), events(7, 3)), [1, 2, 3]),
        ((listed(5, 1), events(6, 3), events(7, 2)), [1, 3, 3]),
        ((listed(5, 4), EXPIRED, listed(9, 6)), [4, 4, 6]),
        ((listed(5, 4), EXPIRED, listed(3, 2)), [4, 4, 4]),
        ((listed(5, 4), DOWN, DOWN, listed(9, 6)), [4, 4, 4, 6]),
        ((listed(5, 4), SILENT, SILENT, listed(9, 6), events(9)), [4, 4, 4, 6, 6]),
        ((listed(5, 4), BROKEN, listed(9, 6)), [4, 4, 6]),
        ((listed(5), events(6, 1)), [-1, 1]),
        ((listed(5, 4), StoreResponse(["no event"], 6), listed(9, 6)), [4, 4, 6]),
        ((listed(5, 4), StoreResponse([{"Object": {"meta": 1}}], 6)), [4, 4]),
        ((listed(5, 4), StoreResponse([{"Deleted": True, "Object": config(4)}], 6)), [4, 4]),
    ],
)
def test_versions_only_rise(script, versions):
    assert Rig(FakeStore(*script)).steps(len(script)) == versions


def test_a_list_of_several_pages_is_watched_from_its_lowest_revision():
    first = StoreResponse([config(1)], 5, more=True)
    rig = Rig(FakeStore(first, listed(7, 2), events(8)))
    rig.steps(2)
    assert rig.store.calls == [("list", ""), ("list", "main"), ("watch", 5)]


def test_an_outage_is_logged_with_its_end():
    rig = Rig(FakeStore(listed(5, 1), DOWN, DOWN, listed(6, 2), DOWN))
    rig.steps(5)
    contact = [event for event in rig.logged if event.startswith("store_")]
    assert contact == ["store_lost", "store_regained", "store_lost"]


def test_a_relay_that_is_lost_and_regained_is_logged_once_each():
    relay = FakeStore(DOWN, DOWN, events(8), events(9))
    rig = Rig(FakeStore(listed(5, 1), listed(6, 2), listed(7, 2)), relay)
    for _ in range(7):
        rig.now += 3.0
        rig.steps(1)
    contact = [event for event in rig.logged if event.startswith("relay_")]
    assert contact == ["relay_lost", "relay_regained"]


def test_a_relay_saves_calls_to_the_store():
    relay = FakeStore(events(5), events(6), events(7))
    rig = Rig(FakeStore(listed(5, 1)), relay)
    rig.steps(4)
    assert rig.store.calls == [("list", "")]
    assert relay.calls == [("watch", 5), ("watch", 5), ("watch", 6)]


def test_a_large_configuration_that_a_relay_announces_comes_from_the_store():
    relay = FakeStore(StoreResponse([None], 8))
    rig = Rig(FakeStore(listed(5, 1), listed(8, 2)), relay)
    assert rig.steps(3) == [1, 1, 2]


@pytest.mark.parametrize("error", [EXPIRED, DOWN, SILENT, BROKEN])
def test_the_store_is_asked_at_once_when_the_relays_have_failed(error):
    rig = Rig(FakeStore(listed(5, 1), listed(8, 2)), FakeStore(error), FakeStore(error))
    assert rig.steps(4) == [1, 1, 1, 2]
    assert rig.slept == 0.0
    assert rig.logged.count("relay_lost") == 2
