"""Tests of pearwell.affinity.director: faults at each step of a flow, and simulated load."""

import random

import pytest

from pearwell.affinity.director import ACK, RST
from pearwell.affinity.routes import Route, Routes
from pearwell.affinity.syn_retransmission import CLIENT_TIMEOUT_S, SYN_TIMEOUT_S
from pearwell.affinity.target_health import PROBE_INTERVAL_S, SUSPECT_S, UNRESPONSIVE_S
from pearwell.errors import Code
from tests.affinity.builders import (
    OTHER_ROUTE,
    ROUTE,
    DirectorHarness,
    data,
    fin,
    flow_key,
    syn,
    target,
)


def unlist(harness, affected, *, gone):
    harness.directory.remove(affected.name, harness.now)
    affected.gone = gone


# Faults of a flow's target, or changes to this instance's state about it.
FAULTS = {
    "none": lambda harness, affected: None,
    "draining": lambda harness, affected: harness.directory.put(
        target(int(affected.name[2:], 16), draining=True), harness.now
    ),
    "unlisted": lambda harness, affected: unlist(harness, affected, gone=False),
    "gone": lambda harness, affected: unlist(harness, affected, gone=True),
    "restarted": lambda harness, affected: harness.directory.put(
        target(int(affected.name[2:], 16), started_ms=2), harness.now
    ),
    "suspect": lambda harness, affected: setattr(affected, "suspect_until", harness.now + 1),
    "unreachable": lambda harness, affected: harness.redirect(),
    "route dropped": lambda harness, affected: harness.routes.apply(Routes(2, {}), harness.now),
    "route to another service": lambda harness, affected: harness.routes.apply(
        Routes(2, {ROUTE: Route("r", (("tables", 1),))}), harness.now
    ),
    "no records": lambda harness, affected: [harness.flows.remove(syn(n)[0]) for n in range(9)],
}

SAME, OTHER = "the same target", "another target"

# Step of the flow at which the fault occurs, the fault, and the decision on the next packet.
MATRIX = [
    ("copy", "none", SAME),
    ("copy", "draining", OTHER),
    ("copy", "unlisted", OTHER),
    ("copy", "gone", OTHER),
    ("copy", "suspect", SAME),
    ("copy", "unreachable", OTHER),
    ("copy", "route dropped", Code.FLOW_NO_ROUTE),
    ("data", "none", SAME),
    ("data", "draining", SAME),
    ("data", "unlisted", SAME),
    ("data", "gone", Code.FLOW_TARGET_GONE),
    ("data", "restarted", Code.FLOW_TARGET_GONE),
    ("data", "suspect", SAME),
    ("data", "route dropped", Code.FLOW_NO_ROUTE),
    ("data", "route to another service", SAME),
    ("data", "no records", SAME),
    ("fin", "none", SAME),
    ("fin", "draining", SAME),
    ("fin", "gone", Code.FLOW_TARGET_GONE),
    ("fin", "no records", SAME),
    ("rst", "none", SAME),
    ("rst", "gone", SAME),
]


@pytest.mark.parametrize(("step", "fault", "expected"), MATRIX)
def test_faults_at_each_step_of_a_flow(step, fault, expected):
    harness = DirectorHarness(target(1))
    chosen = harness.send(syn(1)) if step == "copy" else harness.open(1)
    harness.directory.put(target(2), harness.now)
    FAULTS[fault](harness, chosen)
    if step == "copy":
        harness.now += 0.2
    packet = {
        "copy": syn(1, earlier_syns=1),
        "data": data(1, chosen.token, seq=1101),
        "fin": fin(1, chosen.token),
        "rst": data(1, chosen.token, length=0, flags=ACK | RST),
    }[step]
    decision = harness.send(packet)
    outcomes = {SAME: decision is chosen, OTHER: getattr(decision, "name", "") == "i-00000002"}
    assert outcomes.get(expected, decision is expected)


@pytest.mark.parametrize(
    ("trusted", "expected"), [(True, Code.FLOW_UNKNOWN_TOKEN), (False, Code.FLOW_UNSETTLED)]
)
def test_an_unknown_token_is_reset_only_if_the_listing_is_trusted(trusted, expected):
    harness = DirectorHarness(target(1), trusted=trusted)
    assert harness.send(data(1, 12345)) is expected


