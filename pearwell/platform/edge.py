"""The platform's role: one instance with its sockets, store clients and signal handlers."""

import os
import socket
import sys
import time

from pearwell.affinity.cache import ObjectCache
from pearwell.affinity.fetch_scheduler import FetchScheduler
from pearwell.affinity.instance import Bounds, Instance, order_relays
from pearwell.affinity.sync import ObjectSync
from pearwell.errors import Code, SettingsError
from pearwell.event_log import EventLog, stdout_writer
from pearwell.failure_log import FailureLog
from pearwell.histogram import Histogram
from pearwell.http_message import Response
from pearwell.http_server import HttpServer
from pearwell.platform.objects import ConfigHandler, TargetHandler
from pearwell.platform.packet_socket import PacketSocket
from pearwell.platform.settings import PATH_VARIABLE, read_settings
from pearwell.platform.signals import watch_signals
from pearwell.platform.startup import Startup, modified_at
from pearwell.platform.store import StoreClient
from pearwell.reactor import Reactor, Trigger, boot_time

# True for type checkers only, as in pearwell.affinity.sync.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from pearwell.affinity.sync import ObjectHandler
    from pearwell.platform.hint_socket import HintSocket
    from pearwell.platform.metrics_endpoint import MetricsEndpoint
    from pearwell.platform.target_checks import TargetChecks
    from pearwell.platform.target_probes import TargetProbes

__all__ = ["Edge", "main"]

TICK_INTERVAL_S = 1.0
RELAY_HEADERS = {"Content-Type": "application/json", "Content-Encoding": "deflate"}
# Histogram bounds in seconds: a decision takes microseconds, a call milliseconds.
DECISION_BOUNDS_S = (0.00002, 0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.005, 0.05)
CALL_BOUNDS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)


