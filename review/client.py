"""Clients and the platform's routers, as PROTOCOL.md describes them."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Any

from packet import ACK, RST, SYN, End, Packet
from record import Record

__all__ = ["Client", "ClientFlow", "Router"]

PROBE_INTERVAL_S = 0.5
MISSES = 2
SYN_DELAYS_S = (0.2, 0.4, 0.8)
FIRST_RETRANSMISSION_S, LAST_RETRANSMISSION_S = 0.2, 1.6
# A reset's seq is that close to the client's last ack.
RESET_WINDOW = 76_800


class Router:
    """Routes packets by a steady hash over the instances in rotation.

    Args:
        instances: Packet and readiness addresses of the instances by name.
        record: Receives changes of the rotation.
    """

    def __init__(
        self, instances: dict[str, tuple[tuple[str, int], tuple[str, int]]], record: Record
    ) -> None:
        self._instances = instances
        self._record = record
        self._misses = dict.fromkeys(instances, MISSES)
        self._tasks: list[asyncio.Task[None]] = []
        # When the next probe of an instance is due, in seconds of the loop's clock.
        self.next_probe_at = dict.fromkeys(instances, 0.0)

    def start(self) -> None:
        """Starts to probe the instances."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._probe(name)) for name in self._instances]

    def stop(self) -> None:
        """Stops to probe."""
        for task in self._tasks:
            task.cancel()

    @property
    def rotation(self) -> list[str]:
        """Names of the instances in rotation."""
        return [name for name, misses in self._misses.items() if misses < MISSES]

    def owner(self, flow: tuple[End, End], without: tuple[str, ...] = ()) -> str:
        """Returns the name of the instance that gets the packets of a flow."""
        names = self.rotation
        if 2 * len(names) < len(self._instances):
            names = [*self._instances]
        names = [name for name in names if name not in without]
        return max(names, key=lambda name: random.Random(f"{flow} {name}").random())

    def address(self, flow: tuple[End, End]) -> tuple[str, int]:
        """Returns the address that gets the next packet of a flow."""
        return self._instances[self.owner(flow)][0]

    async def _probe(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.next_probe_at[name] = loop.time() + PROBE_INTERVAL_S
            is_ready = False
            try:
                async with asyncio.timeout_at(self.next_probe_at[name]):
                    is_ready = await _is_ready(self._instances[name][1])
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                is_ready = False
            misses = 0 if is_ready else self._misses[name] + 1
            if (misses < MISSES) != (self._misses[name] < MISSES):
                self._record.write("rotation", instance=name, joins=misses < MISSES)
            self._misses[name] = misses
            await asyncio.sleep(self.next_probe_at[name] - loop.time())


async def _is_ready(address: tuple[str, int]) -> bool:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: %b\r\n\r\n" % address[0].encode())
        head = await reader.readuntil(b"\r\n\r\n")
        return head.startswith(b"HTTP/1.1 200 ")
    finally:
        writer.close()


class ClientFlow:
    """One flow at its client.

    Attributes:
        resets: Packets that reset it and their senders, in order.
    """

    def __init__(self, local: End, remote: End, seq: int) -> None:
        self.local = local
        self.remote = remote
        self.seq = seq
        self.ack = 0
        self.echo = 0
        self.opened = False
        self.resets: list[tuple[Packet, tuple[str, int]]] = []
        self.received: asyncio.Queue[Packet] = asyncio.Queue()

    @property
    def ends(self) -> tuple[End, End]:
        """The client's end and the route's."""
        return self.local, self.remote


class Client(asyncio.DatagramProtocol):
    """One client address with any number of flows.

    Args:
        ip: Its IP address.
        port: Port at which clients receive.
        router: Routes its packets.
        record: Receives what it sends and is answered.
    """

    def __init__(self, ip: str, port: int, router: Router, record: Record) -> None:
        self._address = ip, port
        self.router = router
        self._record = record
        self._ports = iter(range(40_000, 65_000))
        self._attempts = itertools.count(1)
        self._flows: dict[tuple[End, End], ClientFlow] = {}
        self._rng = random.Random(ip)
        self._transport: Any = None
        self.forged = 0

    async def start(self) -> None:
        """Starts to receive."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )

    def stop(self) -> None:
        """Stops to receive."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handles a packet of a host, or a reset of the system's own."""
        packet = Packet.decode(data)
        flow = self._flows.get((packet.dst, packet.src))
        if flow is None:
            return
        if packet.flags & RST:
            distance = (packet.seq - flow.ack + RESET_WINDOW) & 0xFFFFFFFF
            if flow.opened and not packet.is_genuine and distance > 2 * RESET_WINDOW:
                return
            self._record.write(
                "reset",
                port=flow.local[1],
                opened=flow.opened,
                sender=f"{addr[0]}:{addr[1]}",
                by_host=packet.is_genuine,
            )
            flow.resets.append((packet, addr))
        elif packet.is_genuine:
            flow.echo = packet.echo
        else:
            self.forged += 1
            return
        flow.received.put_nowait(packet)

    def new_flow(
        self, remote: End, is_wanted: Callable[[tuple[End, End]], bool] = lambda ends: True
    ) -> ClientFlow:
        """Returns a flow that isn't open yet, from the next port that is wanted."""
        ip = bytes(map(int, self._address[0].split(".")))
        wanted = ((ip, port) for port in self._ports if is_wanted(((ip, port), remote)))
        local = next(wanted, None)
        if local is None:
            raise RuntimeError("no port is left whose flow would take the wanted way")
        flow = ClientFlow(local, remote, self._rng.getrandbits(31))
        self._flows[flow.ends] = flow
        return flow

    async def open(self, flow: ClientFlow) -> bool:
        """Opens a flow; returns whether that succeeded."""
        for copy, wait_s in enumerate(SYN_DELAYS_S):
            self._send(flow, SYN, flow.seq, copy)
            self._record.write(
                "send_syn", port=flow.local[1], copy=copy, via=self.router.owner(flow.ends)
            )
            packet = await self._receive(flow, wait_s)
            if packet is None:
                continue
            if packet.flags & RST:
                return False
            flow.seq, flow.ack, flow.opened = flow.seq + 1, packet.seq + 1, True
            self._send(flow, ACK, flow.seq, flow.ack)
            return True
        self._record.write("open_timeout", port=flow.local[1])
        return False

    async def request(self, flow: ClientFlow, deadline_s: float = 2.5) -> str:
        """Sends a request and returns "ok", "reset" or "timeout"."""
        attempt = f"{self._address[0]}-{next(self._attempts)}"
        body = b"row"
        data = (
            f"POST /rows HTTP/1.1\r\nHost: intake\r\nAttempt-Id: {attempt}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self._record.write(
            "send_request",
            port=flow.local[1],
            attempt=attempt,
            echo=f"{flow.echo:08x}",
            via=self.router.owner(flow.ends),
        )
        outcome = await self._exchange(flow, data, attempt.encode(), deadline_s)
        self._record.write("outcome", port=flow.local[1], attempt=attempt, is_=outcome)
        return outcome

    async def _exchange(
        self, flow: ClientFlow, data: bytes, attempt: bytes, deadline_s: float
    ) -> str:
        loop = asyncio.get_running_loop()
        deadline, wait_s = loop.time() + deadline_s, FIRST_RETRANSMISSION_S
        while loop.time() < deadline:
            self._send(flow, ACK, flow.seq, flow.ack, data)
            again_at = min(deadline, loop.time() + wait_s)
            wait_s = min(LAST_RETRANSMISSION_S, 2 * wait_s)
            while (left_s := again_at - loop.time()) > 0:
                packet = await self._receive(flow, left_s)
                if packet is None:
                    break
                if packet.flags & RST:
                    return "reset"
                if packet.data and packet.seq == flow.ack:
                    flow.seq += len(data)
                    flow.ack += len(packet.data)
                    self._send(flow, ACK, flow.seq, flow.ack)
                    return "ok" if packet.data.endswith(b"done " + attempt) else "foreign"
        return "timeout"

    async def _receive(self, flow: ClientFlow, wait_s: float) -> Packet | None:
        try:
            return await asyncio.wait_for(flow.received.get(), wait_s)
        except TimeoutError:
            return None

    def _send(self, flow: ClientFlow, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        echo = 0 if flags & SYN else flow.echo
        packet = Packet(flow.local, flow.remote, flags, seq, ack, echo, data)
        self._transport.sendto(packet.encode(), self.router.address(flow.ends))
