"""Tests of pearwell.affinity.flow_limit: targets that fill, in virtual time."""

import random

import pytest

from pearwell.affinity.flow_limit import (
    ALIVE_S,
    CLOSED_S,
    FLOWS_PER_TRIAL,
    LATE_ANSWER_S,
    LOG_DELAY_S,
    MAX_CLOSED_S,
    OPENED_RECENTLY_S,
    UNANSWERED_BY_ZONE,
    FlowLimit,
)
from pearwell.affinity.routes import Route, Routes
from pearwell.affinity.service import Service
from pearwell.affinity.syn_retransmission import CLIENT_TIMEOUT_S, SYN_TIMEOUT_S
from pearwell.errors import Code
from tests.affinity.builders import ROUTE, DirectorHarness, data, syn, target

ZONES = "abc"
# Time in seconds between two new flows of a fleet, and requests for each new flow.
FLOW_INTERVAL_S = 0.005
REQUESTS_PER_FLOW = 0.2
# Time in seconds after which idle flows leave the records: longer than a test.
IDLE_S = 600.0


def routes(version, max_flows):
    services = {"intake": Service("intake", max_flows)}
    return Routes(version, {ROUTE: Route("r", (("intake", 1),))}, IDLE_S, services)


def set_limit(harness, limit):
    harness.director.placement.flow_limit = limit
    harness.director.placement.add_limit(limit)


class Fleet:
    """Instances in three zones, and targets that ignore SYNs while they hold their most flows.

    Args:
        instances: Number of instances.
        targets: Number of targets.
        max_flows: Limit of the configuration, and of the targets.
        limited: Whether the instances know the limit.
        loss: Share of the targets' answers that are lost.
    """

    def __init__(self, instances, targets, max_flows, limited=True, loss=0.0):
        self.loss = loss
        self.now, self.max_flows, self.limited = 100.0, max_flows, limited
        self.numbers = [(number, ZONES[number % 3]) for number in range(1, targets + 1)]
        self.held = {f"i-{number:08x}": set() for number, _ in self.numbers}
        self.dark, self.flows, self.rng = set(), {}, random.Random(1)
        # Results of the flows asked for: how many opened, were refused at once, while a target had
        # room, and were ignored by the first target, and by all.
        self.opened = self.refused = self.refused_with_room = self.ignored = self.unserved = 0
        # Flows that two targets hold; times in seconds until flows opened that the first ignored.
        self.doubled, self.delays = 0, []
        self.harnesses, self.limits = [], []
        for number in range(instances):
            self.add_instance(ZONES[number % 3])
        self._ticked_at = self.now

    def add_instance(self, zone):
        harness = DirectorHarness(*[target(n, zone=z) for n, z in self.numbers], zone=zone)
        limit = FlowLimit(harness.directory, harness.routes.find_service, harness._log)
        if self.limited:
            set_limit(harness, limit)
        harness.routes.apply(routes(2, self.max_flows), self.now)
        harness.now = self.now
        self.harnesses.append(harness)
        self.limits.append(limit)
        return harness

    def configure(self, version, max_flows):
        self.max_flows = max_flows
        for harness in self.harnesses:
            harness.routes.apply(routes(version, max_flows), self.now)

    def advance(self, seconds):
        self.now += seconds
        if self.now - self._ticked_at >= 1.0:
            self._ticked_at = self.now
            for harness, limit in zip(self.harnesses, self.limits, strict=True):
                harness.director.tick(self.now)
                limit.tick(self.now, len(self.harnesses))
        for harness in self.harnesses:
            harness.now = self.now

    def start(self, count, harness=None, interval_s=FLOW_INTERVAL_S):
        """Starts flows, each followed by its share of requests on flows that are open."""
        first = len(self.flows) + self.refused + self.unserved
        for number in range(first, first + count):
            self.advance(interval_s)
            self._start(number, harness or self.rng.choice(self.harnesses))
            if self.flows and self.rng.random() < REQUESTS_PER_FLOW:
                self._request(self.rng.choice([*self.flows]))

    def _start(self, number, harness):
        decision = harness.director.on_packet(syn(number), b"%d" % number, self.now)
        if isinstance(decision, Code):
            self.refused += 1
            self.refused_with_room += any(len(held) < self.max_flows for held in self.held.values())
        elif not self._reach(harness, number, decision):
            self.ignored += 1
            # The SYN is sent again to the same target, and then to another if that one is full.
            for step in (1, 2):
                self.advance(SYN_TIMEOUT_S)
                again = harness.director.due_retransmissions(self.now)
                self._answer_probes(harness)
                others = [other for sent, other in again if sent == b"%d" % number]
                if any(self._reach(harness, number, other) for other in others):
                    self.delays.append(step * SYN_TIMEOUT_S)
                    break
            else:
                self.unserved += 1
            self.doubled += sum(number in held for held in self.held.values()) > 1
        self._answer_probes(harness)

    def _reach(self, harness, number, chosen):
        held = self.held[chosen.name]
        is_full = len(held) >= self.max_flows and number not in held
        if is_full or chosen.name in self.dark:
            return False
        held.add(number)
        if self.loss and self.rng.random() < self.loss:
            return False
        self.flows[number] = harness, chosen.token, chosen.name, [1001, 500]
        self.opened += 1
        return harness.send(data(number, chosen.token, length=0)) is not None

    def _request(self, number):
        harness, token, name, place = self.flows[number]
        decision = harness.send(data(number, token, seq=place[0], ack=place[1]))
        if name in self.dark:
            return
        assert decision.name == name
        place[0] += 100
        place[1] += 400
        harness.send(data(number, token, seq=place[0], ack=place[1], length=0))

    def _answer_probes(self, harness):
        for probed in harness.director.health.take_probes():
            answered = probed.name not in self.dark
            harness.director.health.handle_probe_result(probed, answered, False, self.now)

    def end(self, count):
        """Ends flows, at the clients and at the targets."""
        for number in self.rng.sample([*self.flows], count):
            harness, _, name, _ = self.flows[number]
            harness.flows.remove(syn(number)[0])
            self.held[name].discard(number)

    def gone(self):
        return [t.name for harness in self.harnesses for t in harness.directory if t.gone]


