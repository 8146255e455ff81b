"""Tests of pearwell.affinity.sync with every fault of the store."""

import pytest

from pearwell.affinity.cache import ObjectCache
from pearwell.affinity.directory import Directory
from pearwell.affinity.fetch_scheduler import FetchScheduler, WatchLimits
from pearwell.affinity.routes import RouteTable
from pearwell.affinity.sync import ObjectSync, StoreResponse
from pearwell.errors import Code, PlatformError
from pearwell.platform.objects import ConfigHandler, TargetHandler
from tests.affinity.fakes import FakeStore, FakeWait, run

EXPIRED = PlatformError(Code.PLATFORM_WATCH_EXPIRED)
DOWN = PlatformError(Code.PLATFORM_UNAVAILABLE)
TIMED_OUT = PlatformError(Code.PLATFORM_TIMEOUT)
INVALID = PlatformError(Code.PLATFORM_BAD_ANSWER)
INTERRUPTED = PlatformError(Code.PLATFORM_INTERRUPTED)


def config(version):
    return {"meta": {"Name": "main"}, "spec": {"Version": version, "Routes": []}}


def listed(revision, *versions, era=0):
    return StoreResponse([config(version) for version in versions], revision, era=era)


def events(revision, *versions, era=0):
    return StoreResponse([{"Object": config(version)} for version in versions], revision, era=era)


# Above the age up to which a response of the store makes further calls needless.
RELAY_FAILS_AFTER_S = 0.3


class SyncHarness:
    def __init__(self, store, *relays):
        self.now = 0.0
        self.routes = RouteTable()
        self.logged = []
        self.slept = 0.0
        self.cache = ObjectCache()
        self.store = store
        self.told = []
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
            lambda *told: self.told.append(told),
        )

    def _log(self, event, **fields):
        self.logged.append(event)

    def _sleep(self, seconds):
        self.now += seconds
        self.slept += seconds
        return FakeWait(False)

    def steps(self, count, each_s=0.0):
        versions = []
        for _ in range(count):
            self.now += each_s
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
        ((listed(5, 4), TIMED_OUT, TIMED_OUT, listed(9, 6), events(9)), [4, 4, 4, 6, 6]),
        ((listed(5, 4), INVALID, listed(9, 6)), [4, 4, 6]),
        ((listed(5), events(6, 1)), [-1, 1]),
        ((listed(5, 4), StoreResponse(["no event"], 6), listed(9, 6)), [4, 4, 6]),
        ((listed(5, 4), StoreResponse([{"Object": {"meta": 1}}], 6)), [4, 4]),
        ((listed(5, 4), StoreResponse([{"Deleted": True, "Object": config(4)}], 6)), [4, 4]),
    ],
)
def test_versions_never_decrease(script, versions):
    assert SyncHarness(FakeStore(*script)).steps(len(script)) == versions


def page(*names, more=True):
    return StoreResponse([{"meta": {"Name": name}} for name in names], 5, more=more)


@pytest.mark.parametrize(
    ("pages", "cursors"),
    [
        ([page("a", "b c"), page("d", more=False)], ["", "b c"]),
        # Entries behind the cursor are listed again.
        ([page("a", "b\udcff"), page("b\udcff", "d"), page("e", more=False)], ["", "a", "d"]),
        ([page("\udcff"), page("\udcffa", more=False)], ["", "\udcff"]),
    ],
)
def test_the_cursor_of_a_list_is_the_last_readable_name(pages, cursors):
    """The order of names that can't be read is the store's to know."""
    harness = SyncHarness(FakeStore(*pages))
    harness.steps(1)
    assert [after for _, after in harness.store.calls] == cursors


@pytest.mark.parametrize("pages", [[page("")], [page("a"), page("a")], [page("a"), page("")]])
def test_a_list_that_does_not_advance_fails(pages):
    """An entry without a name at the end of a page made the list start again, without end."""
    harness = SyncHarness(FakeStore(*pages, page("b", more=False)))
    harness.steps(1)
    assert len(harness.store.calls) == len(pages)
    assert harness.logged == ["store_lost"]


