"""One run of the soak: instances and hosts as processes, store and clients in this process."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from zlib import crc32

import msgspec

from pearwell.soak.checks import Checks, Promise
from pearwell.soak.processes import Program
from pearwell.soak.proxy import Link, Proxy
from pearwell.soak.schedule import Fault, FaultKind, draw_faults
from pearwell.standins.object_server import ObjectServer
from pearwell.standins.token_client import ClientFlow, Outcome, TokenClient
from pearwell.standins.token_packet import flow_address

__all__ = ["SoakOptions", "run_soak"]

ZONES = ("zone-a", "zone-b")
SERVICES = ("intake", "tables")
ROUTE_IP = "198.18.0.1"
ROUTE_PORTS = {"intake": 8080, "tables": 8443}
PACKET_PORT, READY_PORT, CONTROL_PORT, STORE_PORT, HOST_PORT = 21000, 21001, 21002, 21003, 21004
PEER_PORT = 21010
PROBE_S, PROBE_MISSES = 0.5, 2
START_S, QUIET_S, SERVED_WITHIN_S = 3.0, 5.0, 6.0
# Time limits in the settings, and the time after a fault in which resets are allowed.
DRAIN_MS, CONFIG_MS, CONTACT_MS, GRACE_S = 3000, 3000, 4000, 6
TOUCH_S = CONTACT_MS / 1000
DRAIN_SLACK_S = 1.0


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Parameters of a run.

    Attributes:
        seed: Seed of the schedule and of the clients.
        length_s: Duration of the phase with faults, in seconds.
        instances: Number of instances.
        hosts: Number of hosts of each service.
        clients: Number of clients.
        octet: Second octet of all loopback addresses, so that concurrent runs don't clash.
        directory: Directory for settings and logs.
    """

    seed: int
    length_s: float
    instances: int
    hosts: int
    clients: int
    octet: int
    directory: Path


@dataclass(slots=True)
class _Host:
    program: Program
    number: int
    service: str
    address: str
    draining_at: float = float("inf")


@dataclass(slots=True)
class _World:
    options: SoakOptions
    checks: Checks = field(default_factory=Checks)
    store: ObjectServer = field(default_factory=ObjectServer)
    instances: list[Program] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    hosts: list[_Host] = field(default_factory=list)
    rotation: list[int] = field(default_factory=list)
    version: int = 1
    next_host: int = 1
    next_address: int = 1
    disturbed_at: float = 0.0
    tasks: set["asyncio.Future[Any]"] = field(default_factory=set)

    def ip(self, third: int, fourth: int) -> str:
        return f"127.{self.options.octet}.{third}.{fourth}"

    def spawn(self, coroutine: Awaitable[Any]) -> "asyncio.Future[Any]":
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def disturb(self, until_s: float = 0.0) -> None:
        """Records that a fault affects instances, their links or the store for until_s."""
        self.disturbed_at = max(self.disturbed_at, time.monotonic() + until_s)

    def undisturbed(self, number: int) -> bool:
        """Whether a host serves and no fault affected it, an instance or the store in TOUCH_S."""
        now = time.monotonic()
        host = next((held for held in self.hosts if held.number == number), None)
        if host is None or not host.program.running or host.draining_at < now:
            return False
        return now - max(host.program.disturbed_at, self.disturbed_at) > TOUCH_S

    def route(self, flow: bytes) -> tuple[str, int]:
        """Returns the instance of a flow, by rendezvous hashing over those in rotation."""
        candidates = self.rotation or range(len(self.instances))
        chosen = max(candidates, key=lambda index: crc32(flow + bytes([index])))
        return self.ip(1, chosen + 1), PACKET_PORT


async def run_soak(options: SoakOptions) -> Checks:
    """Runs one soak and returns its outcomes and violations."""
    world = _World(options)
    try:
        await _start(world)
        await asyncio.sleep(START_S)
        clients = [asyncio.ensure_future(_client(world, index)) for index in range(options.clients)]
        await _play(world, draw_faults(options.seed, options.length_s))
        await asyncio.sleep(QUIET_S)
        await _check_recovery(world)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
    finally:
        await _stop(world)
    for program in [*world.instances, *[host.program for host in world.hosts]]:
        world.checks.require(not program.own_ends, Promise.NO_OWN_END, program.name)
    return world.checks


