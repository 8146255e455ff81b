"""Tests of pearwell.affinity.failing_targets."""

import heapq
import random

import pytest

from pearwell.affinity.director import FIN, RST
from pearwell.affinity.failing_targets import (
    CHECK_INTERVAL_S,
    FAILING,
    FAILING_HOLD_S,
    MAX_CHECK_BUDGET,
    MAX_WATCHED,
    MAX_WITHHELD,
    RECOVERED,
    RENEWAL_S,
    NoticeFilter,
    decode_notice,
    encode_notice,
)
from pearwell.affinity.routes import Route, Routes
from pearwell.affinity.target import Target
from pearwell.errors import Code

from .builders import OTHER_ROUTE, ROUTE, DirectorHarness, data, syn, target

OBJECTIVE_S = 0.6
NAME = target(1).name
PACKET = b"bytes of the packet"


class CheckingHarness(DirectorHarness):
    """A director that finds failing targets, with a route whose requests can't be retried."""

    def __init__(self, *targets, objective_s=OBJECTIVE_S, timeout_s=None):
        super().__init__(*(targets or (target(1),)))
        services = (("intake", 1),)
        self.routes.apply(
            Routes(
                2,
                {
                    ROUTE: Route("once", services, objective_s, timeout_s, repeatable=False),
                    OTHER_ROUTE: Route("repeatable", services, objective_s),
                },
            ),
            self.now,
        )
        self.failing = self.director.watch_failures()

    def request(self, number, index, *, route=ROUTE, seq=0):
        """Sends a request on an open flow; returns the decision."""
        return self.send(data(number, target(index).token, seq=1001 + seq, route=route))

    def respond(self, number, index, *, ack=600, route=ROUTE):
        """Acknowledges a response."""
        packet = data(number, target(index).token, seq=1101, ack=ack, length=0, route=route)
        return self.send(packet)

    def fail(self):
        """Lets a target fail: a request is unanswered and a check says that it can't serve."""
        self.open(1)
        self.now += 1.0
        self.request(1, 1)
        self.now += OBJECTIVE_S / 2 + 0.001
        [checked] = self.failing.take_checks(self.now)
        self.failing.handle_check(checked, False, self.now)
        assert self.failing.take_notices() == [(FAILING, NAME)]
        return checked


@pytest.mark.parametrize("notice", [(FAILING, "i-1"), (RECOVERED, "i-2")])
@pytest.mark.parametrize("forward", [True, False])
def test_notice_round_trip(notice, forward):
    assert decode_notice(encode_notice(notice, forward)) == (notice, forward)


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"pearwell-hint-1 1 i-1",
        b"pearwell-notice-1 failing 1",
        b"pearwell-notice-1 failing 1 ",
        b"pearwell-notice-1 dead 1 i-1",
        b"pearwell-notice-1 failing 1 " + b"x" * 101,
        b"pearwell-notice-1 failing 1 \xff",
    ],
)
def test_malformed_notices(datagram):
    assert decode_notice(datagram) is None


def test_relays_forward_changes_and_renewals_but_no_duplicates():
    relay = NoticeFilter()
    steps = [(FAILING, 0.0), (FAILING, 0.1), (RECOVERED, 0.2), (FAILING, 0.3), (RECOVERED, 0.35)]
    forwarded = [relay.should_forward((kind, NAME), at) for kind, at in steps]
    assert forwarded == [True, False, True, True, True]
    assert relay.should_forward((RECOVERED, NAME), 0.35 + RENEWAL_S)


