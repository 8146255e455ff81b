"""The metrics endpoint, which an instance opens once it has started."""

import socket
from collections.abc import Callable

from pearwell.errors import SettingsError
from pearwell.event_log import EventLog
from pearwell.http_message import Response
from pearwell.http_server import HttpServer
from pearwell.reactor import Reactor, bind_socket

__all__ = ["METRICS_PORT", "MetricsEndpoint"]

# Port and path; deploy/system.toml names the same.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
METRICS_HEADERS = {"Content-Type": "text/plain; version=0.0.4"}


class MetricsEndpoint:
    """Serves metrics.

    Args:
        reactor: Event loop.
        ip: IP address of this instance.
        log: Event log.
        render: Returns the page.
    """

    def __init__(
        self, reactor: Reactor, ip: str, log: EventLog, render: Callable[[], bytes]
    ) -> None:
        self._reactor = reactor
        self._address = (ip, METRICS_PORT)
        self._log = log
        self._render = render
        self._server: HttpServer | None = None
        self._unavailable = False

    def open(self) -> None:
        """Opens the endpoint unless it is open; called every second, as its port may be in use."""
        if self._server is not None:
            return
        try:
            sock = bind_socket(socket.SOCK_STREAM, self._address)
        except SettingsError as error:
            # Forward packets without metrics if the platform uses the port for something else.
            if not self._unavailable:
                self._log.event("metrics_unavailable", code=int(error.code), detail=error.detail)
            self._unavailable = True
            return
        self._server = HttpServer(self._reactor, sock, self._respond, METRICS_HEADERS)

    async def _respond(self, path: str) -> Response:
        return (200, self._render(), {}) if path == METRICS_PATH else (404, b"", {})