SIZES = [(24, 9, 120), (112, 9, 300)]


@pytest.mark.parametrize(("instances", "targets", "max_flows"), SIZES)
def test_idle_flows_fill_all_targets(instances, targets, max_flows):
    """Many idle flows, few requests: callers get the room there is, then a refusal at once."""
    fleet = Fleet(instances, targets, max_flows)
    fleet.start(targets * max_flows * 9 // 10)
    assert (fleet.refused, fleet.unserved, fleet.gone()) == (0, 0, [])
    fleet.start(targets * max_flows * 3 // 10)
    # All but a hundredth of the room is used, and nobody is refused as long as there is some.
    assert fleet.opened >= 0.99 * targets * max_flows
    assert fleet.refused_with_room <= 0.01 * fleet.opened
    # Each instance learns it from a few callers.
    for harness in fleet.harnesses:
        fleet.start(len(ZONES) * UNANSWERED_BY_ZONE, harness)
    # Several times the flows of which one tries a full target, at each instance.
    asked, refused = 3 * FLOWS_PER_TRIAL * instances, fleet.refused
    fleet.start(asked)
    assert fleet.refused - refused >= 0.9 * asked
    assert fleet.gone() == []


@pytest.mark.parametrize(("instances", "targets", "max_flows"), SIZES)
def test_full_targets_of_one_zone_send_flows_to_the_others(instances, targets, max_flows):
    """An instance learns it from a few callers, who are served with the next copy of their SYN."""
    fleet = Fleet(instances, targets, max_flows)
    fleet.start(targets * max_flows // 2)
    full = [f"i-{number:08x}" for number, zone in fleet.numbers if zone == "a"]
    for name in full:
        fleet.held[name] |= {-place - 1 for place in range(max_flows - len(fleet.held[name]))}
    fleet.start(targets * max_flows // 4)
    assert fleet.refused == 0
    assert fleet.unserved <= sum(h.zone == "a" for h in fleet.harnesses) * UNANSWERED_BY_ZONE
    assert fleet.ignored <= instances * len(full) + targets * max_flows / 4 / FLOWS_PER_TRIAL


@pytest.mark.parametrize("share", [0.55, 0.9])
def test_a_lost_answer_near_the_limit_brings_no_flow_to_a_second_target(share):
    """The instance that takes such a flow over follows the target that answered last."""
    fleet = Fleet(24, 9, 120, loss=0.01)
    fleet.start(round(9 * 120 * share))
    assert fleet.ignored > 3
    assert (fleet.doubled, fleet.unserved, fleet.refused) == (0, 0, 0)


def test_a_flow_whose_target_is_full_opens_before_its_client_sends_the_syn_again():
    fleet = Fleet(24, 9, 120)
    fleet.start(9 * 120 // 2)
    for number, zone in fleet.numbers:
        held = fleet.held[f"i-{number:08x}"]
        if zone == "a":
            held |= {-place - 1 for place in range(120 - len(held))}
    fleet.start(9 * 120 // 4)
    assert fleet.delays
    assert max(fleet.delays) < CLIENT_TIMEOUT_S


def test_flows_that_end_make_room():
    fleet = Fleet(24, 9, 120)
    fleet.start(9 * 120 * 11 // 10)
    fleet.end(9 * 120 // 2)
    fleet.advance(1.0)
    fleet.advance(MAX_CLOSED_S)
    fleet.advance(1.0)
    opened = fleet.opened
    fleet.start(300)
    assert fleet.opened - opened >= 0.99 * 300


def test_a_limit_that_is_lowered_and_raised_applies_within_a_second():
    fleet = Fleet(24, 9, 120)
    fleet.start(9 * 80)
    open_flows = dict(fleet.flows)
    fleet.configure(3, 60)
    fleet.advance(1.0)
    fleet.start(400)
    refused = fleet.refused
    assert refused > 0
    for number in open_flows:
        fleet._request(number)
    assert sum(harness.counted()["flow_reset"] for harness in fleet.harnesses) == 0
    fleet.start(200)
    assert fleet.refused - refused >= 0.9 * 200
    fleet.configure(4, 120)
    fleet.advance(1.0)
    refused, opened = fleet.refused, fleet.opened
    fleet.start(100)
    assert (fleet.refused - refused, fleet.opened - opened) == (0, 100)
    assert fleet.gone() == []


def test_an_instance_that_knows_no_flows_yet_finds_the_target_with_room():
    """It takes full targets for suspect, as it can't tell, and none for gone."""
    fleet = Fleet(24, 9, 120)
    fleet.start(9 * 120 * 95 // 100)
    for name, held in fleet.held.items():
        if name != "i-00000005":
            held |= {-place - 1 for place in range(120 - len(held))}
    held = fleet.held["i-00000005"]
    for number in list(held)[: len(held) // 2]:
        held.discard(number)
    late = fleet.add_instance("a")
    opened, unserved = fleet.opened, fleet.unserved
    fleet.start(40, late)
    assert fleet.opened - opened + fleet.unserved - unserved == 40
    assert fleet.opened - opened >= 25
    assert fleet.gone() == []


def test_a_target_near_its_limit_that_goes_down_is_found_gone():
    fleet = Fleet(24, 9, 120)
    fleet.start(9 * 110)
    fleet.dark.add("i-00000001")
    fleet.start(round((ALIVE_S + 2.0) / FLOW_INTERVAL_S))
    harnesses = [h for h in fleet.harnesses if h.directory.find_by_name("i-00000001").gone]
    # Instances that sent it a SYN or saw data again have probed it; they tell the others.
    assert harnesses
    assert set(fleet.gone()) == {"i-00000001"}


def test_a_limit_that_is_far_away_changes_no_decision():
    decided = []
    for max_flows in (None, 3200):
        harness = DirectorHarness(*[target(n, zone=ZONES[n % 3]) for n in range(1, 10)])
        limit = FlowLimit(harness.directory, harness.routes.find_service, harness._log)
        set_limit(harness, limit)
        harness.routes.apply(routes(2, max_flows), harness.now)
        rng, decisions = random.Random(4), []
        for number in range(2_000):
            harness.now += 0.01
            limit.tick(harness.now, 3)
            assert not limit.active
            found = harness.send(syn(number))
            if rng.random() < 0.8:
                harness.send(data(number, found.token, length=0))
            if rng.random() < 0.9:
                harness.flows.remove(syn(number)[0])
            again = harness.director.due_retransmissions(harness.now)
            decisions += [found.name, *[other.name for _, other in again]]
        decided.append(decisions)
    assert decided[0] == decided[1]


class Limited:
    """Four targets in each zone, with flows on the first."""

    def __init__(self, held_flows, max_flows=1_000, instances=24):
        self.harness = DirectorHarness(*[target(n, zone=ZONES[n % 3]) for n in range(1, 13)])
        self.harness.routes.apply(routes(2, max_flows), 100.0)
        self.log = []
        self.limit = FlowLimit(
            self.harness.directory,
            self.harness.routes.find_service,
            lambda event, **fields: self.log.append((event, fields)),
        )
        self.target = self.harness.directory.find_by_name("i-00000001")
        self.target.held_flows = held_flows
        self.limit.tick(100.0, instances)

    def leave_unanswered(self, *times):
        self.target.last_response_at = times[-1] - 0.1
        return [self.limit.record_unanswered_syn(self.target, now) for now in times]


@pytest.mark.parametrize(
    ("instances", "max_flows", "held_flows", "active", "full"),
    [
        (24, 2_000, 41, False, False),
        (24, 2_000, 42, True, False),
        # The even share is 250 if only the instances of the target's zone use it; it may be
        # exceeded by 13%, as instances differ by chance.
        (24, 2_000, 281, True, False),
        (24, 2_000, 282, True, True),
        # The even share is 32, which may be exceeded by 36%.
        (300, 3_200, 5, False, False),
        (300, 3_200, 43, True, False),
        (300, 3_200, 44, True, True),
    ],
)
def test_a_target_is_watched_and_crowded_by_this_instances_flows(
    instances, max_flows, held_flows, active, full
):
    limited = Limited(held_flows, max_flows, instances)
    assert (limited.limit.active, limited.limit.is_full(limited.target)) == (active, full)
    # Others are preferred, but it isn't refused once they are all crowded.
    assert limited.limit.allows(limited.target, 101.0) is not full
    for other in limited.harness.directory:
        other.held_flows = held_flows
    limited.limit.tick(102.0, instances)
    assert limited.limit.allows(limited.target, 102.0)


def test_a_closed_target_is_tried_by_one_flow_at_a_time():
    limited = Limited(50)
    limit, full = limited.limit, limited.target
    assert limited.leave_unanswered(100.1) == [True]
    assert not limit.allows(full, 100.1 + CLOSED_S / 2)
    now = 100.1 + CLOSED_S
    assert limit.allows(full, now)
    limit.record_start(full, now)
    assert not limit.allows(full, now + 2 * CLOSED_S)
    now += SYN_TIMEOUT_S
    assert limited.leave_unanswered(now) == [True]
    for _ in range(FLOWS_PER_TRIAL):
        assert not limit.allows(full, now + 2 * CLOSED_S)
        limit.record_choice()
    assert not limit.allows(full, now + 1.9 * CLOSED_S)
    assert limit.allows(full, now + 2 * CLOSED_S)
    limit.record_open(full, 0.01, now + 2 * CLOSED_S)
    assert limit.allows(full, now + 2 * CLOSED_S)
    for second in range(round(LOG_DELAY_S) + 3):
        limit.tick(now + second, 24)
    assert [event for event, _ in limited.log] == ["target_full", "target_not_full"]
    assert limited.log[0][1] == {
        "target": "i-00000001",
        "service": "intake",
        "open": 50,
        "instances": 24,
        "max_flows": 1_000,
        "unanswered": 1,
    }


def test_a_syn_that_is_sent_again_closes_a_target_for_no_longer():
    limited = Limited(50)
    limited.leave_unanswered(100.1)
    assert limited.limit.record_unanswered_syn(limited.target, 100.2, sent_again=True)
    assert limited.limit.allows(limited.target, 100.1 + CLOSED_S)


def test_a_flow_that_ends_lets_another_try_a_closed_target():
    limited = Limited(50)
    limit, full = limited.limit, limited.target
    limited.leave_unanswered(100.1)
    full.held_flows -= 1
    assert limit.allows(full, 100.2)
    limit.record_start(full, 100.2)
    assert not limit.allows(full, 100.2)


@pytest.mark.parametrize(
    ("held_flows", "opened_at", "waited_s", "full_after"),
    [
        (5, 0.0, 0.0, None),
        (50, 0.0, 0.0, 1),
        # One unanswered SYN after a flow that opened may be lost.
        (50, 100.0, 0.01, 2),
        # An overloaded target answers late.
        (50, 100.0, 2 * SYN_TIMEOUT_S, None),
    ],
    ids=["far from the limit", "near it", "near it, with a lost packet", "overloaded"],
)
def test_when_unanswered_syns_show_that_a_target_is_full(
    held_flows, opened_at, waited_s, full_after
):
    limited = Limited(held_flows)
    limited.limit.record_open(limited.target, waited_s, opened_at)
    times = [100.0 + OPENED_RECENTLY_S * number / 5 for number in range(1, 5)]
    full = limited.leave_unanswered(*times)
    assert full == [full_after is not None and number >= full_after for number in range(1, 5)]
    assert limited.limit.allows(limited.target, times[-1]) is (full_after is None)


def test_an_overloaded_target_is_closed_at_most_once_in_a_while():
    """Its late answers open flows, whatever its limit."""
    limited = Limited(50)
    for number in range(40):
        limited.leave_unanswered(100.5 + 0.2 * number)
        limited.limit.record_open(limited.target, 0.1, 100.6 + 0.2 * number)
    assert len(limited.log) <= 2 * (1 + 8.0 / LATE_ANSWER_S)


def test_the_targets_of_a_zone_close_together_and_open_with_the_first_flow():
    limited = Limited(50)
    limit, targets = limited.limit, [*limited.harness.directory]
    first, second, third, fourth = [t for t in targets if t.zone == limited.target.zone]
    for number in range(UNANSWERED_BY_ZONE):
        assert limit.allows(third, 100.2)
        limit.record_unanswered_syn((first, second)[number % 2], 100.2)
    # One target that leaves several unanswered says nothing of the others.
    assert limit.allows(third, 100.2)
    limit.record_unanswered_syn(fourth, 100.2)
    assert limit.is_full(third)
    assert [limit.allows(found, 100.2) for found in targets].count(True) == 8 + 1
    # One of the zone's targets may be tried.
    limit.record_start(third, 100.3)
    assert not any(limit.allows(found, 109.0) for found in (first, second, third, fourth))
    limit.record_open(third, 0.01, 100.4)
    assert limit.allows(third, 100.4)
    assert not limit.allows(first, 100.4)
    events = [event for event, _ in limited.log if event.startswith("zone")]
    assert events == ["zone_full", "zone_not_full"]


def test_a_full_target_without_a_sign_of_life_is_also_suspected():
    limited = Limited(50)
    now = 100.1 + ALIVE_S
    limited.target.last_response_at = 100.0
    assert not limited.limit.record_unanswered_syn(limited.target, now)
    assert limited.limit.is_full(limited.target)
    limited.target.probe_answered_at = now
    assert limited.limit.record_unanswered_syn(limited.target, now + 1.0)


@pytest.mark.parametrize("ends", ["flows close", "limit raised", "limit removed", "target gone"])
def test_a_full_target_is_logged_until_it_is_no_longer(ends):
    limited = Limited(50)
    limited.leave_unanswered(100.1)
    if ends == "flows close":
        limited.target.held_flows = 10
    elif ends == "target gone":
        limited.target.gone = True
    else:
        limited.harness.routes.apply(routes(3, 5_000 if ends == "limit raised" else None), 100.3)
    for now in (100.5, 101.5):
        limited.limit.tick(now, 24)
    assert limited.limit.allows(limited.target, 101.5)
    assert not limited.limit.is_full(limited.target)
    assert [event for event, _ in limited.log] == ["target_full", "target_not_full"]
