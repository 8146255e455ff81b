"""Hosts: each holds flows and answers requests, as PROTOCOL.md describes it."""

import asyncio
import random
import time
from typing import Any

from packet import ACK, FIN, RST, SYN, End, Packet, is_after
from record import Record
from store import Store

__all__ = ["Host"]

FIRST_RETRANSMISSION_S, LAST_RETRANSMISSION_S = 0.2, 1.6
RETRANSMISSIONS = 8


class _HostFlow:
    """One flow at its host."""

    def __init__(self, seq: int) -> None:
        self.seq = seq
        self.opened = False
        self.expected = 0
        self.echo = 0
        self.unacked: Packet | None = None


class Host(asyncio.DatagramProtocol):
    """One host with a slot for every request.

    Args:
        name: Its id; the part behind the last hyphen is a number in hex digits.
        service: Its service.
        address: IP address and port, for UDP and for health checks over TCP.
        client_port: Port at which clients receive.
        record: Receives what reaches it and what it runs.
        work_s: Time that a request takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        client_port: int,
        record: Record,
        work_s: float = 0.04,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        # Number of SYN+ACKs that the network loses from now on.
        self.synacks_to_lose = 0
        self.forged = 0
        # Arrivals of SYNs, in seconds of the loop's clock.
        self.syns_at: list[float] = []
        self._tag = int(name.rpartition("-")[2], 16).to_bytes(8, "big")
        self._client_port = client_port
        self._record = record
        self._work_s = work_s
        self._flows: dict[tuple[End, End], _HostFlow] = {}
        self._rng = random.Random(name)
        self._transport: Any = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._born = int(time.time() * 1000)

    async def start(self) -> None:
        """Starts to receive packets and health checks."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        self._server = await asyncio.start_server(self._check_health, *self.address)

    def stop(self) -> None:
        """Ends the host."""
        if self._server is not None:
            self._server.close()
        if self._transport is not None:
            self._transport.close()
        for task in self._tasks:
            task.cancel()

    def register(self, store: Store, zone: str, state: str = "ready") -> None:
        """Writes the entry of the host into the store, with its state."""
        store.put(
            "servers",
            self.name,
            {
                "Service": self.service,
                "Address": f"{self.address[0]}:{self.address[1]}",
                "Zone": zone,
                "Version": "1",
                "Concurrency": 3,
                "State": state,
                "WarmupLeftMs": 0,
                "Sequence": 1,
                "born": self._born,
            },
        )

    def holds(self, flow: tuple[End, End]) -> bool:
        """Whether it holds an open flow, given by the client's end and the route's."""
        found = self._flows.get(flow)
        return found is not None and found.opened

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handles a datagram of an instance."""
        if data[:8] not in (self._tag, bytes(8)):
            return
        packet = Packet.decode(data[8:])
        if not packet.is_genuine or packet.flags & (SYN | ACK) == SYN | ACK:
            self.forged += 1
            self._record.write("forged_packet", host=self.name, packet=packet)
            return
        flow = self._flows.get(packet.flow)
        if packet.flags & SYN:
            self._accept(packet, flow)
        elif flow is None:
            self._reset(packet)
        else:
            self._handle(packet, flow)

    def _accept(self, packet: Packet, flow: _HostFlow | None) -> None:
        self.syns_at.append(asyncio.get_running_loop().time())
        self._record.write("syn", host=self.name, port=packet.src[1], copy=packet.ack)
        if flow is not None and flow.opened:
            return
        if flow is None:
            flow = self._flows[packet.flow] = _HostFlow(self._rng.getrandbits(31))
            flow.expected, flow.echo = packet.seq + 1, packet.echo
            answer = packet.reply(SYN | ACK, flow.seq, flow.expected, flow.echo)
            self._transmit(flow, answer)

    def _handle(self, packet: Packet, flow: _HostFlow) -> None:
        if not flow.opened:
            if packet.ack != flow.seq + 1:
                # The client has opened the flow at another host.
                self._reset(packet)
                return
            flow.opened, flow.seq, flow.unacked = True, flow.seq + 1, None
            self._record.write("flow_open", host=self.name, port=packet.src[1])
        flow.echo = packet.echo
        if packet.flags & RST:
            del self._flows[packet.flow]
            return
        if flow.unacked is not None and not is_after(flow.seq, packet.ack):
            flow.unacked = None
        if packet.data and packet.seq == flow.expected:
            flow.expected += len(packet.data)
            self._spawn(self._run(packet, flow))
        elif packet.data and flow.unacked is None and is_after(flow.expected, packet.seq):
            self._send(packet.reply(ACK, flow.seq, flow.expected, flow.echo))
        if packet.flags & FIN:
            del self._flows[packet.flow]
            self._send(packet.reply(ACK | FIN, flow.seq, packet.seq + 1, flow.echo))

    async def _run(self, packet: Packet, flow: _HostFlow) -> None:
        attempt = packet.data.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
        self._record.write(
            "run", host=self.name, port=packet.src[1], attempt=attempt.decode("latin-1")
        )
        await asyncio.sleep(self._work_s)
        head = b"HTTP/1.1 200 OK\r\nResponse-Seal: %b\r\nContent-Length: %d\r\n\r\n"
        body = b"done " + attempt
        data = head % (self.name.encode(), len(body)) + body
        answer = packet.reply(ACK, flow.seq, flow.expected, flow.echo, data)
        flow.seq += len(data)
        self._transmit(flow, answer)

    def _transmit(self, flow: _HostFlow, packet: Packet) -> None:
        """Sends a packet, and sends it again until it is acknowledged."""
        flow.unacked = packet
        self._spawn(self._retransmit(flow, packet))

    async def _retransmit(self, flow: _HostFlow, packet: Packet) -> None:
        wait_s = FIRST_RETRANSMISSION_S
        for transmission in range(1 + RETRANSMISSIONS):
            if flow.unacked is not packet:
                return
            if transmission:
                self._record.write(
                    "retransmit", host=self.name, port=packet.dst[1], flags=packet.flags
                )
            self._send(packet)
            await asyncio.sleep(wait_s)
            wait_s = min(LAST_RETRANSMISSION_S, 2 * wait_s)

    def _reset(self, packet: Packet) -> None:
        if packet.flags & RST:
            return
        self._record.write("host_reset", host=self.name, port=packet.src[1])
        self._send(packet.reply(RST, packet.ack, packet.seq, packet.echo))

    def _send(self, packet: Packet) -> None:
        if packet.flags & SYN and self.synacks_to_lose:
            self.synacks_to_lose -= 1
            self._record.write("synack_lost", host=self.name, port=packet.dst[1])
            return
        ip = ".".join(map(str, packet.dst[0]))
        self._transport.sendto(packet.encode(), (ip, self._client_port))

    async def _check_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
