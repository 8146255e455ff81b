"""Metrics page for Prometheus."""

from collections.abc import Callable, Mapping

from aiohttp import web
from aioprometheus import Counter, Gauge, Registry, render

from pearwell.errors import Code, SettingsError
from pearwell.kernel import Kernel
from pearwell.messages import Message
from pearwell.settings import Settings
from pearwell.verdict import Action

__all__ = ["Metrics", "MetricsSource", "serve_http"]

PacketCounts = Callable[[], Mapping[tuple[Action, Code], int]]
MetricsSource = Callable[[], Mapping[str, float]]


async def serve_http(app: web.Application, address: str, port: int) -> web.AppRunner:
    """Serves an aiohttp application.

    Raises:
        SettingsError: SETTINGS_PORT_IN_USE if the port can't be bound.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    try:
        await web.TCPSite(runner, address, port).start()
    except OSError as error:
        await runner.cleanup()
        raise SettingsError(Code.SETTINGS_PORT_IN_USE, f"TCP {address}:{port}: {error}") from error
    return runner


class Metrics:
    """The service "metrics".

    Args:
        settings: Address and port of the page.
        packets: Gives the packets so far by action and code.
    """

    name = "metrics"
    accepts: tuple[type[Message], ...] = ()

    def __init__(self, settings: Settings, packets: PacketCounts) -> None:
        self._settings = settings
        self._packets = packets
        self._registry = Registry()
        self._packet_counter = Counter(
            "pearwell_packets_total", "Inner packets by action and code."
        )
        self._gauge = Gauge("pearwell_state", "State of a part, by name.")
        self._registry.register(self._packet_counter)
        self._registry.register(self._gauge)
        self._sources: list[MetricsSource] = []
        self._runner: web.AppRunner | None = None

    def add_source(self, source: MetricsSource) -> None:
        """Adds a callable that gives values by name at each scrape."""
        self._sources.append(source)

    async def start(self, kernel: Kernel) -> None:
        """Starts to serve the page."""
        app = web.Application()
        app.router.add_get("/metrics", self._serve)
        self._runner = await serve_http(app, self._settings.address, self._settings.metrics_port)

    async def stop(self) -> None:
        """Stops to serve the page."""
        if self._runner is not None:
            await self._runner.cleanup()

    def deliver(self, message: Message) -> None:
        """Takes no messages."""

    async def _serve(self, request: web.Request) -> web.Response:
        for (action, code), count in self._packets().items():
            labels = {"action": action.name.lower(), "code": code.name}
            self._packet_counter.set(labels, count)
        for source in self._sources:
            for name, value in source().items():
                self._gauge.set({"name": name}, value)
        content, headers = render(self._registry, request.headers.getall("Accept", []))
        return web.Response(body=content, headers=headers)