@pytest.mark.parametrize(
    ("waited_s", "prepare", "checks"),
    [
        (OBJECTIVE_S / 2, lambda harness: None, 1),
        (OBJECTIVE_S / 3, lambda harness: None, 0),
        (OBJECTIVE_S / 2, lambda harness: harness.respond(1, 1), 0),
        (OBJECTIVE_S / 2, lambda harness: harness.open(2), 0),
        (OBJECTIVE_S / 2, lambda harness: harness.send(data(1, 0, flags=FIN)), 0),
        (
            OBJECTIVE_S / 2,
            lambda harness: harness.directory.put(target(1, draining=True), harness.now),
            0,
        ),
        (OBJECTIVE_S / 2, lambda harness: harness.directory.remove(NAME, harness.now), 0),
    ],
    ids=["unanswered", "early", "answered", "answered others", "ended", "draining", "unlisted"],
)
def test_an_unanswered_request_triggers_a_check(waited_s, prepare, checks):
    harness = CheckingHarness()
    harness.open(1)
    harness.now += 1.0
    harness.request(1, 1)
    harness.now += 0.001
    prepare(harness)
    harness.now += waited_s
    assert len(harness.failing.take_checks(harness.now)) == checks


def test_a_route_without_an_objective_triggers_no_check():
    harness = CheckingHarness(objective_s=None)
    harness.open(1)
    harness.request(1, 1)
    harness.now += 10.0
    assert harness.failing.take_checks(harness.now) == []


def test_slow_responses_of_all_targets_trigger_few_checks():
    """In an overload checks would take slots; targets that serve are treated as before."""
    targets = [target(number) for number in range(1, 41)]
    harness = CheckingHarness(*targets)
    opened = {number: harness.open(number) for number in range(1, 41)}
    checks = 0
    for second in range(5):
        for number, chosen in opened.items():
            harness.send(data(number, chosen.token, seq=1001 + 100 * second))
        harness.now += 0.9
        for checked in harness.failing.take_checks(harness.now):
            checks += 1
            harness.failing.handle_check(checked, True, harness.now)
        for number, chosen in opened.items():
            harness.send(data(number, chosen.token, ack=600 + second, length=0))
        harness.now += 0.1
        harness.director.tick(harness.now)
        harness.failing.tick(harness.now)
    assert checks <= MAX_CHECK_BUDGET + 5
    assert not harness.failing.active and not harness.failing.watching
    assert harness.failing.take_notices() == []


@pytest.mark.parametrize("serves", [True, None], ids=["serves", "no result"])
def test_a_check_that_does_not_fail_changes_nothing(serves):
    harness = CheckingHarness()
    harness.open(1)
    harness.failing.handle_check(target(1), serves, harness.now)
    assert harness.failing.take_notices() == []
    assert harness.request(1, 1).name == NAME


def test_a_failing_target_gets_no_new_flows():
    harness = CheckingHarness(target(1), target(2), target(3))
    harness.failing.handle_notice((FAILING, NAME), harness.now)
    assert {harness.open(number).name for number in range(1, 9)} == {
        target(2).name,
        target(3).name,
    }


def test_a_target_gets_new_flows_as_soon_as_it_has_recovered():
    """Load may rise right after a failure, and then each target counts."""
    targets = [target(number) for number in range(1, 4)]
    harness = CheckingHarness(*targets)
    for notice in ((FAILING, NAME), (RECOVERED, NAME), (FAILING, NAME), (RECOVERED, NAME)):
        harness.now += 0.5
        harness.failing.handle_notice(notice, harness.now)
    assert {harness.open(number).name for number in range(1, 10)} == {t.name for t in targets}


def test_new_flows_start_while_all_targets_fail():
    harness = CheckingHarness(target(1), target(2))
    for number in (1, 2):
        harness.failing.handle_notice((FAILING, target(number).name), harness.now)
    assert isinstance(harness.send(syn(1)), Target)


def test_a_request_that_cannot_be_retried_waits_until_its_target_has_recovered():
    harness = CheckingHarness()
    harness.open(1)
    harness.failing.handle_notice((FAILING, NAME), harness.now)
    assert harness.request(1, 1) is Code.FLOW_WITHHELD
    assert harness.request(1, 1) is Code.FLOW_WITHHELD
    assert harness.failing.take_released(harness.now) == []
    harness.failing.handle_notice((RECOVERED, NAME), harness.now)
    assert harness.failing.take_released(harness.now) == [PACKET]
    assert harness.failing.take_released(harness.now) == []
    assert harness.request(1, 1).name == NAME
    assert harness.director.take_resets() == []