def test_a_watch_starts_from_the_lowest_revision_of_a_paged_list():
    first = StoreResponse([config(1)], 5, more=True)
    harness = SyncHarness(FakeStore(first, listed(7, 2), events(8)))
    harness.steps(2)
    assert harness.store.calls == [("list", ""), ("list", "main"), ("watch", (0, 5))]


@pytest.mark.parametrize(
    ("script", "versions"),
    [
        ((listed(9, 4, era=1), EXPIRED, listed(5, 3, era=2), events(6, 6, era=2)), [4, 4, 4, 6]),
        ((listed(9, 4, era=1), events(12, 5, era=2), listed(12, 6, era=2)), [4, 4, 6]),
        ((listed(9, 4, era=1), events(9, era=2), listed(9, 6, era=2)), [4, 4, 6]),
        (
            (
                listed(9, 4, era=1),
                DOWN,
                listed(5, 3, era=2),
                events(9, 5, era=3),
                listed(6, 6, era=3),
            ),
            [4, 4, 4, 4, 6],
        ),
    ],
    ids=["expired", "reissued revision", "no events", "twice"],
)
def test_a_restored_store_is_listed_again(script, versions):
    """The events after a restore follow a revision of another history."""
    assert SyncHarness(FakeStore(*script)).steps(len(script)) == versions


def test_pages_of_two_eras_are_not_joined():
    script = (
        StoreResponse([config(5)], 9, more=True, era=1),
        listed(6, 3, era=2),
        listed(6, 7, era=2),
        events(7, 8, era=2),
    )
    harness = SyncHarness(FakeStore(*script))
    assert harness.steps(3) == [-1, 7, 8]
    assert harness.store.calls[1:] == [("list", "main"), ("list", ""), ("watch", (2, 6))]


@pytest.mark.parametrize("era", [1, 3])
def test_a_relay_that_responds_for_another_era_is_not_applied(era):
    store = FakeStore(listed(9, 4, era=2), listed(10, 5, era=2))
    harness = SyncHarness(store, FakeStore(events(12, 9, era=era)))
    assert harness.steps(3) == [4, 4, 5]
    assert "relay_lost" in harness.logged


def test_an_outage_and_its_end_are_logged():
    harness = SyncHarness(FakeStore(listed(5, 1), DOWN, DOWN, listed(6, 2), DOWN))
    harness.steps(5)
    transitions = [event for event in harness.logged if event.startswith("store_")]
    assert transitions == ["store_lost", "store_regained", "store_lost"]


def test_a_store_restored_from_a_copy_is_logged_once():
    script = listed(5, 1, era=3), events(6, 2, era=3), EXPIRED, listed(4, 1, era=4)
    harness = SyncHarness(FakeStore(*script))
    harness.steps(4)
    assert harness.logged.count("store_restored") == 1


def test_a_relay_that_is_lost_and_regained_is_logged_once_each():
    relay = FakeStore(DOWN, DOWN, events(8), events(9))
    harness = SyncHarness(FakeStore(listed(5, 1), listed(6, 2), listed(7, 2)), relay)
    for _ in range(7):
        harness.now += 3.0
        harness.steps(1)
    transitions = [event for event in harness.logged if event.startswith("relay_")]
    assert transitions == ["relay_lost", "relay_regained"]


def test_a_relay_saves_calls_to_the_store():
    relay = FakeStore(events(5), events(6), events(7))
    harness = SyncHarness(FakeStore(listed(5, 1)), relay)
    harness.steps(4)
    assert harness.store.calls == [("list", "")]
    assert relay.calls == [("watch", (0, 5)), ("watch", (0, 5)), ("watch", (0, 6))]


def test_the_callers_that_a_relay_tells_are_passed_on():
    """With the start of the call; relays of an earlier release don't tell them."""
    relay = FakeStore(events(5), StoreResponse([], 5, callers=36), StoreResponse([None], 6))
    harness = SyncHarness(FakeStore(listed(5, 1)), relay)
    for _ in range(4):
        harness.now += 1.0
        harness.steps(1)
    assert harness.told == [(36, 3.0)]


