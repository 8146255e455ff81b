"""Where each packet goes: the decisions on flows of one instance.

A first packet (SYN) gets a target, whose token every later packet of the flow carries back. What
can't be served is reset at once, so that the client tries again elsewhere instead of waiting.

Load patterns answered here: targets that die or fall silent under steady load (a SYN without an
answer is sent on to another target long before the client's own copy; a flow on a target that is
certainly gone is reset with its next packet), and targets that leave while clients keep their
flows open (they are never reset).
"""

from collections import deque
from collections.abc import Callable, Iterable

from pearwell.affinity.chooser import ResponseTimes, choose_target
from pearwell.affinity.directory import Directory
from pearwell.affinity.flow_table import Flow, FlowTable
from pearwell.affinity.routes import Route, RouteTable
from pearwell.affinity.target import Target
from pearwell.errors import Code

__all__ = ["ACK", "FIN", "RST", "SYN", "Director", "Packet", "Send"]

# Flags of a packet as the wire of the platform has them; the adapter checks that they agree.
SYN, ACK, RST, FIN = 1, 8, 16, 32

# A SYN's answer takes one round trip to the client and one to the target, at most 10 ms on any
# site; the rest is for an instance or target that gets the processor late. Clients send their own
# copy after 200 ms.
SYN_ANSWER_S = 0.045
# Copies of SYNs that an instance may send on its own, as a share of flow starts and as a reserve,
# so that targets slowed by load aren't loaded further.
RESEND_SHARE = 0.3
RESEND_RESERVE = 20.0
# A target that left SYNs unanswered gets no new flow for this time, doubled with each strike.
SUSPECT_S = 0.5
MAX_SUSPECT_S = 4.0
# Silence after which data sent again calls for a probe; clients send again after 200 ms.
STALL_S = 0.18
# Pause between two probes of one target.
PROBE_PAUSE_S = 1.0

_HALF = 1 << 31
_MASK = (1 << 32) - 1

# A packet as decisions see it: flow key, route address, flags, seq, ack, data length, token.
Packet = tuple[bytes, bytes, int, int, int, int, int]
# A packet to send again: its bytes and the target.
Send = tuple[bytes, Target]


def _newer(value: int, than: int) -> bool:
    """Whether one 32-bit sequence number comes after another."""
    return 0 < (value - than) & _MASK < _HALF