@pytest.mark.parametrize(
    ("packet", "expected"),
    [
        (syn(1, route=OTHER_ROUTE), Code.FLOW_NO_ROUTE),
        # Its target is none either, which the listing shows.
        (data(1, 7, route=OTHER_ROUTE), Code.FLOW_UNKNOWN_TOKEN),
    ],
)
def test_packets_without_a_route_are_refused(packet, expected):
    assert DirectorHarness(target(1)).send(packet) is expected


def test_an_open_flow_continues_before_its_route_is_known():
    """The flow opened through an instance that applied the version earlier than this one."""
    harness = DirectorHarness(target(1))
    token = target(1).token
    assert harness.send(data(1, token, route=OTHER_ROUTE)).token == token
    harness.routes.apply(Routes(2, {OTHER_ROUTE: Route("r", (("intake", 1),))}), harness.now)
    assert harness.send(data(1, token, route=OTHER_ROUTE, seq=1101)).token == token
    harness.routes.apply(Routes(3, {}), harness.now)
    assert harness.send(data(1, token, route=OTHER_ROUTE, seq=1201)) is Code.FLOW_NO_ROUTE
    harness.routes.apply(Routes(4, {OTHER_ROUTE: Route("r", (("intake", 1),))}), harness.now)
    assert harness.send(data(2, token, route=OTHER_ROUTE)).token == token


@pytest.mark.parametrize("route", [ROUTE, OTHER_ROUTE])
def test_an_open_flow_waits_until_the_listing_shows_whether_its_target_is_new(route):
    """Instances whose relay stood still reset flows on a target that they didn't know yet."""
    harness = DirectorHarness(target(1))
    harness.complete_at = harness.now - 0.01
    new = target(2)
    assert harness.send(data(1, new.token, route=route)) is Code.FLOW_UNSETTLED
    assert harness.director.take_store_request()
    harness.now += 0.2
    assert harness.director.take_unknown_resets(harness.now) == []
    assert harness.send(data(1, new.token, route=route)) is Code.FLOW_UNSETTLED
    harness.directory.put(new, harness.now)
    harness.complete_at = harness.now
    assert harness.director.take_unknown_resets(harness.now) == []
    assert harness.send(data(1, new.token, route=route)) is new


@pytest.mark.parametrize("trusted", [True, False])
def test_an_open_flow_is_reset_once_the_listing_shows_that_its_target_is_gone(trusted):
    harness = DirectorHarness(target(1), trusted=trusted)
    harness.complete_at = harness.now - 0.01
    assert harness.send(data(1, 7, ack=501)) is Code.FLOW_UNSETTLED
    assert harness.send(data(2, 7, ack=502)) is Code.FLOW_UNSETTLED
    assert harness.director.take_unknown_resets(harness.now) == []
    harness.now += 0.01
    harness.complete_at = harness.now
    resets = harness.director.take_unknown_resets(harness.now)
    assert resets == ([(flow_key(1), 501), (flow_key(2), 502)] if trusted else [])
    expected = Code.FLOW_UNKNOWN_TOKEN if trusted else Code.FLOW_UNSETTLED
    harness.complete_at = harness.now + 1.0
    assert harness.send(data(2, 7, ack=502)) is expected


@pytest.mark.parametrize("packet", [syn(1), data(1, target(1).token), data(1, 7, flags=ACK | RST)])
def test_a_flow_that_starts_anew_or_ends_is_not_reset_for_an_unknown_token(packet):
    harness = DirectorHarness(target(1))
    harness.complete_at = harness.now - 0.01
    harness.send(data(1, 7))
    harness.send(packet)
    harness.complete_at = harness.now + 0.01
    assert harness.director.take_unknown_resets(harness.now) == []


@pytest.mark.parametrize("targets", [(), (target(1, draining=True),), (target(1, service="x"),)])
def test_a_flow_without_an_available_target_is_refused_at_once(targets):
    assert DirectorHarness(*targets).send(syn(1)) is Code.FLOW_NO_TARGET


def test_a_syn_without_a_target_is_dropped_while_entries_may_reappear():
    """An immediate reset would use up the client's attempts within milliseconds."""
    harness = DirectorHarness(trusted=False)
    assert harness.send(syn(1)) is Code.FLOW_UNSETTLED
    harness.directory.put(target(1), harness.now)
    assert harness.send(syn(1, earlier_syns=1)).name == "i-00000001"


