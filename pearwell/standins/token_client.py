"""Stand-in for clients of the platform's role, which send requests and retransmit."""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pearwell.standins.token_packet import ACK, FIN, RST, SYN, TokenPacket, flow_address

__all__ = ["ClientFlow", "Outcome", "TokenClient"]

# The platform's documentation of flows specifies these times.
SYN_RETRANSMIT_DELAYS_S = (0.2, 0.4)
SYN_TIMEOUT_S = 1.4
RETRANSMIT_DELAY_S = 0.2
MAX_RETRANSMIT_DELAY_S = 1.6
REQUEST_TIMEOUT_S = 2.5

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a request or of opening a flow.

    Attributes:
        status: "ok", "reset" or "timeout".
        opened: Whether the flow was open.
        host: Host of the flow; 0 for none.
        service: Service that responded; "" for none.
        request: Text that the host received.
    """

    status: str
    opened: bool
    host: int = 0
    service: str = ""
    request: str = ""


@dataclass(slots=True)
class ClientFlow:
    """State of one flow at its client."""

    local: bytes
    remote: bytes
    seq: int
    ack: int = 0
    echo: int = 0
    opened: bool = False
    host: int = 0
    received: asyncio.Queue[TokenPacket] = field(default_factory=asyncio.Queue)


class TokenClient(asyncio.DatagramProtocol):
    """One client address with any number of flows.

    Args:
        ip: Its IP address.
        route: Returns the instance that gets the next packet of a flow.
        rng: Source of sequence numbers.
    """

    def __init__(self, ip: str, route: Callable[[bytes], Address], rng: random.Random) -> None:
        self._ip = ip
        self._route = route
        self._rng = rng
        self._ports = itertools.cycle(range(1024, 65_000))
        self._flows: dict[bytes, ClientFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        """Stores the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Handles a packet from a host, or a reset from an instance."""
        packet = TokenPacket.decode(data)
        flow = self._flows.get(packet.dst + packet.src)
        if flow is not None:
            if not packet.flags & RST:
                flow.echo = packet.echo
            flow.received.put_nowait(packet)

    async def open(self, remote: bytes) -> tuple[ClientFlow, Outcome | None]:
        """Opens a flow to a route's address; the outcome is None if that succeeded."""
        local = flow_address(self._ip, next(self._ports))
        flow = ClientFlow(local, remote, self._rng.getrandbits(31))
        self._flows[local + remote] = flow
        delays_s = [*SYN_RETRANSMIT_DELAYS_S, SYN_TIMEOUT_S - sum(SYN_RETRANSMIT_DELAYS_S)]
        for transmission, wait_s in enumerate(delays_s):
            self._send(flow, SYN, flow.seq, transmission)
            packet = await self._receive(flow, wait_s)
            if packet is None:
                continue
            if packet.flags & RST:
                return flow, Outcome("reset", False)
            flow.seq, flow.ack, flow.opened = flow.seq + 1, packet.end, True
            self._send(flow, ACK, flow.seq, flow.ack)
            return flow, None
        return flow, Outcome("timeout", False)

    async def request(self, flow: ClientFlow, text: str) -> Outcome:
        """Sends a request, with retransmissions, and returns its outcome."""
        loop = asyncio.get_running_loop()
        data = text.encode()
        deadline, delay_s = loop.time() + REQUEST_TIMEOUT_S, RETRANSMIT_DELAY_S
        while loop.time() < deadline:
            self._send(flow, ACK, flow.seq, flow.ack, data)
            retransmit_at = min(deadline, loop.time() + delay_s)
            delay_s = min(MAX_RETRANSMIT_DELAY_S, 2 * delay_s)
            while (remaining_s := retransmit_at - loop.time()) > 0:
                packet = await self._receive(flow, remaining_s)
                if packet is None:
                    break
                if packet.flags & RST:
                    return Outcome("reset", True, flow.host)
                if packet.data and packet.seq == flow.ack:
                    return self._complete_request(flow, packet, len(data))
                if packet.data or packet.flags & SYN:
                    self._send(flow, ACK, flow.seq, flow.ack)
        return Outcome("timeout", True, flow.host)

    def close(self, flow: ClientFlow) -> None:
        """Sends the FIN of an open flow and removes the flow."""
        if flow.opened:
            self._send(flow, ACK | FIN, flow.seq, flow.ack)
        self._flows.pop(flow.local + flow.remote, None)

    def _complete_request(self, flow: ClientFlow, packet: TokenPacket, sent_bytes: int) -> Outcome:
        flow.seq += sent_bytes
        flow.ack = packet.end
        self._send(flow, ACK, flow.seq, flow.ack)
        body = msgspec.json.decode(packet.data)
        outcome = Outcome("ok", True, body["host"], body["service"], body["request"])
        flow.host = flow.host or outcome.host
        return outcome

    async def _receive(self, flow: ClientFlow, wait_s: float) -> TokenPacket | None:
        try:
            async with asyncio.timeout(wait_s):
                return await flow.received.get()
        except TimeoutError:
            return None

    def _send(self, flow: ClientFlow, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        packet = TokenPacket(flow.local, flow.remote, flags, seq, ack, flow.echo, data)
        if flags & SYN:
            packet = TokenPacket(flow.local, flow.remote, flags, seq, ack, 0)
        if self._transport is not None:
            self._transport.sendto(packet.encode(), self._route(flow.local + flow.remote))
