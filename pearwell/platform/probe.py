"""The readiness endpoint that the routers of the platform probe."""

import socket
from collections.abc import Callable

from pearwell.errors import PlatformError
from pearwell.http_message import MessageReader, encode_message
from pearwell.reactor import Reactor

__all__ = ["ProbeServer"]

BACKLOG = 32
# A prober sends its request at once; one that doesn't is cut off.
REQUEST_TIMEOUT_S = 2.0
# Connections kept open between two probes are closed after this silence.
RECEIVE_BYTES = 4_096


class ProbeServer:
    """Answers 200 while an instance takes packets, else 503.

    Args:
        reactor: Event loop.
        address: Address to listen on.
        is_ready: Whether the instance takes packets.
    """

    def __init__(
        self, reactor: Reactor, address: tuple[str, int], is_ready: Callable[[], bool]
    ) -> None:
        self._reactor = reactor
        self._is_ready = is_ready
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)

    def start(self) -> None:
        """Starts to listen."""
        self._sock.listen(BACKLOG)
        self._reactor.add_reader(self._sock, self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            # The prober has gone again.
            return
        sock.setblocking(False)
        self._reactor.spawn(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        reader = MessageReader()
        try:
            while await self._reactor.readable(sock, REQUEST_TIMEOUT_S):
                data = sock.recv(RECEIVE_BYTES)
                if not data:
                    break
                request = reader.feed(data)
                if request is not None:
                    sock.send(self._answer())
        except (OSError, PlatformError):
            # A prober that breaks off or sends no HTTP asks again on a new connection.
            pass
        finally:
            sock.close()

    def _answer(self) -> bytes:
        status = "200 OK" if self._is_ready() else "503 Service Unavailable"
        return encode_message(f"HTTP/1.1 {status}", {"Content-Type": "text/plain"})