def test_every_packet_of_a_flow_goes_to_one_target_at_any_instance():
    """Instances with different flow records, or none, agree because of the token."""
    targets = [target(number) for number in range(1, 6)]
    harnesses = [DirectorHarness(*[target(number) for number in range(1, 6)]) for _ in range(3)]
    rng = random.Random(5)
    for number in range(200):
        chosen = rng.choice(harnesses).send(syn(number))
        for step in range(5):
            decision = rng.choice(harnesses).send(data(number, chosen.token, seq=1001 + 100 * step))
            assert decision.name == chosen.name
    assert len({candidate.name for candidate in targets}) == 5


def test_an_unanswered_syn_is_retransmitted_to_the_same_target_once():
    """Two targets had a flow whose first answer was lost, and one reset it at another instance."""
    harness = DirectorHarness(target(1), target(2), target(3))
    first = harness.send(syn(1))
    assert harness.advance(SYN_TIMEOUT_S / 2) == []
    assert harness.advance(SYN_TIMEOUT_S) == [(b"bytes of the packet", first)]
    harness.answer_probes()
    assert harness.advance(SYN_TIMEOUT_S) == []
    assert harness.advance(10.0) == []


@pytest.mark.parametrize("earlier_syns", [0, 1, 2])
@pytest.mark.parametrize("since_s", [0.0, 0.02, 0.2, 0.6, 1.1])
def test_every_transmission_of_a_syn_goes_to_the_target_that_may_have_it(earlier_syns, since_s):
    """The host's answer may be lost or late, or the datagram doubled on its way."""
    harness = DirectorHarness(*[target(number) for number in range(1, 9)])
    for number in range(20):
        first = harness.send(syn(number))
        harness.advance(SYN_TIMEOUT_S if since_s > SYN_TIMEOUT_S else 0.0)
        harness.answer_probes()
        harness.advance(since_s)
        assert harness.send(syn(number, earlier_syns=earlier_syns)) is first
        assert all(found is first for _, found in harness.advance(SYN_TIMEOUT_S))
        harness.answer_probes()


@pytest.mark.parametrize(
    ("answered", "refused", "expected"),
    [(True, False, SAME), (False, True, OTHER), (False, False, OTHER), (None, False, OTHER)],
)
def test_a_syn_is_redirected_once_its_target_cannot_have_it(answered, refused, expected):
    """None stands for a connection attempt that is still unanswered."""
    harness = DirectorHarness(target(1), target(2), target(3))
    harness.directory.put(target(4, service="x"), harness.now)
    first = harness.send(syn(1))
    assert harness.advance(SYN_TIMEOUT_S) == [(b"bytes of the packet", first)]
    if answered is not None:
        harness.answer_probes(answered=answered, refused=refused)
        harness.director.take_resets()
    redirected = harness.advance(SYN_TIMEOUT_S)
    assert bool(redirected) == (expected == OTHER)
    assert all(found is not first for _, found in redirected)
    repeated = harness.advance(SYN_TIMEOUT_S)
    assert repeated == redirected
    assert sum(known.open_flows for known in harness.directory) == 1


@pytest.mark.parametrize("reported_by", ["probe", "hint"])
@pytest.mark.parametrize("responds", [True, False])
def test_a_syn_leaves_a_target_that_came_back_without_a_response(reported_by, responds):
    """Another target that got the address of one that is gone accepts connections, but no SYN."""
    harness = DirectorHarness(target(1), target(2))
    back = harness.open(1)
    harness.directory.put(target(3 - int(back.name[2:], 16), draining=True), harness.now)
    harness.now += 1.0
    if reported_by == "hint":
        harness.director.health.handle_hint(back.name, harness.now)
    else:
        harness.director.health.handle_probe_result(back, False, True, harness.now)
    harness.now += 2.0
    harness.director.health.take_probes()
    harness.director.health.handle_probe_result(back, True, False, harness.now)
    if responds:
        harness.send(data(1, back.token, ack=700))
    assert harness.send(syn(2)) is back
    harness.directory.put(target(3 - int(back.name[2:], 16)), harness.now)
    [(_, second)] = harness.advance(SYN_TIMEOUT_S)
    assert (second is back) == responds


