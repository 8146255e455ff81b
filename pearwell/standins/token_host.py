"""Stand-in for a host (target) of the platform's role, which responds to clients directly."""

import asyncio
import contextlib
import random
import signal
import sys
from typing import Any

import aiohttp
import msgspec
from absl import app, flags

from pearwell.standins.token_packet import ACK, FIN, RST, SYN, TokenPacket

__all__ = ["TokenHost", "main"]

_IP = flags.DEFINE_string("ip", "127.0.0.1", "IP address of the host.")
_PORT = flags.DEFINE_integer("port", 9000, "UDP and TCP port of the host.")
_NUMBER = flags.DEFINE_integer("number", 1, "Identity of the host.")
_SERVICE = flags.DEFINE_string("service", "intake", "Service of the host.")
_ZONE = flags.DEFINE_string("zone", "zone-a", "Availability zone of the host.")
_STORE = flags.DEFINE_string("store", "127.0.0.1:9001", "Address of the store.")
_CLIENT_PORT = flags.DEFINE_integer("client_port", 9002, "UDP port of all clients.")
_BORN = flags.DEFINE_integer("born", 0, "Start time of the host in Unix milliseconds.")
_WARMUP_S = flags.DEFINE_float("warmup_s", 0.0, "Time in seconds for which the host is cold.")

HEARTBEAT_INTERVAL_S = 0.5
# Requests that it tells to run at once; it runs any number.
CONCURRENCY = 2
REQUEST_DURATION_S = 0.02
MIN_DRAIN_S = 3.0
RETRANSMIT_INTERVAL_S = 0.2
MAX_TRANSMISSIONS = 8


class _HostFlow:
    """State of one flow at its host."""

    def __init__(self, seq: int) -> None:
        self.seq = seq
        self.opened = False
        self.expected = 0
        self.echo = 0
        self.unacked: TokenPacket | None = None


class TokenHost(asyncio.DatagramProtocol):
    """One host.

    Args:
        number: Identity, which datagrams for it start with.
        client_port: UDP port of all clients.
        report: Called with each event that the soak checks.
    """

    def __init__(self, number: int, client_port: int, report: Any) -> None:
        self._identity = number.to_bytes(8, "big")
        self._client_port = client_port
        self._report = report
        self._flows: dict[bytes, _HostFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._rng = random.Random(number)
        self._tasks: set[asyncio.Task[None]] = set()
        self.draining = False

    @property
    def flows(self) -> int:
        """Number of flows that the host has state for."""
        return len(self._flows)

    def connection_made(self, transport: Any) -> None:
        """Stores the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Handles a datagram from an instance."""
        if data[:8] not in (self._identity, bytes(8)):
            return
        packet = TokenPacket.decode(data[8:])
        key = packet.src + packet.dst
        flow = self._flows.get(key)
        if packet.flags & SYN:
            self._open_flow(key, flow, packet)
        elif flow is None:
            if not packet.flags & RST:
                self._send(packet.reply(RST, packet.ack, packet.echo))
        else:
            self._handle_packet(key, flow, packet)

    def _open_flow(self, key: bytes, flow: _HostFlow | None, packet: TokenPacket) -> None:
        if flow is None or not flow.opened:
            flow = flow or _HostFlow(self._rng.getrandbits(31))
            self._flows[key] = flow
            flow.expected, flow.echo = packet.end, packet.echo
            self._report("syn", draining=self.draining)
            self._send(packet.reply(SYN | ACK, flow.seq, flow.echo))

    def _handle_packet(self, key: bytes, flow: _HostFlow, packet: TokenPacket) -> None:
        flow.echo = packet.echo
        if not flow.opened:
            if packet.ack != flow.seq + 1:
                del self._flows[key]
                self._send(packet.reply(RST, packet.ack, packet.echo))
                return
            flow.opened = True
            flow.seq += 1
        if packet.flags & RST:
            del self._flows[key]
            return
        if flow.unacked is not None and packet.ack == flow.unacked.end:
            flow.unacked = None
        if packet.data and packet.seq == flow.expected:
            flow.expected = packet.end
            self._spawn(self._respond(flow, packet))
        if packet.flags & FIN:
            self._flows.pop(key, None)
            self._send(packet.reply(ACK | FIN, flow.seq, flow.echo))

    async def _respond(self, flow: _HostFlow, packet: TokenPacket) -> None:
        await asyncio.sleep(REQUEST_DURATION_S)
        body = msgspec.json.encode(
            {
                "request": packet.data.decode(),
                "host": int.from_bytes(self._identity, "big"),
                "service": _SERVICE.value,
            }
        )
        flow.unacked = packet.reply(ACK, flow.seq, flow.echo, body)
        flow.seq = flow.unacked.end
        for _ in range(MAX_TRANSMISSIONS):
            if flow.unacked is None:
                return
            self._send(flow.unacked)
            await asyncio.sleep(RETRANSMIT_INTERVAL_S)

    def _send(self, packet: TokenPacket) -> None:
        ip = ".".join(map(str, packet.dst[:4]))
        if self._transport is not None:
            self._transport.sendto(packet.encode(), (ip, self._client_port))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _register(host: TokenHost, stop: asyncio.Event) -> None:
    """Registers the host in the store at an interval until it stops, then removes its entry."""
    name = f"i-{_NUMBER.value:08x}"
    url = f"http://{_STORE.value}/objects/servers/{name}"
    loop = asyncio.get_running_loop()
    warm_at = loop.time() + _WARMUP_S.value
    sequence = 0
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
        while not stop.is_set():
            sequence += 1
            spec = {
                "Service": _SERVICE.value,
                "Address": f"{_IP.value}:{_PORT.value}",
                "Zone": _ZONE.value,
                "Version": "v1",
                "Concurrency": CONCURRENCY,
                "Sequence": sequence,
                "State": "draining" if host.draining else "ready",
                "WarmupLeftMs": max(0, round(1000 * (warm_at - loop.time()))),
                "born": _BORN.value,
            }
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await session.put(url, data=msgspec.json.encode({"spec": spec}))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await stop.wait()
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await session.delete(url)


async def _run() -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()

    def report(event: str, **fields: Any) -> None:
        line = {"event": event, "at": loop.time(), "host": _NUMBER.value, **fields}
        sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
        sys.stdout.flush()

    host = TokenHost(_NUMBER.value, _CLIENT_PORT.value, report)
    await loop.create_datagram_endpoint(lambda: host, local_addr=(_IP.value, _PORT.value))
    server = await asyncio.start_server(lambda _, writer: writer.close(), _IP.value, _PORT.value)

    async def drain() -> None:
        host.draining = True
        report("draining")
        await asyncio.sleep(MIN_DRAIN_S)
        while host.flows:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        stop.set()

    drains: list[asyncio.Task[None]] = []
    loop.add_signal_handler(signal.SIGTERM, lambda: drains.append(loop.create_task(drain())))
    await _register(host, stop)
    server.close()


def main() -> None:
    """Runs one host."""
    app.run(lambda _: asyncio.run(_run()))


if __name__ == "__main__":
    main()
