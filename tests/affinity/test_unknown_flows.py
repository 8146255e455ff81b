"""Tests of pearwell.affinity.unknown_flows."""

import pytest

from pearwell.affinity.unknown_flows import ASK_INTERVAL_S, MAX_AGE_S, MAX_FLOWS, UnknownFlows


class Harness:
    def __init__(self):
        self.complete_at = 0.0
        self.flows = UnknownFlows(lambda: self.complete_at)

    def take(self, now, known=()):
        return [flow for flow, _, _ in self.flows.take_refuted(known.__contains__, now)]


def test_a_token_is_refuted_by_a_listing_of_after_its_first_packet():
    harness = Harness()
    assert not harness.flows.add(b"a", 7, 1, 10.0)
    for complete_at in (9.0, 10.0):
        harness.complete_at = complete_at
        assert not harness.flows.add(b"a", 7, 1, 10.2)
    harness.complete_at = 10.1
    assert harness.flows.add(b"a", 7, 1, 10.2)


def test_another_token_of_a_flow_counts_from_its_own_first_packet():
    """A target may start again under its name, so an earlier listing refutes nothing."""
    harness = Harness()
    harness.flows.add(b"a", 7, 1, 10.0)
    harness.complete_at = 10.1
    assert not harness.flows.add(b"a", 8, 1, 10.2)
    assert harness.take(10.2) == []
    harness.complete_at = 10.3
    assert harness.take(10.4) == [b"a"]


@pytest.mark.parametrize(
    ("known", "now", "refuted"), [((), 10.5, [b"a"]), ((7,), 10.5, []), ((), 10.1 + MAX_AGE_S, [])]
)
def test_flows_whose_target_is_known_or_whose_client_gave_up_are_forgotten(known, now, refuted):
    harness = Harness()
    harness.flows.add(b"a", 7, 1, 10.0)
    harness.complete_at = 10.2
    assert harness.take(now, known) == refuted
    assert harness.take(now) == []


def test_the_store_is_asked_at_most_once_in_an_interval():
    harness = Harness()
    asked = 0
    for step in range(100):
        harness.flows.add(b"%d" % step, 7, 1, 10.0 + step / 100)
        asked += harness.flows.take_request()
    assert asked == round(1.0 / ASK_INTERVAL_S)
    assert not harness.flows.take_request()


def test_the_number_of_flows_is_bounded():
    harness = Harness()
    for number in range(MAX_FLOWS + 10):
        harness.flows.add(b"%d" % number, 7, 1, 10.0)
    harness.complete_at = 11.0
    assert len(harness.take(11.0)) == MAX_FLOWS