def test_a_large_configuration_announced_by_a_relay_is_listed_from_the_store():
    relay = FakeStore(StoreResponse([None], 8))
    harness = SyncHarness(FakeStore(listed(5, 1), listed(8, 2)), relay)
    assert harness.steps(3) == [1, 1, 2]


def test_relays_that_refuse_right_after_a_list_cost_no_call_to_the_store():
    """All instances start at once, and no relay listens yet: the first one does 0.9 s later."""
    store = FakeStore(listed(5, 1))
    relay = FakeStore(DOWN, events(6, 2))
    harness = SyncHarness(store, relay, FakeStore(DOWN, DOWN))
    harness.steps(3, each_s=0.01)
    harness.now = 1.9
    assert harness.steps(1) == [2]
    assert store.calls == [("list", "")]


def test_relays_that_go_on_refusing_leave_the_store_to_be_watched():
    store = FakeStore(listed(5, 1), events(6, 2))
    harness = SyncHarness(store, FakeStore(DOWN), FakeStore(DOWN))
    assert harness.steps(4, each_s=0.01) == [1, 1, 1, 2]
    assert store.calls == [("list", ""), ("watch", (0, 5))]
    assert harness.slept == pytest.approx(0.47)


@pytest.mark.parametrize("error", [EXPIRED, DOWN, TIMED_OUT, INVALID])
def test_the_store_is_called_at_once_after_each_relay_that_failed(error):
    store = FakeStore(listed(5, 1), events(7, 2), listed(8, 3))
    harness = SyncHarness(store, FakeStore(error), FakeStore(error))
    assert harness.steps(5, each_s=RELAY_FAILS_AFTER_S) == [1, 1, 2, 2, 3]
    assert store.calls == [("list", ""), ("watch", (0, 5)), ("list", "")]
    assert harness.slept == 0.0
    assert harness.logged.count("relay_lost") == 2


@pytest.mark.parametrize("error", [EXPIRED, DOWN, TIMED_OUT, INVALID])
def test_the_store_is_listed_at_once_when_the_relays_have_failed(error):
    """Although the store failed as well after the first relay."""
    store = FakeStore(listed(5, 1), DOWN, listed(8, 2))
    harness = SyncHarness(store, FakeStore(error), FakeStore(error))
    assert harness.steps(5, each_s=RELAY_FAILS_AFTER_S) == [1, 1, 1, 1, 2]
    assert store.calls == [("list", ""), ("watch", (0, 5)), ("list", "")]
    assert harness.slept == 0.0
    assert harness.logged.count("relay_lost") == 2


def test_the_store_is_asked_in_place_of_a_relay_that_stands_still():
    """An instance waited up to two seconds for a frozen relay to hear of a new target."""
    store, relay = FakeStore(listed(5, 1), events(7, 2)), FakeStore(INTERRUPTED)
    relay.interrupt = lambda: relay.calls.append("interrupt")
    harness = SyncHarness(store, relay)
    harness.steps(1)
    harness.sync._called = relay
    harness.sync.ask_store()
    harness.sync._called = None
    relay.script.clear()
    assert harness.steps(1, each_s=1.0) == [2]
    assert relay.calls == ["interrupt"]
    assert store.calls == [("list", ""), ("watch", (0, 5))]


def test_an_interrupted_watch_is_no_failure():
    store, relay = FakeStore(listed(5, 1)), FakeStore(INTERRUPTED, events(6, 2))
    harness = SyncHarness(store, relay)
    assert harness.steps(3) == [1, 1, 2]
    assert "relay_lost" not in harness.logged


@pytest.mark.parametrize(
    ("complete_s", "complete_at"), [(0.4, 1.4), (-0.5, 0.5), (None, 0.0), (-2.2, 0.0)]
)
def test_what_a_relay_knows_counts_from_the_start_of_the_call(complete_s, complete_at):
    """A relay of an earlier build tells nothing and may be behind by what its cache allows."""
    response = StoreResponse([], 5, healthy_s=9.0, complete_s=complete_s)
    harness = SyncHarness(FakeStore(listed(5, 1)), FakeStore(response))
    harness.steps(1)
    harness.now = 1.0
    harness.steps(1)
    assert harness.sync._scheduler.complete_at == pytest.approx(complete_at)


