"""Process that hosts target stand-ins.

python -m pearwell.standins.target_host --config targets.json
"""

import asyncio
import signal
import time
from collections import deque
from collections.abc import Sequence
from pathlib import Path

import msgspec
import uvloop
from absl import app, flags
from aiohttp import web

from pearwell.metrics import serve_http
from pearwell.standins.target import LoadReport, TargetConfig, TargetCore, TargetMode
from pearwell.steering.packet_path import bind_udp

__all__ = ["HostConfig", "serve_targets"]

BATCH_PACKETS = 64
# Time for which a request occupies a slot in the reported load.
REQUEST_DURATION_S = 0.005
# Shortest time that the mean load of a report is computed over.
MIN_REPORT_INTERVAL_S = 0.1
PACKET_BUFFER_BYTES = 65535

_CONFIG = flags.DEFINE_string("config", "", "JSON file that lists the targets.")


class HostConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Targets that share one process, and the address that their responses go to."""

    targets: tuple[TargetConfig, ...]
    return_address: str
    return_port: int


class _TargetHost:
    """Sockets and HTTP endpoints of one target."""

    def __init__(self, config: TargetConfig, return_address: tuple[str, int]) -> None:
        self._socket = bind_udp(config.address, config.port)
        self._return_address = return_address
        self._started_at = time.monotonic()
        self._core = TargetCore(config, self._send)
        self._reports: deque[tuple[float, bool, LoadReport]] = deque()
        self._runs_reported = 0
        self._reported_at = self._started_at

    async def start(self) -> web.AppRunner:
        """Starts to receive packets and to serve the HTTP endpoints."""
        asyncio.get_running_loop().add_reader(self._socket, self._receive_packets)
        web_app = web.Application()
        web_app.router.add_get("/healthz", self._healthz)
        web_app.router.add_get("/load", self._load)
        web_app.router.add_get("/ledger", self._ledger)
        web_app.router.add_post("/mode", self._mode)
        config = self._core.config
        return await serve_http(web_app, config.address, config.health_port)

    def _receive_packets(self) -> None:
        for _ in range(BATCH_PACKETS):
            try:
                packet = self._socket.recv(PACKET_BUFFER_BYTES)
            except OSError:
                return
            self._core.receive(packet, time.time())

    def _send(self, packet: bytes) -> None:
        config = self._core.config
        if time.monotonic() - self._started_at < config.cold_start_s:
            loop = asyncio.get_running_loop()
            loop.call_later(config.cold_delay_s, self._send_now, packet)
        else:
            self._send_now(packet)

    def _send_now(self, packet: bytes) -> None:
        try:
            self._socket.sendto(packet, self._return_address)
        except OSError:
            return

    async def _healthz(self, request: web.Request) -> web.Response:
        if self._core.mode.silent and self._core.mode.health == "true":
            await asyncio.sleep(3600.0)
        healthy, _ = self._report()
        reported = {"healthy": True, "sick": False}.get(self._core.mode.health, healthy)
        return web.Response(status=200 if reported else 503)

    async def _load(self, request: web.Request) -> web.Response:
        _, report = self._report()
        return web.Response(body=msgspec.json.encode(report), content_type="application/json")

    async def _ledger(self, request: web.Request) -> web.Response:
        ledger = self._core.ledger
        ledger.open_flows = self._core.open_flows
        return web.Response(body=msgspec.json.encode(ledger), content_type="application/json")

    async def _mode(self, request: web.Request) -> web.Response:
        try:
            self._core.mode = msgspec.json.decode(await request.read(), type=TargetMode)
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        return web.Response()

    def _report(self) -> tuple[bool, LoadReport]:
        """Returns health and load as they were health_lag_s ago."""
        core = self._core
        now = time.monotonic()
        self._reports.append((now, not core.mode.draining, self._measure_load(now)))
        while len(self._reports) > 1 and self._reports[1][0] <= now - core.mode.health_lag_s:
            self._reports.popleft()
        _, healthy, report = self._reports[0]
        return healthy, report

    def _measure_load(self, now: float) -> LoadReport:
        """Returns the mean load since the last report."""
        core = self._core
        runs = core.runs
        rate = (runs - self._runs_reported) / max(now - self._reported_at, MIN_REPORT_INTERVAL_S)
        self._runs_reported, self._reported_at = runs, now
        in_use = min(float(core.config.slots), rate * REQUEST_DURATION_S) * core.mode.load_factor
        return LoadReport(core.config.slots, in_use, core.open_flows)


async def serve_targets(config: HostConfig) -> None:
    """Serves targets until cancelled."""
    runners = []
    for target in config.targets:
        host = _TargetHost(target, (config.return_address, config.return_port))
        runners.append(await host.start())
    try:
        await asyncio.Event().wait()
    finally:
        for runner in runners:
            await runner.cleanup()


def main(argv: Sequence[str]) -> None:
    """Runs the targets of a configuration file until SIGTERM."""
    del argv
    config = msgspec.json.decode(Path(_CONFIG.value).read_bytes(), type=HostConfig)

    async def run() -> None:
        task = asyncio.ensure_future(serve_targets(config))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await asyncio.gather(task, return_exceptions=True)

    uvloop.run(run())


if __name__ == "__main__":
    app.run(main)
