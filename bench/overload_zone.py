"""Simulation of clients, instances and targets for the overload benchmark, in virtual time.

The instances run the decisions of pearwell.affinity. Clients keep flows open or open one for each
request, retry at once after a reset and with a short backoff after a request was shed, and
give up at their deadline.
"""

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from zlib import crc32

from bench.overload_model import Deployment, Events, Host, Kind
from pearwell.affinity.director import ACK, FIN, SYN, Director, Packet
from pearwell.affinity.directory import Directory
from pearwell.affinity.routes import Route, Routes, RouteTable
from pearwell.affinity.syn_retransmission import SYN_TIMEOUT_S
from pearwell.affinity.target import Target
from pearwell.errors import Code

__all__ = ["Outcome", "Simulation"]

# One-way delays in seconds: between a client and its zone, and between two zones.
CLIENT_S, ZONE_S = 0.0012, 0.0005
DELAYED_ACK_S = 0.04
RETRIES = 2
# Backoff in seconds before a retry of a request that was shed; doubled for the second retry.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.08
SYN_COPIES_S = (0.2, 0.6)
SYN_GIVE_UP_S = 1.4
IDLE_CLOSE_S = 12.0
PROBE_TIMEOUT_S = 0.3
WORK_SIGMA = 0.5
MAX_WORK_FACTOR = 6.0
REQUEST_BYTES, RESPONSE_BYTES, SHED_BYTES = 200, 1_500, 147
# First and longest interval in seconds between retransmissions of data.
RETRANSMIT_S, MAX_RETRANSMIT_S = 0.2, 1.6