@pytest.mark.parametrize(
    ("response", "seconds", "level_after_s"),
    [
        (StoreResponse([], 5), 2.4, 2.4),
        (StoreResponse([], 5), 2.6, 2.4),
        (StoreResponse([], 5), 0.1, 0.0),
        (events(6, 2), 2.6, 0.0),
    ],
    ids=["whole wait", "slow response", "no wait", "events"],
)
def test_an_instance_is_level_with_the_store_as_of_what_the_response_shows(
    response, seconds, level_after_s
):
    """The store makes a response without events at the end of the wait, 2.4 s here."""
    harness = SyncHarness(FakeStore(listed(5, 1), response))
    harness.steps(1)
    watch, started = harness.store.watch, []

    async def slow_watch(*arguments):
        started.append(harness.now)
        harness.now += seconds
        return await watch(*arguments)

    harness.store.watch = slow_watch
    harness.steps(1)
    scheduler = harness.sync._scheduler
    assert scheduler._level_at - started[0] == pytest.approx(level_after_s)
    assert harness.cache.level_at == scheduler._level_at
    assert harness.cache.complete_at == scheduler.complete_at == started[0]


@pytest.mark.parametrize(
    ("level_s", "level_at"), [(0.4, 1.4), (-0.7, 0.3), (-1.5, 0.0), (None, None)]
)
def test_a_caller_is_level_with_the_store_as_far_as_its_relay_tells(level_s, level_at):
    """A relay of an earlier release doesn't tell; its callers don't ask the store for that."""
    response = StoreResponse([], 5, level_s=level_s)
    harness = SyncHarness(FakeStore(listed(5, 1)), FakeStore(response))
    harness.steps(1)
    harness.now = 1.0
    harness.steps(1)
    found = harness.sync._scheduler._level_at
    assert found is None if level_at is None else found == pytest.approx(level_at)


class OddHandler:
    """Fails at one object, as no handler should."""

    kind = "servers"

    def __init__(self):
        self.known = {}

    def name_of(self, item):
        return item["meta"]["Name"]

    def replace(self, items, now):
        for name, item in items.items():
            self.apply(name, item, now)
        self.known = {name: item for name, item in self.known.items() if name in items}

    def apply(self, name, item, now):
        if name == "odd" and item is not None:
            raise ZeroDivisionError("x" * 1_000)
        self.known[name] = item

    def shorten(self, item):
        return {"meta": item["meta"]}


def objects(revision, *names):
    return StoreResponse([{"meta": {"Name": name}} for name in names], revision)


def object_events(revision, *names):
    return StoreResponse([{"Object": {"meta": {"Name": name}}} for name in names], revision)


def odd_harness(store, *relays):
    harness = SyncHarness(store, *relays)
    harness.sync._handler = OddHandler()
    return harness


@pytest.mark.parametrize("from_relay", [False, True])
def test_an_object_that_the_handler_fails_at_does_not_stop_the_sync(from_relay):
    """The watch was made again from before it, and failed again, for as long as it was there."""
    listing, changes = objects(5, "a", "odd", "b"), object_events(6, "c", "odd", "d")
    later, rest = objects(6, "a", "odd", "b", "c", "d"), object_events(7, "e")
    store = FakeStore(*([listing, later] if from_relay else [listing, changes, later, rest]))
    relays = [FakeStore(changes, rest)] if from_relay else []
    harness = odd_harness(store, *relays)
    harness.steps(4, each_s=2.0)
    assert sorted(harness.sync._handler.known) == ["a", "b", "c", "d", "e"]
    assert store.calls.count(("list", "")) == 2
    assert harness.logged.count("entry_failed") == 3
    assert not {"store_lost", "relay_lost"} & {*harness.logged}


