"""Builders of targets and packets, and a director for the tests of pearwell.affinity."""

import random
from collections import Counter

from pearwell.affinity.director import ACK, FIN, SYN, Director
from pearwell.affinity.directory import Directory
from pearwell.affinity.flow_table import FlowTable
from pearwell.affinity.routes import Route, Routes, RouteTable
from pearwell.affinity.syn_retransmission import SYN_TIMEOUT_S
from pearwell.affinity.target import NEVER, Target

ROUTE = b"\x01\xbb\xc6\x12\x00\x01"
OTHER_ROUTE = b"\x01\xbb\xc6\x12\x00\x02"


def target(
    number,
    *,
    service="intake",
    zone="a",
    started_ms=1,
    draining=False,
    warmup_ends_at=NEVER,
    ip=None,
    slots=None,
    sequence=0,
):
    """Builds a target; its address follows from its number."""
    return Target(
        name=f"i-{number:08x}",
        tag=number.to_bytes(8, "big"),
        service=service,
        address=(ip or f"10.0.0.{number}", 8000),
        zone=zone,
        started_ms=started_ms,
        draining=draining,
        warmup_ends_at=warmup_ends_at,
        slots=slots,
        sequence=sequence,
    )


def flow_key(number, route=ROUTE):
    """Builds the key of a client's flow."""
    return number.to_bytes(2, "big") + b"\x64\x40\x00\x07" + route


def syn(number, *, earlier_syns=0, seq=1000, route=ROUTE):
    """Builds a SYN."""
    return flow_key(number, route), route, SYN, seq, earlier_syns, 0, 0


def data(number, token, *, seq=1001, ack=500, length=100, flags=ACK, route=ROUTE):
    """Builds a packet of an open flow."""
    return flow_key(number, route), route, flags, seq, ack, length, token


def fin(number, token):
    """Builds the FIN packet of a client."""
    return data(number, token, length=0, flags=ACK | FIN)


class DirectorHarness:
    """A director with targets, a clock that tests advance, and the logged events."""

    def __init__(
        self, *targets, zone="a", services=(("intake", 1),), trusted=True, objective_s=None
    ):
        self.now = 100.0
        self.zone = zone
        self.trusted = trusted
        self.complete_at = float("inf")
        self.directory = Directory()
        self.directory.replace(targets, self.now)
        self.routes = RouteTable()
        self.routes.apply(Routes(1, {ROUTE: Route("r", services, objective_s)}), self.now)
        self.events = []
        self.director = Director(
            zone,
            self.routes,
            self.directory,
            lambda now: self.trusted,
            self._log,
            random.Random(1).random,
            lambda: self.complete_at,
        )

    @property
    def flows(self) -> FlowTable:
        return self.director.flows

    def _log(self, event, **fields):
        self.events.append((event, fields))

    def counted(self):
        """Returns how often each event was logged."""
        return Counter(event for event, _ in self.events)

    def send(self, packet):
        """Passes a packet to the director and returns its decision."""
        return self.director.on_packet(packet, b"bytes of the packet", self.now)

    def open(self, number):
        """Opens a flow; returns its target."""
        chosen = self.send(syn(number))
        assert self.send(data(number, chosen.token, length=0)) is chosen
        return chosen

    def advance(self, seconds):
        """Advances the clock and returns the SYNs retransmitted by then."""
        self.now += seconds
        return self.director.due_retransmissions(self.now)

    def answer_probes(self, *, answered=True, refused=False):
        """Ends all connection attempts that were requested with a result."""
        for probed in self.director.health.take_probes():
            self.director.health.handle_probe_result(probed, answered, refused, self.now)

    def redirect(self):
        """Leaves the SYNs sent so far and connection attempts unanswered.

        Returns the transmissions to other targets.
        """
        self.advance(SYN_TIMEOUT_S)
        return self.advance(SYN_TIMEOUT_S)
