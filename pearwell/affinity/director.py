"""Forwarding decisions of one instance: the target of each packet.

The first packet of a flow (SYN) is assigned a target, whose token every later packet of the flow
carries. Flows that can't be served are reset at once, so that the client retries elsewhere instead
of waiting.

The SYN of a flow goes to one target only, as long as that target may have the flow. When a target
is gone or unreachable, its unanswered SYNs are retransmitted to another one, and once it is
confirmed gone its flows are reset. Flows on a target that drains while clients keep them open are
never reset.
"""

from collections.abc import Callable

from pearwell.affinity.directory import Directory
from pearwell.affinity.flow_placement import FlowPlacement, NewFlow
from pearwell.affinity.flow_table import SEQ_MASK, Flow, FlowTable, is_after
from pearwell.affinity.held_syns import HeldSyns
from pearwell.affinity.routes import Route, RouteTable
from pearwell.affinity.syn_retransmission import Step, SynRetransmission
from pearwell.affinity.target import Target
from pearwell.affinity.target_health import TargetHealth
from pearwell.errors import Code

# True for type checkers only: the module is imported only where a service has health checks.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from pearwell.affinity.failing_targets import FailingTargets
    from pearwell.affinity.unknown_flows import UnknownFlows

__all__ = ["ACK", "FIN", "RST", "SYN", "Director", "Packet", "Retransmission"]

# Packet flags as the platform encodes them.
SYN, ACK, RST, FIN = 1, 8, 16, 32

# Decoded packet header: flow key, route address, flags, seq, ack, data length, token.
Packet = tuple[bytes, bytes, int, int, int, int, int]
# A retransmission: the packet's bytes and the target.
Retransmission = tuple[bytes, Target]