def test_a_refused_connection_redirects_the_waiting_syns_at_once():
    harness = DirectorHarness(target(1), target(2))
    first = harness.send(syn(1))
    harness.advance(SYN_TIMEOUT_S)
    harness.answer_probes(answered=False, refused=True)
    assert harness.director.take_resets() == []
    assert harness.director.next_retransmission_at < harness.now
    [(_, second)] = harness.advance(0.0)
    assert second is not first
    assert (first.open_flows, second.open_flows) == (0, 1)


def test_a_syn_is_not_retransmitted_after_the_clients_own():
    """An instance that stood still redirected SYNs whose flows had opened elsewhere."""
    harness = DirectorHarness(target(1), target(2))
    harness.send(syn(1))
    harness.now += CLIENT_TIMEOUT_S
    assert harness.director.due_retransmissions(harness.now) == []
    harness.send(syn(2))
    harness.advance(SYN_TIMEOUT_S)
    assert harness.advance(CLIENT_TIMEOUT_S) == []


def test_a_syn_to_a_target_that_is_found_gone_is_retransmitted():
    harness = DirectorHarness(target(1), target(2))
    first = harness.send(syn(1))
    harness.directory.mark_gone(first)
    assert harness.director.take_resets() == []
    [(_, second)] = harness.advance(SYN_TIMEOUT_S)
    assert second is not first


def test_an_answered_syn_is_not_retransmitted():
    harness = DirectorHarness(target(1), target(2))
    harness.open(1)
    assert harness.advance(1.0) == []
    assert harness.counted()["syn_unanswered"] == 0


def test_syn_retransmissions_use_the_version_in_force():
    """A retransmission routed by an older version would be a regression for its client."""
    moved = Routes(2, {ROUTE: Route("r", (("tables", 1),))})
    harness = DirectorHarness(target(1), target(2), target(3, service="tables"))
    harness.send(syn(1))
    harness.routes.apply(moved, harness.now)
    assert harness.send(syn(1, earlier_syns=1)).service in ("intake", "tables")
    harness.now += 0.2
    assert harness.send(syn(1, earlier_syns=1)).service == "tables"
    harness = DirectorHarness(target(1), target(2), target(3, service="tables"))
    harness.send(syn(1))
    harness.routes.apply(moved, harness.now)
    assert [found.service for _, found in harness.advance(SYN_TIMEOUT_S)] == ["tables"]
    harness = DirectorHarness(target(1), target(2))
    harness.send(syn(1))
    harness.routes.apply(Routes(2, {}), harness.now)
    assert harness.advance(SYN_TIMEOUT_S) == []


def test_a_syn_is_not_redirected_to_the_only_target():
    harness = DirectorHarness(target(1))
    only = harness.send(syn(1))
    assert harness.advance(SYN_TIMEOUT_S) == [(b"bytes of the packet", only)]
    assert harness.advance(SYN_TIMEOUT_S) == []
    assert harness.advance(1.0) == []


def test_retransmissions_are_limited_when_no_target_answers():
    """Retransmissions must not double the new flows on targets that are slow from overload."""
    harness = DirectorHarness(*[target(number) for number in range(1, 9)])
    redirected = repeated = 0
    for number in range(400):
        first = harness.send(syn(number))
        repeated += harness.advance(SYN_TIMEOUT_S) == [(b"bytes of the packet", first)]
        redirected += len(harness.advance(SYN_TIMEOUT_S))
    # One transmission to the same target for each SYN, which adds no flow there.
    assert repeated <= 400
    assert redirected <= 20 + 0.3 * 400


@pytest.mark.parametrize("answer", ["first", "second"])
def test_a_late_answer_of_another_target_does_not_move_the_flow(answer):
    """Both targets answer the SYN: the client is on the first, but sends the later token."""
    harness = DirectorHarness(target(1), target(2))
    first = harness.send(syn(1))
    [(_, second)] = harness.redirect()
    on, late = (first, second) if answer == "first" else (second, first)
    assert harness.send(data(1, on.token, length=0)) is on
    for step, token in enumerate((late.token, late.token, on.token, late.token)):
        assert harness.send(data(1, token, seq=1001 + 100 * step, ack=600 + step)) is on
    assert (on.open_flows, late.open_flows) == (1, 0)


