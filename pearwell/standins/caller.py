"""Caller stand-ins: simulated TCP flows with retransmission and one request in flight."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from pearwell.standins.segment import Endpoints, Flags, Segment, read_segment
from pearwell.standins.target import DONE_SUFFIX, REQUEST_ID_BYTES

__all__ = ["CallerCore", "CallerService", "FlowOutcome", "FlowPlan"]

FIRST_RETRANSMIT_DELAY_S = 0.4
RETRANSMIT_FACTOR = 1.5
MAX_RETRANSMIT_DELAY_S = 2.0
MAX_TRANSMISSIONS = 8
FIRST_PORT = 10_000
PORTS_PER_ADDRESS = 50_000


class FlowOutcome(Enum):
    """How a flow ended."""

    DONE = auto()
    BROKEN = auto()
    REFUSED = auto()


class _State(Enum):
    CONNECTING = auto()
    REQUESTING = auto()
    IDLE = auto()
    CLOSING = auto()


@dataclass(frozen=True, slots=True)
class CallerService:
    """A service that callers use.

    Attributes:
        name: Name of the service.
        address: Address that callers connect to.
        port: Port that callers connect to.
        caller_address: Address of the callers.
    """

    name: str
    address: str
    port: int
    caller_address: str


@dataclass(frozen=True, slots=True)
class FlowPlan:
    """Schedule of one flow.

    Attributes:
        service: Service that it connects to.
        start: Time of its first packet, in seconds of the caller's clock.
        requests: Number of its requests.
        interval_s: Time between a response and the next request.
    """

    service: CallerService
    start: float
    requests: int
    interval_s: float


@dataclass(slots=True)
class _Flow:
    number: int
    plan: FlowPlan
    endpoints: Endpoints
    state: _State
    sequence: int
    acknowledgement: int = 0
    requests_sent: int = 0
    transmissions: int = 0
    sent_at: float = 0.0
    unacknowledged: Segment | None = None
    timer_number: int = 0


@dataclass(slots=True)
class CallerCore:
    """Runs flows without doing any I/O itself.

    Attributes:
        send: Called with each packet to the fabric.
        rng: Source of sequence numbers.
        outcomes: Ended flows by outcome.
        reasons: Broken flows by reason.
        completed_requests: Ids of the requests that got their response.
        on_latency: Called with the seconds from a request to its response.
    """

    send: Callable[[bytes], None]
    rng: random.Random
    outcomes: Counter[FlowOutcome] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    completed_requests: set[str] = field(default_factory=set)
    on_latency: Callable[[float], None] = lambda seconds: None
    _flows: dict[Endpoints, _Flow] = field(default_factory=dict)
    _timers: list[tuple[float, int, _Flow, int]] = field(default_factory=list)
    _flow_count: int = 0
    _timer_count: int = 0

    @property
    def open_flows(self) -> int:
        """Flows that haven't ended."""
        return len(self._flows)

    def add(self, plan: FlowPlan) -> None:
        """Adds a flow."""
        number = self._flow_count
        self._flow_count += 1
        service = plan.service
        endpoints = Endpoints.of(
            service.caller_address,
            FIRST_PORT + number % PORTS_PER_ADDRESS,
            service.address,
            service.port,
        )
        sequence = self.rng.getrandbits(32)
        flow = _Flow(number, plan, endpoints, _State.CONNECTING, sequence)
        self._flows[endpoints] = flow
        self._set_timer(flow, plan.start)

    def stop_requests(self) -> None:
        """Makes every flow close after its current request."""
        for flow in self._flows.values():
            flow.requests_sent = max(flow.requests_sent, flow.plan.requests)

    def next_timer(self) -> float | None:
        """Returns the time at which tick has to be called next, or None."""
        return self._timers[0][0] if self._timers else None

    def tick(self, now: float) -> None:
        """Runs the timers that are due."""
        while self._timers and self._timers[0][0] <= now:
            _, _, flow, number = heapq.heappop(self._timers)
            if flow.timer_number == number and self._flows.get(flow.endpoints) is flow:
                self._on_timer(flow, now)

    def receive(self, packet: bytes, now: float) -> None:
        """Handles a packet from a target or an instance."""
        segment = read_segment(packet)
        if segment is None:
            return
        flow = self._flows.get(segment.endpoints.reversed())
        if flow is None:
            return
        if segment.flags & Flags.RST:
            self._on_reset(flow)
            return
        unacknowledged = flow.unacknowledged
        if unacknowledged is None or segment.acknowledgement != unacknowledged.end:
            return
        self._on_response(flow, unacknowledged, segment, now)

    def _on_timer(self, flow: _Flow, now: float) -> None:
        if flow.unacknowledged is None:
            self._send_next(flow, now)
        elif flow.transmissions >= MAX_TRANSMISSIONS:
            self._end_flow(flow, FlowOutcome.BROKEN, f"no response while {flow.state.name.lower()}")
        else:
            self._transmit(flow, now)

    def _on_reset(self, flow: _Flow) -> None:
        if flow.state is _State.CONNECTING:
            self._end_flow(flow, FlowOutcome.REFUSED)
        else:
            self._end_flow(flow, FlowOutcome.BROKEN, f"reset while {flow.state.name.lower()}")

    def _on_response(
        self, flow: _Flow, unacknowledged: Segment, response: Segment, now: float
    ) -> None:
        if flow.state is _State.REQUESTING:
            if response.payload != unacknowledged.payload + DONE_SUFFIX:
                return
            self.completed_requests.add(unacknowledged.payload[:REQUEST_ID_BYTES].hex())
            self.on_latency(now - flow.sent_at)
        if flow.state is _State.CLOSING:
            self._end_flow(flow, FlowOutcome.DONE)
            return
        flow.sequence = unacknowledged.end
        flow.acknowledgement = response.end
        flow.unacknowledged = None
        flow.state = _State.IDLE
        self._set_timer(flow, now + flow.plan.interval_s)

    def _send_next(self, flow: _Flow, now: float) -> None:
        """Sends the next segment of a flow: its SYN, a request or its FIN."""
        if flow.state is _State.CONNECTING:
            flow.unacknowledged = Segment(flow.endpoints, Flags.SYN, flow.sequence)
        elif flow.requests_sent >= flow.plan.requests:
            flow.state = _State.CLOSING
            flow.unacknowledged = self._segment(flow, Flags.FIN | Flags.ACK)
        else:
            flow.state = _State.REQUESTING
            request = (flow.number << 32 | flow.requests_sent).to_bytes(REQUEST_ID_BYTES, "big")
            flow.requests_sent += 1
            flow.unacknowledged = self._segment(flow, Flags.ACK, request)
        flow.transmissions = 0
        flow.sent_at = now
        self._transmit(flow, now)

    def _segment(self, flow: _Flow, flags: Flags, payload: bytes = b"") -> Segment:
        return Segment(flow.endpoints, flags, flow.sequence, flow.acknowledgement, payload)

    def _transmit(self, flow: _Flow, now: float) -> None:
        assert flow.unacknowledged is not None
        delay_s = FIRST_RETRANSMIT_DELAY_S * RETRANSMIT_FACTOR**flow.transmissions
        flow.transmissions += 1
        self._set_timer(flow, now + min(delay_s, MAX_RETRANSMIT_DELAY_S))
        self.send(flow.unacknowledged.packet())

    def _end_flow(self, flow: _Flow, outcome: FlowOutcome, reason: str = "") -> None:
        del self._flows[flow.endpoints]
        self.outcomes[outcome] += 1
        if reason:
            self.reasons[reason] += 1

    def _set_timer(self, flow: _Flow, when: float) -> None:
        self._timer_count += 1
        flow.timer_number = self._timer_count
        heapq.heappush(self._timers, (when, self._timer_count, flow, self._timer_count))
