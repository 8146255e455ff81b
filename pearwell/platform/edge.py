"""The role that carries the traffic: sockets, store and probes around the product's decisions."""

import os
import signal
import socket
import sys
import time

from pearwell.affinity.director import Director
from pearwell.affinity.directory import Change, Directory
from pearwell.affinity.follower import Call, Follower
from pearwell.affinity.routes import RouteTable
from pearwell.affinity.target import Target
from pearwell.errors import Code, PacketError, PlatformError, SettingsError
from pearwell.event_log import EventLog, stdout_writer
from pearwell.platform.objects import (
    CONFIG_KIND,
    CONFIG_NAME,
    TARGET_KIND,
    decode_routes,
    decode_target,
    object_name,
)
from pearwell.platform.packet import client_ip, decode_packet, encode_forwarded, encode_reset
from pearwell.platform.probe import ProbeServer
from pearwell.platform.settings import PATH_VARIABLE, InstanceSettings, read_settings
from pearwell.platform.store import StoreClient, connected
from pearwell.reactor import Reactor

__all__ = ["Edge", "main"]

# Shares of the bounds of the settings that may pass before changes are looked for again; the rest
# is for a call that fails and its retry.
DRAIN_SHARE = 0.33
CONFIG_SHARE = 0.17
# Most packets read before timers and other sockets get their turn.
BATCH_PACKETS = 64
DATAGRAM_BYTES = 2_048
# Room for the packets that arrive while an instance starts or is held up.
RECEIVE_BUFFER_BYTES = 4_194_304
# A target that accepts connections does so within milliseconds.
PROBE_TIMEOUT_S = 0.3
TICK_S = 1.0
# Time between the request to stop and the end, in which routers notice that the instance isn't
# ready (two misses of probes every 500 ms) and send its flows elsewhere.
STOP_S = 4.5
# What is left of the time to stop for the end itself.
STOP_MARGIN_S = 1.0

_SILENT_DROPS = frozenset({Code.FLOW_UNSETTLED})