async def _start(world: _World) -> None:
    await world.store.start(world.ip(0, 1), STORE_PORT)
    await _write_config(world)
    for service in SERVICES:
        for _ in range(world.options.hosts):
            await _add_host(world, service)
    for index in range(world.options.instances):
        proxy = Proxy()
        await proxy.start((world.ip(4, index + 1), STORE_PORT), (world.ip(0, 1), STORE_PORT))
        world.proxies.append(proxy)
        world.instances.append(_instance(world, index))
    await asyncio.gather(*[program.start() for program in world.instances])
    for index in range(world.options.instances):
        world.spawn(_probe(world, index))


def _instance(world: _World, index: int) -> Program:
    ip = world.ip(1, index + 1)
    seeds = [f"{world.ip(1, n + 1)}:{CONTROL_PORT}" for n in range(min(3, world.options.instances))]
    settings = {
        "NodeName": f"edge-{index}",
        "Zone": ZONES[index % len(ZONES)],
        "Ip": ip,
        "ListenAddrs.DatagramAddr": f"{ip}:{PACKET_PORT}",
        "ListenAddrs.Ready": f"{ip}:{READY_PORT}",
        "ListenAddrs.Control": f"{ip}:{CONTROL_PORT}",
        "InternalPorts": f"{PEER_PORT},{PEER_PORT + 15}",
        "Seeds": ",".join(seeds),
        "Bounds.ContactMs": CONTACT_MS,
        "Bounds.DrainMs": DRAIN_MS,
        "Bounds.GraceS": GRACE_S,
        "Bounds.ConfigApplyMs": CONFIG_MS,
        "platform.Address": f"{world.ip(4, index + 1)}:{STORE_PORT}",
    }
    path = world.options.directory / f"edge-{index}.conf"
    path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
    return Program(
        f"edge-{index}",
        ["-S", "deploy/edge.py"],
        {"PEARWELL_BOOT": str(path)},
        world.options.directory / f"edge-{index}.log",
        world.checks.take_line,
    )


async def _add_host(world: _World, service: str, address: str = "") -> _Host:
    number, world.next_host = world.next_host, world.next_host + 1
    if not address:
        address = world.ip(2, world.next_address)
        world.next_address += 1
    arguments = [
        "-m",
        "pearwell.standins.token_host",
        f"--ip={address}",
        f"--port={HOST_PORT}",
        f"--number={number}",
        f"--service={service}",
        f"--zone={ZONES[number % len(ZONES)]}",
        f"--store={world.ip(0, 1)}:{STORE_PORT}",
        f"--client_port={PACKET_PORT}",
        f"--born={number}",
    ]
    log = world.options.directory / f"host-{number}.log"

    def on_line(name: str, line: str) -> None:
        _take_host_line(world, host, line)

    program = Program(f"host-{number}", arguments, {}, log, on_line)
    host = _Host(program, number, service, address)
    world.hosts.append(host)
    await program.start()
    return host


def _take_host_line(world: _World, host: _Host, line: str) -> None:
    if not line.startswith("{"):
        world.checks.require("Traceback" not in line, Promise.NO_OWN_END, line)
        return
    event = msgspec.json.decode(line)
    now = time.monotonic()
    if event["event"] == "draining":
        host.draining_at = now
    bound_s = DRAIN_MS / 1000 + DRAIN_SLACK_S
    late = event["event"] == "syn" and now - host.draining_at > bound_s
    touched = now - world.disturbed_at > bound_s + TOUCH_S
    world.checks.require(not (late and touched), Promise.DRAIN, f"host {host.number}")


async def _write_config(world: _World) -> None:
    routes = [
        {
            "Name": service,
            "Host": ROUTE_IP,
            "PathPrefix": f"/{ROUTE_PORTS[service]}/",
            "Service": service,
        }
        for service in SERVICES
    ]
    if world.version % 2:
        routes.append({**routes[0], "Name": "extra", "PathPrefix": "/9000/"})
    spec = {"Version": world.version, "Routes": routes, "Services": [], "Limits": {}}
    await world.store.write("config", "main", spec)


async def _probe(world: _World, index: int) -> None:
    """Keeps an instance in rotation while its readiness endpoint answers 200."""
    misses = 0
    while True:
        ready = await _is_ready(world.ip(1, index + 1))
        misses = 0 if ready else misses + 1
        if ready and index not in world.rotation:
            world.rotation.append(index)
        if misses >= PROBE_MISSES and index in world.rotation:
            world.rotation.remove(index)
        await asyncio.sleep(PROBE_S)