class Director:
    """Decides for every packet.

    Args:
        zone: Own availability zone.
        routes: Routes in force.
        directory: Targets.
        trusts_listing: Whether the listing of targets is complete and fresh, so that a token
            without a target belongs to none that lives.
        log: Takes an event's name and its fields.
    """

    def __init__(
        self,
        zone: str,
        routes: RouteTable,
        directory: Directory,
        trusts_listing: Callable[[float], bool],
        log: Callable[..., None],
    ) -> None:
        self._zone = zone
        self._routes = routes
        self._directory = directory
        self._trusts_listing = trusts_listing
        self._log = log
        self._flows = FlowTable()
        self._unanswered: deque[tuple[float, Flow]] = deque()
        self._resend_tokens = RESEND_RESERVE
        self._probes: list[Target] = []
        self._hints: list[str] = []
        self._counts: dict[str, int] = {}
        # Of the own zone's targets, by service.
        self._responses: dict[str, ResponseTimes] = {}
        self._queueing: set[str] = set()

    @property
    def flows(self) -> FlowTable:
        """Records of flows."""
        return self._flows

    @property
    def counts(self) -> dict[str, int]:
        """Decisions so far, by name."""
        return self._counts

    @property
    def next_due(self) -> float | None:
        """Time in seconds of the clock at which due() has something to do."""
        return self._unanswered[0][0] if self._unanswered else None

    def on_packet(self, packet: Packet, data: bytes, now: float) -> Target | Code:
        """Returns where a packet goes, or the code for which it is reset or dropped.

        Args:
            packet: The decoded header.
            data: The whole packet, kept while a SYN has no answer.
            now: Current time in seconds of the clock.
        """
        if packet[2] & SYN:
            return self._on_start(packet, data, now)
        key, address, flags, seq, ack, length, token = packet
        if self._routes.find(address) is None and not self._may_lag(address, token):
            return self._refuse(Code.FLOW_NO_ROUTE, packet)
        flow = self._flows.get(key)
        if flow is not None and flow.opened and flow.target.token == token:
            # Most packets; saves the look-up by token.
            target: Target | None = flow.target
        else:
            target = self._target_of(flow, token)
        if target is None:
            known = self._trusts_listing(now)
            return self._refuse(Code.FLOW_UNKNOWN_TOKEN if known else Code.FLOW_UNSETTLED, packet)
        if flow is None:
            flow = self._flows.add(key, target)
            if flow is not None:
                flow.opened = True
                flow.acked = ack
        if flow is not None:
            self._observe(flow, flags, seq, ack, length, now)
        if target.gone and not flags & RST:
            self._flows.remove(key)
            return self._refuse(Code.FLOW_TARGET_GONE, packet, target)
        return target

    def due(self, now: float) -> list[Send]:
        """Returns SYNs to send again, to targets other than those that left them unanswered."""
        sends: list[Send] = []
        while self._unanswered and self._unanswered[0][0] <= now:
            _, flow = self._unanswered.popleft()
            if flow.opened or flow.ended or not flow.syn:
                continue
            self._strike(flow.target, flow, now)
            route = self._routes.find(flow.address)
            target = self._resend_target(flow, route, now) if route is not None else None
            if target is None:
                continue
            self._resend_tokens -= 1
            self._start(flow, target, now)
            self._count("syn_resent")
            self._log("syn_resent", flow=flow.key, target=target.name, tried=len(flow.tried))
            sends.append((flow.syn, target))
        return sends

    def take_probes(self) -> list[Target]:
        """Returns the targets that a connection attempt shall settle, each once."""
        probes, self._probes = self._probes, []
        return probes

    def take_hints(self) -> list[str]:
        """Returns the names of targets that were found gone here, to tell other instances."""
        hints, self._hints = self._hints, []
        return hints

    def hinted(self, name: str, now: float) -> None:
        """Takes another instance's word that a target is gone, and tries it if it has flows."""
        target = self._directory.of_name(name)
        if target is None:
            return
        target.hinted = True
        if target.gone or not target.open_flows:
            return
        if now - target.life_at >= STALL_S:
            self._probe(target, now)

    def probed(self, target: Target, answered: bool, refused: bool, now: float) -> None:
        """Takes the result of a connection attempt to a target's address.

        A refused attempt means that the target's program has ended. Silence on the attempt as well
        as on the target's flows means that it or the path to it is down; nothing of its flows
        comes through either way.
        """
        target.probing = False
        target.probed_at = now
        silent = now - target.life_at >= STALL_S
        self._log(
            "target_probed", target=target.name, answered=answered, refused=refused, silent=silent
        )
        if answered and target.gone and target.listed:
            self._come_back(target)
        if answered or not silent or target.gone:
            return
        self._directory.end(target)
        self._suspect(target, now)
        self._count("target_found_gone")
        if not target.hinted:
            self._hints.append(target.name)

    def take_resets(self) -> list[Flow]:
        """Returns the flows on targets that are gone, to be reset.

        A flow that is reset between two requests costs its client nothing but a new flow. Reset
        with its next request, one that can't be repeated would be lost.
        """
        ended = self._directory.take_ended()
        if not ended:
            return []
        held = [flow for flow in self._flows.on_targets(ended) if not flow.ended]
        for flow in held:
            waiting = flow.waiting
            self._flows.remove(flow.key)
            self._count(Code.FLOW_TARGET_GONE.name)
            self._log(
                "flow_reset",
                flow=flow.key,
                target=flow.target.name,
                code=int(Code.FLOW_TARGET_GONE),
                waiting=waiting,
            )
        return [flow for flow in held if flow.opened]

    def tick(self, now: float) -> None:
        """Does what is due each second.

        Idle flows are forgotten, the reserve of resends grows, and listed targets that were found
        gone are tried again.
        """
        self._flows.sweep(now, self._routes.idle_s)
        self._resend_tokens = min(RESEND_RESERVE, self._resend_tokens + 1.0)
        for target in self._directory:
            if target.gone:
                self._probe(target, now)

    def _on_start(self, packet: Packet, data: bytes, now: float) -> Target | Code:
        key, address, _, seq, copy, _, _ = packet
        route = self._routes.find(address)
        if route is None:
            return self._refuse(Code.FLOW_NO_ROUTE, packet)
        flow = self._flows.get(key)
        if flow is not None and flow.syn_seq != seq:
            flow = None
        if flow is not None and flow.opened:
            return flow.target
        if flow is not None and copy and now - flow.syn_at < SYN_ANSWER_S:
            # The copy crossed with one that was just sent on.
            return flow.target
        tried = flow.tried if flow is not None else ()
        target = self._choose(route, tried, key, now)
        if target is None:
            # A target may be listed before the client's next copy, 200 or 400 ms from now.
            settled = self._trusts_listing(now)
            return self._refuse(Code.FLOW_NO_TARGET if settled else Code.FLOW_UNSETTLED, packet)
        if flow is None:
            flow = self._flows.add(key, target)
            self._resend_tokens = min(RESEND_RESERVE, self._resend_tokens + RESEND_SHARE)
        if flow is None:
            return target
        flow.syn, flow.syn_seq = data, seq
        self._start(flow, target, now)
        self._count("flows_started" if not copy else "flow_copies")
        self._log(
            "flow_started",
            flow=key,
            route=route.name,
            target=target.name,
            copy=copy,
            version=self._routes.version,
            open=target.open_flows,
            in_flight=target.in_flight,
        )
        return target

    def _start(self, flow: Flow, target: Target, now: float) -> None:
        if target is not flow.target:
            flow.move(target)
        if target not in flow.tried:
            flow.tried.append(target)
        flow.syn_at = now
        self._unanswered.append((now + SYN_ANSWER_S, flow))

    def _choose(
        self, route: Route, tried: Iterable[Target], key: bytes, now: float
    ) -> Target | None:
        service = route.service_of(key)
        targets = self._directory.of_service(service)
        queues = self._zone_queues(service, now)
        return choose_target(targets, self._zone, tried, key, now, zone_queues=queues)

    def _zone_queues(self, service: str, now: float) -> bool:
        """Whether requests seem to queue at the own zone's targets of a service."""
        times = self._responses.get(service)
        if times is None:
            return False
        queues = times.show_queues(now)
        if queues != (service in self._queueing):
            if queues:
                self._queueing.add(service)
            else:
                self._queueing.remove(service)
            self._log(
                "zone_queues" if queues else "zone_queues_end",
                service=service,
                zone=self._zone,
                response_ms=round(1000 * times.latest_s),
                usual_ms=round(1000 * times.usual_s),
            )
        return queues

    def _resend_target(self, flow: Flow, route: Route, now: float) -> Target | None:
        """Returns another target for an unanswered SYN if one may be tried now."""
        if self._resend_tokens < 1 or len(flow.tried) > 1:
            return None
        target = self._choose(route, flow.tried, flow.key, now)
        return None if target in flow.tried else target

    def _may_lag(self, address: bytes, token: int) -> bool:
        """Whether a flow without a route may be of a version that isn't in force here yet."""
        known = self._directory.of_token(token) is not None
        return known and not self._routes.was_dropped(address)

    def _target_of(self, flow: Flow | None, token: int) -> Target | None:
        """Returns the target that a packet of an open flow belongs to.

        A client carries the token that it got last, but is on the target that answered first. The
        first packet after the SYN tells which one that is; the record keeps it against late
        answers of the others that got a copy. A token of yet another target means that the record
        is of no use, for example as the flow opened through another instance.
        """
        told = self._directory.of_token(token)
        if flow is None:
            return told
        if flow.opened and any(target.token == token for target in flow.tried):
            return flow.target
        if told is None:
            return flow.target if flow.opened else None
        if told is not flow.target:
            flow.move(told)
        if flow.opened:
            flow.tried = []
        elif told not in flow.tried:
            flow.tried.append(told)
        return told

    def _observe(self, flow: Flow, flags: int, seq: int, ack: int, length: int, now: float) -> None:
        """Reads a packet for signs of load, life and silence of the flow's target."""
        target = flow.target
        if not flow.opened:
            flow.opened = True
            flow.syn = b""
            flow.acked = ack
            target.alive(now)
        elif ack != flow.acked and _newer(ack, flow.acked):
            flow.acked = ack
            if flow.waiting and target.zone == self._zone:
                times = self._responses.get(target.service)
                if times is None:
                    times = self._responses[target.service] = ResponseTimes()
                times.take(now - flow.sent_at, now)
            flow.settle()
            target.alive(now)
            if target.gone and target.listed:
                self._come_back(target)
        if length:
            end = (seq + length) & _MASK
            if flow.sent_end < 0 or _newer(end, flow.sent_end):
                flow.sent_end = end
                flow.wait(now)
            else:
                self._sent_again(flow, now)
        if flags & (FIN | RST):
            flow.ended = True
            flow.settle()
        if flags & RST:
            self._flows.remove(flow.key)

    def _come_back(self, target: Target) -> None:
        target.gone = False
        target.hinted = False
        self._log("target_back", target=target.name)

    def _sent_again(self, flow: Flow, now: float) -> None:
        target = flow.target
        self._count("data_sent_again")
        if now - max(target.life_at, flow.sent_at) < STALL_S or not flow.waiting:
            return
        self._probe(target, now)

    def _probe(self, target: Target, now: float) -> None:
        if not target.probing and now - target.probed_at >= PROBE_PAUSE_S:
            target.probing = True
            self._probes.append(target)

    def _strike(self, target: Target, flow: Flow, now: float) -> None:
        """Counts a SYN without an answer, unless the target has answered others since."""
        if target.life_at >= flow.syn_at:
            return
        target.strikes += 1
        self._suspect(target, now)
        self._count("syn_unanswered")
        self._log(
            "syn_unanswered",
            flow=flow.key,
            target=target.name,
            strikes=target.strikes,
            life_age=round(now - target.life_at, 3) if target.life_at > 0 else -1,
        )
        if target.open_flows > 1:
            self._probe(target, now)

    def _suspect(self, target: Target, now: float) -> None:
        hold = min(MAX_SUSPECT_S, SUSPECT_S * 2 ** min(target.strikes, 4))
        target.suspect_until = now + hold

    def _refuse(self, code: Code, packet: Packet, target: Target | None = None) -> Code:
        self._count(code.name)
        self._log(
            "packet_refused",
            flow=packet[0],
            code=int(code),
            start=bool(packet[2] & SYN),
            token=packet[6],
            target=target.name if target else "-",
            version=self._routes.version,
        )
        return code

    def _count(self, name: str) -> None:
        self._counts[name] = self._counts.get(name, 0) + 1