class Edge:
    """One instance.

    Args:
        settings: Settings of the platform.
        path: Path of the settings file, which is read again when it changes.
    """

    def __init__(self, settings: InstanceSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        self._modified_at = _modified_at(path)
        self._log = EventLog(stdout_writer(), time.monotonic, instance=settings.instance)
        self._reactor = Reactor(time.monotonic, self._on_error)
        self._packets = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._packets.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._packets.setblocking(False)
        self._packets.bind(settings.packets)
        self._routes = RouteTable()
        self._directory = Directory()
        draws = _Jitter(settings.instance)
        self._followers = {
            CONFIG_KIND: Follower(settings.config_s * CONFIG_SHARE, settings.contact_s, draws.next),
            TARGET_KIND: Follower(settings.drain_s * DRAIN_SHARE, settings.contact_s, draws.next),
        }
        self._stores = {
            kind: StoreClient(self._reactor, settings.store) for kind in self._followers
        }
        self._director = Director(
            settings.zone, self._routes, self._directory, self._trusts_listing, self._log.flow
        )
        self._probes = ProbeServer(self._reactor, settings.ready, self._is_ready)
        self._forwarding = False
        self._stopping = False
        self._bad_packets = 0

    def run(self) -> None:
        """Serves until the platform stops the process."""
        self._log.event("start", zone=self._settings.zone)
        for kind in self._followers:
            self._reactor.spawn(self._follow(kind))
        self._probes.start()
        self._watch_signals()
        self._reactor.spawn(self._tick())
        self._reactor.run(lambda: self._director.next_due, self._send_due)
        self._log.event("stop", counts=self._director.counts)
        self._log.flush()

    def _is_ready(self) -> bool:
        return self._forwarding and not self._stopping

    def _trusts_listing(self, now: float) -> bool:
        return now - self._followers[TARGET_KIND].good_since >= 2.5

    # Packets

    def _on_packets(self) -> None:
        receive, decide = self._packets.recv, self._director.on_packet
        now = self._reactor.now()
        for _ in range(BATCH_PACKETS):
            try:
                data = receive(DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as error:
                self._log.event("receive_failed", error=error)
                break
            try:
                packet = decode_packet(data)
            except PacketError as error:
                self._bad_packets += 1
                self._log.flow("packet_malformed", code=int(error.code), detail=error.detail)
                continue
            verdict = decide(packet, data, now)
            if isinstance(verdict, Target):
                self._forward(data, verdict)
            elif verdict not in _SILENT_DROPS and not packet[2] & 16:
                self._reset(packet[0], encode_reset(packet))
        for target in self._director.take_probes():
            self._reactor.spawn(self._probe(target))

    def _forward(self, data: bytes, target: Target) -> None:
        self._send(encode_forwarded(data, target.tag, target.token), target.address)

    def _reset(self, key: bytes, reset: bytes) -> None:
        self._send(reset, (client_ip(key), self._settings.packets[1]))

    def _send(self, datagram: bytes, address: tuple[str, int]) -> None:
        try:
            self._packets.sendto(datagram, address)
        except OSError as error:
            # A full link loses the packet as any network does; the client sends it again.
            self._log.flow("send_failed", to=address[0], error=error)

    def _send_due(self, now: float) -> None:
        for data, target in self._director.due(now):
            self._forward(data, target)
        for target in self._director.take_probes():
            self._reactor.spawn(self._probe(target))

    async def _probe(self, target: Target) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        answered, refused = False, False
        try:
            answered = await connected(self._reactor, sock, target.address, PROBE_TIMEOUT_S)
        except OSError:
            refused = True
        sock.close()
        flows = self._director.probed(target, answered, refused, self._reactor.now())
        for flow in flows:
            packet = (flow.key, b"", 0, 0, flow.acked, 0, 0)
            self._reset(flow.key, encode_reset(packet))

    # Store

    async def _follow(self, kind: str) -> None:
        follower, store = self._followers[kind], self._stores[kind]
        while True:
            call = follower.next_call(self._reactor.now())
            if call.delay_s > 0:
                await self._reactor.sleep(call.delay_s)
            try:
                if call.revision is None:
                    await self._list(kind, follower, store)
                else:
                    await self._watch(kind, follower, store, call)
            except PlatformError as error:
                follower.failed(error.code, self._reactor.now())
                self._log.event(
                    "store_lost",
                    kind=kind,
                    code=int(error.code),
                    detail=error.detail,
                    revision=call.revision,
                )
            self._begin_forwarding()

    async def _list(self, kind: str, follower: Follower, store: StoreClient) -> None:
        items: list[object] = []
        revision, more = None, True
        while more:
            answer = await store.list(kind, object_name(items[-1]) if items else "")
            items.extend(answer.items)
            revision = answer.revision if revision is None else min(revision, answer.revision)
            more = answer.more and bool(answer.items)
        now = self._reactor.now()
        if kind == TARGET_KIND:
            targets = [found for found in map(self._decode_target, items) if found is not None]
            self._note(self._directory.replace(targets, now))
        else:
            for item in items:
                self._apply_config(item)
        follower.listed(revision or 0, now)
        self._log.event("store_listed", kind=kind, objects=len(items), revision=revision)

    async def _watch(self, kind: str, follower: Follower, store: StoreClient, call: Call) -> None:
        answer = await store.watch(kind, call.revision or 0, call.wait_s)
        now = self._reactor.now()
        for event in answer.items:
            item = event.get("Object") if isinstance(event, dict) else None
            deleted = isinstance(event, dict) and event.get("Deleted") is True
            if kind != TARGET_KIND:
                self._apply_config(item)
                continue
            target = None if deleted else self._decode_target(item)
            if target is None:
                self._note(self._directory.remove(object_name(item), now))
            else:
                self._note(self._directory.put(target))
        follower.watched(len(answer.items), answer.revision, now)

    def _decode_target(self, item: object) -> Target | None:
        try:
            return decode_target(item, self._reactor.now())
        except PlatformError as error:
            self._log.event("entry_unusable", code=int(error.code), detail=error.detail)
            return None

    def _apply_config(self, item: object) -> None:
        if object_name(item) != CONFIG_NAME:
            return
        try:
            routes = decode_routes(item)
        except PlatformError as error:
            self._log.event("configuration_unusable", code=int(error.code), detail=error.detail)
            return
        applied = self._routes.apply(routes, self._reactor.now())
        self._log.event(
            "configuration_applied" if applied else "configuration_older",
            version=routes.version,
            in_force=self._routes.version,
            routes=len(self._routes),
        )

    def _note(self, changes: list[Change]) -> None:
        for event, target in changes:
            self._log.event(
                event,
                target=target.name,
                service=target.service,
                zone=target.zone,
                address=f"{target.address[0]}:{target.address[1]}",
            )

    def _begin_forwarding(self) -> None:
        if self._forwarding or not (self._routes.known and self._directory.known):
            return
        self._forwarding = True
        self._reactor.add_reader(self._packets, self._on_packets)
        self._log.event("ready", version=self._routes.version, targets=len(self._directory))

    # Process

    async def _tick(self) -> None:
        while True:
            await self._reactor.sleep(TICK_S)
            now = self._reactor.now()
            self._director.tick(now)
            self._note(self._directory.settle(now, self._followers[TARGET_KIND].good_since))
            modified_at = _modified_at(self._path)
            if modified_at != self._modified_at:
                self._modified_at = modified_at
                self._reload()
            self._log.flush()

    def _reload(self) -> None:
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            self._log.event("reload_failed", code=int(error.code), detail=error.detail)
            return
        if settings.store != self._settings.store:
            for kind in self._stores:
                self._stores[kind].move(settings.store)
        self._settings.store = settings.store
        self._settings.grace_s = settings.grace_s
        self._log.event("reload", store=f"{settings.store[0]}:{settings.store[1]}")

    def _watch_signals(self) -> None:
        inner, outer = socket.socketpair()
        inner.setblocking(False)
        outer.setblocking(False)
        signal.set_wakeup_fd(outer.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            signal.signal(number, lambda *_: None)
        self._signals = (inner, outer)
        self._reactor.add_reader(inner, self._on_signals)

    def _on_signals(self) -> None:
        for number in self._signals[0].recv(64):
            if number == signal.SIGHUP:
                self._reload()
            elif not self._stopping:
                self._stopping = True
                self._log.event("stopping", signal=number)
                self._reactor.spawn(self._stop())

    async def _stop(self) -> None:
        await self._reactor.sleep(max(0.0, min(STOP_S, self._settings.grace_s - STOP_MARGIN_S)))
        self._reactor.stop()

    def _on_error(self, error: BaseException) -> None:
        self._log.event("task_failed", error=repr(error))
        self._log.flush()
        raise error


class _Jitter:
    """Numbers between 0 and 1 that differ from instance to instance and from start to start."""

    def __init__(self, name: str) -> None:
        self._name = name.encode()
        self._state = int.from_bytes(os.urandom(4), "big")

    def next(self) -> float:
        """Returns the next number."""
        self._state = (self._state * 1_664_525 + 1_013_904_223) & 0xFFFFFFFF
        return self._state / (1 << 32)


def _modified_at(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        # A missing file is reported when it is read.
        return 0.0


def main() -> None:
    """Runs the role with the settings file that the environment names."""
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"event=start_failed code={int(error.code)} detail={error.detail!r}", flush=True)
        sys.exit(2)
    Edge(settings, path).run()