class Director:
    """Selects the target of every packet.

    Args:
        zone: Availability zone of this instance.
        routes: Routes in force.
        directory: Targets.
        trusts_listing: Whether the listing of targets is complete and fresh, so that an unknown
            token belongs to no live target.
        log: Logs an event's name and its fields.
        random: Returns random numbers between 0 and 1.
        complete_at: Returns the clock time in seconds until which all targets are known.
    """

    def __init__(
        self,
        zone: str,
        routes: RouteTable,
        directory: Directory,
        trusts_listing: Callable[[float], bool],
        log: Callable[..., None],
        random: Callable[[], float],
        complete_at: Callable[[], float],
    ) -> None:
        self._complete_at = complete_at
        self._routes = routes
        self._directory = directory
        self._trusts_listing = trusts_listing
        self._log = log
        self._flows = FlowTable()
        self._placement = FlowPlacement(zone, directory, random, log)
        self._retransmission = SynRetransmission()
        self._counts: dict[str, int] = {}
        self._health = TargetHealth(directory, log, self._count)
        self._failing: FailingTargets | None = None
        self._holds_flows = False
        self._held_syns = HeldSyns()
        # Created with the first unknown token.
        self._unknown: UnknownFlows | None = None

    @property
    def flows(self) -> FlowTable:
        """Flows that pass through this instance."""
        return self._flows

    @property
    def placement(self) -> FlowPlacement:
        """Selection of the targets of new flows."""
        return self._placement

    @property
    def health(self) -> TargetHealth:
        """Health of the targets."""
        return self._health

    @property
    def counts(self) -> dict[str, int]:
        """Number of decisions and events so far, by name."""
        return self._counts

    @property
    def next_retransmission_at(self) -> float | None:
        """Clock time in seconds for the next call of due_retransmissions(); None if not needed."""
        return self._retransmission.next_at

    def hold_flows(self) -> None:
        """Holds the SYNs of new flows until accept_flows()."""
        self._holds_flows = True

    def accept_flows(self) -> None:
        """Accepts new flows from now on."""
        self._holds_flows = False

    def take_held_syns(self, now: float) -> list[bytes]:
        """Returns the SYNs held so far, to be handled now."""
        return self._held_syns.take(now)

    def watch_failures(self) -> "FailingTargets":
        """Starts to find targets that serve nothing, and returns what finds them."""
        from pearwell.affinity.failing_targets import FailingTargets

        self._failing = FailingTargets(self._directory, self._log, self._count)
        self._placement.add_limit(self._failing)
        return self._failing

    def on_packet(self, packet: Packet, data: bytes, now: float) -> Target | Code:
        """Returns the target of a packet, or the code with which it is reset or dropped.

        Args:
            packet: The decoded header.
            data: The whole packet; a SYN is kept until it is answered.
            now: Current time in seconds of the clock.
        """
        if packet[2] & SYN:
            if self._holds_flows:
                held = self._held_syns.add(packet[0], data, packet[4], now)
                return self._refuse(Code.FLOW_HELD if held else Code.FLOW_UNSETTLED, packet)
            return self._on_syn(packet, data, now)
        key, address, flags, seq, ack, length, token = packet
        if self._holds_flows:
            self._held_syns.discard(key)
        if self._routes.find(address) is None and self._routes.was_removed(address):
            unsettled = self._holds_flows
            return self._refuse(Code.FLOW_UNSETTLED if unsettled else Code.FLOW_NO_ROUTE, packet)
        flow = self._flows.get(key)
        if flow is not None and flow.opened and flow.target.token == token:
            # Fast path for most packets: no lookup by token.
            target: Target | None = flow.target
        else:
            target = self._target_of(flow, token, ack)
        if target is None:
            return self._refuse_unknown(packet, now)
        if flow is None:
            if self._unknown is not None:
                self._unknown.discard(key)
            flow = self._flows.add(key, target)
            if flow is not None:
                flow.record_opened(now)
                flow.requests = 1
                flow.last_ack = ack
        if flow is not None:
            if self._failing is not None:
                route = self._routes.find(address)
                if flags & (FIN | RST):
                    self._failing.forget_withheld(key)
                elif length and self._failing.withholds(flow, route, seq + length, data, now):
                    return self._refuse(Code.FLOW_WITHHELD, packet, target)
            self._observe(flow, flags, seq, ack, length, now)
        if target.gone and not flags & RST:
            self._flows.remove(key)
            return self._refuse(Code.FLOW_TARGET_GONE, packet, target)
        return target

    def due_retransmissions(self, now: float) -> list[Retransmission]:
        """Returns unanswered SYNs to retransmit, each with its target."""
        retransmissions: list[Retransmission] = []
        for flow, step in self._retransmission.take_due(now):
            flow.unanswered_syns += 1
            self._record_unanswered_syn(flow, step, now)
            target = self._retransmission_target(flow, step, now)
            if step == Step.REPEAT and target in (None, flow.target):
                self._retransmission.add_redirect(flow, now)
            if target is None:
                continue
            if target is flow.target:
                self._placement.record_start(target, now)
            else:
                self._retransmission.spend()
                self._record_syn(flow, target, now)
            self._count("syn_resent")
            self._log("syn_resent", flow=flow.key, target=target.name, tried=len(flow.tried))
            retransmissions.append((flow.syn, target))
        return retransmissions

    def take_store_request(self) -> bool:
        """Whether the store is to be asked now for changes, as a token is unknown."""
        return self._unknown is not None and self._unknown.take_request()

    def take_unknown_resets(self, now: float) -> list[tuple[bytes, int]]:
        """Returns the flows to reset whose targets turned out to be gone: key and latest ack."""
        if self._unknown is None or not self._trusts_listing(now):
            return []
        return self._unknown.take_resets(self._directory, now, self._log, self._count)

    def take_resets(self) -> list[Flow]:
        """Returns the flows to reset because their targets are gone.

        A reset between two requests only makes the client open a new flow. A reset in response to
        the next request would lose that request if it can't be retried.
        """
        newly_gone = self._directory.take_newly_gone()
        if not newly_gone:
            return []
        flows = [flow for flow in self._flows.on_targets(newly_gone) if not flow.ended]
        if any(target.successor is not None for target in newly_gone):
            # Imported with the first restart of a target, to keep the start fast.
            from pearwell.affinity.successors import follow_successors

            flows = follow_successors(flows)
        for flow in flows:
            if not flow.opened and flow.syn:
                self._retransmission.redirect_at_once(flow)
                continue
            waiting = flow.awaiting_response
            self._flows.remove(flow.key)
            self._count(Code.FLOW_TARGET_GONE.name)
            self._log(
                "flow_reset",
                flow=flow.key,
                target=flow.target.name,
                code=int(Code.FLOW_TARGET_GONE),
                waiting=waiting,
            )
        return [flow for flow in flows if flow.opened]

    def tick(self, now: float) -> None:
        """Runs periodic work; called every second.

        Removes idle flows, refills the retransmission budget and probes listed targets that were
        found gone.
        """
        self._flows.sweep(now, self._routes.idle_s)
        self._placement.tick(now)
        self._retransmission.tick()
        self._health.tick(now)

    def _refuse_unknown(self, packet: Packet, now: float) -> Code:
        """Returns the code for a packet of an open flow whose token is unknown."""
        key, _, flags, _, ack, _, token = packet
        if self._unknown is None:
            # Imported with the first one, to keep the start fast.
            from pearwell.affinity.unknown_flows import UnknownFlows

            self._unknown = UnknownFlows(self._complete_at)
        if flags & RST:
            self._unknown.discard(key)
            return self._refuse(Code.FLOW_UNSETTLED, packet)
        is_refuted = self._unknown.add(key, token, ack, now) and self._trusts_listing(now)
        return self._refuse(Code.FLOW_UNKNOWN_TOKEN if is_refuted else Code.FLOW_UNSETTLED, packet)

    def _on_syn(self, packet: Packet, data: bytes, now: float) -> Target | Code:
        key, address, _, seq, earlier_syns, _, _ = packet
        if self._unknown is not None:
            self._unknown.discard(key)
        route = self._routes.find(address)
        if route is None:
            return self._refuse(Code.FLOW_NO_ROUTE, packet)
        flow = self._flows.get(key)
        if flow is not None and flow.syn_seq != seq:
            flow = None
        if flow is not None and flow.opened:
            self._placement.record_start(flow.target, now)
            return flow.target
        target: Target | None
        if flow is not None and self._may_have_flow(flow, route, now):
            target, refused = flow.target, False
        else:
            tried = flow.tried if flow is not None else ()
            is_first = flow is None and not earlier_syns
            target, refused = self._placement.place(NewFlow(key, route, tried, is_first), now)
        if refused:
            return self._refuse(Code.FLOW_OVERLOAD, packet, target)
        if target is None:
            # A target may be listed before the client retransmits, 200 or 400 ms from now.
            listing_trusted = self._trusts_listing(now)
            return self._refuse(
                Code.FLOW_NO_TARGET if listing_trusted else Code.FLOW_UNSETTLED, packet
            )
        if flow is None:
            flow = self._flows.add(key, target)
            self._retransmission.refill_for_flow()
        if flow is None:
            self._placement.record_start(target, now)
            return target
        flow.syn, flow.syn_seq = data, seq
        self._record_syn(flow, target, now)
        self._count("flows_started" if not earlier_syns else "flow_copies")
        self._log(
            "flow_started",
            flow=key,
            route=route.name,
            target=target.name,
            copy=earlier_syns,
            version=self._routes.version,
            open=target.open_flows,
            in_flight=target.in_flight,
        )
        return target

    def _record_syn(self, flow: Flow, target: Target, now: float) -> None:
        if target is not flow.target:
            flow.reassign(target)
        if target not in flow.tried:
            flow.tried.append(target)
        self._placement.record_start(target, now)
        self._retransmission.add(flow, now)

    def _record_unanswered_syn(self, flow: Flow, step: str, now: float) -> None:
        limit = self._placement.flow_limit
        sent_again = flow.unanswered_syns > 1
        if limit is not None and limit.record_unanswered_syn(flow.target, now, sent_again):
            self._count("syn_to_full_target")
        elif step == Step.REPEAT:
            self._health.record_unanswered_syn(flow, now)

    def _may_have_flow(self, flow: Flow, route: Route, now: float) -> bool:
        """Whether the target that a SYN was sent to may have the flow, so that no other may get it.

        Its answer may be lost or late. A target that must not get new flows any more doesn't count.
        """
        target = flow.target
        return (
            (target.listed or target.lapsed)
            and not (target.gone or target.doubted or target.draining or target.token_conflict)
            and route.allows(target.service)
            and not self._health.is_unreachable(target, now)
            and self._placement.allows_repeat(flow, now)
        )

    def _retransmission_target(self, flow: Flow, step: str, now: float) -> Target | None:
        """Returns the target for an unanswered SYN, or None if it must not be sent again."""
        route = self._routes.find(flow.address)
        if route is None:
            return None
        if self._may_have_flow(flow, route, now):
            return flow.target if step == Step.REPEAT else None
        if not self._retransmission.allows_redirect(flow):
            return None
        target, _ = self._placement.place(NewFlow(flow.key, route, flow.tried, False), now)
        return None if target in flow.tried else target

    def _target_of(self, flow: Flow | None, token: int, ack: int) -> Target | None:
        """Returns the target of a packet that is not a SYN.

        A client sends the token that it received last, but its connection is with the target that
        answered the SYN first. The first packet after the SYN identifies that target; the record
        keeps it, whatever other targets answer later and whichever instance sent them the SYN. The
        client's acknowledgements show that it is the same connection, as each target numbers its
        data from a random start. With other ones the record is outdated: the port is used again.
        """
        token_target = self._directory.find_by_token(token)
        if flow is None:
            return token_target
        if flow.opened and flow.continues(ack):
            return flow.target
        if token_target is None:
            return flow.target if flow.opened else None
        if token_target is not flow.target:
            flow.reassign(token_target)
        if flow.opened:
            flow.tried = []
        elif token_target not in flow.tried:
            flow.tried.append(token_target)
        return token_target

    def _observe(self, flow: Flow, flags: int, seq: int, ack: int, length: int, now: float) -> None:
        """Updates the load and the health of the flow's target from a client's packet."""
        target = flow.target
        if not flow.opened:
            flow.record_opened(now)
            flow.syn = b""
            flow.last_ack = ack
            target.record_response(now)
            if self._placement.flow_limit is not None:
                self._placement.flow_limit.record_open(target, now - flow.syn_sent_at, now)
        elif ack != flow.last_ack and is_after(ack, flow.last_ack):
            if flow.awaiting_response:
                self._record_response(flow, (ack - flow.last_ack) & SEQ_MASK, now)
            flow.last_ack = ack
            flow.responded_at = now
            flow.clear_request()
            self._health.record_response(target, now)
        if length:
            end = (seq + length) & SEQ_MASK
            if flow.next_seq < 0 or is_after(end, flow.next_seq):
                flow.next_seq = end
                flow.record_request(now)
                self._record_request(flow, now)
            else:
                self._health.record_retransmitted_data(flow, now)
        if flags & (FIN | RST):
            flow.record_ended()
        if flags & RST:
            self._flows.remove(flow.key)

    def _record_request(self, flow: Flow, now: float) -> None:
        if self._failing is not None:
            route = self._routes.find(flow.address)
            self._failing.record_request(flow, route.objective_s if route else None, now)

    def _record_response(self, flow: Flow, size: int, now: float) -> None:
        self._placement.record_response(
            self._routes.find(flow.address),
            flow.address,
            flow.target,
            now - flow.sent_at,
            size,
            is_first=flow.requests == 1,
            now=now,
        )
        if self._failing is not None:
            self._failing.record_response(flow, now)

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