async def _is_ready(ip: str) -> bool:
    try:
        async with asyncio.timeout(PROBE_S):
            reader, writer = await asyncio.open_connection(ip, READY_PORT)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


async def _client(world: _World, index: int) -> None:
    """Opens flows and sends requests on each until it ends."""
    rng = random.Random(world.options.seed * 1000 + index)
    client = TokenClient(world.ip(3, index + 1), world.route, rng)
    address = (world.ip(3, index + 1), PACKET_PORT)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: client, local_addr=address)
    try:
        while True:
            service = rng.choice(SERVICES)
            flow, failed = await _open(world, client, service)
            for number in range(rng.choice((1, 5, 20))):
                if failed is not None:
                    break
                outcome = await _request(world, client, flow, service, f"{index}-{number}")
                failed = outcome if outcome.status != "ok" else None
                await asyncio.sleep(rng.uniform(0.05, 0.5))
            client.close(flow)
            await asyncio.sleep(rng.uniform(0.0, 0.2))
    finally:
        transport.close()


async def _open(
    world: _World, client: TokenClient, service: str
) -> tuple[ClientFlow, Outcome | None]:
    flow, failed = await client.open(flow_address(ROUTE_IP, ROUTE_PORTS[service]))
    if failed is not None:
        world.checks.outcomes[f"open {failed.status}"] += 1
    return flow, failed


async def _request(
    world: _World, client: TokenClient, flow: ClientFlow, service: str, text: str
) -> Outcome:
    on = flow.host
    outcome = await client.request(flow, text)
    world.checks.take(text, outcome, on, frozenset({service}), world.undisturbed(on))
    return outcome


async def _check_recovery(world: _World) -> None:
    """Checks that a new client of each service gets a response after the last fault."""
    for number, service in enumerate(SERVICES):
        ip = world.ip(5, number + 1)
        client = TokenClient(ip, world.route, random.Random(number))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda held=client: held, local_addr=(ip, PACKET_PORT)  # type: ignore[misc]
        )
        deadline, served = loop.time() + SERVED_WITHIN_S, False
        while not served and loop.time() < deadline:
            flow, failed = await _open(world, client, service)
            if failed is None:
                served = (await client.request(flow, "recovery")).status == "ok"
            client.close(flow)
        world.checks.require(served, Promise.RECOVERY, service)
        transport.close()


async def _play(world: _World, faults: list[Fault]) -> None:
    started = time.monotonic()
    running = []
    for fault in faults:
        await asyncio.sleep(max(0.0, started + fault.at_s - time.monotonic()))
        running.append(world.spawn(_FAULTS[fault.kind](world, fault)))
    await asyncio.gather(*running)


async def _signal_instance(world: _World, fault: Fault, number: signal.Signals) -> None:
    program = world.instances[fault.subject % len(world.instances)]
    world.disturb(GRACE_S if number == signal.SIGTERM else 1.0)
    await program.restart(number)
    world.disturb()


async def _kill_instance(world: _World, fault: Fault) -> None:
    await _signal_instance(world, fault, signal.SIGKILL)


async def _stop_instance(world: _World, fault: Fault) -> None:
    await _signal_instance(world, fault, signal.SIGTERM)


async def _kill_all(world: _World, fault: Fault) -> None:
    world.disturb(1.0)
    await asyncio.gather(*[held.restart(signal.SIGKILL) for held in world.instances])
    world.disturb()


