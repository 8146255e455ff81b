"""An HTTP/1.1 server on the reactor, for probes, metrics and relays."""

import errno
import socket
from collections.abc import Callable, Coroutine

from pearwell.errors import PlatformError
from pearwell.http_message import Message, MessageReader, Response, encode_message
from pearwell.reactor import Reactor, Wait

__all__ = ["HttpServer"]

# Connections without a request for this time are closed; clients of a relay call every second.
IDLE_TIMEOUT_S = 10.0
# Time after which a response that the peer does not read is abandoned.
SEND_TIMEOUT_S = 5.0
RECEIVE_BYTES = 4_096
# Time for which no connections are accepted once the process has used up its descriptors.
ACCEPT_PAUSE_S = 0.1
_NO_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

_REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 503: "Service Unavailable"}

Handler = Callable[[str], Coroutine[Wait, bool, Response]]


class HttpServer:
    """Serves HTTP on one address.

    Args:
        reactor: Event loop.
        sock: Listening TCP socket.
        handle: Returns the response to a path with its query.
        headers: Header fields of all responses.
        on_request: Called with the client's IP address for each request.
    """

    def __init__(
        self,
        reactor: Reactor,
        sock: socket.socket,
        handle: Handler,
        headers: dict[str, str],
        on_request: Callable[[str], None] = lambda ip: None,
    ) -> None:
        self._reactor = reactor
        self._on_request = on_request
        self._handle = handle
        self._headers = headers
        self._sock = sock
        reactor.add_reader(sock, self._accept)

    def _accept(self) -> None:
        try:
            sock, (ip, _) = self._sock.accept()
        except OSError as error:
            # The client has disconnected, or no file descriptor is free; the client retries.
            if error.errno in _NO_RESOURCES:
                self._reactor.remove_reader(self._sock)
                self._reactor.keep_running(self._resume)
            return
        sock.setblocking(False)
        self._reactor.spawn(self._serve(sock, ip))

    async def _resume(self) -> None:
        """Accepts connections again after a pause; the waiting ones would be reported at once."""
        await self._reactor.sleep(ACCEPT_PAUSE_S)
        self._reactor.add_reader(self._sock, self._accept)

    async def _serve(self, sock: socket.socket, ip: str) -> None:
        reader = MessageReader()
        try:
            while await self._reactor.readable(sock, IDLE_TIMEOUT_S):
                data = sock.recv(RECEIVE_BYTES)
                if not data:
                    return
                request = reader.feed(data)
                self._on_request(ip)
                if request is not None and not await self._respond(sock, request):
                    return
        except (OSError, PlatformError):
            # A client that disconnects or sends invalid HTTP retries on a new connection.
            return
        finally:
            sock.close()

    async def _respond(self, sock: socket.socket, request: Message) -> bool:
        status, body, headers = await self._handle(request.start_line[1])
        start_line = f"HTTP/1.1 {status} {_REASONS.get(status, '')}"
        unsent = memoryview(encode_message(start_line, self._headers | headers, body))
        while unsent:
            try:
                unsent = unsent[sock.send(unsent) :]
            except BlockingIOError:
                if not await self._reactor.writable(sock, SEND_TIMEOUT_S):
                    return False
        return request.headers.get("connection", "").lower() != "close"
