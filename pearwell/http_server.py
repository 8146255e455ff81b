"""An HTTP/1.1 server on the reactor, for probes, metrics and relays."""

import socket
from collections.abc import Callable, Coroutine

from pearwell.errors import PlatformError
from pearwell.http_message import REDIRECT, Message, MessageReader, Response, encode_message
from pearwell.reactor import Reactor, Wait, bind_socket

__all__ = ["HttpServer"]

# Hundreds of instances may connect to a relay within a second, each twice.
BACKLOG = 1_024
# Connections without a request for this time are closed; clients of a relay call every second.
IDLE_TIMEOUT_S = 10.0
# Time after which a response that the peer does not read is abandoned.
SEND_TIMEOUT_S = 5.0
RECEIVE_BYTES = 4_096

_REASONS = {
    200: "OK",
    REDIRECT: "Temporary Redirect",
    404: "Not Found",
    410: "Gone",
    503: "Service Unavailable",
}

# Path with its query, and the client's IP address.
Handler = Callable[[str, str], Coroutine[Wait, bool, Response]]


class HttpServer:
    """Serves HTTP on one address.

    Args:
        reactor: Event loop.
        address: IP address and TCP port to listen on.
        handle: Returns the response to a path with its query, by the client with an IP address.
        headers: Header fields of all responses.

    Raises:
        SettingsError: If the address can't be bound; see bind_socket().
    """

    def __init__(
        self,
        reactor: Reactor,
        address: tuple[str, int],
        handle: Handler,
        headers: dict[str, str],
    ) -> None:
        self._reactor = reactor
        self._handle = handle
        self._headers = headers
        self._sock = bind_socket(socket.SOCK_STREAM, address)
        self._sock.listen(BACKLOG)
        reactor.add_reader(self._sock, self._accept)

    def _accept(self) -> None:
        try:
            sock, (ip, _) = self._sock.accept()
        except OSError:
            # The client has disconnected, or no file descriptor is free; the client retries.
            return
        sock.setblocking(False)
        self._reactor.spawn(self._serve(sock, ip))

    async def _serve(self, sock: socket.socket, ip: str) -> None:
        reader = MessageReader()
        try:
            while await self._reactor.readable(sock, IDLE_TIMEOUT_S):
                data = sock.recv(RECEIVE_BYTES)
                if not data:
                    return
                request = reader.feed(data)
                if request is not None and not await self._respond(sock, request, ip):
                    return
        except (OSError, PlatformError):
            # A client that disconnects or sends invalid HTTP retries on a new connection.
            return
        finally:
            sock.close()

    async def _respond(self, sock: socket.socket, request: Message, ip: str) -> bool:
        status, body, headers = await self._handle(request.start_line[1], ip)
        start_line = f"HTTP/1.1 {status} {_REASONS.get(status, '')}"
        unsent = memoryview(encode_message(start_line, self._headers | headers, body))
        while unsent:
            try:
                unsent = unsent[sock.send(unsent) :]
            except BlockingIOError:
                if not await self._reactor.writable(sock, SEND_TIMEOUT_S):
                    return False
        # A client that is redirected calls another server from now on.
        return status != REDIRECT and request.headers.get("connection", "").lower() != "close"