def test_open_flows_are_told_from_those_that_ended_or_never_opened():
    harness = DirectorHarness(target(1), target(2, draining=True))
    [only, other] = harness.directory
    harness.open(1)
    harness.open(2)
    harness.send(syn(3))
    harness.send(data(4, only.token))
    assert (only.open_flows, only.held_flows) == (4, 3)
    harness.send(fin(1, only.token))
    harness.send(fin(1, only.token))
    harness.send(data(2, only.token, length=0, flags=ACK | RST))
    assert (only.open_flows, only.held_flows) == (3, 1)
    harness.send(data(4, other.token, seq=1101, ack=3_000_000_000))
    assert (only.held_flows, other.held_flows) == (0, 1)
    harness.flows.sweep(1_000.0, 1.0)
    harness.flows.sweep(2_000.0, 1.0)
    assert (only.open_flows, only.held_flows, other.open_flows, other.held_flows) == (0, 0, 0, 0)


def test_a_flow_that_opened_through_another_instance_follows_its_token():
    """A SYN queued while this instance started creates a record with targets the flow isn't on.

    Guards against a reset of the flow when one of these targets is gone, as seen in two runs.
    """
    harness = DirectorHarness(target(1), target(2), target(3))
    first = harness.send(syn(1))
    [(_, second)] = harness.redirect()
    on = next(candidate for candidate in harness.directory if candidate not in (first, second))
    assert harness.send(data(1, on.token)) is on
    assert harness.send(data(1, on.token, seq=1101, ack=600)) is on
    assert (first.open_flows, second.open_flows, on.open_flows) == (0, 0, 1)
    for affected in (first, second):
        assert affected.last_response_at < harness.now
        harness.directory.mark_gone(affected)
    assert harness.director.take_resets() == []
    assert harness.send(data(1, on.token, seq=1201, ack=700)) is on


@pytest.mark.parametrize("opens_here", [True, False])
@pytest.mark.parametrize(
    ("last_ack", "ack", "stays"),
    [
        (500, 500, True),
        (500, 300, True),
        (500, 4_000_000, True),
        (500, 5_000_000, False),
        ((1 << 32) - 10, 90, True),
        # The port is used again, for a flow that opened through another instance.
        (500, 3_000_000_000, False),
        (500, (1 << 32) - 3_000_000, False),
        (2_000_000_000, 500, False),
    ],
)
def test_only_another_connection_moves_the_record_of_an_open_flow(opens_here, last_ack, ack, stays):
    """Late answers, also to SYNs that other instances sent, reset flows at their next packet."""
    harness = DirectorHarness(target(1), target(2))
    if opens_here:
        chosen = harness.send(syn(1))
    else:
        [chosen, _] = harness.directory
    assert harness.send(data(1, chosen.token, ack=last_ack)) is chosen
    other = next(candidate for candidate in harness.directory if candidate is not chosen)
    expected = chosen if stays else other
    for token in (other.token, chosen.token if stays else other.token, other.token):
        assert harness.send(data(1, token, seq=1101, ack=ack)) is expected
    assert (chosen.open_flows, other.open_flows) == ((1, 0) if stays else (0, 1))


def test_a_suspect_target_gets_no_new_flows_until_its_hold_ends():
    harness = DirectorHarness(target(1), target(2))
    suspect = harness.send(syn(1))
    harness.advance(SYN_TIMEOUT_S)
    for number in range(2, 12):
        assert harness.open(number) is not suspect
    harness.now += 8 * SUSPECT_S
    assert suspect in [harness.open(number) for number in range(20, 24)]
    assert suspect.unanswered_syns == 0


def test_simulated_failure_of_a_target_under_steady_load():
    """A flow starts every 10 ms and one of seven targets dies: few of the flows try it."""
    harness = DirectorHarness(*[target(number) for number in range(1, 8)])
    dead = harness.directory.find_by_token(target(3).token)
    late = 0
    for number in range(1, 501):
        chosen = harness.send(syn(number))
        resent = harness.advance(0.01)
        if chosen is not dead:
            harness.send(data(number, chosen.token, length=0))
            continue
        late += 1
        resent += harness.redirect()
        assert [found for _, found in resent if found is not dead]
    # Five seconds with holds of 1, 2, 4 s; without the holds a seventh of the flows, 71, try it.
    assert late <= 10