class Edge:
    """One instance on the platform.

    Args:
        startup: Settings that the platform provides, and bound sockets.
        path: Path of the settings file, which is reloaded when it changes.
    """

    def __init__(self, startup: Startup, path: str) -> None:
        settings = startup.settings
        self._settings = settings
        self._path = path
        self._modified_at = startup.modified_at
        self._log = EventLog(stdout_writer(), boot_time, instance=settings.instance)
        self._failures = FailureLog(self._log.event)
        self._reactor = Reactor(boot_time, self._failures.record, self._on_pause)
        self._relay_addresses = order_relays(settings.instance, settings.control, settings.seeds)
        self._is_relay = settings.is_relay
        bounds = Bounds(
            settings.drain_s,
            settings.config_s,
            settings.contact_s,
            settings.grace_s,
            settings.evacuate_s,
            settings.warmup_overage,
            settings.warmup_slack,
            settings.heartbeat_s,
        )
        self._instance = Instance(
            settings.zone,
            bounds,
            len(self._relay_addresses),
            self._is_relay,
            _jitter,
            self._log.flow,
            self._log.event,
            len(settings.seeds),
        )
        self._packet_times = Histogram("packet_seconds", DECISION_BOUNDS_S)
        self._list_times = Histogram("store_list_seconds", CALL_BOUNDS_S)
        self._packets = PacketSocket(
            self._reactor,
            startup.packets,
            settings.packets[1],
            self._instance.director,
            self._log,
            self._packet_times,
            self._on_batch,
        )
        self._hint_socket: HintSocket | None = None
        self._startup = startup
        self._metrics: MetricsEndpoint | None = None
        self._checks: TargetChecks | None = None
        self._probes: TargetProbes | None = None
        self._changed = Trigger(self._reactor)
        self._target_sync: ObjectSync | None = None
        # Caches that this instance serves as a relay, by kind.
        self._caches: dict[str, ObjectCache] = {}
        self._stores: list[StoreClient] = []
        self._relays: list[StoreClient] = []

    @property
    def _hints(self) -> "HintSocket":
        if self._hint_socket is None:
            # Imported with the first use, to keep the start fast.
            from pearwell.platform.hint_socket import HintSocket

            self._hint_socket = HintSocket.from_settings(
                self._reactor, self._settings, self._log, self._on_hint
            )
        return self._hint_socket

    def run(self) -> None:
        """Serves until the platform stops the process."""
        # With the Unix time, the logs of several instances can be merged in order.
        unix = round(time.time(), 3)
        self._log.event(
            "start",
            zone=self._settings.zone,
            relay=self._is_relay,
            unix=unix,
            pid=os.getpid(),
            cpu_s=round(time.process_time(), 3),
        )
        for setting in self._settings.ignored:
            self._log.event(
                "setting_ignored", code=int(Code.SETTINGS_INVALID_VALUE), detail=setting
            )
        # A process that is killed while it starts leaves at least this.
        self._log.flush()
        watch_signals(self._reactor, self._on_stop, self._reload)
        self._start_sync()
        self._listen()
        self._reactor.keep_running(self._tick)
        self._reactor.keep_running(self._load_late_modules)
        director = self._instance.director
        self._reactor.run(lambda: director.next_retransmission_at, self._on_due)
        self._log.event("stop", **director.counts)
        self._log.flush()

    def _start_checks(self) -> "TargetChecks":
        # Imported after the start, and only where a service has a path for health checks.
        from pearwell.platform.target_checks import TargetChecks

        return TargetChecks.start(
            self._reactor,
            self._instance.director,
            self._instance.routes,
            self._packets,
            self._hints,
            self._log,
        )

    def _start_sync(self) -> None:
        instance = self._instance
        targets = TargetHandler(instance.directory, instance.trusts_listing, self._log.event)
        self._spawn_sync(
            ConfigHandler(instance.routes, self._log.event),
            instance.config_scheduler,
            instance.config_cache,
        )
        self._target_sync = self._spawn_sync(
            targets, instance.target_scheduler, instance.target_cache
        )

        feed = instance.evacuation_feed
        if feed is not None:
            from pearwell.platform.evacuation_handler import EvacuationHandler

            evacuations = EvacuationHandler(feed.evacuations, feed.trusts_listing, self._log.event)
            self._spawn_sync(evacuations, feed.scheduler, feed.cache)

    def _spawn_sync(
        self, handler: "ObjectHandler", scheduler: FetchScheduler, cache: ObjectCache
    ) -> ObjectSync:
        store = StoreClient(self._reactor, self._settings.store, self._list_times)
        relays = [
            StoreClient(self._reactor, address, is_relay=True) for address in self._relay_addresses
        ]
        self._caches[handler.kind] = cache
        self._stores.append(store)
        self._relays.extend(relays)
        sync = ObjectSync(
            handler,
            scheduler,
            cache,
            store,
            relays,
            self._reactor.now,
            self._reactor.sleep,
            self._on_change,
            self._log.event,
            self._on_callers,
        )
        self._reactor.keep_running(sync.run)
        return sync

    def _listen(self) -> None:
        HttpServer(self._reactor, self._startup.ready, self._respond_readiness, {})
        if self._startup.control is not None:
            self._serve_relay(self._startup.control)

    def _open_metrics(self) -> None:
        if self._metrics is None:
            # Imported after the start, to keep it fast.
            from pearwell.platform.metrics_endpoint import MetricsEndpoint

            self._metrics = MetricsEndpoint(
                self._reactor, self._settings.ip, self._log, self._render_metrics
            )
        self._metrics.open()

    def _serve_relay(self, sock: socket.socket) -> None:
        # Imported only by the few relays, to keep the start of the others fast.
        from pearwell.affinity.relay import Relay

        instance = self._instance
        relay = Relay(
            self._settings.zone,
            self._caches,
            lambda: instance.target_scheduler.store_healthy_since,
            self._changed,
            self._reactor.now,
            self._count_callers,
        )
        HttpServer(self._reactor, sock, relay.respond, RELAY_HEADERS, self._record_call)

    async def _respond_readiness(self, path: str) -> Response:
        return (200 if self._instance.lifecycle.ready else 503), b"", {}

    def _render_metrics(self) -> bytes:
        # Imported only once metrics are fetched, to keep the start fast.
        from pearwell.platform.metrics_page import render_page

        samples = self._instance.samples(self._reactor.now())
        histograms = (self._packet_times, self._list_times)
        samples.append(("task_failures_total", "counter", {}, self._failures.total))
        return render_page(samples, self._stores, self._relays, histograms, self._log)

    def _on_change(self) -> None:
        instance = self._instance
        instance.apply_shared_limits()
        if instance.forward_if_synced():
            self._packets.start()
            self._log.event("forwarding", targets=len(instance.directory))
        if instance.start_if_synced():
            held = instance.director.take_held_syns(self._reactor.now())
            self._log.event(
                "ready",
                version=instance.routes.version,
                targets=len(instance.directory),
                held=len(held),
            )
            self._packets.replay(held)
            self._open_metrics()
        self._packets.send_resets()
        self._changed.fire()

    def _on_callers(self, callers: int, called_at: float) -> None:
        limits = self._instance.shared_limits
        if limits is not None:
            limits.fleet_size.record_callers(callers, called_at, self._reactor.now())

    def _record_call(self, ip: str) -> None:
        self._hints.record_call(ip)

    def _count_callers(self) -> int | None:
        """Returns the number of callers of this relay; None if it is unknown or not needed."""
        if self._instance.shared_limits is None:
            return None
        return self._hints.count_clients(self._instance.target_scheduler.store_healthy_since)

    def _on_due(self, now: float) -> None:
        self._packets.send_retransmissions(now)
        self._spawn_probes()

    def _on_hint(self, name: str) -> None:
        self._instance.director.health.handle_hint(name, self._reactor.now())
        self._spawn_probes()

    def _on_batch(self) -> None:
        if self._target_sync is not None and self._instance.director.take_store_request():
            self._target_sync.ask_store()
        self._spawn_probes()

    def _spawn_probes(self) -> None:
        if self._checks is not None:
            self._checks.run_due()
        health = self._instance.director.health
        if not health.has_probes:
            return
        if self._probes is None:
            # Imported with the first probe, to keep the start fast.
            from pearwell.platform.target_probes import TargetProbes

            self._probes = TargetProbes(self._reactor, health, self._packets, self._hints)
        for target in health.take_probes():
            self._reactor.spawn(self._probes.probe(target))

    async def _tick(self) -> None:
        while True:
            await self._reactor.sleep(TICK_INTERVAL_S)
            # First what must go on if the rest fails.
            self._log.flush()
            changed_at = modified_at(self._path)
            if changed_at != self._modified_at:
                self._modified_at = changed_at
                self._reload()
            now = self._reactor.now()
            callers = self._count_callers() if self._is_relay else None
            if callers is not None:
                self._on_callers(callers, now)
            self._instance.tick(now)
            if self._checks is None and self._instance.routes.has_health_path:
                self._checks = self._start_checks()
                self._log.event("target_checks_enabled", version=self._instance.routes.version)
            if self._checks is not None:
                self._checks.tick()
            self._packets.send_resets()
            self._spawn_probes()
            self._hints.open()
            self._open_metrics()

    async def _load_late_modules(self) -> None:
        while not self._instance.lifecycle.accepts_flows:
            await self._reactor.sleep(TICK_INTERVAL_S)
        from pearwell.platform.late_modules import load_modules

        await load_modules(self._reactor, self._log)

    def _reload(self) -> None:
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            self._log.event("reload_failed", code=int(error.code), detail=error.detail)
            return
        for store in self._stores:
            store.set_address(settings.store)
        self._instance.lifecycle.grace_s = settings.grace_s
        self._log.event("reload", store=f"{settings.store[0]}:{settings.store[1]}")

    def _on_stop(self, number: int) -> None:
        if self._instance.lifecycle.stop():
            self._log.event("stopping", signal=number)
            self._reactor.spawn(self._stop())

    async def _stop(self) -> None:
        await self._reactor.sleep(self._instance.lifecycle.stop_after_s)
        self._reactor.stop()

    def _on_pause(self, pause_s: float) -> None:
        self._log.event("paused", up_to_s=round(pause_s, 3))
        self._packets.catch_up(pause_s)


def _jitter() -> float:
    """Returns a random number between 0 and 1; importing the module random takes 4 ms."""
    return int.from_bytes(os.urandom(4), "big") / (1 << 32)


def main() -> None:
    """Runs the role with the settings file that the environment variable names."""
    path = os.environ.get(PATH_VARIABLE, "")
    if len(sys.argv) > 1:
        # Imported only if there are arguments, to keep the start fast.
        from pearwell.platform.arguments import check_settings

        sys.exit(check_settings(path))
    startup: Startup | None
    try:
        startup = Startup(path)
    except SettingsError as error:
        # Imported only if the start has to wait, to keep others fast.
        from pearwell.platform.start_wait import wait_for_start

        startup = wait_for_start(path, error, EventLog(stdout_writer(), boot_time))
    if startup is not None:
        Edge(startup, path).run()