def test_a_request_waits_no_longer_than_half_the_timeout_of_its_route():
    """Its client gets the target's own answer in time to act on it."""
    harness = CheckingHarness(timeout_s=2.0)
    harness.open(2)
    harness.fail()
    assert harness.request(2, 1) is Code.FLOW_WITHHELD
    for _ in range(3):
        harness.now += 0.3
        harness.failing.handle_notice((FAILING, NAME), harness.now)
        assert harness.request(2, 1) is Code.FLOW_WITHHELD
        assert harness.failing.take_released(harness.now) == []
    harness.now += 0.15
    assert harness.failing.take_released(harness.now) == [PACKET]
    assert harness.request(2, 1).name == NAME
    assert harness.failing.take_released(harness.now) == []


def test_only_the_first_packet_of_a_request_that_cannot_be_retried_is_withheld():
    harness = CheckingHarness()
    harness.open(1)
    assert harness.request(1, 1).name == NAME
    assert harness.send(syn(2, route=OTHER_ROUTE)).name == NAME
    harness.send(data(2, target(1).token, length=0, route=OTHER_ROUTE))
    harness.failing.handle_notice((FAILING, NAME), harness.now)
    assert harness.request(1, 1).name == NAME, "retransmission of a request that may run"
    assert harness.request(1, 1, seq=100).name == NAME, "rest of a request that may run"
    assert harness.respond(1, 1).name == NAME
    assert harness.request(2, 1, route=OTHER_ROUTE).name == NAME, "its client retries at once"


def test_a_notice_expires_unless_it_is_renewed():
    """A notice of recovery may be lost, and the instance that checks may end."""
    harness = CheckingHarness()
    harness.open(1)
    harness.failing.handle_notice((FAILING, NAME), harness.now)
    assert harness.request(1, 1) is Code.FLOW_WITHHELD
    harness.now += FAILING_HOLD_S - 1.0
    assert harness.request(1, 1) is Code.FLOW_WITHHELD
    harness.now += 1.0
    assert harness.failing.take_released(harness.now) == [PACKET]
    assert harness.request(1, 1).name == NAME


def test_a_withheld_request_is_reset_once_its_target_is_gone():
    harness = CheckingHarness()
    harness.open(1)
    harness.failing.handle_notice((FAILING, NAME), harness.now)
    assert harness.request(1, 1) is Code.FLOW_WITHHELD
    harness.directory.remove(NAME, harness.now)
    harness.directory.expire(harness.now + 5.0, 0.0)
    assert len(harness.director.take_resets()) == 1


@pytest.mark.parametrize(
    ("silent_s", "leaves", "released"),
    [(1.6, False, [PACKET]), (2.0, False, []), (0.1, True, [])],
    ids=["waits", "silent", "closed"],
)
def test_a_request_whose_client_has_left_is_not_run(silent_s, leaves, released):
    """A client that waits retransmits at least every 1.6 s."""
    harness = CheckingHarness()
    harness.open(1)
    harness.failing.handle_notice((FAILING, NAME), harness.now)
    assert harness.request(1, 1) is Code.FLOW_WITHHELD
    harness.now += silent_s
    if leaves:
        harness.send(data(1, target(1).token, length=0, flags=RST))
    harness.failing.handle_notice((RECOVERED, NAME), harness.now)
    assert harness.failing.take_released(harness.now) == released


def test_withheld_packets_are_bounded():
    harness = CheckingHarness()
    for number in range(1, MAX_WITHHELD + 2):
        harness.open(number)
    harness.failing.handle_notice((FAILING, NAME), harness.now)
    decisions = [harness.request(number, 1) for number in range(1, MAX_WITHHELD + 2)]
    assert decisions.count(Code.FLOW_WITHHELD) == MAX_WITHHELD