def test_requests_in_flight_weigh_more_than_idle_flows():
    harness = DirectorHarness(target(1), target(2))
    busy = harness.open(1)
    harness.send(data(1, busy.token))
    idle = harness.open(2)
    assert idle is not busy
    assert (busy.in_flight, idle.in_flight) == (1, 0)
    harness.send(data(1, busy.token, seq=1101, ack=900, length=0))
    assert busy.in_flight == 0


def stall(harness, flows=1):
    """Leaves requests without a response until their clients retransmit the data."""
    affected = [harness.open(number) for number in range(1, flows + 1)]
    for number, chosen in enumerate(affected, 1):
        harness.send(data(number, chosen.token))
    harness.now += 0.25
    for number, chosen in enumerate(affected, 1):
        harness.send(data(number, chosen.token))
    return affected[0]


def test_data_retransmitted_to_an_unresponsive_target_triggers_one_probe():
    harness = DirectorHarness(target(1))
    affected = stall(harness, flows=3)
    assert harness.director.health.take_probes() == [affected]
    assert harness.director.health.take_probes() == []
    harness.send(data(1, affected.token))
    assert harness.director.health.take_probes() == []


def test_retransmitted_data_triggers_no_probe_if_the_target_responds_to_others():
    harness = DirectorHarness(target(1))
    affected = harness.open(1)
    harness.send(data(1, affected.token))
    harness.now += 0.25
    harness.open(2)
    harness.send(data(1, affected.token))
    assert harness.director.health.take_probes() == []


@pytest.mark.parametrize(
    ("answered", "refused", "resets"), [(True, False, 0), (False, True, 2), (False, False, 2)]
)
def test_the_probe_result_decides_whether_flows_are_reset(answered, refused, resets):
    harness = DirectorHarness(target(1))
    affected = stall(harness, flows=2)
    harness.director.health.take_probes()
    harness.now += 0.3
    harness.director.health.handle_probe_result(affected, answered, refused, harness.now)
    flows = harness.director.take_resets()
    assert len(flows) == resets
    assert harness.director.take_resets() == []
    assert [flow.last_ack for flow in flows] == [500] * resets
    decision = harness.send(data(1, affected.token))
    assert (decision is Code.FLOW_TARGET_GONE) == bool(resets)
    assert affected.open_flows == (0 if resets else 2)


def test_a_target_that_responds_during_the_probe_keeps_its_flows():
    harness = DirectorHarness(target(1))
    affected = stall(harness)
    harness.now += 0.3
    affected.record_response(harness.now - UNRESPONSIVE_S / 2)
    harness.director.health.handle_probe_result(affected, False, False, harness.now)
    assert harness.director.take_resets() == []
    assert harness.send(data(1, affected.token)) is affected


def test_a_target_found_gone_causes_one_hint():
    harness = DirectorHarness(target(1))
    affected = stall(harness)
    harness.director.health.take_probes()
    harness.now += 0.3
    harness.director.health.handle_probe_result(affected, False, False, harness.now)
    assert harness.director.health.take_hints() == [affected.name]
    assert harness.director.health.take_hints() == []


@pytest.mark.parametrize(
    ("open_flows", "response_age_s", "gone", "known", "probes"),
    [
        (1, 5.0, False, True, 1),
        (0, 5.0, False, True, 0),
        (1, 0.1, False, True, 0),
        (1, 5.0, True, True, 0),
        (1, 5.0, False, False, 0),
    ],
    ids=["unresponsive with flows", "no flows", "responded recently", "already gone", "unknown"],
)
def test_a_hint_triggers_a_probe_but_no_resets(open_flows, response_age_s, gone, known, probes):
    harness = DirectorHarness(target(1))
    affected = harness.open(1)
    if not open_flows:
        harness.flows.remove(syn(1)[0])
    harness.now += response_age_s
    affected.gone = gone
    harness.director.health.handle_hint(affected.name if known else "i-99", harness.now)
    assert len(harness.director.health.take_probes()) == probes
    assert harness.director.take_resets() == []


