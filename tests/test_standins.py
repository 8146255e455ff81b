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


class Path:
    """Callers and targets; a function selects the target of each packet, or None to drop it."""

    def __init__(self, names, choose=lambda path, packet: path.targets["one"]):
        self.now = 0.0
        self.choose = choose
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
        core = self.choose(self, packet)
        if core is not None:
            core.receive(packet, self.now)


def test_a_flow_runs_each_request_once():
    path = Path(["one"])
    assert path.run() == {FlowOutcome.DONE: 1}
    assert path.runs() == [1] * REQUESTS
    assert path.targets["one"].open_flows == 0


def test_lost_packets_are_sent_again_and_run_once():
    rng = random.Random(7)

    def lossy(path, packet):
        return path.targets["one"] if rng.random() < 0.6 else None

    path = Path(["one"], lossy)
    assert path.run(until=60.0) == {FlowOutcome.DONE: 1}
    assert path.runs() == [1] * REQUESTS


def test_a_late_duplicate_is_not_run_again():
    seen = []

    def doubled(path, packet):
        for earlier in seen:
            path.targets["one"].receive(earlier, path.now)
        seen.append(packet)
        return path.targets["one"]

    path = Path(["one"], doubled)
    path.run()
    assert path.runs() == [1] * REQUESTS


@pytest.mark.parametrize(
    ("choose", "outcome"),
    [
        (lambda path, packet: None, FlowOutcome.BROKEN),
        (lambda path, packet: path.targets["two" if path.now > 1.0 else "one"], FlowOutcome.BROKEN),
    ],
)
def test_silence_and_a_changed_target_break_a_flow(choose, outcome):
    path = Path(["one", "two"], choose)
    assert path.run() == {outcome: 1}


def test_a_packet_of_another_service_is_misrouted():
    path = Path(["one"])
    assert path.run(TABLES) == {FlowOutcome.REFUSED: 1}
    assert path.targets["one"].ledger.misrouted == 1


@pytest.mark.parametrize(
    ("mode", "outcome"),
    [
        (TargetMode(max_open_flows=0), FlowOutcome.DONE),
        (TargetMode(max_open_flows=1), FlowOutcome.REFUSED),
        (TargetMode(silent=True), FlowOutcome.BROKEN),
    ],
)
def test_target_modes(mode, outcome):
    path = Path(["one"])
    core = path.targets["one"]
    core.receive(syn(50_000).packet(), 0.0)
    core.mode = mode
    assert path.run() == {outcome: 1}


def syn(port):
    ends = Endpoints.of(INTAKE.caller_address, port, INTAKE.address, INTAKE.port)
    return Segment(ends, Flags.SYN, 9)


def test_segments_survive_the_packet():
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


def test_the_fabric_sprays_over_all_instances():
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