def test_the_instance_that_found_a_failure_renews_its_notice_and_reports_the_recovery():
    harness = CheckingHarness()
    checked = harness.fail()
    notices = []
    for _ in range(round(2 * RENEWAL_S / CHECK_INTERVAL_S)):
        harness.now += CHECK_INTERVAL_S
        [again] = harness.failing.take_regular_checks(harness.now)
        harness.failing.handle_check(again, False, harness.now)
        notices += harness.failing.take_notices()
    assert notices == [(FAILING, NAME)]
    harness.failing.handle_check(checked, True, harness.now)
    assert harness.failing.take_notices() == [(RECOVERED, NAME)]


def test_a_target_that_recovered_is_checked_until_it_counts_as_stable():
    """The next failure of a flapping target is found by a check, not by a lost request."""
    harness = CheckingHarness()
    checked = harness.fail()
    harness.failing.handle_check(checked, True, harness.now)
    harness.failing.take_notices()
    harness.now += 2 * CHECK_INTERVAL_S
    assert harness.failing.take_regular_checks(harness.now) == [checked]
    harness.failing.handle_check(checked, False, harness.now)
    assert harness.failing.take_notices() == [(FAILING, NAME)]
    harness.failing.handle_check(checked, True, harness.now)
    harness.now += 60.0
    assert harness.failing.take_regular_checks(harness.now) == []
    assert not harness.failing.watching


def test_an_instance_whose_relays_are_down_relies_on_its_own_checks():
    harness = CheckingHarness()
    harness.open(2)
    checked = harness.fail()
    assert harness.request(2, 1) is Code.FLOW_WITHHELD
    harness.failing.handle_check(checked, True, harness.now)
    assert harness.failing.take_released(harness.now) == [PACKET]


def test_watched_targets_are_bounded():
    targets = [target(number) for number in range(1, MAX_WATCHED + 3)]
    harness = CheckingHarness(*targets)
    for checked in targets:
        harness.failing.handle_check(checked, False, harness.now)
    assert len(harness.failing.take_notices()) == MAX_WATCHED


def test_a_response_outweighs_a_false_health_check():
    """A target may serve while its health check says otherwise."""
    harness = CheckingHarness()
    checked = harness.fail()
    harness.now += 0.1
    harness.request(1, 1, seq=100)
    harness.now += 0.1
    assert harness.respond(1, 1).name == NAME
    harness.send(syn(2, route=OTHER_ROUTE))
    harness.send(data(2, target(1).token, length=0, route=OTHER_ROUTE))
    harness.request(2, 1, route=OTHER_ROUTE)
    harness.now += 0.1
    harness.respond(2, 1, route=OTHER_ROUTE)
    assert (RECOVERED, NAME) in harness.failing.take_notices()
    assert harness.request(1, 1, seq=200).name == NAME
    harness.failing.handle_check(checked, False, harness.now)
    assert harness.failing.take_notices() == []
    assert not harness.failing.watching


def test_a_lying_notice_resets_nothing_and_ends_with_the_next_response():
    harnesses = [CheckingHarness() for _ in range(112)]
    for harness in harnesses:
        harness.open(1)
        harness.failing.handle_notice((FAILING, NAME), harness.now)
        assert harness.director.take_resets() == []
    first = harnesses[0]
    first.send(syn(2, route=OTHER_ROUTE))
    first.send(data(2, target(1).token, length=0, route=OTHER_ROUTE))
    first.now += 0.01
    assert first.request(2, 1, route=OTHER_ROUTE).name == NAME
    first.now += 0.07
    first.respond(2, 1, route=OTHER_ROUTE)
    [notice] = first.failing.take_notices()
    for harness in harnesses:
        harness.now = first.now
        harness.failing.handle_notice(notice, harness.now)
        assert harness.request(1, 1).name == NAME


