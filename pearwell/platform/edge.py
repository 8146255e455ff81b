"""The role that carries the traffic: the sockets and signals around one instance."""

import os
import signal
import socket
import sys
import time

from pearwell.affinity.director import RST
from pearwell.affinity.hints import Followers, decode_hint, encode_hint
from pearwell.affinity.instance import Bounds, Instance, order_relays
from pearwell.affinity.relay import Relay
from pearwell.affinity.serving import is_stale_backlog
from pearwell.affinity.sync import ObjectSync
from pearwell.affinity.target import Target
from pearwell.affinity.token import NO_TOKEN
from pearwell.errors import Code, PacketError, SettingsError
from pearwell.event_log import EventLog, stdout_writer
from pearwell.http_server import Answer, HttpServer
from pearwell.platform.objects import ConfigObjects, TargetObjects
from pearwell.platform.packet import (
    client_ip,
    decode_packet,
    encode_forwarded,
    encode_reset,
    flow_packet,
)
from pearwell.platform.settings import PATH_VARIABLE, InstanceSettings, read_settings
from pearwell.platform.store import StoreClient, connected
from pearwell.reactor import Reactor, Signal
from pearwell.text_metrics import Histogram, render_samples

__all__ = ["Edge", "main"]

# Most packets read before timers and other sockets get their turn.
BATCH_PACKETS = 64
DATAGRAM_BYTES = 2_048
# Room for the packets that arrive while an instance starts or is held up.
RECEIVE_BUFFER_BYTES = 4_194_304
# A target that accepts connections does so within milliseconds.
PROBE_TIMEOUT_S = 0.3
TICK_S = 1.0
# Port and path of the metrics page, as deploy/system.toml names them.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
# Upper bounds in seconds: a decision takes some microseconds, a call some milliseconds.
DECISION_BOUNDS_S = (0.00002, 0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.005, 0.05)
CALL_BOUNDS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)