async def _pause_instance(world: _World, fault: Fault) -> None:
    program = world.instances[fault.subject % len(world.instances)]
    world.disturb(fault.for_s)
    program.send(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    program.send(signal.SIGCONT)
    world.disturb()


async def _hang_up(world: _World, fault: Fault) -> None:
    program = world.instances[fault.subject % len(world.instances)]
    if program.running and world.rotation:
        program.send(signal.SIGHUP)


def _live_hosts(world: _World, fault: Fault) -> _Host | None:
    """Returns a host whose service has another live host, or None."""
    serving = [host for host in world.hosts if host.draining_at == float("inf")]
    live = [host for host in serving if host.program.running]
    spare = [host for host in live if sum(other.service == host.service for other in live) > 1]
    return spare[fault.subject % len(spare)] if spare else None


async def _kill_host(world: _World, fault: Fault) -> None:
    host = _live_hosts(world, fault)
    if host is None:
        return
    host.draining_at = time.monotonic()
    host.program.disturbed_at = time.monotonic() + 3600
    await host.program.end(signal.SIGKILL)
    await asyncio.sleep(2.0)
    await world.store.remove("servers", f"i-{host.number:08x}")
    # A host of another service gets its address, as the platform reuses addresses.
    other = SERVICES[1 - SERVICES.index(host.service)]
    await _add_host(world, other, host.address)
    await _add_host(world, host.service)


async def _drain_host(world: _World, fault: Fault) -> None:
    host = _live_hosts(world, fault)
    if host is None:
        return
    await _add_host(world, host.service)
    await asyncio.sleep(1.5)
    host.draining_at = time.monotonic()
    host.program.send(signal.SIGTERM)


async def _pause_host(world: _World, fault: Fault) -> None:
    host = _live_hosts(world, fault)
    if host is None:
        return
    host.program.disturbed_at = time.monotonic() + fault.for_s
    host.program.send(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    host.program.send(signal.SIGCONT)
    host.program.disturbed_at = time.monotonic()


async def _store_fault(world: _World, fault: Fault) -> None:
    name, value = _STORE_FAULTS[fault.kind]
    if fault.kind is FaultKind.STORE_REFUSES:
        # The store sees each instance under its proxy's address; it refuses every second one.
        refused = range(fault.subject % 2, len(world.proxies), 2)
        value = frozenset(world.ip(4, index + 1) for index in refused)
    world.disturb(fault.for_s)
    before = getattr(world.store.faults, name)
    setattr(world.store.faults, name, value)
    await asyncio.sleep(fault.for_s)
    setattr(world.store.faults, name, type(before)())
    world.disturb()


async def _compact(world: _World, fault: Fault) -> None:
    world.disturb(1.0)
    world.store.compact()


async def _link(world: _World, fault: Fault) -> None:
    proxy = world.proxies[fault.subject % len(world.proxies)]
    world.disturb(fault.for_s)
    proxy.set(fault.link)
    await asyncio.sleep(fault.for_s)
    proxy.set(Link.OPEN)
    world.disturb()


async def _change_config(world: _World, fault: Fault) -> None:
    world.version += 1 + fault.subject % 3
    await _write_config(world)


async def _storm(world: _World, fault: Fault) -> None:
    end = time.monotonic() + fault.for_s
    while time.monotonic() < end:
        await _change_config(world, fault)
        await asyncio.sleep(0.1)


_STORE_FAULTS: dict[FaultKind, tuple[str, Any]] = {
    FaultKind.STORE_DOWN: ("status", 503),
    FaultKind.STORE_SILENT: ("silent", True),
    FaultKind.STORE_SLOW: ("delay_s", 0.3),
    FaultKind.STORE_REFUSES: ("refused", None),
}

_FAULTS: dict[FaultKind, Callable[[_World, Fault], Awaitable[None]]] = {
    FaultKind.INSTANCE_KILL: _kill_instance,
    FaultKind.INSTANCE_STOP: _stop_instance,
    FaultKind.INSTANCE_PAUSE: _pause_instance,
    FaultKind.INSTANCE_HANGUP: _hang_up,
    FaultKind.ALL_INSTANCES_KILL: _kill_all,
    FaultKind.HOST_KILL: _kill_host,
    FaultKind.HOST_DRAIN: _drain_host,
    FaultKind.HOST_PAUSE: _pause_host,
    FaultKind.STORE_DOWN: _store_fault,
    FaultKind.STORE_SILENT: _store_fault,
    FaultKind.STORE_SLOW: _store_fault,
    FaultKind.STORE_REFUSES: _store_fault,
    FaultKind.STORE_COMPACT: _compact,
    FaultKind.LINK: _link,
    FaultKind.CONFIG_CHANGE: _change_config,
    FaultKind.CONFIG_STORM: _storm,
}


async def _stop(world: _World) -> None:
    # Faults that are still running would start programs again.
    tasks = [*world.tasks]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    programs = [*world.instances, *[host.program for host in world.hosts]]
    await asyncio.gather(*[program.end() for program in programs])
    for proxy in world.proxies:
        await proxy.stop()
    await world.store.stop()
