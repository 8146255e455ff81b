"""Tests of the caller, fabric and target stand-ins, wired together without sockets."""

import random

import pytest

from pearwell.standins.caller import CallerCore, CallerService, FlowOutcome, FlowPlan
from pearwell.standins.fabric import Fabric
from pearwell.standins.segment import Endpoints, Flags, Segment, read_segment
from pearwell.standins.target import TargetConfig, TargetCore, TargetMode

INTAKE = CallerService("intake", "198.51.100.10", 443, "203.0.113.5")
TABLES = CallerService("tables", "2001:db8::20", 5432, "2001:db8:1::5")
REQUESTS = 3


class Harness:
    """Callers and targets; a function selects the target of each packet, or None to drop it."""

    def __init__(self, names, select_target=lambda harness, packet: harness.targets["one"]):
        self.now = 0.0
        self.select_target = select_target
        self.callers = CallerCore(self._to_target, random.Random(1))
        self.targets = {
            name: TargetCore(
                TargetConfig(name, "127.10.7.1", 1, 2, ((INTAKE.address, INTAKE.port),)),
                lambda packet: self.callers.receive(packet, self.now),
            )
            for name in names
        }

    def run(self, service=INTAKE, until=30.0):
        self.callers.add(FlowPlan(service, 0.0, REQUESTS, 0.5))
        while self.now < until:
            self.callers.tick(self.now)
            self.now += 0.1
        return dict(self.callers.outcomes)

    def runs(self):
        return [n for core in self.targets.values() for n in core.ledger.runs.values()]

    def _to_target(self, packet):
        core = self.select_target(self, packet)
        if core is not None:
            core.receive(packet, self.now)


def test_a_flow_runs_each_request_once():
    harness = Harness(["one"])
    assert harness.run() == {FlowOutcome.DONE: 1}
    assert harness.runs() == [1] * REQUESTS
    assert harness.targets["one"].open_flows == 0


def test_retransmitted_requests_run_once():
    rng = random.Random(7)

    def lossy(harness, packet):
        return harness.targets["one"] if rng.random() < 0.6 else None

    harness = Harness(["one"], lossy)
    assert harness.run(until=60.0) == {FlowOutcome.DONE: 1}
    assert harness.runs() == [1] * REQUESTS


def test_a_late_duplicate_is_not_run_again():
    earlier_packets = []

    def replaying(harness, packet):
        for earlier in earlier_packets:
            harness.targets["one"].receive(earlier, harness.now)
        earlier_packets.append(packet)
        return harness.targets["one"]

    harness = Harness(["one"], replaying)
    harness.run()
    assert harness.runs() == [1] * REQUESTS


@pytest.mark.parametrize(
    ("select_target", "outcome"),
    [
        (lambda harness, packet: None, FlowOutcome.BROKEN),
        (
            lambda harness, packet: harness.targets["two" if harness.now > 1.0 else "one"],
            FlowOutcome.BROKEN,
        ),
    ],
)
def test_unresponsive_or_changed_target_breaks_a_flow(select_target, outcome):
    harness = Harness(["one", "two"], select_target)
    assert harness.run() == {outcome: 1}


def test_packet_of_another_service_counts_as_misrouted():
    harness = Harness(["one"])
    assert harness.run(TABLES) == {FlowOutcome.REFUSED: 1}
    assert harness.targets["one"].ledger.misrouted == 1


@pytest.mark.parametrize(
    ("mode", "outcome"),
    [
        (TargetMode(max_open_flows=0), FlowOutcome.DONE),
        (TargetMode(max_open_flows=1), FlowOutcome.REFUSED),
        (TargetMode(silent=True), FlowOutcome.BROKEN),
    ],
)
def test_target_modes_determine_the_outcome_of_a_flow(mode, outcome):
    harness = Harness(["one"])
    core = harness.targets["one"]
    core.receive(syn(50_000).packet(), 0.0)
    core.mode = mode
    assert harness.run() == {outcome: 1}


def syn(port):
    endpoints = Endpoints.of(INTAKE.caller_address, port, INTAKE.address, INTAKE.port)
    return Segment(endpoints, Flags.SYN, 9)


def test_segments_are_read_as_written():
    assert read_segment(syn(1).packet()) == syn(1)
    assert read_segment(b"") is None


class RecordingSocket:
    """Records the destinations of packets; refuses to send while it is full."""

    def __init__(self):
        self.sent = []
        self.full = False

    def sendto(self, packet, address):
        if self.full:
            raise BlockingIOError
        self.sent.append(address)


def test_fabric_sends_to_all_instances():
    sock = RecordingSocket()
    fabric = Fabric(sock, random.Random(1))
    fabric.send(b"x")
    fabric.set_instances([("127.10.7.1", 1), ("127.10.7.2", 1)])
    for _ in range(20):
        fabric.send(b"x")
    sock.full = True
    fabric.send(b"x")
    assert set(sock.sent) == set(fabric.instances)
    assert fabric.dropped == 2
