"""Tests of pearwell.affinity.held_syns, and of the start of an instance after a loss of power."""

import pytest

from pearwell.affinity.director import ACK, RST
from pearwell.affinity.held_syns import MAX_HELD, HeldSyns
from pearwell.affinity.lifecycle import SYN_LIFETIMES_S
from pearwell.affinity.routes import Route, Routes
from pearwell.affinity.target import Target
from pearwell.errors import Code
from tests.affinity.builders import OTHER_ROUTE, ROUTE, data, fin, flow_key, syn, target
from tests.affinity.test_instance import make


def test_the_latest_transmission_is_held_in_the_order_of_arrival():
    held = HeldSyns()
    for flow, packet in ((b"a", b"a1"), (b"b", b"b1"), (b"a", b"a2")):
        assert held.add(flow, packet, 0, 0.0)
    assert held.take(0.1) == [b"a2", b"b1"]
    assert held.take(0.1) == []


@pytest.mark.parametrize(("earlier_syns", "lifetime_s"), [*enumerate(SYN_LIFETIMES_S)])
@pytest.mark.parametrize(("share", "count"), [(0.0, 1), (1.0, 1), (1.1, 0)])
def test_a_syn_whose_client_has_sent_it_again_or_given_up_is_dropped(
    earlier_syns, lifetime_s, share, count
):
    """Its flow may have opened through another instance."""
    held = HeldSyns()
    held.add(b"a", b"a1", earlier_syns, 0.0)
    assert len(held.take(share * lifetime_s)) == count


def test_the_number_of_held_syns_is_bounded():
    held = HeldSyns()
    assert all(held.add(flow_key(number), b"", 0, 0.0) for number in range(MAX_HELD))
    assert not held.add(flow_key(MAX_HELD), b"", 0, 0.0)
    assert held.add(flow_key(0), b"", 0, 0.1)


@pytest.mark.parametrize(
    ("packets", "left"),
    [
        ((), 1),
        ((data(1, 7, length=0, flags=ACK | RST),), 0),
        ((fin(1, 7),), 0),
        ((data(2, 7),), 1),
    ],
)
def test_the_syn_of_a_flow_that_goes_on_elsewhere_is_dropped(packets, left):
    instance, _ = make()
    instance.directory.replace([target(1)], 0.0)
    instance.director.on_packet(syn(1), b"", 0.0)
    for packet in packets:
        instance.director.on_packet(packet, b"", 0.1)
    assert len(instance.director.take_held_syns(0.2)) == left


CONFIGURATION_S = 0.6
REQUESTS_PER_S = 100


def test_open_flows_go_on_before_a_large_configuration_has_arrived():
    """The targets are known 60 ms after the start, the configuration 600 ms after it.

    Clients send their SYNs again after 200 ms; the latest one of each is served.
    """
    instance, _ = make()
    targets = [target(number) for number in range(1, 11)]
    instance.directory.replace(targets, 0.0)
    assert instance.forward_if_synced() and not instance.start_if_synced()
    decisions, new_flows = [], []
    requests = round(CONFIGURATION_S * REQUESTS_PER_S)
    copies_after = round(SYN_LIFETIMES_S[0] * REQUESTS_PER_S)
    for number in range(1, requests):
        now = number / REQUESTS_PER_S
        if number > copies_after:
            again = number - copies_after
            copy = syn(1000 + again, earlier_syns=1)
            is_held = instance.director.on_packet(copy, b"%d" % again, now) is Code.FLOW_HELD
            decisions.append(is_held)
        owner = targets[number % len(targets)]
        decisions.append(instance.director.on_packet(data(number, owner.token), b"", now) is owner)
        packet = syn(1000 + number)
        new_flows.append(packet)
        is_held = instance.director.on_packet(packet, b"%d" % number, now) is Code.FLOW_HELD
        decisions.append(is_held)
    assert all(decisions)
    instance.routes.apply(Routes(1, {ROUTE: Route("r", (("intake", 1),))}), CONFIGURATION_S)
    assert instance.start_if_synced()
    held = instance.director.take_held_syns(CONFIGURATION_S)
    assert sorted(held, key=int) == [b"%d" % number for number in range(1, requests)]
    for packet in new_flows:
        chosen = instance.director.on_packet(packet, b"", CONFIGURATION_S)
        assert isinstance(chosen, Target)


@pytest.mark.parametrize(
    ("packet", "decision"),
    [
        # Another instance knows what these are.
        (data(1, 12345), Code.FLOW_UNSETTLED),
        (data(1, 12345, route=OTHER_ROUTE), Code.FLOW_UNSETTLED),
        (syn(1, route=OTHER_ROUTE), Code.FLOW_HELD),
    ],
)
def test_nothing_is_reset_before_the_configuration_has_arrived(packet, decision):
    instance, _ = make()
    instance.directory.replace([target(1)], 0.0)
    instance.target_scheduler.on_list((0, 5), 0.0)
    assert instance.director.on_packet(packet, b"", 0.3) is decision