def test_without_checks_requests_on_a_target_that_serves_nothing_are_forwarded_as_before():
    harness = DirectorHarness(target(1))
    harness.open(1)
    for _ in range(3):
        harness.now += 1.0
        assert harness.send(data(1, target(1).token)).name == NAME


class FlapSimulation:
    """Instances with an idle flow each on a target that goes down and up, in virtual time.

    A request that reaches the target while it is down is lost. Health checks take 3 ms, notices
    5 ms; a response arrives after 70 ms.

    Args:
        instances: Number of instances.
    """

    PERIOD_S, CYCLES, REQUESTS_PER_S = 1.4, 4, 12.0
    START = 101.0

    def __init__(self, instances):
        self.harnesses = [CheckingHarness() for _ in range(instances)]
        self.random = random.Random(7)
        self.events = []
        self.sent = self.lost = 0
        self.order = 0
        for harness in self.harnesses:
            harness.open(1)
            harness.seq = 0

    def run(self):
        """Returns the share of the requests sent to the target while it is down that are lost."""
        at = end = self.START
        end += self.PERIOD_S * self.CYCLES
        while at < end:
            self._at(at, self._send, self.random.choice(self.harnesses))
            at += self.random.expovariate(self.REQUESTS_PER_S)
        while self.events:
            now, _, action, *rest = heapq.heappop(self.events)
            action(now, *rest)
        assert not any(harness.director.take_resets() for harness in self.harnesses)
        return self.lost / self.sent

    def _at(self, at, action, *rest):
        self.order += 1
        heapq.heappush(self.events, (at, self.order, action, *rest))

    def _is_down(self, now):
        offset = (now - self.START) % self.PERIOD_S
        return offset < self.PERIOD_S / 2 and now < self.START + self.PERIOD_S * self.CYCLES

    def _send(self, now, harness):
        harness.now = now
        self.sent += self._is_down(now)
        harness.seq += 100
        decision = harness.request(1, 1, seq=harness.seq)
        if decision is not Code.FLOW_WITHHELD:
            self._arrive(now, harness)
        self._follow(now, harness)

    def _arrive(self, now, harness):
        if self._is_down(now):
            self.lost += 1
            self._at(now + OBJECTIVE_S / 2 + 0.001, self._follow, harness)
            # The client opens another flow.
            self._at(now + 1.0, self._reopen, harness)
        else:
            self._at(now + 0.07, self._respond, harness)

    def _reopen(self, now, harness):
        harness.now = now
        harness.flows.remove(syn(1)[0])
        harness.open(1)
        harness.seq = 0

    def _respond(self, now, harness):
        harness.now = now
        harness.respond(1, 1, ack=600 + harness.seq)
        self._follow(now, harness)

    def _follow(self, now, harness):
        for _ in harness.failing.take_checks(now):
            self._at(now + 0.003, self._check, harness)
        for notice in harness.failing.take_notices():
            for other in self.harnesses:
                self._at(now + 0.005, self._notify, other, notice)
        for _ in harness.failing.take_released(now):
            self._arrive(now, harness)

    def _check(self, now, harness):
        harness.now = now
        affected = harness.directory.find_by_name(NAME)
        harness.failing.handle_check(affected, not self._is_down(now), now)
        if harness.failing.take_regular_checks(now):
            self._at(now + CHECK_INTERVAL_S, self._check, harness)
        self._follow(now, harness)

    def _notify(self, now, harness, notice):
        harness.now = now
        harness.failing.handle_notice(notice, now)
        self._follow(now, harness)


@pytest.mark.parametrize("instances", [24, 112, 300])
def test_simulated_flapping_target_with_an_idle_flow_on_each_of_many_instances(instances):
    """Most requests sent while the target is down wait and are served."""
    assert FlapSimulation(instances).run() <= 0.4