def test_simulated_failure_of_a_target_with_a_flow_on_each_of_many_instances():
    """The first instance loses one request; the others reset their idle flows in time."""
    harnesses = [DirectorHarness(target(1)) for _ in range(30)]
    for harness in harnesses:
        harness.open(1)
        harness.now += 1.0
    first = harnesses[0]
    affected = first.directory.find_by_name(target(1).name)
    first.send(data(1, affected.token))
    first.now += 0.25
    first.send(data(1, affected.token))
    [probed] = first.director.health.take_probes()
    first.now += 0.3
    first.director.health.handle_probe_result(probed, False, False, first.now)
    [name] = first.director.health.take_hints()
    for harness in harnesses[1:]:
        harness.director.health.handle_hint(name, harness.now)
        for hinted in harness.director.health.take_probes():
            harness.director.health.handle_probe_result(hinted, False, False, harness.now + 0.3)
        [flow] = harness.director.take_resets()
        assert not flow.awaiting_response
        assert harness.director.health.take_hints() == []


@pytest.mark.parametrize(
    ("fault", "resets"),
    [
        (lambda harness, affected: harness.directory.remove(affected.name, harness.now), 0),
        (lambda harness, affected: harness.directory.put(target(1, started_ms=9), harness.now), 2),
        (
            lambda harness, affected: (
                harness.directory.put(target(1, draining=True), harness.now),
                harness.directory.remove(affected.name, harness.now),
            ),
            2,
        ),
        (
            lambda harness, affected: (
                harness.directory.remove(affected.name, harness.now),
                harness.directory.put(target(7, ip="10.0.0.1"), harness.now),
            ),
            2,
        ),
        (
            lambda harness, affected: (
                harness.directory.remove(affected.name, harness.now),
                harness.directory.expire(harness.now + 3, 0.0),
            ),
            2,
        ),
    ],
    ids=["unlisted", "restarted", "left", "address reused", "unlisted and expired"],
)
def test_idle_flows_of_a_target_that_is_gone_are_reset_before_the_next_request(fault, resets):
    """A request that can't be retried is lost if its flow is reset in response to it."""
    harness = DirectorHarness(target(1))
    affected = harness.open(1)
    harness.open(2)
    harness.open(3)
    harness.send(fin(3, affected.token))
    fault(harness, affected)
    assert len(harness.director.take_resets()) == resets


@pytest.mark.parametrize(
    ("sequence", "idle_s", "again", "kept"),
    [
        (9, 2.0, {}, True),
        (9, 12.0, {}, False),
        (1, 0.5, {}, True),
        (1, 2.0, {}, False),
        (0, 0.0, {}, False),
        (9, 2.0, {"ip": "10.9.9.9"}, False),
        (9, 2.0, {"service": "tables"}, False),
    ],
    ids=[
        "opened on it",
        "opened before it",
        "just started",
        "opened before its start",
        "unknown age",
        "elsewhere",
        "of another service",
    ],
)
def test_flows_opened_on_a_later_incarnation_are_kept_once_that_is_heard_of(
    sequence, idle_s, again, kept
):
    """An instance that starts while a late write stands lists the earlier incarnation.

    The number of heartbeats, 1.2 s apart, tells how long the later one has been up.
    """
    harness = DirectorHarness(target(1))
    earlier = harness.open(1)
    harness.send(data(1, earlier.token, ack=600))
    harness.now += idle_s
    later = target(1, started_ms=2, sequence=sequence, **again)
    harness.directory.put(later, harness.now)
    resets = harness.director.take_resets()
    assert [flow.key for flow in resets] == ([] if kept else [flow_key(1)])
    assert (later.open_flows, later.held_flows, later.in_flight) == (kept, kept, kept)
    assert (earlier.open_flows, earlier.held_flows, earlier.in_flight) == (0, 0, 0)
    if kept:
        assert harness.send(data(1, earlier.token, seq=1101, ack=700)) is later


def test_a_syn_that_a_later_incarnation_got_is_not_sent_to_another_target():
    harness = DirectorHarness(target(1), target(2, draining=True))
    harness.send(syn(1))
    harness.directory.put(target(2), harness.now)
    harness.now += 0.01
    later = target(1, started_ms=2, sequence=4)
    harness.directory.put(later, harness.now)
    assert harness.director.take_resets() == []
    assert harness.advance(SYN_TIMEOUT_S) == [(b"bytes of the packet", later)]


