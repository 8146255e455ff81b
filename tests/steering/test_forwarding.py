"""Tests of pearwell.steering.forwarding."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from pearwell.clock import ManualClock
from pearwell.errors import Code
from pearwell.model.configuration import Configuration
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.steering.flow_meter import FlowMeter
from pearwell.steering.forwarding import Forwarder
from pearwell.steering.ip import unpack_packet
from pearwell.steering.packet import service_key
from pearwell.steering.verdict import Action, FlowEvent, Verdict
from tests.packets import SERVICE_ADDRESSES, tcp_packet, udp_packet

SERVICES = (
    ServiceSpec("intake", SERVICE_ADDRESSES[4], 443, TransportProtocol.TCP, "intake"),
    ServiceSpec("tables", SERVICE_ADDRESSES[6], 443, TransportProtocol.TCP, "tables"),
    ServiceSpec("reports", SERVICE_ADDRESSES[4], 443, TransportProtocol.UDP, "reports"),
)
CONFIGURATION = Configuration(services={service.name: service for service in SERVICES})
ADDRESSES = {service.group: ("127.0.0.1", 1 + i) for i, service in enumerate(SERVICES)}
SEED_PACKETS = (
    tcp_packet(),
    tcp_packet(6, flags=0x10, data=b"abc"),
    udp_packet(data=b"abc"),
    udp_packet(6),
    tcp_packet(port=444),
)


class FakeTable:
    """A table of two buckets, both on one target or without a slot."""

    seed = 0
    mask = 1

    def __init__(self, group, address):
        self.group = group
        self.slots = [address, address]

    def start_target(self, bucket):
        return self.group


class FakeDecider:
    """Returns the table of each group and records the calls of decide."""

    def __init__(self, verdict=None, stable=True, owner=None):
        self.calls = []
        self._verdict = verdict
        self._owner = owner
        self._tables = {
            group: FakeTable(group, address if stable else None)
            for group, address in ADDRESSES.items()
        }

    def table(self, group):
        return self._tables.get(group)

    def decide(self, table, flow_hash, event, *, from_peer=False, has_payload=False):
        self.calls.append((table.group, event, from_peer))
        return self._verdict or Verdict(Action.FORWARD, ADDRESSES[table.group], "t")

    def pass_to_owner(self, flow_hash):
        return self._owner


class FakeLimits:
    """Limits every service and returns one code, or limits none."""

    def __init__(self, code=None):
        self.calls = []
        self.ended_flows = []
        self._code = code

    def limited(self, service):
        return self._code is not None

    def admit(self, service, caller_prefix, target, flow_hash):
        self.calls.append((service, caller_prefix, target))
        return self._code

    def ended(self, service, target):
        self.ended_flows.append((service, target))


def make_forwarder(decider, limits=None):
    replies = []
    meter = FlowMeter(ManualClock())
    forwarder = Forwarder(decider, limits or FakeLimits(), meter, replies.append)
    forwarder.configure(CONFIGURATION)
    return forwarder, replies


def forward(forwarder, packet):
    return forwarder.forward(bytearray(packet), len(packet))


@pytest.mark.parametrize(
    ("packet", "group"),
    [
        (tcp_packet(flags=0x10), "intake"),
        (tcp_packet(6, flags=0x10), "tables"),
        (udp_packet(), "reports"),
    ],
)
def test_stable_buckets_need_no_decision(packet, group):
    decider = FakeDecider()
    forwarder, _ = make_forwarder(decider)
    buffer = bytearray(packet)
    assert forwarder.forward(buffer, len(buffer)) == ADDRESSES[group]
    assert decider.calls == []
    assert forwarder.counts == {(Action.FORWARD, Code.OK): 1}
    assert unpack_packet(bytes(buffer)).data.dport == 443
    assert buffer != packet


@pytest.mark.parametrize("from_peer", [False, True])
def test_moving_buckets_are_decided_by_steering(from_peer):
    decider = FakeDecider(stable=False)
    forwarder, _ = make_forwarder(decider)
    packet = bytearray(tcp_packet(flags=0x10))
    assert forwarder.forward(packet, len(packet), from_peer=from_peer) == ADDRESSES["intake"]
    assert decider.calls == [("intake", FlowEvent.NONE, from_peer)]


@pytest.mark.parametrize(
    ("verdict", "replies"),
    [
        (Verdict(Action.REFUSE, None, "", Code.TARGET_DEAD), 1),
        (Verdict(Action.DROP, None, "", Code.PACKET_NO_TARGET), 0),
    ],
)
def test_refused_and_dropped_packets_are_not_forwarded(verdict, replies):
    forwarder, sent = make_forwarder(FakeDecider(verdict, stable=False))
    assert forward(forwarder, tcp_packet(flags=0x10)) is None
    assert len(sent) == replies
    assert forwarder.counts == {(verdict.action, verdict.code): 1}


@pytest.mark.parametrize("from_peer", [False, True])
def test_a_refused_start_is_reset_without_a_decision(from_peer):
    decider, limits = FakeDecider(), FakeLimits(Code.REFUSED_SERVICE_RATE)
    forwarder, replies = make_forwarder(decider, limits)
    packet = bytearray(tcp_packet())
    assert forwarder.forward(packet, len(packet), from_peer=from_peer) is None
    assert (len(replies), decider.calls) == (1, [])
    assert limits.calls == [("intake", b"\xcb\x00\x71", "intake")]
    assert forwarder.counts == {(Action.REFUSE, Code.REFUSED_SERVICE_RATE): 1}


@pytest.mark.parametrize(
    ("limited", "from_peer", "passed"),
    [(True, False, True), (False, False, False), (True, True, False)],
)
def test_starts_of_limited_services_are_passed_to_their_owner(limited, from_peer, passed):
    owner = Verdict(Action.PASS, ("127.0.0.9", 9))
    limits = FakeLimits(Code.OK if limited else None)
    forwarder, _ = make_forwarder(FakeDecider(owner=owner), limits)
    packet = bytearray(tcp_packet())
    address = forwarder.forward(packet, len(packet), from_peer=from_peer)
    assert address == (owner.address if passed else ADDRESSES["intake"])
    assert bool(limits.calls) == (limited and not passed)


def test_only_the_first_end_of_a_flow_is_counted():
    limits = FakeLimits()
    forwarder, _ = make_forwarder(FakeDecider(), limits)
    for flags in (0x10, 0x11, 0x11, 0x14):
        assert forward(forwarder, tcp_packet(flags=flags)) == ADDRESSES["intake"]
    assert limits.ended_flows == [("intake", "t")]


@pytest.mark.parametrize(
    ("packet", "code"),
    [
        (b"", Code.PACKET_TRUNCATED),
        (tcp_packet(port=444), Code.PACKET_UNKNOWN_ADDRESS),
        (tcp_packet()[:8] + b"\x01" + tcp_packet()[9:], Code.PACKET_TTL_EXPIRED),
    ],
)
def test_dropped_packets_are_counted_by_code(packet, code):
    forwarder, _ = make_forwarder(FakeDecider())
    assert forward(forwarder, packet) is None
    assert forwarder.counts == {(Action.DROP, code): 1}


def test_a_service_without_placement_has_no_target():
    forwarder, _ = make_forwarder(FakeDecider())
    unplaced = ServiceSpec("new", SERVICE_ADDRESSES[4], 444, TransportProtocol.TCP, "unplaced")
    forwarder.configure(Configuration(services={"new": unplaced}))
    assert forward(forwarder, tcp_packet(port=444)) is None
    assert forwarder.counts == {(Action.DROP, Code.PACKET_NO_TARGET): 1}


def _mutate(seed, changes, cut):
    packet = bytearray(seed)
    for offset, value in changes:
        packet[offset % len(packet)] = value
    return bytes(packet[: len(packet) - cut])


MUTATED_PACKETS = st.builds(
    _mutate,
    st.sampled_from(SEED_PACKETS),
    st.lists(st.tuples(st.integers(0, 80), st.integers(0, 255)), max_size=4),
    st.sampled_from((0, 0, 0, 1, 20)),
)


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(
    st.one_of(st.binary(max_size=120), MUTATED_PACKETS), st.booleans(), st.booleans(), st.booleans()
)
@example(SEED_PACKETS[0], True, False, False)
def test_no_bytes_raise_or_reach_another_service(packet, stable, from_peer, refuse):
    verdict = Verdict(Action.REFUSE, None, "", Code.TARGET_DEAD) if refuse else None
    forwarder, replies = make_forwarder(FakeDecider(verdict, stable))
    address = forwarder.forward(bytearray(packet), len(packet), from_peer=from_peer)
    assert forwarder.counts.total() == 1
    if address is None:
        return
    inner = unpack_packet(packet)
    matching = [
        service.group
        for service in SERVICES
        if service_key(service.address, service.port, service.protocol)[:-3] == inner.dst
        and service.port == inner.data.dport
        and service.protocol == inner.p
    ]
    assert matching
    assert address == ADDRESSES[matching[0]]
    assert replies == []
