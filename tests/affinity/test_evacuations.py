"""Tests of pearwell.affinity.evacuations."""

import random
from collections import Counter

import pytest

from pearwell.affinity.evacuations import RETURN_S, EvacuationFeed, Evacuations
from pearwell.affinity.instance import Bounds, Instance
from pearwell.affinity.routes import Route, Routes
from pearwell.affinity.syn_retransmission import SYN_TIMEOUT_S
from pearwell.errors import Code
from pearwell.text_metrics import render_samples
from tests.affinity.builders import ROUTE, DirectorHarness, data, flow_key, syn, target

BOUND_S, CONTACT_S = 5.0, 5.0


class ZonedHarness(DirectorHarness):
    """A director in zone "a" with two targets in each zone, whose zones may be evacuated."""

    def __init__(self, zones="abc", seed=1, **options):
        targets = [
            target(number, zone=zone) for number, zone in enumerate([*zones, *zones], start=1)
        ]
        super().__init__(*targets, **options)
        placement = self.director.placement
        self.store_lost = False
        self.evacuations = Evacuations(
            "a",
            self.directory,
            lambda: self.store_lost,
            random.Random(seed).random,
            placement.forget_zone,
            self._log,
        )
        placement.set_evacuations(self.evacuations)

    @property
    def local(self):
        """A target of the local zone."""
        return next(known for known in self.directory if known.zone == "a")

    def evacuate(self, *zones):
        for zone in zones:
            self.evacuations.begin(zone, 7, self.now)

    def take_back(self, zone):
        self.evacuations.end(zone, self.now, True)

    def respond(self, chosen, seconds, size=2000, count=12):
        """Records responses of a target, which end within a second."""
        route = self.routes.find(ROUTE)
        for number in range(count):
            self.director.placement.record_response(
                route, ROUTE, chosen, seconds, size, False, self.now - 0.01 * (count - number)
            )


@pytest.mark.parametrize("evacuated", ["a", "b", "ab", "ac", "bc"])
def test_no_new_flow_goes_to_an_evacuated_zone(evacuated):
    harness = ZonedHarness()
    harness.evacuate(*evacuated)
    chosen = Counter(harness.open(number).zone for number in range(200))
    assert not set(chosen) & set(evacuated)
    # Those of the local zone, else the least loaded of the others.
    assert len(chosen) == (1 if "a" not in evacuated else 3 - len(evacuated))


def test_flows_that_are_open_stay_on_their_targets():
    harness = ZonedHarness()
    chosen = harness.open(1)
    harness.evacuate(chosen.zone)
    assert harness.director.take_resets() == []
    harness.advance(8.0)
    harness.director.tick(harness.now)
    assert harness.send(data(1, chosen.token, seq=1101, ack=900)) is chosen
    # Of a flow that this instance has not seen before.
    assert harness.send(data(2, chosen.token)) is chosen


@pytest.mark.parametrize("wait_s", [0.01, SYN_TIMEOUT_S / 2, 0.2, 0.6])
def test_a_copy_of_a_syn_leaves_the_zone_that_the_first_one_went_to(wait_s):
    harness = ZonedHarness()
    first = harness.send(syn(1))
    harness.evacuate(first.zone)
    harness.now += wait_s
    second = harness.send(syn(1, earlier_syns=1))
    assert first.zone == "a" and second.zone != "a"


def test_an_unanswered_syn_is_not_sent_to_an_evacuated_zone_again():
    harness = ZonedHarness("ab")
    first = harness.send(syn(1))
    harness.evacuate("b")
    [(_, second)] = harness.redirect()
    assert second.zone == "a" and second is not first
    harness.evacuate("a")
    harness.send(syn(2))
    assert harness.advance(SYN_TIMEOUT_S) == []


def test_flows_are_refused_at_once_while_all_zones_are_evacuated():
    harness = ZonedHarness()
    harness.evacuate("a", "b", "c")
    assert harness.send(syn(1)) is Code.FLOW_NO_TARGET
    harness.take_back("b")
    assert harness.send(syn(2)).zone == "b"