@dataclass(slots=True)
class Outcome:
    """Results of one kind of request."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0


@dataclass(slots=True)
class _Request:
    kind: Kind
    client: "_Client"
    sent_at: float
    work_s: float
    tries: int = 0
    flow: "_Flow | None" = None
    ended: bool = False


@dataclass(slots=True)
class _Client:
    zone: int
    address: bytes
    idle: dict[str, list["_Flow"]]


@dataclass(slots=True)
class _Flow:
    key: bytes
    client: _Client
    kind: Kind
    token: int = 0
    host: Host | None = None
    service: str = ""
    remote_s: float = 0.0
    seq: int = 1
    ack: int = 1
    handshaken: bool = False
    # Whether a request has reached the host before the end of the handshake.
    pending: bool = False
    waiting: _Request | None = None
    closed: bool = False
    used_at: float = 0.0
    generation: int = 0


def _route(kind: Kind, admission: bool) -> Route:
    # Flows of a route without an objective are never refused.
    objective_s = kind.aim_s if admission else None
    return Route(kind.name, kind.services, objective_s, kind.deadline_s, kind.priority)


class Simulation:
    """Clients, instances and targets of one deployment.

    Args:
        deployment: Size and load.
        seed: Seed of all random choices.
        factor: Load at a time in a zone, as a multiple of the usual one.
        admission: Whether new flows may be refused because of overload.
        kind_factor: Load of a kind at a time, as a multiple of its share of the load.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        factor: Callable[[float, int], float],
        admission: bool = True,
        kind_factor: Callable[[float, str], float] = lambda now, kind: 1.0,
    ) -> None:
        self.events = Events()
        self.rng = random.Random(seed)
        self._deployment = deployment
        self._factor = factor
        self._kind_factor = kind_factor
        self.hosts: dict[str, Host] = {}
        self.services: dict[str, list[Host]] = {}
        self._routes = {
            kind.name: (8000 + number).to_bytes(2, "big") + b"\xc6\x12\x00\x01"
            for number, kind in enumerate(deployment.kinds)
        }
        self._admission = admission
        self._tables: list[RouteTable] = []
        targets = self._add_hosts()
        self.directors = [
            [
                self._new_director(str(zone), [build() for build in targets])
                for _ in range(instances)
            ]
            for zone, instances in enumerate(deployment.instances)
        ]
        self.change_routes(deployment.kinds)
        self._ports = count(1024)
        self._open: dict[bytes, _Flow] = {}
        # By second, name of the kind and zone of the client.
        self.outcomes: dict[tuple[int, str, int], Outcome] = {}
        # Requests served in time, by second, name of the kind and service.
        self.in_time: Counter[tuple[int, str, str]] = Counter()
        # Refused flows, by the second of the refusal.
        self.refusals: Counter[int] = Counter()
        self.refused_with_free_slots = self.sheds = 0
        self._clients = [
            [
                _Client(zone, bytes((100, 64 + zone, number >> 8, number & 255)), {})
                for number in range(clients)
            ]
            for zone, clients in enumerate(deployment.clients)
        ]
        for zone in range(len(deployment.clients)):
            self._schedule_arrival(zone)
        self.events.after(1.0, self._tick)

    def _add_hosts(self) -> list[Callable[[], Target]]:
        """Adds the hosts; returns a builder for each one's target, as each instance has its own."""
        targets: list[Callable[[], Target]] = []
        for service, by_zone in self._deployment.targets.items():
            zones = [zone for zone, hosts in enumerate(by_zone) for _ in range(hosts)]
            for zone in zones:
                number = len(targets) + 1
                name = f"i-{number:08x}"
                tag, address = number.to_bytes(8, "big"), ("10.0.0.1", number)
                slots = self._deployment.slots_of(number)
                host = Host(self.events, slots, self._deployment.queue)
                self.hosts[name] = host
                self.services.setdefault(service, []).append(host)
                told = slots if self._deployment.tells_slots else None
                targets.append(partial(Target, name, tag, service, address, str(zone), slots=told))
        return targets

    def _new_director(self, zone: str, targets: list[Target]) -> Director:
        directory, table = Directory(), RouteTable()
        directory.replace(targets, 0.0)
        self._tables.append(table)
        random_number, ignore = self.rng.random, lambda *_, **__: None
        return Director(
            zone, table, directory, lambda now: True, ignore, random_number, lambda: float("inf")
        )

    def change_routes(self, kinds: tuple[Kind, ...]) -> None:
        """Applies a configuration with the routes of kinds in all instances."""
        by_address = {self._routes[kind.name]: _route(kind, self._admission) for kind in kinds}
        for table in self._tables:
            table.apply(Routes(table.version + 2, by_address, 15.0), self.events.now)

    def run(self, seconds: float) -> None:
        """Runs the simulation up to a time."""
        self.events.run_until(seconds)

    # Clients.

    def _schedule_arrival(self, zone: int) -> None:
        rate = self._deployment.requests_per_s[zone] * self._factor(self.events.now, zone)
        rate *= sum(self._kind_shares()) / sum(kind.share for kind in self._deployment.kinds)
        self.events.after(self.rng.expovariate(rate), self._arrive, zone)

    def _kind_shares(self) -> list[float]:
        now = self.events.now
        return [kind.share * self._kind_factor(now, kind.name) for kind in self._deployment.kinds]

    def _arrive(self, zone: int) -> None:
        self._schedule_arrival(zone)
        kinds = self._deployment.kinds
        kind = self.rng.choices(kinds, self._kind_shares())[0]
        mu = math.log(kind.work_s) - WORK_SIGMA**2 / 2
        work_s = min(self.rng.lognormvariate(mu, WORK_SIGMA), MAX_WORK_FACTOR * kind.work_s)
        client = self.rng.choice(self._clients[zone])
        request = _Request(kind, client, self.events.now, work_s)
        self._outcome(request).asked += 1
        self.events.after(kind.deadline_s, self._give_up, request)
        self._try(request)

    def _outcome(self, request: _Request) -> Outcome:
        key = (int(request.sent_at), request.kind.name, request.client.zone)
        return self.outcomes.setdefault(key, Outcome())

    def _try(self, request: _Request) -> None:
        if request.ended:
            return
        request.tries += 1
        idle = request.client.idle.setdefault(request.kind.name, [])
        if request.kind.keeps_flow and request.tries == 1 and idle:
            flow = idle.pop()
            flow.generation += 1
            self._send_request(flow, request)
            return
        port = next(self._ports) & 0xFFFF
        key = port.to_bytes(2, "big") + request.client.address + self._routes[request.kind.name]
        flow = _Flow(key, request.client, request.kind, waiting=request)
        request.flow = flow
        self.events.after(CLIENT_S, self._on_syn, flow, 0)

    def _retry(self, request: _Request, delay_s: float) -> None:
        if request.tries > RETRIES:
            self._end(request, "failed")
        else:
            self.events.after(delay_s, self._try, request)

    def _give_up(self, request: _Request) -> None:
        if not request.ended:
            self._end(request, "failed")
            if request.flow is not None:
                request.flow.closed = True
                request.flow.waiting = None

    def _end(self, request: _Request, result: str) -> None:
        if not request.ended:
            request.ended = True
            outcome = self._outcome(request)
            setattr(outcome, result, getattr(outcome, result) + 1)

    # Packets.

    def _director(self, flow: _Flow) -> Director:
        directors = self.directors[flow.client.zone]
        return directors[crc32(flow.key) % len(directors)]

    def _decide(self, flow: _Flow, flags: int, length: int, earlier_syns: int = 0) -> Target | Code:
        director = self._director(flow)
        ack = earlier_syns if flags & SYN else flow.ack
        token = 0 if flags & SYN else flow.token
        packet: Packet = (flow.key, flow.key[6:], flags, flow.seq, ack, length, token)
        decision = director.on_packet(packet, b"packet", self.events.now)
        self._probe(director)
        return decision

    def _probe(self, director: Director) -> None:
        for target in director.health.take_probes():
            answer_s = PROBE_TIMEOUT_S if self.hosts[target.name].dark else CLIENT_S
            self.events.after(answer_s, self._on_probed, director, target)

    def _on_probed(self, director: Director, target: Target) -> None:
        answered = not self.hosts[target.name].dark
        director.health.handle_probe_result(target, answered, False, self.events.now)
        others = [other for zone in self.directors for other in zone if other is not director]
        for name in director.health.take_hints():
            for other in others:
                other.health.handle_hint(name, self.events.now)
                self._probe(other)
        for record in director.take_resets():
            self._on_reset(self._open[record.key])

    def _on_reset(self, flow: _Flow) -> None:
        idle = flow.client.idle[flow.kind.name]
        if flow in idle:
            idle.remove(flow)
        request, flow.waiting, flow.closed = flow.waiting, None, True
        if request is not None:
            self._on_lost(request)

    def _on_lost(self, request: _Request) -> None:
        """Handles the loss of a request that may have run."""
        if request.kind.kind == "non_idempotent":
            self._end(request, "failed")
        else:
            self._retry(request, CLIENT_S)

    def _on_syn(self, flow: _Flow, earlier_syns: int) -> None:
        request = flow.waiting
        if request is None or request.ended or flow.host is not None:
            return
        decision = self._decide(flow, SYN, 0, earlier_syns)
        if isinstance(decision, Code):
            self.refusals[int(self.events.now)] += 1
            services = [service for service, weight in flow.kind.services if weight]
            if any(host.has_free_slot for name in services for host in self.services[name]):
                self.refused_with_free_slots += 1
            flow.closed = True
            self._retry(request, 2 * CLIENT_S)
            return
        if not self._reach(flow, decision):
            self.events.after(SYN_TIMEOUT_S, self._on_due, flow)
            if not earlier_syns:
                for number, at in enumerate(SYN_COPIES_S, 1):
                    self.events.after(at, self._on_syn, flow, number)
                self.events.after(SYN_GIVE_UP_S, self._on_syn_timeout, flow)

    def _on_syn_timeout(self, flow: _Flow) -> None:
        if flow.host is None and flow.waiting is not None:
            request, flow.waiting = flow.waiting, None
            self._retry(request, 0.0)

    def _on_due(self, flow: _Flow) -> None:
        director = self._director(flow)
        for _, target in director.due_retransmissions(self.events.now):
            if flow.host is None and flow.waiting is not None:
                self._reach(flow, target)

    def _reach(self, flow: _Flow, target: Target) -> bool:
        host = self.hosts[target.name]
        if host.dark:
            return False
        flow.host, flow.service, flow.token = host, target.service, target.token
        flow.remote_s = ZONE_S if target.zone != str(flow.client.zone) else 0.0
        self._open[flow.key] = flow
        host.open(lambda: self._on_handshaken(flow, host))
        self.events.after(CLIENT_S + flow.remote_s, self._on_opened, flow)
        return True

    def _on_opened(self, flow: _Flow) -> None:
        if flow.waiting is not None:
            self._send_request(flow, flow.waiting)

    def _send_request(self, flow: _Flow, request: _Request) -> None:
        request.flow, flow.waiting = flow, request
        flow.generation += 1
        self.events.after(CLIENT_S, self._on_data, flow, request, RETRANSMIT_S)

    def _on_data(self, flow: _Flow, request: _Request, timeout_s: float) -> None:
        if request.ended or flow.waiting is not request or flow.closed:
            return
        decision = self._decide(flow, ACK, REQUEST_BYTES)
        if isinstance(decision, Code):
            flow.waiting, flow.closed = None, True
            self._on_lost(request)
            return
        host = flow.host
        assert host is not None
        if host.dark:
            next_s = min(MAX_RETRANSMIT_S, 2 * timeout_s)
            self.events.after(timeout_s, self._on_data, flow, request, next_s)
            return
        if flow.handshaken:
            self._serve(flow, host, request)
        else:
            flow.pending = True

    def _on_handshaken(self, flow: _Flow, host: Host) -> None:
        flow.handshaken = True
        request = flow.waiting
        if flow.pending and request is not None and not request.ended and not host.dark:
            self._serve(flow, host, request)

    def _serve(self, flow: _Flow, host: Host, request: _Request) -> None:
        host.request(request.work_s, lambda ran: self._respond(flow, request, ran))

    def _respond(self, flow: _Flow, request: _Request, ran: bool) -> None:
        if flow.host is not None and not flow.host.dark:
            self.sheds += not ran
            self.events.after(CLIENT_S + flow.remote_s, self._on_response, flow, request, ran)

    def _on_response(self, flow: _Flow, request: _Request, ran: bool) -> None:
        if flow.waiting is not request or flow.closed:
            return
        flow.waiting = None
        flow.seq += REQUEST_BYTES
        flow.ack += RESPONSE_BYTES if ran else SHED_BYTES
        now = self.events.now
        if ran:
            in_time = now - request.sent_at <= request.kind.aim_s
            self._end(request, "in_time" if in_time else "late")
            self.in_time[int(request.sent_at), request.kind.name, flow.service] += in_time
        else:
            low, high = MIN_BACKOFF_S * request.tries, MAX_BACKOFF_S * request.tries
            self._retry(request, self.rng.uniform(low, high))
        if flow.kind.keeps_flow:
            flow.used_at = now
            flow.client.idle.setdefault(flow.kind.name, []).append(flow)
            delay = CLIENT_S if ran and flow.kind.packets > 1 else CLIENT_S + DELAYED_ACK_S
            self.events.after(delay, self._on_ack, flow, flow.generation, ACK)
            self.events.after(IDLE_CLOSE_S, self._on_idle, flow)
        else:
            flow.closed = True
            self.events.after(CLIENT_S, self._on_ack, flow, flow.generation, ACK | FIN)

    def _on_ack(self, flow: _Flow, generation: int, flags: int) -> None:
        # Data sent meanwhile has carried the acknowledgement.
        if flow.generation == generation:
            self._decide(flow, flags, 0)

    def _on_idle(self, flow: _Flow) -> None:
        idle = flow.client.idle[flow.kind.name]
        if flow in idle and self.events.now - flow.used_at >= IDLE_CLOSE_S - 0.01:
            idle.remove(flow)
            flow.closed = True
            self._decide(flow, ACK | FIN, 0)

    def _tick(self) -> None:
        self.events.after(1.0, self._tick)
        for zone in self.directors:
            for director in zone:
                director.tick(self.events.now)
                self._probe(director)