def test_a_listed_target_found_gone_is_probed_until_it_accepts():
    """After a partition of their zone ends, targets accept new flows again."""
    harness = DirectorHarness(target(1))
    affected = stall(harness)
    harness.director.health.take_probes()
    harness.director.health.handle_probe_result(affected, False, False, harness.now)
    assert harness.send(syn(50)) is Code.FLOW_NO_TARGET
    for _ in range(3):
        harness.now += PROBE_INTERVAL_S
        harness.director.tick(harness.now)
        assert harness.director.health.take_probes() == [affected]
        harness.director.health.handle_probe_result(affected, False, False, harness.now)
    assert harness.director.health.take_hints() == [affected.name]
    harness.now += PROBE_INTERVAL_S
    harness.director.tick(harness.now)
    harness.director.health.take_probes()
    harness.director.health.handle_probe_result(affected, True, False, harness.now)
    assert harness.send(syn(51)) is affected
    harness.now += PROBE_INTERVAL_S
    harness.director.tick(harness.now)
    assert harness.director.health.take_probes() == []


def test_probes_of_one_target_are_rate_limited():
    harness = DirectorHarness(target(1))
    affected = stall(harness)
    harness.director.health.take_probes()
    harness.director.health.handle_probe_result(affected, True, False, harness.now)
    harness.now += PROBE_INTERVAL_S / 2
    harness.send(data(1, affected.token))
    assert harness.director.health.take_probes() == []
    harness.now += PROBE_INTERVAL_S
    harness.send(data(1, affected.token))
    assert harness.director.health.take_probes() == [affected]


def test_a_reset_by_the_client_removes_the_record():
    harness = DirectorHarness(target(1))
    affected = harness.open(1)
    harness.send(data(1, affected.token, length=0, flags=ACK | RST))
    assert affected.open_flows == len(harness.flows) == 0


def test_a_reused_port_starts_a_new_flow():
    harness = DirectorHarness(target(1), target(2))
    first = harness.open(1)
    first.draining = True
    assert harness.send(syn(1, seq=9000)) is not first


def test_sequence_numbers_wrap():
    harness = DirectorHarness(target(1))
    affected = harness.send(syn(1))
    harness.send(data(1, affected.token, seq=0xFFFFFFF0, ack=0xFFFFFFF0, length=100))
    assert affected.in_flight == 1
    harness.send(data(1, affected.token, seq=84, ack=50, length=0))
    assert affected.in_flight == 0
    assert harness.counted()["packet_refused"] == 0


def respond(harness, number, chosen, *, request, sent):
    """Acknowledges a response; sent is the number of bytes that the target has sent by then."""
    harness.send(data(number, chosen.token, seq=1001 + 100 * request, ack=500 + sent, length=0))


def test_a_new_flow_is_refused_while_targets_are_overloaded():
    """A request takes 20 ms when the target is idle, and 0.2 s in a full queue."""
    harness = DirectorHarness(target(1), objective_s=0.1)
    flows = range(10, 28)
    for number in flows:
        chosen = harness.open(number)
        harness.send(data(number, chosen.token))
        harness.now += 0.02
        respond(harness, number, chosen, request=1, sent=2_000)
    assert harness.send(syn(1)) is chosen
    for number in flows:
        harness.send(data(number, chosen.token, seq=1101, ack=2_500))
    for delay_s, size, numbers in ((0.003, 147, flows[:6]), (0.2, 2_000, flows[6:])):
        harness.now += delay_s
        for number in numbers:
            respond(harness, number, chosen, request=2, sent=2_000 + size)
    assert harness.send(syn(2)) is Code.FLOW_OVERLOAD
    assert harness.send(data(10, chosen.token, seq=1201, ack=2_647)) is chosen
    # The flow of a retransmitted SYN may already be open through another instance.
    assert harness.send(syn(2, earlier_syns=1)) is chosen
    harness.now += 2.0
    assert harness.send(syn(3)) is chosen


def test_a_request_on_a_flow_opened_elsewhere_is_not_the_first():
    harness = DirectorHarness(target(1))
    harness.send(data(1, target(1).token, seq=5_000))
    assert harness.flows.get(syn(1)[0]).requests == 2
    harness.open(2)
    harness.send(data(2, target(1).token))
    assert harness.flows.get(syn(2)[0]).requests == 1
