"""A run of the soak: processes of instances and hosts (targets); store and clients in this one."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from zlib import crc32

import msgspec

from pearwell.platform.settings import PATH_VARIABLE
from pearwell.soak.checks import Checker, Guarantee
from pearwell.soak.earlier_build import Replacement, Rollout, draw_replacements
from pearwell.soak.options import SoakOptions
from pearwell.soak.processes import ROLE_ARGUMENTS, ROOT, ManagedProcess
from pearwell.soak.proxy import Link, Proxy
from pearwell.soak.schedule import Fault, FaultKind, draw_faults
from pearwell.soak.store_faults import LEASE_S, restore_from_copy, switch_fault
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
PROBE_INTERVAL_S, MAX_PROBE_FAILURES = 0.5, 2
STARTUP_S, SETTLE_S, RECOVERY_TIMEOUT_S = 3.0, 5.0, 6.0
# Time limits in the settings, and the time after a fault in which resets are allowed.
DRAIN_MS, CONFIG_MS, CONTACT_MS, GRACE_S = 3000, 3000, 4000, 6
EVACUATE_MS = 3000
# Time for which hosts are cold, and the flows per second that all instances may start on one then.
WARMUP_S, WARMUP_PER_S, WARMUP_OVERAGE, WARMUP_SLACK = 2.0, 1.0, 1.5, 4
CONTACT_S = CONTACT_MS / 1000
DRAIN_SLACK_S = 1.0
# Time for which new flows are checked while a zone is evacuated after the last fault.
EVACUATED_S = 2.0
# More than are written between the last restore and the check after it.
LOST_CHANGES = 8


@dataclass(slots=True)
class _Host:
    process: ManagedProcess
    number: int
    service: str
    address: str
    zone: str
    started_at: float
    draining_at: float = float("inf")
    # Times of new flows while it was cold.
    cold_starts: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Harness:
    """State of a run."""

    options: SoakOptions
    checker: Checker = field(default_factory=Checker)
    store: ObjectServer = field(default_factory=ObjectServer)
    instances: list[ManagedProcess] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    hosts: list[_Host] = field(default_factory=list)
    rotation: list[int] = field(default_factory=list)
    config_version: int = 1
    next_host_number: int = 1
    next_address: int = 1
    faulty_until: float = 0.0
    # When zones were evacuated, by zone.
    evacuated_at: dict[str, float] = field(default_factory=dict)
    tasks: set["asyncio.Future[Any]"] = field(default_factory=set)

    def ip(self, third: int, fourth: int) -> str:
        return f"127.{self.options.octet}.{third}.{fourth}"

    def spawn(self, coroutine: Awaitable[Any]) -> "asyncio.Future[Any]":
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def record_fault(self, duration_s: float = 0.0) -> None:
        """Records that a fault affects instances, their links or the store for duration_s."""
        self.faulty_until = max(self.faulty_until, time.monotonic() + duration_s)

    def is_unaffected(self, number: int) -> bool:
        """Whether a host serves and it, the instances and the store had no fault for CONTACT_S."""
        now = time.monotonic()
        host = next((candidate for candidate in self.hosts if candidate.number == number), None)
        if host is None or not host.process.running or host.draining_at < now:
            return False
        return now - max(host.process.faulty_until, self.faulty_until) > CONTACT_S

    def route(self, flow: bytes) -> tuple[str, int]:
        """Returns the instance of a flow, by rendezvous hashing over those in rotation."""
        candidates = self.rotation or range(self.options.instances)
        chosen = max(candidates, key=lambda index: crc32(flow + bytes([index])))
        return self.ip(1, chosen + 1), PACKET_PORT


async def run_soak(options: SoakOptions) -> Checker:
    """Runs one soak and returns its outcomes and violations."""
    harness = Harness(options)
    try:
        await _start(harness)
        await asyncio.sleep(STARTUP_S)
        clients = [
            asyncio.ensure_future(run_client(harness, index)) for index in range(options.clients)
        ]
        rollout = harness.spawn(_replace_builds(harness))
        await _inject_faults(harness, draw_faults(options.seed, options.length_s))
        await rollout
        await asyncio.sleep(SETTLE_S)
        await _check_configuration(harness)
        await _evacuate_zone(harness, 0, EVACUATE_MS / 1000 + EVACUATED_S)
        await _check_recovery(harness)
        await stop_clients(clients)
    finally:
        await stop_all(harness)
    for process in [*harness.instances, *[host.process for host in harness.hosts]]:
        harness.checker.require(
            not process.unexpected_exits,
            Guarantee.NO_UNEXPECTED_EXIT,
            f"{process.name}: {process.exit_report}",
        )
    return harness.checker


async def start_platform(harness: Harness) -> None:
    """Starts the store, the hosts, and for each instance a proxy to the store."""
    await harness.store.start(harness.ip(0, 1), STORE_PORT)
    await _write_config(harness)
    for service in SERVICES:
        for _ in range(harness.options.hosts):
            await _add_host(harness, service)
    for index in range(harness.options.instances):
        proxy = Proxy()
        await proxy.start((harness.ip(4, index + 1), STORE_PORT), (harness.ip(0, 1), STORE_PORT))
        harness.proxies.append(proxy)


async def _start(harness: Harness) -> None:
    await start_platform(harness)
    indices = range(harness.options.instances)
    harness.instances = [_instance_process(harness, index) for index in indices]
    beside = harness.options.beside
    if beside is not None and harness.options.rollout is not Rollout.BACK:
        for process in harness.instances:
            process.root = beside
    await asyncio.gather(*[process.start() for process in harness.instances])
    for index in indices:
        harness.spawn(probe_readiness(harness, index))


def write_settings(harness: Harness, index: int) -> Path:
    """Writes the settings file of an instance and returns its path."""
    ip = harness.ip(1, index + 1)
    seeds = [
        f"{harness.ip(1, n + 1)}:{CONTROL_PORT}" for n in range(min(3, harness.options.instances))
    ]
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
        "Bounds.EvacuateMs": EVACUATE_MS,
        "Bounds.WarmupOverage": WARMUP_OVERAGE,
        "Bounds.WarmupSlack": WARMUP_SLACK,
        "platform.Address": f"{harness.ip(4, index + 1)}:{STORE_PORT}",
    }
    path = harness.options.directory / f"edge-{index}.conf"
    path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
    return path


def _instance_process(harness: Harness, index: int) -> ManagedProcess:
    return ManagedProcess(
        f"edge-{index}",
        ROLE_ARGUMENTS,
        {PATH_VARIABLE: str(write_settings(harness, index))},
        harness.options.directory / f"edge-{index}.log",
        harness.checker.check_log_line,
    )


async def _add_host(harness: Harness, service: str, address: str = "") -> _Host:
    number, harness.next_host_number = harness.next_host_number, harness.next_host_number + 1
    if not address:
        address = harness.ip(2, harness.next_address)
        harness.next_address += 1
    zone = ZONES[number % len(ZONES)]
    arguments = [
        "-m",
        "pearwell.standins.token_host",
        f"--ip={address}",
        f"--port={HOST_PORT}",
        f"--number={number}",
        f"--service={service}",
        f"--zone={zone}",
        f"--store={harness.ip(0, 1)}:{STORE_PORT}",
        f"--client_port={PACKET_PORT}",
        f"--born={number}",
        f"--warmup_s={WARMUP_S}",
    ]
    log = harness.options.directory / f"host-{number}.log"

    def on_line(name: str, line: str) -> None:
        _check_host_line(harness, host, line)

    process = ManagedProcess(f"host-{number}", arguments, {}, log, on_line)
    host = _Host(process, number, service, address, zone, time.monotonic())
    harness.hosts.append(host)
    await process.start()
    return host


def _check_host_line(harness: Harness, host: _Host, line: str) -> None:
    if not line.startswith("{"):
        harness.checker.require("Traceback" not in line, Guarantee.NO_UNEXPECTED_EXIT, line)
        return
    event = msgspec.json.decode(line)
    now = time.monotonic()
    if event["event"] == "draining":
        host.draining_at = now
    bound_s = DRAIN_MS / 1000 + DRAIN_SLACK_S
    late = event["event"] == "syn" and now - host.draining_at > bound_s
    unaffected = now - harness.faulty_until > bound_s + CONTACT_S
    harness.checker.require(not (late and unaffected), Guarantee.DRAIN, f"host {host.number}")
    evacuated_s = now - harness.evacuated_at.get(host.zone, now)
    late = event["event"] == "syn" and evacuated_s > EVACUATE_MS / 1000
    unaffected = now - harness.faulty_until > CONTACT_S
    harness.checker.require(
        not (late and unaffected), Guarantee.EVACUATION, f"host {host.number} in {host.zone}"
    )
    if event["event"] == "syn" and event["at"] - host.started_at < WARMUP_S:
        starts = [*host.cold_starts, event["at"]]
        host.cold_starts = [at for at in starts if event["at"] - at < 1.0]
        allowed = WARMUP_PER_S * WARMUP_OVERAGE + WARMUP_SLACK
        few = len(host.cold_starts) <= allowed
        harness.checker.require(few, Guarantee.WARMUP, f"host {host.number}")


async def _write_config(harness: Harness) -> None:
    routes = [
        {
            "Name": service,
            "Host": ROUTE_IP,
            "PathPrefix": f"/{ROUTE_PORTS[service]}/",
            "Service": service,
        }
        for service in SERVICES
    ]
    if harness.config_version % 2:
        routes.append({**routes[0], "Name": "extra", "PathPrefix": "/9000/"})
    services = [{"Name": service, "WarmupPerS": WARMUP_PER_S} for service in SERVICES]
    spec = {"Version": harness.config_version, "Routes": routes, "Services": services, "Limits": {}}
    await harness.store.write("config", "main", spec)


async def _write_again(harness: Harness) -> None:
    """Writes what the operator has written since the copy that the store was restored from."""
    await _write_config(harness)
    for zone in ZONES:
        if zone in harness.evacuated_at:
            await harness.store.write("evacuations", zone, {})
        else:
            await harness.store.remove("evacuations", zone)


async def _evacuate_zone(harness: Harness, zone_index: int, for_s: float) -> None:
    zone = ZONES[zone_index]
    if zone in harness.evacuated_at:
        return
    await harness.store.write("evacuations", zone, {})
    harness.evacuated_at[zone] = time.monotonic()
    await asyncio.sleep(for_s)
    del harness.evacuated_at[zone]
    await harness.store.remove("evacuations", zone)


async def _write_next_config(harness: Harness, increment: int = 1) -> None:
    harness.config_version += increment
    await _write_config(harness)


async def probe_readiness(harness: Harness, index: int) -> None:
    """Keeps an instance in rotation while its readiness endpoint answers 200."""
    failures = 0
    while True:
        ready = await is_ready(harness.ip(1, index + 1))
        failures = 0 if ready else failures + 1
        if ready and index not in harness.rotation:
            harness.rotation.append(index)
        if failures >= MAX_PROBE_FAILURES and index in harness.rotation:
            harness.rotation.remove(index)
        await asyncio.sleep(PROBE_INTERVAL_S)


async def is_ready(ip: str) -> bool:
    """Whether the readiness endpoint of an instance answers 200."""
    try:
        async with asyncio.timeout(PROBE_INTERVAL_S):
            reader, writer = await asyncio.open_connection(ip, READY_PORT)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


async def run_client(harness: Harness, index: int) -> None:
    """Opens flows and sends requests on each until it ends."""
    rng = random.Random(harness.options.seed * 1000 + index)
    client = TokenClient(harness.ip(3, index + 1), harness.route, rng)
    address = (harness.ip(3, index + 1), PACKET_PORT)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: client, local_addr=address)
    try:
        while True:
            service = rng.choice(SERVICES)
            flow, failed = await _open_flow(harness, client, service)
            for number in range(rng.choice((1, 5, 20))):
                if failed is not None:
                    break
                outcome = await _send_request(harness, client, flow, service, f"{index}-{number}")
                failed = outcome if outcome.status != "ok" else None
                await asyncio.sleep(rng.uniform(0.05, 0.5))
            client.close(flow)
            await asyncio.sleep(rng.uniform(0.0, 0.2))
    finally:
        transport.close()


async def stop_clients(clients: Sequence["asyncio.Future[None]"]) -> None:
    """Stops clients, and raises the exception of one that has failed."""
    for client in clients:
        client.cancel()
    for result in await asyncio.gather(*clients, return_exceptions=True):
        if isinstance(result, Exception):
            raise result


async def _open_flow(
    harness: Harness, client: TokenClient, service: str
) -> tuple[ClientFlow, Outcome | None]:
    flow, failed = await client.open(flow_address(ROUTE_IP, ROUTE_PORTS[service]))
    if failed is not None:
        harness.checker.outcomes[f"open {failed.status}"] += 1
    return flow, failed


async def _send_request(
    harness: Harness, client: TokenClient, flow: ClientFlow, service: str, text: str
) -> Outcome:
    flow_host = flow.host
    outcome = await client.request(flow, text)
    harness.checker.check_outcome(
        text, outcome, flow_host, frozenset({service}), harness.is_unaffected(flow_host)
    )
    return outcome


async def _check_configuration(harness: Harness) -> None:
    """Checks that a change after a restore is in force at all instances within the bound."""
    restore = harness.spawn(
        restore_from_copy(harness.store, 1.0, 0.0, 0, lambda: _write_again(harness))
    )
    for _ in range(LOST_CHANGES):
        await _write_next_config(harness)
        await asyncio.sleep(0.1)
    await restore
    await asyncio.sleep(CONTACT_S)
    await _write_next_config(harness)
    await asyncio.sleep(CONFIG_MS / 1000)
    outdated = harness.checker.outdated(harness.config_version)
    harness.checker.require(not outdated, Guarantee.CONFIGURATION, ", ".join(outdated))


async def _check_recovery(harness: Harness) -> None:
    """Checks that a new client of each service gets a response after the last fault."""
    for number, service in enumerate(SERVICES):
        ip = harness.ip(5, number + 1)
        client = TokenClient(ip, harness.route, random.Random(number))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda protocol=client: protocol, local_addr=(ip, PACKET_PORT)  # type: ignore[misc]
        )
        deadline, served = loop.time() + RECOVERY_TIMEOUT_S, False
        while not served and loop.time() < deadline:
            flow, failed = await _open_flow(harness, client, service)
            if failed is None:
                served = (await client.request(flow, "recovery")).status == "ok"
            client.close(flow)
        harness.checker.require(served, Guarantee.RECOVERY, service)
        transport.close()


async def _inject_faults(harness: Harness, faults: list[Fault]) -> None:
    started_at = time.monotonic()
    running = []
    for fault in faults:
        await asyncio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
        running.append(harness.spawn(_FAULT_HANDLERS[fault.kind](harness, fault)))
    await asyncio.gather(*running)


async def _replace_builds(harness: Harness) -> None:
    """Restarts instance after instance with the other build, overlapping as a rollout does."""
    options, started_at = harness.options, time.monotonic()
    if options.beside is None:
        return
    replacements = draw_replacements(
        options.seed, options.rollout, options.instances, options.length_s
    )
    running = []
    for replacement in replacements:
        await asyncio.sleep(max(0.0, started_at + replacement.at_s - time.monotonic()))
        running.append(harness.spawn(_replace_build(harness, replacement, options.beside)))
    await asyncio.gather(*running)


async def _replace_build(harness: Harness, replacement: Replacement, beside: Path) -> None:
    process = harness.instances[replacement.instance]
    process.root = ROOT if replacement.is_current else beside
    harness.record_fault(GRACE_S)
    await process.restart(signal.SIGTERM)
    harness.record_fault()


async def _signal_instance(harness: Harness, fault: Fault, signal_number: signal.Signals) -> None:
    process = harness.instances[fault.subject % len(harness.instances)]
    harness.record_fault(GRACE_S if signal_number == signal.SIGTERM else 1.0)
    await process.restart(signal_number)
    harness.record_fault()


async def _kill_instance(harness: Harness, fault: Fault) -> None:
    await _signal_instance(harness, fault, signal.SIGKILL)


async def _stop_instance(harness: Harness, fault: Fault) -> None:
    await _signal_instance(harness, fault, signal.SIGTERM)


async def _kill_all_instances(harness: Harness, fault: Fault) -> None:
    harness.record_fault(1.0)
    await asyncio.gather(*[process.restart(signal.SIGKILL) for process in harness.instances])
    harness.record_fault()


async def _pause_instance(harness: Harness, fault: Fault) -> None:
    process = harness.instances[fault.subject % len(harness.instances)]
    harness.record_fault(fault.for_s)
    process.send(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    process.send(signal.SIGCONT)
    harness.record_fault()


async def _send_hangup(harness: Harness, fault: Fault) -> None:
    process = harness.instances[fault.subject % len(harness.instances)]
    if process.running and harness.rotation:
        process.send(signal.SIGHUP)


def _select_host(harness: Harness, fault: Fault) -> _Host | None:
    """Returns a host whose service has another live host, or None."""
    serving = [host for host in harness.hosts if host.draining_at == float("inf")]
    live = [host for host in serving if host.process.running]
    spare = [host for host in live if sum(other.service == host.service for other in live) > 1]
    return spare[fault.subject % len(spare)] if spare else None


async def _kill_host(harness: Harness, fault: Fault) -> None:
    host = _select_host(harness, fault)
    if host is None:
        return
    host.draining_at = time.monotonic()
    host.process.faulty_until = time.monotonic() + 3600
    await host.process.end(signal.SIGKILL)
    await asyncio.sleep(2.0)
    await harness.store.remove("servers", f"i-{host.number:08x}")
    # A host of another service gets its address, as the platform reuses addresses.
    other = SERVICES[1 - SERVICES.index(host.service)]
    await _add_host(harness, other, host.address)
    await _add_host(harness, host.service)


async def _drain_host(harness: Harness, fault: Fault) -> None:
    host = _select_host(harness, fault)
    if host is None:
        return
    await _add_host(harness, host.service)
    await asyncio.sleep(1.5)
    host.draining_at = time.monotonic()
    host.process.send(signal.SIGTERM)


async def _pause_host(harness: Harness, fault: Fault) -> None:
    host = _select_host(harness, fault)
    if host is None:
        return
    host.process.faulty_until = time.monotonic() + fault.for_s
    host.process.send(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    host.process.send(signal.SIGCONT)
    host.process.faulty_until = time.monotonic()


async def _inject_store_fault(harness: Harness, fault: Fault) -> None:
    # Instances connect to the store from their proxy's address; it may refuse every second one.
    indices = range(fault.subject % 2, len(harness.proxies), 2)
    refused = frozenset(harness.ip(4, index + 1) for index in indices)
    harness.record_fault(fault.for_s)
    only_refuses = fault.kind is FaultKind.STORE_REFUSES
    await switch_fault(
        harness.store, fault.kind, fault.for_s, refused if only_refuses else frozenset()
    )
    harness.record_fault()


async def _compact_store(harness: Harness, fault: Fault) -> None:
    harness.record_fault(1.0)
    harness.store.compact()


async def _restore_store(harness: Harness, fault: Fault) -> None:
    away_s = fault.for_s / 2
    harness.record_fault(fault.for_s + away_s + LEASE_S)
    await restore_from_copy(
        harness.store, fault.for_s, away_s, fault.subject, lambda: _write_again(harness)
    )
    harness.record_fault()


async def _evacuate(harness: Harness, fault: Fault) -> None:
    await _evacuate_zone(harness, fault.subject % len(ZONES), fault.for_s)


async def _change_link(harness: Harness, fault: Fault) -> None:
    proxy = harness.proxies[fault.subject % len(harness.proxies)]
    harness.record_fault(fault.for_s)
    proxy.set_link(fault.link)
    await asyncio.sleep(fault.for_s)
    proxy.set_link(Link.OPEN)
    harness.record_fault()


async def _change_config(harness: Harness, fault: Fault) -> None:
    await _write_next_config(harness, 1 + fault.subject % 3)


async def _change_config_repeatedly(harness: Harness, fault: Fault) -> None:
    end = time.monotonic() + fault.for_s
    while time.monotonic() < end:
        await _change_config(harness, fault)
        await asyncio.sleep(0.1)


_FAULT_HANDLERS: dict[FaultKind, Callable[[Harness, Fault], Awaitable[None]]] = {
    FaultKind.INSTANCE_KILL: _kill_instance,
    FaultKind.INSTANCE_STOP: _stop_instance,
    FaultKind.INSTANCE_PAUSE: _pause_instance,
    FaultKind.INSTANCE_HANGUP: _send_hangup,
    FaultKind.ALL_INSTANCES_KILL: _kill_all_instances,
    FaultKind.HOST_KILL: _kill_host,
    FaultKind.HOST_DRAIN: _drain_host,
    FaultKind.HOST_PAUSE: _pause_host,
    FaultKind.STORE_DOWN: _inject_store_fault,
    FaultKind.STORE_SILENT: _inject_store_fault,
    FaultKind.STORE_SLOW: _inject_store_fault,
    FaultKind.STORE_REFUSES: _inject_store_fault,
    FaultKind.STORE_COMPACT: _compact_store,
    FaultKind.STORE_RESTORE: _restore_store,
    FaultKind.LINK: _change_link,
    FaultKind.CONFIG_CHANGE: _change_config,
    FaultKind.CONFIG_STORM: _change_config_repeatedly,
    FaultKind.ZONE_EVACUATION: _evacuate,
}


async def stop_all(harness: Harness) -> None:
    """Ends all tasks and processes."""
    # Faults that are still running would restart processes.
    tasks = [*harness.tasks]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    processes = [*harness.instances, *[host.process for host in harness.hosts]]
    await asyncio.gather(*[process.end() for process in processes])
    for proxy in harness.proxies:
        await proxy.stop()
    await harness.store.stop()
