"""HTTP endpoint that exposes metrics to Prometheus."""

from collections.abc import Callable, Iterable

from aiohttp import web
from aioprometheus import Counter, Gauge, Registry, render

from pearwell.errors import Code, SettingsError
from pearwell.kernel import Kernel
from pearwell.messages import Message
from pearwell.samples import Sample
from pearwell.settings import Settings

__all__ = ["Metrics", "serve_http"]

PREFIX = "pearwell_"
COUNTER_SUFFIX = "_total"


async def serve_http(app: web.Application, address: str, port: int) -> web.AppRunner:
    """Starts an HTTP server for an aiohttp application.

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
    """Kernel service that serves the metrics endpoint.

    Args:
        settings: Address and port of the endpoint.
        collect: Returns the current samples; called for each request.
    """

    name = "metrics"
    accepts: tuple[type[Message], ...] = ()

    def __init__(self, settings: Settings, collect: Callable[[], Iterable[Sample]]) -> None:
        self._settings = settings
        self._collect = collect
        self._registry = Registry()
        self._collectors: dict[str, Counter | Gauge] = {}
        self._runner: web.AppRunner | None = None

    async def start(self, kernel: Kernel) -> None:
        """Starts the HTTP server."""
        app = web.Application()
        app.router.add_get("/metrics", self._serve)
        self._runner = await serve_http(app, self._settings.address, self._settings.metrics_port)

    async def stop(self) -> None:
        """Stops the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()

    def deliver(self, message: Message) -> None:
        """Does nothing; the service receives no messages."""

    async def _serve(self, request: web.Request) -> web.Response:
        for sample in self._collect():
            self._collector(sample.name).set(dict(sample.labels), float(sample.value))
        content, headers = render(self._registry, request.headers.getall("Accept", []))
        return web.Response(body=content, headers=headers)

    def _collector(self, name: str) -> Counter | Gauge:
        collector = self._collectors.get(name)
        if collector is None:
            collector_type = Counter if name.endswith(COUNTER_SUFFIX) else Gauge
            collector = collector_type(
                PREFIX + name, name.removesuffix(COUNTER_SUFFIX).replace("_", " ")
            )
            self._collectors[name] = collector
            self._registry.register(collector)
        return collector
