"""Target stand-ins: hosts that decapsulate packets, run requests and respond to callers directly.

pearwell.standins.target_host runs them in a process.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from pearwell.standins.segment import Endpoints, Flags, Segment, read_segment

__all__ = [
    "DONE_SUFFIX",
    "REQUEST_ID_BYTES",
    "Ledger",
    "LoadReport",
    "TargetConfig",
    "TargetCore",
    "TargetMode",
]

REQUEST_ID_BYTES = 8
DONE_SUFFIX = b" done"


class TargetConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One target.

    Attributes:
        name: Name of the target.
        address: IP address of its encapsulation and health endpoints.
        port: UDP port that receives encapsulated packets.
        health_port: HTTP port of the health, load, ledger and mode endpoints.
        services: Addresses and ports of the services that it serves.
        slots: Requests that it serves concurrently.
        cold_start_s: Time after its start in which it delays responses.
        cold_delay_s: Delay of a response during the cold start.
    """

    name: str
    address: str
    port: int
    health_port: int
    services: tuple[tuple[str, int], ...]
    slots: int = 3
    cold_start_s: float = 0.0
    cold_delay_s: float = 0.2


class TargetMode(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State and faults that are set on a running target.

    Attributes:
        draining: Whether its health endpoint reports that it is draining.
        silent: Whether it ignores every packet, as a crashed host does.
        max_open_flows: Number of open flows at which it resets new flows; 0 means no limit.
        health: "true" to report the actual health, "healthy" or "sick" to always report that.
        health_lag_s: Age of the state that the health and load endpoints report.
        load_factor: Factor of the reported load.
    """

    draining: bool = False
    silent: bool = False
    max_open_flows: int = 0
    health: str = "true"
    health_lag_s: float = 0.0
    load_factor: float = 1.0


class LoadReport(msgspec.Struct, frozen=True):
    """Response of the load endpoint.

    Attributes:
        slots: Requests that the target serves concurrently.
        in_use: Mean number of requests in progress, multiplied by the mode's load_factor.
        open_flows: Open flows.
    """

    slots: int
    in_use: float
    open_flows: int


class Ledger(msgspec.Struct):
    """Counts of a target, for the checks at the end of a run.

    Attributes:
        runs: Number of times that each request ran, by request id.
        misrouted: Packets for services that it doesn't serve.
        unknown: Packets of flows that it has no state for.
        started: Flows that it accepted.
        last_start: Time of the latest accepted flow in seconds since the epoch.
        open_flows: Flows that are open.
    """

    runs: dict[str, int] = {}
    misrouted: int = 0
    unknown: int = 0
    started: int = 0
    last_start: float = 0.0
    open_flows: int = 0


@dataclass(slots=True)
class _Flow:
    """A flow at a target.

    Attributes:
        initial_sequence: Sequence number of the caller's SYN.
        expected_sequence: Next sequence number from the caller.
        sequence: Next sequence number of the target.
        response: Latest response, which is resent when the caller retransmits.
        closed: Whether the caller has sent its FIN.
    """

    initial_sequence: int
    expected_sequence: int
    sequence: int
    response: Segment
    closed: bool = False


@dataclass(slots=True)
class TargetCore:
    """Runs requests without doing any I/O itself.

    Attributes:
        config: Addresses and services.
        send: Called with each IP packet to a caller.
        mode: State and faults.
        ledger: Counts for the checks at the end of a run.
    """

    config: TargetConfig
    send: Callable[[bytes], None]
    mode: TargetMode = field(default_factory=TargetMode)
    ledger: Ledger = field(default_factory=Ledger)
    _flows: dict[Endpoints, _Flow] = field(default_factory=dict)
    _services: frozenset[tuple[bytes, int]] = frozenset()
    _open_flows: int = 0
    _runs: int = 0

    def __post_init__(self) -> None:
        service_endpoints = (
            Endpoints.of("::", 0, address, port) for address, port in self.config.services
        )
        self._services = frozenset(
            (endpoints.destination, endpoints.destination_port) for endpoints in service_endpoints
        )

    @property
    def open_flows(self) -> int:
        """Flows that no FIN has closed."""
        return self._open_flows

    @property
    def runs(self) -> int:
        """Requests run so far."""
        return self._runs

    def receive(self, packet: bytes, now: float) -> None:
        """Handles one decapsulated packet.

        Args:
            packet: The inner packet.
            now: Time in seconds since the epoch.
        """
        if self.mode.silent:
            return
        segment = read_segment(packet)
        if segment is None:
            return
        endpoints = segment.endpoints
        if (endpoints.destination, endpoints.destination_port) not in self._services:
            self.ledger.misrouted += 1
            self._send_reset(segment)
            return
        flow = self._flows.get(endpoints)
        if segment.flags & Flags.SYN:
            self._open_flow(segment, flow, now)
        elif segment.flags & Flags.RST:
            self._remove_flow(endpoints)
        elif flow is None:
            self.ledger.unknown += 1
            self._send_reset(segment)
        else:
            self._receive_data(segment, flow)

    def _open_flow(self, segment: Segment, flow: _Flow | None, now: float) -> None:
        if flow is not None and flow.initial_sequence == segment.sequence:
            if flow.expected_sequence == segment.end:
                self.send(flow.response.packet())
            return
        limit = self.mode.max_open_flows
        if limit and self.open_flows >= limit:
            self._send_reset(segment)
            return
        response = Segment(segment.endpoints.reversed(), Flags.SYN | Flags.ACK, 1, segment.end)
        self._remove_flow(segment.endpoints)
        self._flows[segment.endpoints] = _Flow(
            segment.sequence, segment.end, response.end, response
        )
        self._open_flows += 1
        self.ledger.started += 1
        self.ledger.last_start = now
        self.send(response.packet())

    def _receive_data(self, segment: Segment, flow: _Flow) -> None:
        if not segment.payload and not segment.flags & Flags.FIN:
            return
        if segment.sequence == flow.expected_sequence:
            flow.response = self._run_request(segment, flow)
            flow.expected_sequence = segment.end
            flow.sequence = flow.response.end
        elif segment.end != flow.expected_sequence:
            return
        self.send(flow.response.packet())

    def _run_request(self, segment: Segment, flow: _Flow) -> Segment:
        endpoints = segment.endpoints.reversed()
        if segment.flags & Flags.FIN:
            self._open_flows -= not flow.closed
            flow.closed = True
            return Segment(endpoints, Flags.FIN | Flags.ACK, flow.sequence, segment.end)
        request = segment.payload[:REQUEST_ID_BYTES].hex()
        self._runs += 1
        self.ledger.runs[request] = self.ledger.runs.get(request, 0) + 1
        payload = segment.payload + DONE_SUFFIX
        return Segment(endpoints, Flags.ACK, flow.sequence, segment.end, payload)

    def _remove_flow(self, endpoints: Endpoints) -> None:
        flow = self._flows.pop(endpoints, None)
        self._open_flows -= flow is not None and not flow.closed

    def _send_reset(self, segment: Segment) -> None:
        if segment.flags & Flags.RST:
            return
        endpoints = segment.endpoints.reversed()
        flags = Flags.RST | Flags.ACK
        self.send(Segment(endpoints, flags, segment.acknowledgement, segment.end).packet())
