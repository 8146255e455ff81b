"""Stand-ins for the third review: store, operator, routers, hosts and clients in one process.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). The instances are the project's own role,
started as separate processes with the command of deploy/system.toml. All addresses are loopback
addresses; ports are free ones. Needs the standard library only.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from struct import Struct
from urllib.parse import parse_qs, unquote, urlsplit
from zlib import crc32

ROOT = Path(__file__).resolve().parents[1]
SYN, ACK, RST, FIN = 1, 8, 16, 32
HEADER = Struct(">IIHH4sH4sBBII")
MASK = (1 << 32) - 1
# PROTOCOL.md: copies of a SYN, end of the attempt, retransmissions.
SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
RETRANSMIT_S, MAX_RETRANSMIT_S, HOST_RETRANSMISSIONS = 0.2, 1.6, 8
PROBE_INTERVAL_S, MISSES = 0.5, 2
# PROTOCOL.md: size of a page of a list.
PAGE_BYTES = 1_000_000

Address = tuple[str, int]


def now() -> float:
    """Returns the time of the clock by which everything is recorded."""
    return time.monotonic()


@dataclass(frozen=True, slots=True)
class Packet:
    """A packet; `src` and `dst` are addresses with ports, 6 bytes each."""

    src: bytes
    dst: bytes
    flags: int
    seq: int
    ack: int
    echo: int
    data: bytes = b""
    sum: int = 1

    @property
    def end(self) -> int:
        return (self.seq + len(self.data) + bool(self.flags & (SYN | FIN))) & MASK

    def encode(self) -> bytes:
        return (
            HEADER.pack(
                self.seq,
                self.ack,
                len(self.data),
                int.from_bytes(self.src[4:], "big"),
                self.src[:4],
                int.from_bytes(self.dst[4:], "big"),
                self.dst[:4],
                self.flags,
                0,
                self.sum,
                self.echo,
            )
            + self.data
        )

    @classmethod
    def decode(cls, data: bytes) -> "Packet":
        seq, ack, length, sport, src, dport, dst, flags, _, checksum, echo = HEADER.unpack_from(
            data
        )
        return cls(
            src + sport.to_bytes(2, "big"),
            dst + dport.to_bytes(2, "big"),
            flags,
            seq,
            ack,
            echo,
            data[HEADER.size : HEADER.size + length],
            checksum,
        )


def endpoint(ip: str, port: int) -> bytes:
    """Returns the 6 bytes of an address and a port."""
    return socket.inet_aton(ip) + port.to_bytes(2, "big")


class Record:
    """Lines for record.txt: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = now()

    def line(self, text: str) -> None:
        self._file.write(f"{now() - self._started_at:8.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


class Store:
    """The platform's store: lists, watches and writes of objects by kind and name.

    Attributes:
        down: Whether it resets all calls.
    """

    def __init__(self) -> None:
        self.down = False
        self.revision = 100
        self._objects: dict[str, dict[str, dict[str, object]]] = {}
        # Contents that are handed out as they were written, by the text that stands for them.
        self._raw: dict[bytes, bytes] = {}
        # Sizes of large objects in bytes, by name.
        self._sizes: dict[str, int] = {}
        self._events: list[tuple[int, str, dict[str, object]]] = []
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, ip, port)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def set_down(self, down: bool) -> None:
        self.down = down
        for writer in [*self._writers] if down else []:
            writer.transport.abort()

    def put(self, kind: str, name: str, spec: dict[str, object]) -> bool:
        """Writes an object; returns whether the store has acknowledged it."""
        if self.down:
            return False
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and _told(known["spec"]) == _told(spec):
            known["spec"] = spec
            return True
        self._record(kind, name, spec, deleted=False)
        return True

    def put_raw(self, kind: str, name: str, content: bytes) -> None:
        """Writes an object whose content is bytes that needn't be JSON."""
        mark = f"raw-{len(self._raw):03}"
        self._sizes[name] = len(content)
        self._raw[json.dumps(mark).encode()] = content
        self._record(kind, name, mark, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        if name in self._objects.get(kind, {}):
            self._record(kind, name, self._objects[kind][name]["spec"], deleted=True)

    def _record(self, kind: str, name: str, spec: object, deleted: bool) -> None:
        self.revision += 1
        meta = {
            "Name": name,
            "Revision": self.revision,
            "Created": 1,
            "Finalizers": [],
            "Deleting": False,
        }
        item: dict[str, object] = {"meta": meta, "spec": spec, "status": None}
        if deleted:
            del self._objects[kind][name]
        else:
            self._objects.setdefault(kind, {})[name] = item
        self._events.append((self.revision, kind, {"Deleted": deleted, "Object": dict(item)}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self.down:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                body = json.dumps(await self._answer(path)).encode()
                for mark, content in self._raw.items():
                    body = body.replace(mark, content)
                if self.down:
                    break
                await asyncio.sleep(0.004)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body) + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def _page(self, kind: str, after: str) -> dict[str, object]:
        """Returns a page of a list: 500 items or 1 MB at most, but at least one item."""
        objects = self._objects.get(kind, {})
        names = [name for name in sorted(objects) if name > after]
        items: list[object] = []
        size = 0
        for name in names[:500]:
            size += self._sizes.get(name, 300)
            if items and size > PAGE_BYTES:
                break
            items.append(objects[name])
        return {"items": items, "HasMore": len(items) < len(names), "AsOf": self.revision}

    async def _answer(self, path: str) -> dict[str, object]:
        parts = urlsplit(path)
        kind = unquote(parts.path.removeprefix("/objects/"))
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if "Watch" not in query:
            return self._page(kind, query.get("after", ""))
        end, since = now() + int(query.get("WaitMs", "0")) / 1000, int(query["Watch"])
        while True:
            events = [event for at, of, event in self._events if at > since and of == kind]
            left = end - now()
            if events or left <= 0 or self.down:
                return {"events": events, "AsOf": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue


def _told(spec: object) -> object:
    return {k: v for k, v in spec.items() if k != "Sequence"} if isinstance(spec, dict) else spec


@dataclass(slots=True)
class HostFlow:
    """A flow at its host."""

    seq: int
    expected: int
    echo: int
    open: bool = False
    open_at: float = 0.0
    answer: Packet | None = None
    acked: int = 0


class Host(asyncio.DatagramProtocol):
    """A server: slots and a queue in which handshakes and requests wait alike.

    Attributes:
        slow: Factor by which its work takes longer.
        cold_per_s: Requests a second that it bears while it is cold; 0 for as many as ever.
        disrupted_at: Time of the latest moment at which it was disrupted.
        opened: Flows that opened here, with the time.
        starts: Times at which opening packets arrived, since its latest start.
    """

    def __init__(self, lab: "Lab", number: int, service: str, work_s: float, slots: int) -> None:
        self.lab, self.number, self.service = lab, number, service
        self.name, self.ip = f"i-{number:010x}", lab.ip(2, number)
        self.zone = lab.zone
        self.work_s, self.slots, self.slow = work_s, slots, 1.0
        self.disrupted_at = float("-inf")
        self.opened: dict[bytes, float] = {}
        self.starts: list[float] = []
        self.flows: dict[bytes, HostFlow] = {}
        self.cold_s = 0.0
        self.started_at = self.cold_since = 0.0
        self.running = False
        self.state = "ready"
        self.cold_per_s = 0.0
        self._born = 0
        self._sequence = 0
        self._queue: asyncio.Queue[Callable[[], float]] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def start(self, cold_s: float = 0.0) -> None:
        """Starts the process; under the same id, it knows nothing of before."""
        address = (self.ip, self.lab.host_port)
        self.flows, self.starts, self._queue = {}, [], asyncio.Queue()
        self.started_at = self.cold_since = now()
        self.cold_s, self.running = cold_s, True
        self._born, self._sequence = int(time.time() * 1000), 0
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._server = await asyncio.start_server(self._serve, *address, backlog=256)
        self._tasks = [loop.create_task(self._work()) for _ in range(self.slots)]
        self._tasks.append(loop.create_task(self._register()))

    def kill(self) -> None:
        """Ends the process at once: it says nothing, and its flows are lost."""
        self.running = False
        self.disrupted_at = now()
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.abort()
        if self._server is not None:
            self._server.close()
        self.flows = {}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def spec(self) -> dict[str, object]:
        """Returns its entry in the store."""
        left_ms = max(0, round(1000 * (self.cold_since + self.cold_s - now())))
        return {
            "Service": self.service,
            "Address": f"{self.ip}:{self.lab.host_port}",
            "Zone": self.zone,
            "Version": "v1",
            "Concurrency": self.slots,
            "State": self.state,
            "WarmupLeftMs": left_ms,
            "Sequence": self._sequence,
            "born": self._born,
        }

    def write_entry(self) -> None:
        """Writes its entry in the store."""
        self._sequence += 1
        written = self.lab.store.put("servers", self.name, self.spec())
        if written and self._sequence == 1:
            self.lab.record.line(f"store: entry of {self.name} written, born {self._born}")

    async def _register(self) -> None:
        self.write_entry()
        # Hosts don't beat in step.
        await asyncio.sleep(random.uniform(0.3, 1.0) * self.lab.heartbeat_s)
        while True:
            self.write_entry()
            await asyncio.sleep(self.lab.heartbeat_s)

    async def _work(self) -> None:
        while True:
            job = await self._queue.get()
            await asyncio.sleep(job() * self.slow)

    def datagram_received(self, data: bytes, address: Address) -> None:
        if int.from_bytes(data[:8], "big") not in (0, self.number):
            return
        packet = Packet.decode(data[8:])
        key = packet.src + packet.dst
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                self.starts.append(now())
                flow = HostFlow(random.getrandbits(32), packet.end, packet.echo)
                self.flows[key] = flow
                self.lab.on_start(self, key, address)
                self._queue.put_nowait(lambda: self._accept(key, packet))
            elif not flow.open and flow.acked:
                self._send(packet.dst, packet.src, SYN | ACK, flow.seq, flow.expected, flow.echo)
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if flow is None and packet.flags & FIN and not packet.data:
            self._send(packet.dst, packet.src, ACK, packet.ack, packet.end, 0)
            return
        if flow is None or (not flow.open and packet.ack != (flow.seq + 1) & MASK):
            # A packet of a flow that it doesn't hold.
            self._send(packet.dst, packet.src, RST, packet.ack, 0, 0)
            return
        flow.echo = packet.echo
        if not flow.open:
            flow.open, flow.open_at = True, now()
            self.opened[key] = now()
            flow.seq = (flow.seq + 1) & MASK
        if flow.answer is not None and packet.ack == flow.answer.end:
            flow.answer = None
        if packet.data and packet.seq == flow.expected:
            flow.expected = packet.end
            self._queue.put_nowait(lambda: self._run(key, packet))
        elif packet.data and flow.answer is not None:
            self._send_packet(flow.answer)
        if packet.flags & FIN:
            self.flows.pop(key, None)
            self._send(packet.dst, packet.src, ACK | FIN, flow.seq, packet.end, flow.echo)

    def _accept(self, key: bytes, packet: Packet) -> float:
        asyncio.get_running_loop().create_task(self._answer_syn(key, packet))
        return 0.0003

    async def _answer_syn(self, key: bytes, packet: Packet) -> None:
        flow, delay_s = self.flows.get(key), RETRANSMIT_S
        for _ in range(1 + HOST_RETRANSMISSIONS):
            if flow is None or self.flows.get(key) is not flow or flow.open or not self.running:
                return
            flow.acked = 1
            self._send(packet.dst, packet.src, SYN | ACK, flow.seq, packet.end, flow.echo)
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RETRANSMIT_S, 2 * delay_s)
        if flow is not None and self.flows.get(key) is flow and not flow.open:
            del self.flows[key]

    def _run(self, key: bytes, packet: Packet) -> float:
        work_s = self.work_s * random.uniform(0.7, 1.3)
        if self.cold_per_s and now() < self.cold_since + self.cold_s:
            # It bears WarmupPerS requests a second while it is cold.
            work_s = self.slots / self.cold_per_s
        asyncio.get_running_loop().create_task(self._respond(key, packet, work_s * self.slow))
        return work_s

    async def _respond(self, key: bytes, packet: Packet, work_s: float) -> None:
        await asyncio.sleep(work_s)
        flow = self.flows.get(key)
        if flow is None or not self.running:
            return
        attempt = packet.data.partition(b"Attempt-Id: ")[2].partition(b"\r")[0]
        body = b"%s run by %s" % (attempt, self.name.encode())
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        # A draining host closes each flow after its next response.
        flags = ACK | FIN if self.state == "draining" else ACK
        answer = Packet(packet.dst, packet.src, flags, flow.seq, flow.expected, flow.echo, data)
        flow.answer, flow.seq, delay_s = answer, answer.end, RETRANSMIT_S
        for _ in range(1 + HOST_RETRANSMISSIONS):
            if flow.answer is not answer or not self.running:
                return
            self._send_packet(
                Packet(answer.src, answer.dst, flags, answer.seq, answer.ack, flow.echo, data)
            )
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RETRANSMIT_S, 2 * delay_s)

    def _send(self, src: bytes, dst: bytes, flags: int, seq: int, ack: int, echo: int) -> None:
        self._send_packet(Packet(src, dst, flags, seq, ack, echo))

    def _send_packet(self, packet: Packet) -> None:
        if self._transport is not None and self.running:
            ip = socket.inet_ntoa(packet.dst[:4])
            self._transport.sendto(packet.encode(), (ip, self.lab.packet_port))


@dataclass(slots=True)
class ClientFlow:
    """A flow at its client.

    Attributes:
        resets: Time and sender of each reset.
        via: Instance that got its latest packet.
        closed: Whether its host has closed it.
    """

    key: bytes
    seq: int
    ack: int = 0
    echo: int = 0
    opened_at: float = 0.0
    resets: list[tuple[float, str]] = field(default_factory=list)
    received: asyncio.Queue[Packet] = field(default_factory=asyncio.Queue)
    via: str = ""
    closed: bool = False


class Client(asyncio.DatagramProtocol):
    """One client address with any number of flows."""

    def __init__(self, lab: "Lab", number: int) -> None:
        self.lab, self.ip = lab, lab.ip(3, number)
        self._port = 1024
        self.flows: dict[bytes, ClientFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        address = (self.ip, self.lab.packet_port)
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def close_socket(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, address: Address) -> None:
        packet = Packet.decode(data)
        flow = self.flows.get(packet.dst + packet.src)
        if flow is None:
            return
        if packet.flags & RST:
            flow.resets.append((now(), address[0]))
        else:
            # PROTOCOL.md: the last echo that it received on the flow.
            flow.echo = packet.echo
        flow.received.put_nowait(packet)

    async def open(
        self, remote: bytes, sent: dict[bytes, float] | None = None
    ) -> ClientFlow | None:
        """Opens a flow; returns None if the attempt ends. `sent` gets the time of each start."""
        self._port += 1
        local = endpoint(self.ip, self._port)
        flow = ClientFlow(local + remote, random.getrandbits(32))
        self.flows[flow.key] = flow
        started = now()
        if sent is not None:
            sent[flow.key] = started
        for copy, until_s in enumerate((*SYN_COPIES_S, SYN_TIMEOUT_S)):
            self._send(flow, SYN, flow.seq, copy)
            while (left_s := started + until_s - now()) > 0:
                packet = await _receive(flow, left_s)
                if packet is None:
                    break
                if packet.flags & RST:
                    del self.flows[flow.key]
                    return None
                if packet.flags & SYN:
                    flow.seq, flow.ack = (flow.seq + 1) & MASK, packet.end
                    flow.opened_at = now()
                    self._send(flow, ACK, flow.seq, flow.ack)
                    return flow
        del self.flows[flow.key]
        return None

    async def request(self, flow: ClientFlow, attempt: str, deadline_s: float = 2.0) -> str:
        """Sends a request; returns "ok BODY", "reset" or "deadline"."""
        data = f"GET /watch HTTP/1.1\r\nHost: x\r\nAttempt-Id: {attempt}\r\n\r\n".encode()
        end, delay_s = now() + deadline_s, RETRANSMIT_S
        while (left_s := end - now()) > 0:
            self._send(flow, ACK, flow.seq, flow.ack, data)
            again = now() + min(left_s, delay_s)
            delay_s = min(MAX_RETRANSMIT_S, 2 * delay_s)
            while (wait_s := again - now()) > 0:
                if flow.resets:
                    return "reset"
                packet = await _receive(flow, wait_s)
                if packet is None or packet.flags & RST or not packet.data:
                    continue
                if packet.seq != flow.ack:
                    # A response that it has acknowledged before.
                    self._send(flow, ACK, flow.seq, flow.ack)
                    continue
                flow.seq, flow.ack = (flow.seq + len(data)) & MASK, packet.end
                if packet.flags & FIN:
                    flow.closed = True
                    self.close(flow)
                else:
                    self._send(flow, ACK, flow.seq, flow.ack)
                return "ok " + packet.data.partition(b"\r\n\r\n")[2].decode()
        return "reset" if flow.resets else "deadline"

    def close(self, flow: ClientFlow) -> None:
        self._send(flow, ACK | FIN, flow.seq, flow.ack)
        self.flows.pop(flow.key, None)

    def _send(self, flow: ClientFlow, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        echo = 0 if flags & SYN else flow.echo
        packet = Packet(flow.key[:6], flow.key[6:], flags, seq, ack, echo, data)
        flow.via = self.lab.route(flow.key)
        if self._transport is not None:
            self._transport.sendto(packet.encode(), (flow.via, self.lab.packet_port))


async def _receive(flow: ClientFlow, wait_s: float) -> Packet | None:
    try:
        async with asyncio.timeout(wait_s):
            return await flow.received.get()
    except TimeoutError:
        return None


@dataclass(slots=True)
class Edge:
    """A machine of the system with its process.

    Attributes:
        touched_at: Time of its latest start, stop or signal.
        over_memory: How often its process was killed as it exceeded its memory.
    """

    name: str
    ip: str
    settings: Path
    process: asyncio.subprocess.Process | None = None
    touched_at: float = 0.0
    in_rotation: bool = False
    over_memory: int = 0


class Lab:
    """A small deployment on loopback addresses.

    Args:
        record: Path of record.txt.
        edges: Number of instances.
        settings: Further fields of their settings files.
    """

    def __init__(self, record: Path, edges: int, settings: dict[str, object]) -> None:
        self.record = Record(record)
        self.zone = "zone-a"
        self.heartbeat_s = 0.77
        self._net = random.randint(16, 250)
        ports = _free_ports(self._net)
        self.packet_port, self.ready_port, self.control_port, self.store_port = ports[:4]
        self.host_port = ports[4]
        self.peer_port = ports[5]
        self.store = Store()
        self.hosts: list[Host] = []
        self.clients: list[Client] = []
        self.folder = Path(tempfile.mkdtemp(prefix="lab-"))
        self._tasks: list[asyncio.Task[None]] = []
        self._logs = (self.folder / "edges.log").open("wb")
        seeds = ",".join(f"{self.ip(1, n + 1)}:{self.control_port}" for n in range(min(3, edges)))
        self.edges = [self._edge(n + 1, seeds, settings) for n in range(edges)]
        self.on_start: Callable[[Host, bytes, Address], None] = lambda host, key, address: None
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"]["edge"]["run"].split()

    def ip(self, third: int, fourth: int) -> str:
        return f"127.{self._net}.{third}.{fourth}"

    def _edge(self, number: int, seeds: str, settings: dict[str, object]) -> Edge:
        ip = self.ip(1, number)
        fields: dict[str, object] = {
            "NodeName": f"edge-a-{number}",
            "Role": "edge",
            "MachineClass": "edge",
            "Serves": "edge,control",
            "Ip": ip,
            "Zone": self.zone,
            "Region": "region",
            f"Zones.{self.zone}": "region",
            "ListenAddrs.DatagramAddr": f"{ip}:{self.packet_port}",
            "ListenAddrs.Ready": f"{ip}:{self.ready_port}",
            "ListenAddrs.Control": f"{ip}:{self.control_port}",
            "InternalPorts": f"{self.peer_port},{self.peer_port + 15}",
            "Seeds": seeds,
            "Bootstrap": "true",
            "CountsAsLoss": "false",
            "Limits.CpuShare": 0.731,
            "Limits.CpuCores": 1,
            "Limits.MemoryMb": 222,
            "Limits.MaxFds": 1535,
            "Limits.LinkMbps": 350.0,
            "Limits.DiskMb": 0,
            "Discovery": "platform",
            "Entry": "announce",
            "HeartbeatMs": round(self.heartbeat_s * 1000),
            "Contracts": "base,drain,config,cost,recover,flows,platform",
            "FaultTolerance.Machines": 2,
            "FaultTolerance.Zones": 1,
            "FaultTolerance.Regions": 0,
            "Bounds.SeedLagS": 3,
            "Bounds.ReuseAfterS": 2,
            "Bounds.ContactMs": 4000,
            "Bounds.AckMs": 5000,
            "Bounds.CatchUpS": 4,
            "Bounds.DrainMs": 3000,
            "Bounds.GraceS": 6,
            "Bounds.LossSlackMs": 200,
            "Bounds.ConfigApplyMs": 3000,
            "Bounds.DowngradeSlackMs": 250,
            "Bounds.MaxStretchMs": 12000,
            "Bounds.RecoveryS": 12,
            "Bounds.FlowReorderMs": 2000,
            "Bounds.MaxFlowS": 60,
            "Hash": "steady",
            "ForwardingMode": "echo",
            "platform.Address": f"{self.ip(0, 1)}:{self.store_port}",
            "platform.ForwardingMode": "objects",
            "platform.WritesPerS": 400,
            "platform.ReadsPerS": 2000,
            "platform.HistoryS": 20,
            "platform.ValueBytes": 1048576,
            "platform.MinTtlMs": 1000,
            **settings,
        }
        path = self.folder / f"edge-{number}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        return Edge(f"edge-a-{number}", ip, path)

    def write_config(self, version: int, routes: list[dict[str, object]], services: object) -> None:
        """Writes a configuration as the operator does."""
        spec = {
            "Version": version,
            "Routes": routes,
            "Services": services,
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
        self.store.put("config", "main", spec)
        self.record.line(f"store: configuration {version} written")

    async def start(self) -> None:
        """Starts store, hosts and instances, and waits until all instances are in rotation."""
        await self.store.start(self.ip(0, 1), self.store_port)
        for host in self.hosts:
            await host.start()
        for edge in self.edges:
            await self.start_edge(edge)
            self.spawn(self._probe(edge))
        end = now() + 15
        while not all(edge.in_rotation for edge in self.edges):
            if now() > end:
                raise RuntimeError("instances did not become ready")
            await asyncio.sleep(0.1)
        # As the readiness of a machine is no proof that its relays are reached.
        await asyncio.sleep(1.0)

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.append(task)  # type: ignore[arg-type]
        return task  # type: ignore[return-value]

    async def start_edge(self, edge: Edge) -> None:
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        edge.process = await asyncio.create_subprocess_exec(
            *self._command,
            cwd=ROOT,
            env={**keep, "PEARWELL_BOOT": str(edge.settings)},
            stdout=self._logs,
            stderr=self._logs,
        )
        edge.touched_at = now()
        self.record.line(f"{edge.name}: started")

    async def restart_edge(self, edge: Edge) -> None:
        """Stops a process as planned work does, SIGTERM and SIGKILL later, and starts it again."""
        assert edge.process is not None
        self.record.line(f"{edge.name}: SIGTERM")
        edge.touched_at = now()
        edge.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(6.0):
                await edge.process.wait()
        except TimeoutError:
            edge.process.kill()
            await edge.process.wait()
        self.record.line(f"{edge.name}: ended with {edge.process.returncode}")
        await asyncio.sleep(0.3)
        await self.start_edge(edge)

    async def enforce_memory(self, edge: Edge, limit_mb: int) -> None:
        """Kills a process that exceeds its memory, as the platform does, and starts it again."""
        while True:
            await asyncio.sleep(0.01)
            peak_mb = _peak_mb(edge)
            if peak_mb <= limit_mb or edge.process is None:
                continue
            edge.process.kill()
            await edge.process.wait()
            edge.over_memory += 1
            self.record.line(f"{edge.name}: {peak_mb:.0f} MB, killed for its memory")
            await asyncio.sleep(0.5)
            await self.start_edge(edge)

    async def kill_edge(self, edge: Edge, down_s: float) -> None:
        """Kills a process, which is started again after a while."""
        assert edge.process is not None
        self.record.line(f"{edge.name}: SIGKILL")
        edge.process.kill()
        await edge.process.wait()
        await asyncio.sleep(down_s)
        await self.start_edge(edge)

    async def _probe(self, edge: Edge) -> None:
        misses = 0
        while True:
            ready = await self._is_ready(edge)
            misses = 0 if ready else misses + 1
            if ready != edge.in_rotation and (ready or misses >= MISSES):
                edge.in_rotation = ready
                self.record.line(f"{edge.name}: {'in' if ready else 'out of'} rotation")
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _is_ready(self, edge: Edge) -> bool:
        try:
            async with asyncio.timeout(PROBE_INTERVAL_S):
                reader, writer = await asyncio.open_connection(edge.ip, self.ready_port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def route(self, key: bytes) -> str:
        """Returns the instance that gets a packet of a flow; `steady` hashing."""
        nodes = [edge for edge in self.edges if edge.in_rotation]
        if 2 * len(nodes) < len(self.edges):
            nodes = self.edges
        return max(
            nodes, key=lambda edge: crc32(edge.name.encode(), crc32(key)) * 0x9E3779B1 & MASK
        ).ip

    async def stop(self) -> None:
        """Ends all processes that it started."""
        for task in self._tasks:
            task.cancel()
        for client in self.clients:
            client.close_socket()
        for host in self.hosts:
            host.kill()
        for edge in self.edges:
            if edge.process is not None and edge.process.returncode is None:
                edge.process.kill()
                await edge.process.wait()
        self.store.close()
        self._logs.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def _peak_mb(edge: Edge) -> float:
    """Returns the largest resident memory of a process so far, in MB; 0 if it has ended."""
    if edge.process is None or edge.process.returncode is not None:
        return 0.0
    try:
        status = Path(f"/proc/{edge.process.pid}/status").read_text()
    except OSError:
        return 0.0
    _, found, rest = status.partition("VmHWM:")
    return int(rest.split()[0]) / 1024 if found else 0.0


def _free_ports(net: int) -> list[int]:
    """Returns ports that are free on a loopback address, below the range of clients."""
    ports: list[int] = []
    while len(ports) < 6:
        port = random.randint(12_000, 30_000)
        try:
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((f"127.{net}.1.1", port))
        except OSError:
            continue
        if all(abs(port - other) > 20 for other in ports):
            ports.append(port)
    return ports


def route(name: str, ip: str, port: int, service: str, **fields: object) -> dict[str, object]:
    """Returns a route of the configuration."""
    return {
        "Name": name,
        "Host": ip,
        "PathPrefix": f"/{port}/",
        "Type": "idempotent",
        "TimeoutMs": 2000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        **fields,
    }


def run_case(case: Callable[[bool], Awaitable[bool]]) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return int(asyncio.run(_bounded(case, trouble)))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        return 2


async def _bounded(case: Callable[[bool], Awaitable[bool]], trouble: bool) -> bool:
    async with asyncio.timeout(118):
        return await case(trouble)
