"""Stand-ins on loopback addresses for the cases of the second review.

Everything but the role's processes runs in one asyncio loop: the platform's store, the hosts, the
routers and the clients. Each follows the users' pages; the standard library is all that they need.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

SYN, ACK, RST, FIN = 1, 8, 16, 32
HEAD = struct.Struct(">IIHH4sH4sBBII")
MASK = (1 << 32) - 1
ROOT = Path(__file__).resolve().parent.parent
ROUTE_IP = "127.0.9.1"
# Addresses of instances, hosts, clients, the store and paths to it.
ADDRESSES = (
    *(f"127.0.1.{number}" for number in range(1, 8)),
    *(f"127.0.2.{number}" for number in range(1, 9)),
    *("127.0.3.1", "127.0.4.1", "127.0.5.1"),
)
# Ports that were chosen.
_taken: set[int] = set()

# The pages of the users: PROTOCOL.md, "Flows" and "Hosts"; DEPLOY.md, "Settings of a process".
SYN_COPIES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RETRANSMISSIONS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
HEARTBEAT_S = 0.77
READY_INTERVAL_S = 0.5
IDLE_TIMEOUT_MS = 15_000
GRACE_S = 6.0
REQUEST_TIMEOUT_S = 2.5


class Packet:
    """A packet of a flow."""

    def __init__(
        self, src: bytes, dst: bytes, flags: int, seq: int, ack: int, echo: int, data: bytes = b""
    ) -> None:
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.echo, self.data = seq & MASK, ack & MASK, echo, data

    @property
    def end(self) -> int:
        return (self.seq + len(self.data) + bool(self.flags & (SYN | FIN))) & MASK

    def encode(self) -> bytes:
        src, dst = self.src, self.dst
        return (
            HEAD.pack(
                self.seq,
                self.ack,
                len(self.data),
                int.from_bytes(src[4:], "big"),
                src[:4],
                int.from_bytes(dst[4:], "big"),
                dst[:4],
                self.flags,
                0,
                0,
                self.echo,
            )
            + self.data
        )

    @classmethod
    def decode(cls, raw: bytes) -> "Packet":
        seq, ack, size, sport, src, dport, dst, flags, _, _, echo = HEAD.unpack_from(raw)
        src, dst = src + sport.to_bytes(2, "big"), dst + dport.to_bytes(2, "big")
        return cls(src, dst, flags, seq, ack, echo, raw[HEAD.size : HEAD.size + size])


def end_of(ip: str, port: int) -> bytes:
    """Returns the 6 bytes of an address and port."""
    return socket.inet_aton(ip) + port.to_bytes(2, "big")


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: lists and watches over HTTP; the stand-ins write to it directly."""

    def __init__(self) -> None:
        self.revision = 1
        self._objects: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def write(self, kind: str, name: str, spec: dict[str, Any] | None) -> None:
        """Writes an object, or removes it if the spec is None; returns once it is accepted."""
        objects = self._objects.setdefault(kind, {})
        old = objects.get(name)
        if old is None and spec is None:
            return
        if (
            old is not None
            and spec is not None
            and _without_sequence(old["spec"]) == (_without_sequence(spec))
        ):
            old["spec"] = spec
            return
        self.revision += 1
        if spec is None:
            item = objects.pop(name)
        else:
            item = {"meta": {"Name": name, "Revision": self.revision}, "spec": spec}
            objects[name] = item
        self._events.append((self.revision, kind, {"Object": item, "Deleted": spec is None}))
        async with self._changed:
            self._changed.notify_all()

    async def _answer(self, target: str) -> dict[str, Any]:
        parts = urlsplit(target)
        kind = parts.path.removeprefix("/objects/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if "Watch" not in query:
            objects = self._objects.get(kind, {})
            names = sorted(name for name in objects if name > query.get("after", ""))
            items = [objects[name] for name in names[:50]]
            return {"items": items, "HasMore": len(names) > 50, "AsOf": self.revision}
        since = int(query["Watch"])
        deadline = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            events = [event for at, of, event in self._events if of == kind and at > since]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {"events": events, "AsOf": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left), self._changed:
                    await self._changed.wait()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target = head.split(" ", 2)[1]
                body = json.dumps(await self._answer(target)).encode()
                fields = f"Store-Era: 1\r\nContent-Length: {len(body)}\r\n"
                kind = "Content-Type: application/json\r\n"
                writer.write(f"HTTP/1.1 200 OK\r\n{kind}{fields}\r\n".encode() + body)
                await writer.drain()
        writer.close()


def _without_sequence(spec: dict[str, Any]) -> dict[str, Any]:
    """Returns what counts of an entry: it changes when more than its Sequence changes."""
    return {key: value for key, value in spec.items() if key != "Sequence"}


class StorePath:
    """The path of one instance to the store: a proxy that holds all bytes back while it is cut."""

    def __init__(self, ip: str, port: int, store: tuple[str, int]) -> None:
        self.address = (ip, port)
        self._store = store
        self._open = asyncio.Event()
        self._open.set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        await asyncio.start_server(self._serve, *self.address)

    def cut(self) -> None:
        self._open.clear()

    def heal(self) -> None:
        self._open.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._open.wait()
            to_reader, to_writer = await asyncio.open_connection(*self._store)
            await asyncio.gather(self._pump(reader, to_writer), self._pump(to_reader, writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


class HostFlow:
    """A flow at its host."""

    def __init__(self, seq: int, syn: Packet) -> None:
        self.seq = seq
        self.expected = syn.end
        self.echo = syn.echo
        self.opened = False
        self.acked = seq
        self.timer: asyncio.Task[None] | None = None


class Host(asyncio.DatagramProtocol):
    """A host: UDP for flows, TCP for health checks, heartbeats to the store."""

    def __init__(
        self, fleet: "Fleet", number: int, ip: str, service: str = "desk", zone: str = "zone-a"
    ) -> None:
        self.fleet, self.ip, self.service, self.zone = fleet, ip, service, zone
        self.name = f"i-{number:08x}"
        self._tag = number.to_bytes(8, "big")
        self.flows: dict[bytes, HostFlow] = {}
        self.ran: list[str] = []
        self.state = "ready"
        self._sequence = 0
        # How much later the next heartbeat is executed, without an answer; 0 for at once.
        self.next_beat_late_s = 0.0
        self.beat_lost = asyncio.Event()
        self.born = int(time.time() * 1000)
        # Returns whether a packet from this host to a client is lost.
        self.loses: Callable[[Packet], bool] = lambda packet: False
        self._transport: Any = None
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        address = (self.ip, self.fleet.host_port)
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._server = await asyncio.start_server(self._health, *address)
        self._beats = loop.create_task(self._beat())

    async def stop(self) -> None:
        """Ends the host at once; it holds and knows nothing afterwards."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        self._transport.close()
        for flow in self.flows.values():
            if flow.timer is not None:
                flow.timer.cancel()
        self.flows.clear()

    def _entry(self) -> dict[str, Any]:
        self._sequence += 1
        return {
            "Service": self.service,
            "Address": f"{self.ip}:{self.fleet.host_port}",
            "Zone": self.zone,
            "Version": "v1",
            "Concurrency": 3,
            "State": self.state,
            "WarmupLeftMs": 0,
            "born": self.born,
            "Sequence": self._sequence,
        }

    async def _beat(self) -> None:
        while True:
            entry, late_s = self._entry(), self.next_beat_late_s
            self.next_beat_late_s = 0.0
            if late_s:
                # The call gets no answer and is executed later.
                self.fleet.spawn(self._write_late(entry, late_s))
                self.beat_lost.set()
            else:
                await self.fleet.store.write("servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self) -> float:
        """Reports that the host drains; returns when the store has acknowledged it."""
        self.state = "draining"
        await self.fleet.store.write("servers", self.name, self._entry())
        self.fleet.record(f"the store acknowledges that {self.name} is draining")
        return time.monotonic()

    async def _write_late(self, entry: dict[str, Any], late_s: float) -> None:
        self.fleet.record(f"the answer to {self.name}'s write {entry['Sequence']} is lost")
        await asyncio.sleep(late_s)
        await self.fleet.store.write("servers", self.name, entry)
        text = f"write {entry['Sequence']} of {entry['born']}, {entry['State']}"
        self.fleet.record(f"the store executes {self.name}'s {text}")

    async def _health(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        writer.close()

    def datagram_received(self, data: bytes, address: Any) -> None:
        if data[:8] not in (self._tag, bytes(8)):
            return
        packet = Packet.decode(data[8:])
        key = packet.src + packet.dst
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._on_syn(key, flow, packet)
        elif flow is None or (not flow.opened and packet.ack != (flow.seq + 1) & MASK):
            # A packet of a flow that it doesn't hold.
            if not packet.flags & RST:
                self._send(Packet(packet.dst, packet.src, RST, packet.ack, 0, packet.echo))
        else:
            self._on_packet(key, flow, packet)

    def _on_syn(self, key: bytes, flow: HostFlow | None, packet: Packet) -> None:
        if flow is not None and flow.opened:
            return
        if flow is None:
            if len(self.flows) >= self.fleet.max_conns:
                return
            flow = self.flows[key] = HostFlow(random.getrandbits(32), packet)
            flow.timer = asyncio.get_running_loop().create_task(self._resend_synack(key, packet))
        flow.echo = packet.echo
        self._send_synack(flow, packet)

    def _send_synack(self, flow: HostFlow, syn: Packet) -> None:
        self._send(Packet(syn.dst, syn.src, SYN | ACK, flow.seq, syn.end, flow.echo))

    async def _resend_synack(self, key: bytes, syn: Packet) -> None:
        for delay_s in RETRANSMISSIONS_S:
            await asyncio.sleep(delay_s)
            flow = self.flows.get(key)
            if flow is None or flow.opened:
                return
            self._send_synack(flow, syn)
        await asyncio.sleep(RETRANSMISSIONS_S[-1])
        if key in self.flows and not self.flows[key].opened:
            self.fleet.record(f"{self.name} gives up a flow that did not open")
            del self.flows[key]

    def _on_packet(self, key: bytes, flow: HostFlow, packet: Packet) -> None:
        flow.echo = packet.echo
        if not flow.opened:
            flow.opened = True
            flow.seq = flow.acked = (flow.seq + 1) & MASK
            self.fleet.opened(packet.src, self)
        if packet.flags & RST:
            del self.flows[key]
            return
        flow.acked = packet.ack
        if packet.data and packet.seq == flow.expected:
            flow.expected = packet.end
            self.ran.append(packet.data.decode())
            self.fleet.record(f"{self.name} runs {packet.data.decode()}")
            self.fleet.spawn(self._respond(key, flow, packet))
        if packet.flags & FIN:
            self.flows.pop(key, None)
            self._send(Packet(packet.dst, packet.src, ACK | FIN, flow.seq, packet.end, flow.echo))

    async def _respond(self, key: bytes, flow: HostFlow, request: Packet) -> None:
        await asyncio.sleep(0.02)
        body = b"answer to " + request.data
        start = flow.seq
        flow.seq = (flow.seq + len(body)) & MASK
        for delay_s in (0.0, *RETRANSMISSIONS_S):
            await asyncio.sleep(delay_s)
            if key not in self.flows or flow.acked == flow.seq:
                return
            response = Packet(request.dst, request.src, ACK, start, request.end, flow.echo, body)
            self._send(response)

    def _send(self, packet: Packet) -> None:
        if self.loses(packet):
            self.fleet.record(f"a datagram of {self.name} is lost (flags {packet.flags})")
            return
        client = (socket.inet_ntoa(packet.dst[:4]), self.fleet.packet_port)
        self._transport.sendto(packet.encode(), client)


class ClientFlow:
    """A flow at its client.

    Attributes:
        opened_on: The host that has the end of the handshake; None while none has.
        resets: Descriptions of the resets that the client got while the flow was open.
    """

    def __init__(self, client: "Client", port: int, remote: bytes) -> None:
        self._client = client
        self.port = port
        # The instance that its packets are sent to directly; None if the routers choose.
        self.instance: Instance | None = None
        self.local, self.remote = end_of(client.ip, port), remote
        self.seq = random.getrandbits(32)
        self.ack = self.echo = 0
        self.opened = False
        self.opened_on: Host | None = None
        self.opened_at = 0.0
        self.resets: list[str] = []
        self.queue: asyncio.Queue[Packet] = asyncio.Queue()

    def send(self, flags: int, ack: int, data: bytes = b"") -> None:
        echo = 0 if flags & SYN else self.echo
        self._client.send(
            self, Packet(self.local, self.remote, flags, self.seq, ack, echo, data).encode()
        )

    def close(self) -> None:
        """Sends the FIN of the flow."""
        self.send(ACK | FIN, self.ack)

    async def open(self) -> bool:
        """Opens the flow; returns False if that fails."""
        start = time.monotonic()
        for copy, until_s in enumerate((*SYN_COPIES_S[1:], OPEN_TIMEOUT_S)):
            self.send(SYN, copy)
            packet = await self._receive(start + until_s)
            if packet is None:
                continue
            if packet.flags & RST:
                return False
            self.seq = (self.seq + 1) & MASK
            self.ack, self.opened = packet.end, True
            self.send(ACK, self.ack)
            return True
        return False

    async def request(self, name: str) -> str:
        """Sends a request; returns "answered", "reset" or "no answer"."""
        data = name.encode()
        self._client.fleet.record(f"flow {self.port} sends {name} with token {self.echo:08x}")
        deadline = time.monotonic() + REQUEST_TIMEOUT_S
        for delay_s in RETRANSMISSIONS_S:
            self.send(ACK, self.ack, data)
            until = min(deadline, time.monotonic() + delay_s)
            while (packet := await self._receive(until)) is not None:
                if packet.flags & RST:
                    return self._end(name, "reset")
                if packet.data and packet.seq == self.ack:
                    self.seq = (self.seq + len(data)) & MASK
                    self.ack = packet.end
                    self.send(ACK, self.ack)
                    return self._end(name, "answered")
            if time.monotonic() >= deadline:
                break
        return self._end(name, "no answer")

    def _end(self, name: str, how: str) -> str:
        self._client.fleet.record(f"flow {self.port}: {name} {how}")
        return how

    async def _receive(self, until: float) -> Packet | None:
        try:
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                return await self.queue.get()
        except TimeoutError:
            return None

    def receive(self, packet: Packet, sender: str) -> None:
        if packet.flags & RST:
            if self.opened:
                self.resets.append(sender)
                self._client.fleet.record(f"flow {self.port} gets a reset from {sender}")
            self.queue.put_nowait(packet)
            return
        self.echo = packet.echo
        if self.opened and packet.flags & SYN:
            # Of no use on an open flow, but for its echo.
            self._client.fleet.record(f"flow {self.port} gets a SYN+ACK of {sender} while open")
            return
        self.queue.put_nowait(packet)


class Client(asyncio.DatagramProtocol):
    """A client address with its flows; its routers hash flows over the instances in rotation."""

    def __init__(self, fleet: "Fleet", ip: str) -> None:
        self.fleet, self.ip = fleet, ip
        self.flows: dict[bytes, ClientFlow] = {}
        self._transport: Any = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        address = (self.ip, self.fleet.packet_port)
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def flow(self, port: int, route_port: int = 443) -> ClientFlow:
        flow = ClientFlow(self, port, end_of(ROUTE_IP, route_port))
        self.flows[flow.remote + flow.local] = flow
        return flow

    def send(self, flow: ClientFlow, data: bytes) -> None:
        instance = flow.instance or self.fleet.route(flow.port)
        self._transport.sendto(data, (instance.ip, self.fleet.packet_port))

    def datagram_received(self, data: bytes, address: Any) -> None:
        packet = Packet.decode(data)
        flow = self.flows.get(packet.src + packet.dst)
        if flow is not None:
            flow.receive(packet, self.fleet.name_of(address[0]))


class Instance:
    """A process of the role, with its settings and the router's view of it."""

    def __init__(self, fleet: "Fleet", name: str, ip: str, zone: str = "zone-a") -> None:
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.process: asyncio.subprocess.Process | None = None
        self.in_rotation = True
        # Its own path to the store; None for the usual one.
        self.path: StorePath | None = None
        self._misses = 0
        self._settings = fleet.folder / f"{name}.conf"
        self._log = (fleet.folder / f"{name}.log").open("ab")

    async def start(self) -> None:
        self._settings.write_text(self.fleet.settings(self), encoding="utf-8")
        kept = {"PATH", "HOME", "LANG"} & os.environ.keys()
        environment = {key: os.environ[key] for key in kept}
        environment["PEARWELL_BOOT"] = str(self._settings)
        # The command of deploy/system.toml.
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-S",
            "deploy/edge.py",
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )
        self.fleet.record(f"{self.name} starts")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.fleet.record(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def restart(self) -> None:
        """Stops it as the platform does (SIGTERM, SIGKILL after the grace time), and starts it."""
        await self.stop()
        await self.start()

    async def stop(self) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.fleet.record(f"{self.name} has ended")

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(READY_INTERVAL_S):
                reader, writer = await asyncio.open_connection(self.ip, self.fleet.ready_port)
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    return b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def probe(self) -> None:
        """Takes it out of rotation after two missed probes, until it responds with 200 again."""
        ready = await self.is_ready()
        self._misses = 0 if ready else self._misses + 1
        in_rotation = ready or (self.in_rotation and self._misses < 2)
        if in_rotation != self.in_rotation:
            self.in_rotation = in_rotation
            self.fleet.record(f"{self.name} is {'in' if in_rotation else 'out of'} rotation")


class Fleet:
    """A small deployment: a store, instances, hosts, routers and clients."""

    def __init__(
        self,
        folder: Path,
        seeds: int = 1,
        max_conns: int = 4_000,
        bounds: dict[str, int] | None = None,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.max_conns = max_conns
        self._seeds = seeds
        self._bounds = bounds or {"ContactMs": 4000, "DrainMs": 3000, "ConfigApplyMs": 3000}
        self.store = Store()
        self.packet_port, self.host_port = free_port(), free_port()
        self.ready_port, self.control_port, self.inner_port = free_port(), free_port(), free_port()
        self._store_address = ("127.0.4.1", free_port())
        self.instances: list[Instance] = []
        self.hosts: list[Host] = []
        self.client = Client(self, "127.0.3.1")
        self._tasks: set[asyncio.Task[Any]] = set()
        self.version = 0

    async def start(
        self,
        instances: int,
        hosts: int,
        routes: dict[int, str],
        zones: str = "",
        paths: int = 0,
        services: Sequence[str] = ("desk",),
    ) -> None:
        """Starts everything and waits until all instances are ready.

        Args:
            instances: Number of instances, the seeds first.
            hosts: Number of hosts.
            routes: Services by the ports of the routes.
            zones: Letters of the zones of the instances; zone a for all if it is empty.
            paths: Number of instances, from the first, with a path to the store that can be cut.
            services: Services of the hosts in turn.
        """
        await self.store.start(*self._store_address)
        await self.configure(routes)
        for number in range(hosts):
            service = services[number % len(services)]
            host = Host(self, random.getrandbits(32), f"127.0.2.{number + 1}", service)
            self.hosts.append(host)
            await host.start()
        await self.client.start()
        for number in range(instances):
            zone = f"zone-{zones[number] if zones else 'a'}"
            name, ip = f"edge-{number + 1}", f"127.0.1.{number + 1}"
            instance = Instance(self, name, ip, zone)
            self.instances.append(instance)
            if number < paths:
                instance.path = StorePath("127.0.5.1", free_port(), self._store_address)
                await instance.path.start()
        for instance in self.instances:
            await instance.start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([await instance.is_ready() for instance in self.instances]):
                break
        else:
            raise RuntimeError("the instances are not ready after 10 s")
        self.spawn(self._probe())

    async def configure(self, routes: dict[int, str], timeout_ms: int = 2500) -> None:
        """Writes the next version of the configuration; the routes are given by port."""
        self.version += 3
        services = sorted(set(routes.values()))
        await self.store.write(
            "config",
            "main",
            {
                "Version": self.version,
                "Routes": [
                    {
                        "Name": f"r-{port}",
                        "Host": ROUTE_IP,
                        "PathPrefix": f"/{port}/",
                        "Type": "non_idempotent",
                        "TimeoutMs": timeout_ms,
                        "TargetLatencyMs": 250,
                        "Priority": 1,
                        "Service": service,
                    }
                    for port, service in routes.items()
                ],
                "Services": [
                    {"Name": name, "HealthPath": "/health", "MaxConns": self.max_conns}
                    for name in services
                ],
                "Limits": {"IdleTimeoutMs": IDLE_TIMEOUT_MS},
            },
        )
        self.record(f"the store acknowledges configuration {self.version}")

    def settings(self, instance: Instance) -> str:
        seeds = ",".join(f"{seed.ip}:{self.control_port}" for seed in self.instances[: self._seeds])
        path = instance.path
        values = {
            "NodeName": instance.name,
            "Role": "edge",
            "MachineClass": "edge",
            "Serves": "edge,control",
            "Ip": instance.ip,
            "Zone": instance.zone,
            "Region": "region",
            f"Zones.{instance.zone}": "region",
            "ListenAddrs.DatagramAddr": f"{instance.ip}:{self.packet_port}",
            "ListenAddrs.Ready": f"{instance.ip}:{self.ready_port}",
            "ListenAddrs.Control": f"{instance.ip}:{self.control_port}",
            "InternalPorts": f"{self.inner_port},{self.inner_port}",
            "Seeds": seeds,
            "Bootstrap": "true",
            "Discovery": "platform",
            "Entry": "announce",
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Bounds.GraceS": int(GRACE_S),
            "Bounds.DowngradeSlackMs": 250,
            "Bounds.FlowReorderMs": 2000,
            "Bounds.MaxFlowS": 60,
            **{f"Bounds.{name}": value for name, value in self._bounds.items()},
            "Hash": "steady",
            "ForwardingMode": "echo",
            "platform.Address": "{}:{}".format(*(path.address if path else self._store_address)),
            "platform.ForwardingMode": "objects",
        }
        return "".join(f"{key}={value}\n" for key, value in values.items())

    def route(self, port: int) -> Instance:
        """Returns the instance for a flow; only flows of one that leaves or joins move."""
        rotation = [instance for instance in self.instances if instance.in_rotation]
        if len(rotation) * 2 < len(self.instances):
            rotation = self.instances
        preferred = self.instances[port % len(self.instances)]
        return preferred if preferred in rotation else rotation[port % len(rotation)]

    def name_of(self, ip: str) -> str:
        for part in (*self.hosts, *self.instances):
            if part.ip == ip:
                return part.name
        return ip

    def opened(self, local: bytes, host: Host) -> None:
        """Records that a host has the end of a flow's handshake."""
        for flow in self.client.flows.values():
            if flow.local == local and flow.opened_on is None:
                flow.opened_on, flow.opened_at = host, time.monotonic()
                self.record(f"flow {flow.port} opens on {host.name}")

    def spawn(self, coroutine: Awaitable[Any]) -> "asyncio.Task[Any]":
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _probe(self) -> None:
        while True:
            await asyncio.gather(
                asyncio.sleep(READY_INTERVAL_S), *(part.probe() for part in self.instances)
            )

    async def end(self) -> None:
        """Ends all processes that were started."""
        for task in [*self._tasks]:
            task.cancel()
        for instance in self.instances:
            process = instance.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_port() -> int:
    """Returns a port that is free for UDP and TCP on the loopback addresses that the cases use."""
    while True:
        port = random.randrange(20_000, 32_000)
        if port in _taken:
            continue
        with contextlib.suppress(OSError):
            for ip in ADDRESSES:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((ip, port))
            _taken.add(port)
            return port


def foreign_resets(fleet: Fleet) -> list[str]:
    """Returns the resets on open flows that the flow's host, which lives, has not sent."""
    found = []
    for flow in fleet.client.flows.values():
        host = flow.opened_on
        if host is None or host not in fleet.hosts:
            continue
        found += [
            f"flow {flow.port}, open on {host.name}, got a reset from {sender}"
            for sender in flow.resets
            if sender != host.name
        ]
    return found


def run(folder: Path, play: Callable[[Fleet, bool], Awaitable[list[str]]], **options: Any) -> None:
    """Plays a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def main() -> int:
        fleet = Fleet(folder, **options)
        try:
            async with asyncio.timeout(110):
                broken = await play(fleet, os.environ.get("TROUBLE", "1") != "0")
        except Exception as error:
            fleet.record(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await fleet.end()
        for line in broken:
            fleet.record(f"BROKEN: {line}")
            print(line)
        fleet.record("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    try:
        status = asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        status = 2
    sys.exit(status)