def test_a_change_that_failed_once_was_never_applied():
    """A target that reported draining went on getting new flows."""
    harness = odd_harness(FakeStore(objects(5, "a"), object_events(6, "b"), objects(6, "a", "b")))
    handler, failures = harness.sync._handler, [MemoryError()]
    apply = handler.apply

    def fail_once(name, item, now):
        if name == "b" and failures:
            raise failures.pop()
        apply(name, item, now)

    handler.apply = fail_once
    harness.steps(3, each_s=2.0)
    assert sorted(handler.known) == ["a", "b"]


def test_an_error_that_nobody_has_foreseen_is_a_failed_call():
    """With its reason in the log, a pause and a list; it ended the process."""
    harness = SyncHarness(FakeStore(listed(5, 1), ZeroDivisionError("x" * 1_000), listed(7, 2)))
    details = []
    harness.sync._log = lambda event, **fields: details.append((event, fields))
    assert harness.steps(3, each_s=1.0) == [1, 1, 2]
    assert harness.store.calls[-1] == ("list", "")
    [lost] = [fields for event, fields in details if event == "store_lost"]
    assert lost["code"] == int(Code.PLATFORM_BAD_ANSWER)
    assert lost["detail"].startswith("ZeroDivisionError: x")
    assert len(lost["detail"]) <= 200
    assert harness.slept > 0


def test_an_error_of_a_relay_that_nobody_has_foreseen_is_a_failed_call():
    store = FakeStore(listed(5, 1), listed(8, 2))
    harness = SyncHarness(store, FakeStore(ZeroDivisionError()))
    assert harness.steps(3, each_s=RELAY_FAILS_AFTER_S) == [1, 1, 2]
    assert harness.logged.count("relay_lost") == 1


def test_relays_tell_what_matters_of_a_large_event():
    """All their callers listed the store for each change of one large object."""
    large = {"meta": {"Name": "a"}, "spec": {"x": "y" * 100_000}}
    changes = StoreResponse([{"Object": large}, {"Object": large, "Deleted": True}], 6)
    harness = odd_harness(FakeStore(objects(5), changes))
    harness.steps(2)
    assert harness.cache.events_after((0, 5)) == [
        {"Object": {"meta": {"Name": "a"}}, "Deleted": False},
        {"Object": {"meta": {"Name": "a"}}, "Deleted": True},
    ]


def test_a_large_configuration_is_announced_without_its_object():
    large = {**config(2), "status": "y" * 100_000}
    harness = SyncHarness(FakeStore(listed(5, 1), StoreResponse([{"Object": large}], 6)))
    assert harness.steps(2) == [1, 2]
    assert harness.cache.events_after((0, 5)) == [None]


@pytest.mark.parametrize("from_relay", [False, True])
def test_events_from_before_a_position_reset_no_flow(from_relay):
    """A list of several pages, or a batch of a relay, is followed by events that it contains.

    Here the target had left its entry, restarted and begun to drain, all of which the list tells.
    """

    def described(revision, **changes):
        spec = {
            "Service": "intake",
            "Address": "10.0.0.1:80",
            "Zone": "a",
            "Version": "v1",
            "Concurrency": 2,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Sequence": 1,
            "born": 7,
        }
        return {"meta": {"Name": "i-00000001", "Revision": revision}, "spec": spec | changes}

    now = described(9, State="draining", Sequence=2)
    events = [
        {"Object": described(5, born=3), "Deleted": False},
        {"Object": described(7, born=3), "Deleted": True},
        {"Object": described(8), "Deleted": False},
        {"Object": now, "Deleted": False},
    ]
    replayed = StoreResponse(events, 9)
    relays = [FakeStore(replayed)] if from_relay else []
    store = FakeStore(StoreResponse([now], 4), *([] if from_relay else [replayed]))
    harness = SyncHarness(store, *relays)
    directory = Directory()
    harness.sync._handler = TargetHandler(directory, lambda now: True, harness._log)
    harness.steps(1)
    known = directory.find_by_name("i-00000001")
    harness.steps(1, each_s=2.0)
    assert harness.sync._scheduler.position == (0, 9)
    assert (known.gone, known.listed, known.draining) == (False, True, True)
    assert directory.take_newly_gone() == []