class Edge:
    """One instance on the platform.

    Args:
        settings: Settings of the platform.
        path: Path of the settings file, which is read again when it changes.
    """

    def __init__(self, settings: InstanceSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        self._modified_at = _modified_at(path)
        self._log = EventLog(stdout_writer(), time.monotonic, instance=settings.instance)
        self._reactor = Reactor(time.monotonic, self._on_error, self._on_pause)
        # Bound first, so that packets wait here while the store is asked.
        self._packets = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._packets.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._packets.setblocking(False)
        _bind(self._packets, settings.packets)
        self._bound_at = self._reactor.now()
        relays = order_relays(settings.instance, settings.control, settings.seeds)
        self._is_relay = settings.control in settings.seeds
        bounds = Bounds(settings.drain_s, settings.config_s, settings.contact_s, settings.grace_s)
        self._instance = Instance(
            settings.zone,
            bounds,
            len(relays),
            self._is_relay,
            _Jitter(settings.instance).next,
            self._log.flow,
            self._log.event,
        )
        self._director = self._instance.director
        self._changed = Signal(self._reactor)
        self._followers = Followers()
        self._peers: socket.socket | None = None
        self._stores: list[StoreClient] = []
        self._relays: list[StoreClient] = []
        self._decision_times = Histogram("packet_seconds", DECISION_BOUNDS_S)
        self._call_times = Histogram("store_list_seconds", CALL_BOUNDS_S)
        # The Unix time lets the logs of several instances be put in one order.
        self._log.event(
            "start", zone=settings.zone, relay=self._is_relay, unix=round(time.time(), 3)
        )
        for kind, follower, cache in (
            (
                ConfigObjects(self._instance.routes, self._log.event),
                self._instance.config,
                self._instance.config_cache,
            ),
            (
                TargetObjects(
                    self._instance.directory, self._instance.trusts_listing, self._log.event
                ),
                self._instance.targets,
                self._instance.target_cache,
            ),
        ):
            store = StoreClient(self._reactor, settings.store, self._call_times)
            clients = [StoreClient(self._reactor, relay) for relay in relays]
            self._stores.append(store)
            self._relays.extend(clients)
            sync = ObjectSync(
                kind,
                follower,
                cache,
                store,
                clients,
                self._reactor.now,
                self._reactor.sleep,
                self._on_change,
                self._log.event,
            )
            self._reactor.spawn(sync.run())
        self._serve()

    def run(self) -> None:
        """Serves until the platform stops the process."""
        self._watch_signals()
        self._reactor.spawn(self._tick())
        self._reactor.run(lambda: self._director.next_due, self._send_due)
        self._log.event("stop", **self._director.counts)
        self._log.flush()

    def _serve(self) -> None:
        HttpServer(self._reactor, self._settings.ready, self._answer_probe, "text/plain")
        try:
            page = (self._settings.ip, METRICS_PORT)
            HttpServer(self._reactor, page, self._answer_metrics, "text/plain; version=0.0.4")
        except SettingsError as error:
            # Traffic goes before metrics if the platform uses the port otherwise.
            self._log.event("metrics_unavailable", code=int(error.code), detail=error.detail)
        self._listen_to_peers()
        if self._settings.control is None or not self._is_relay:
            return
        caches = {
            ConfigObjects.name: self._instance.config_cache,
            TargetObjects.name: self._instance.target_cache,
        }
        targets = self._instance.targets
        relay = Relay(caches, lambda: targets.good_since, self._changed, self._reactor.now)
        HttpServer(
            self._reactor,
            self._settings.control,
            relay.answer,
            "application/json",
            lambda ip: self._followers.asked(ip, self._reactor.now()),
        )

    def _listen_to_peers(self) -> None:
        port = self._settings.peer_port
        if port is None:
            return
        peers = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peers.setblocking(False)
        try:
            _bind(peers, (self._settings.ip, port))
        except SettingsError as error:
            # Hints save some requests; traffic goes on without them.
            self._log.event("hints_unavailable", code=int(error.code), detail=error.detail)
            peers.close()
            return
        self._peers = peers
        self._reactor.add_reader(peers, self._on_hint)

    def _on_hint(self) -> None:
        assert self._peers is not None
        try:
            data = self._peers.recv(DATAGRAM_BYTES)
        except OSError as error:
            self._log.flow("hint_lost", error=error)
            return
        hint = decode_hint(data)
        if hint is None:
            return
        name, pass_on = hint
        self._log.flow("target_hinted", target=name)
        if pass_on and self._is_relay:
            self._tell_followers(name)
        self._director.hinted(name, self._reactor.now())
        self._spawn_probes()

    def _send_hints(self) -> None:
        for name in self._director.take_hints():
            relays = [ip for ip, _ in self._settings.seeds if ip != self._settings.ip]
            self._tell(name, True, relays)
            if self._is_relay:
                self._tell_followers(name)

    def _tell_followers(self, name: str) -> None:
        now = self._reactor.now()
        if self._followers.is_news(name, now):
            self._tell(name, False, self._followers.current(now))

    def _tell(self, name: str, pass_on: bool, ips: list[str]) -> None:
        """Sends a hint; a lost one costs a later discovery and no more."""
        if self._peers is None or self._settings.peer_port is None:
            return
        for ip in ips:
            try:
                self._peers.sendto(encode_hint(name, pass_on), (ip, self._settings.peer_port))
            except OSError as error:
                self._log.flow("hint_lost", to=ip, error=error)

    async def _answer_probe(self, path: str) -> Answer:
        return (200 if self._instance.serving.ready else 503), b""

    async def _answer_metrics(self, path: str) -> Answer:
        if path != METRICS_PATH:
            return 404, b""
        samples = self._instance.samples(self._reactor.now())
        samples += [
            ("calls_total", "counter", {"to": to}, sum(client.calls for client in clients))
            for to, clients in (("store", self._stores), ("relay", self._relays))
        ]
        samples.append(("log_lines_left_out", "gauge", {}, self._log.left_out))
        histograms = self._decision_times.render() + self._call_times.render()
        return 200, (render_samples(samples) + histograms).encode()

    def _on_change(self) -> None:
        if self._instance.informed():
            self._drop_stale(self._reactor.now() - self._bound_at)
            self._reactor.add_reader(self._packets, self._on_packets)
            self._log.event(
                "ready",
                version=self._instance.routes.version,
                targets=len(self._instance.directory),
            )
        self._send_resets()
        self._changed.fire()

    def _on_packets(self) -> None:
        receive, decide = self._packets.recv, self._director.on_packet
        now = self._reactor.now()
        packets = 0
        for packets in range(1, BATCH_PACKETS + 1):
            try:
                data = receive(DATAGRAM_BYTES)
            except BlockingIOError:
                packets -= 1
                break
            except OSError as error:
                self._log.event("receive_failed", error=error)
                break
            try:
                packet = decode_packet(data)
            except PacketError as error:
                self._log.flow("packet_malformed", code=int(error.code), detail=error.detail)
                continue
            verdict = decide(packet, data, now)
            if isinstance(verdict, Target):
                self._forward(data, verdict, packet[6])
            elif verdict is not Code.FLOW_UNSETTLED and not packet[2] & RST:
                self._reset(packet[0], encode_reset(packet))
        if packets:
            self._decision_times.observe((self._reactor.now() - now) / packets)
        self._spawn_probes()

    def _on_pause(self, late_s: float) -> None:
        self._log.event("paused", late_s=round(late_s, 3))
        self._drop_stale(late_s)

    def _drop_stale(self, waited_s: float) -> None:
        """Drops the packets in the buffer if they may have waited for too long."""
        if not is_stale_backlog(waited_s):
            return
        dropped = 0
        try:
            while True:
                self._packets.recv(DATAGRAM_BYTES)
                dropped += 1
        except BlockingIOError:
            self._log.event("backlog_dropped", packets=dropped, waited_s=round(waited_s, 3))

    def _forward(self, data: bytes, target: Target, carried: int = NO_TOKEN) -> None:
        self._send(encode_forwarded(data, target.tag, target.token, carried), target.address)

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
        self._spawn_probes()

    def _send_resets(self) -> None:
        for flow in self._director.take_resets():
            self._reset(flow.key, encode_reset(flow_packet(flow.key, flow.acked)))

    def _spawn_probes(self) -> None:
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
        self._director.probed(target, answered, refused, self._reactor.now())
        self._send_resets()
        self._send_hints()

    async def _tick(self) -> None:
        while True:
            await self._reactor.sleep(TICK_S)
            self._instance.tick(self._reactor.now())
            self._send_resets()
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
        for store in self._stores:
            store.move(settings.store)
        self._instance.serving.grace_s = settings.grace_s
        self._log.event("reload", store=f"{settings.store[0]}:{settings.store[1]}")

    def _watch_signals(self) -> None:
        self._signals, wakeup = socket.socketpair()
        self._signals.setblocking(False)
        wakeup.setblocking(False)
        self._wakeup = wakeup
        signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            signal.signal(number, lambda *_: None)
        self._reactor.add_reader(self._signals, self._on_signals)

    def _on_signals(self) -> None:
        for number in self._signals.recv(64):
            if number == signal.SIGHUP:
                self._reload()
            elif self._instance.serving.stop():
                self._log.event("stopping", signal=number)
                self._reactor.spawn(self._stop())

    async def _stop(self) -> None:
        await self._reactor.sleep(self._instance.serving.stop_after_s)
        self._reactor.stop()

    def _on_error(self, error: BaseException) -> None:
        self._log.event("task_failed", error=repr(error))
        self._log.flush()
        raise error


class _Jitter:
    """Numbers between 0 and 1 that differ from instance to instance and from start to start.

    The module random takes 4 ms of processor time to import.
    """

    def __init__(self, name: str) -> None:
        self._state = int.from_bytes(os.urandom(4), "big") ^ len(name)

    def next(self) -> float:
        """Returns the next number of a linear congruential generator."""
        self._state = (self._state * 1_664_525 + 1_013_904_223) & 0xFFFFFFFF
        return self._state / (1 << 32)


def _bind(sock: socket.socket, address: tuple[str, int]) -> None:
    try:
        sock.bind(address)
    except OSError as error:
        detail = f"{address[0]}:{address[1]}: {error}"
        raise SettingsError(Code.SETTINGS_PORT_IN_USE, detail) from error


def _modified_at(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        # A missing file is reported when it is read.
        return 0.0


def main() -> None:
    """Runs the role with the settings file that the environment names."""
    path = os.environ.get(PATH_VARIABLE, "")
    if len(sys.argv) > 1:
        path = _parse_arguments(path)
    try:
        settings = read_settings(path)
        if len(sys.argv) > 1:
            print(f"{path}: instance {settings.instance} in zone {settings.zone}", flush=True)
            return
        edge = Edge(settings, path)
    except SettingsError as error:
        print(f"event=start_failed code={int(error.code)} detail={error.detail!r}", flush=True)
        sys.exit(2)
    edge.run()


def _parse_arguments(path: str) -> str:
    """Returns the path of the settings file to check; imported only if there are arguments."""
    import argparse

    parser = argparse.ArgumentParser(
        prog="edge.py",
        description=f"Carries traffic with the settings file that {PATH_VARIABLE} names.",
    )
    parser.add_argument(
        "--check_config",
        nargs="?",
        const=path,
        required=True,
        metavar="FILE",
        help=f"check a settings file, by default that of {PATH_VARIABLE}, and end",
    )
    return parser.parse_args().check_config