def cut_off(harness, seconds=3.0):
    """Sends new flows of which none is answered; returns the zones of the later ones."""
    zones = []
    for number in range(int(seconds / (2 * SYN_TIMEOUT_S))):
        chosen = harness.send(syn(number))
        zones.append(getattr(chosen, "zone", chosen))
        harness.redirect()
    return zones[len(zones) // 2 :]


@pytest.mark.parametrize(
    ("evacuated", "store_lost", "expected"),
    [
        ("a", True, {"a"}),
        # The zones may be down, while the operator's word holds.
        ("a", False, {"b", "c"}),
        # A zone that is evacuated elsewhere is cut off, too.
        ("ab", True, {"a"}),
        ("abc", True, {Code.FLOW_NO_TARGET}),
    ],
)
def test_an_evacuated_zone_that_is_cut_off_serves_its_own_clients(evacuated, store_lost, expected):
    harness = ZonedHarness()
    harness.evacuate(*evacuated)
    harness.store_lost = store_lost
    assert set(cut_off(harness)) <= expected


def test_an_evacuated_zone_is_left_again_when_the_store_is_back():
    harness = ZonedHarness()
    harness.evacuate("a")
    harness.store_lost = True
    assert set(cut_off(harness)) == {"a"}
    harness.store_lost = False
    harness.advance(0.2)
    assert harness.send(syn(500)).zone != "a"
    assert harness.counted()["evacuated_zone_isolated"] == 1
    assert harness.counted()["evacuated_zone_reconnected"] == 1


def test_an_evacuated_zone_stays_empty_while_only_the_store_is_lost():
    harness = ZonedHarness()
    harness.evacuate("a")
    harness.store_lost = True
    for number in range(30):
        assert harness.open(number).zone != "a"
        harness.now += 0.1


@pytest.mark.parametrize("evacuated", ["", "a", "c"])
def test_short_waits_in_an_evacuated_zone_are_no_room(evacuated):
    """The flows that stay there are served at once while queues stand in the other zones."""
    harness = ZonedHarness(objective_s=0.5)
    by_zone = {known.zone: known for known in harness.directory}
    for known in by_zone.values():
        harness.respond(known, 0.05, count=50)
    harness.advance(5.0)
    harness.evacuate(*evacuated)
    idle = evacuated or "c"
    for _ in range(5):
        for zone, known in by_zone.items():
            if zone == idle:
                harness.respond(known, 0.05)
            else:
                harness.respond(known, 0.9)
                harness.respond(known, 0.02, size=100, count=4)
    codes = [harness.send(syn(number)) for number in range(50)]
    refused = codes.count(Code.FLOW_OVERLOAD)
    # Without an evacuation the flows go to the zone that has room.
    assert refused == (50 if evacuated else 0)


def test_waits_of_before_the_evacuation_are_no_room():
    harness = ZonedHarness(objective_s=0.5)
    by_zone = {known.zone: known for known in harness.directory}
    for known in by_zone.values():
        harness.respond(known, 0.05, count=50)
    harness.advance(5.0)
    for _ in range(5):
        for zone, known in by_zone.items():
            harness.respond(known, 0.05 if zone == "c" else 0.9)
            harness.respond(known, 0.02, size=100, count=0 if zone == "c" else 8)
    assert harness.send(syn(1)) is not Code.FLOW_OVERLOAD
    harness.evacuate("c")
    assert harness.send(syn(2)) is Code.FLOW_OVERLOAD


def spill_over(harness):
    """Makes the responses of the local zone's targets show queueing."""
    harness.respond(harness.local, 0.05, count=60)
    harness.now += 3.0
    harness.respond(harness.local, 0.2)


def test_flows_of_other_zones_stay_local_when_a_zone_is_taken_back():
    """The zone has no flows yet, but local targets come first."""
    harness = ZonedHarness()
    harness.evacuate("b")
    for number in range(100):
        harness.open(number)
    harness.take_back("b")
    assert {harness.open(number).zone for number in range(100, 140)} == {"a"}


@pytest.mark.parametrize("flows", [5, 20, 80])
@pytest.mark.parametrize("seed", range(3))
def test_flows_that_spill_over_return_to_a_zone_by_and_by(seed, flows):
    """The targets of the zone have no flows yet, those of the others up to four in each instance.

    All instances would otherwise choose the zone until its targets have as many.
    """
    starts = Counter()
    for instance in range(40):
        harness = ZonedHarness("abc" * 5, seed=1000 * seed + instance)
        harness.evacuate("b")
        spill_over(harness)
        for number in range(flows):
            harness.open(number)
        harness.take_back("b")
        for step in range(30):
            harness.now += RETURN_S / 30
            harness.respond(harness.local, 0.2)
            starts[step // 10, harness.open(100 + step).zone] += 1
    shares = [starts[third, "b"] / 400 for third in range(3)]
    # The share rises by a third in each third of the time, or less if the zones are level.
    assert shares[0] <= 0.25 and shares[1] <= 0.6
    assert sum(shares) > 0.3


@pytest.mark.parametrize("waited_s", [0.0, RETURN_S + 1.0])
def test_a_zone_that_returns_is_room_for_other_zones_once_all_their_flows_may_go_there(waited_s):
    harness = ZonedHarness(objective_s=0.5)
    by_zone = {known.zone: known for known in harness.directory}
    for known in by_zone.values():
        harness.respond(known, 0.05, count=50)
    harness.evacuate("c")
    harness.advance(5.0)
    harness.take_back("c")
    harness.advance(waited_s)
    harness.evacuations.tick(harness.now, True)
    for _ in range(5):
        for zone, known in by_zone.items():
            harness.respond(known, 0.05 if zone == "c" else 0.9)
            harness.respond(known, 0.02, size=100, count=0 if zone == "c" else 8)
    codes = [harness.send(syn(number)) for number in range(50)]
    assert (Code.FLOW_OVERLOAD in codes) == (waited_s == 0.0)


@pytest.mark.parametrize("others", ["gone", "draining", "evacuated"])
def test_a_zone_that_returns_is_used_at_once_if_there_is_no_other(others):
    harness = ZonedHarness()
    harness.evacuate("a", "b", "c")
    harness.take_back("b")
    for known in harness.directory:
        if known.zone != "b" and others == "gone":
            harness.directory.mark_gone(known)
        elif known.zone != "b":
            known.draining = others == "draining"
    if others != "evacuated":
        harness.take_back("a")
        harness.take_back("c")
    assert harness.send(syn(1)).zone == "b"


@pytest.mark.parametrize(
    ("seconds", "trusted", "expected"),
    [(0.0, True, []), (0.0, False, ["b"]), (30.0, False, ["b"])],
)
def test_a_missing_evacuation_stays_in_force_until_the_store_is_trusted(seconds, trusted, expected):
    harness = ZonedHarness()
    harness.evacuations.replace({"b": 7, "c": 8}, harness.now, False)
    harness.evacuations.replace({"c": 8}, harness.now, trusted)
    harness.evacuations.tick(harness.now + seconds, trusted)
    assert harness.evacuations.zones == [*expected, "c"]
    harness.evacuations.tick(harness.now + seconds, True)
    assert harness.evacuations.zones == ["c"]


def test_an_evacuation_that_is_written_again_stays_in_force():
    harness = ZonedHarness()
    harness.evacuations.replace({"b": 7}, harness.now, True)
    harness.evacuations.replace({}, harness.now + 1.0, False)
    harness.evacuate("b")
    harness.evacuations.tick(harness.now + 5.0, True)
    assert harness.evacuations.zones == ["b"]
    events = [event for event, _ in harness.events]
    assert events == ["zone_evacuated", "zone_evacuation_missing"]


def make_instance(evacuate_s):
    events = []
    instance = Instance(
        "a",
        Bounds(5.0, 5.0, CONTACT_S, 6.0, evacuate_s),
        relays=3,
        is_relay=False,
        jitter=lambda: 0.5,
        log_flow=lambda event, **_: events.append(event),
        log_event=lambda event, **_: events.append(event),
    )
    instance.routes.apply(Routes(1, {ROUTE: Route("r", (("intake", 1),))}), 0.0)
    instance.directory.replace([target(n, zone=zone) for n, zone in enumerate("aab", 1)], 0.0)
    return instance


def test_an_instance_is_not_ready_before_it_knows_the_evacuations():
    instance = make_instance(BOUND_S)
    assert not instance.start_if_synced()
    instance.evacuation_feed.evacuations.replace({"a": 7}, 0.0, False)
    assert instance.start_if_synced()
    assert instance.director.on_packet(syn(1), b"", 0.0).zone == "b"


def test_samples_contain_the_evacuations():
    instance = make_instance(BOUND_S)
    instance.director.accept_flows()
    chosen = instance.director.on_packet(syn(1), b"", 0.0)
    evacuations = instance.evacuation_feed.evacuations
    evacuations.replace({chosen.zone: 7, "unknown": 8}, 0.0, True)
    instance.director.on_packet(syn(2), b"", 0.0)
    page = render_samples(instance.samples(1.0))
    for line in (
        "pearwell_evacuated_zones 2",
        'pearwell_evacuated_zone_open_flows{zone="a"} 1',
        'pearwell_evacuated_zone_open_flows{zone="unknown"} 0',
        "pearwell_limited_choices_total 1",
        'pearwell_store_revision{kind="evacuations"} -1',
    ):
        assert line in page


def test_without_the_bound_nothing_changes():
    """No kind is followed, no sample is added, and flows get the targets that they got before."""
    without, with_bound = make_instance(None), make_instance(BOUND_S)
    assert without.evacuation_feed is None
    assert without.start_if_synced()
    with_bound.evacuation_feed.evacuations.replace({}, 0.0, True)
    assert with_bound.start_if_synced()
    for number in range(200):
        packet = syn(number)
        chosen = without.director.on_packet(packet, b"", 0.0)
        assert with_bound.director.on_packet(packet, b"", 0.0).name == chosen.name
        for instance in (without, with_bound):
            instance.director.on_packet(data(number, chosen.token, length=0), b"", 0.0)
    assert "evacuat" not in render_samples(without.samples(1.0))
    assert flow_key(1) in {
        flow.key for flow in without.director.flows.on_targets(without.directory)
    }


@pytest.mark.parametrize(
    ("bound_s", "relay_wait_s", "store_wait_s"),
    [(0.5, 1.0, 1.5), (3.0, 1.0, 1.5), (5.0, 2.0, 2.0), (60.0, 5.0, 5.0)],
)
def test_watches_wait_as_long_as_the_bound_allows(bound_s, relay_wait_s, store_wait_s):
    evacuations = Evacuations(
        "a", [], lambda: False, lambda: 0.5, lambda zone: None, lambda event, **_: None
    )
    client = EvacuationFeed(evacuations, bound_s, CONTACT_S, "a", 3, False, lambda: 0.5)
    relay = EvacuationFeed(evacuations, bound_s, CONTACT_S, "a", 0, True, lambda: 0.5)
    for feed in (client, relay):
        feed.scheduler.on_list((1, 1), 0.0)
    assert client.scheduler.next_call(100.0).wait_s == relay_wait_s
    assert relay.scheduler.next_call(100.0).wait_s == store_wait_s
    # The cache stays fresh between two watches of the relay, and a slow response or a pause.
    relay.cache.reset((1, 1), 0.0)
    assert relay.cache.stale_at() >= store_wait_s + 0.7
