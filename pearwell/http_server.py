"""An HTTP/1.1 server on the reactor, for probes, metrics and relays."""

import socket
from collections.abc import Callable, Coroutine

from pearwell.errors import PlatformError
from pearwell.http_message import Answer, Message, MessageReader, encode_message
from pearwell.reactor import Reactor, Wait, bind_socket

__all__ = ["HttpServer"]

BACKLOG = 128
# A connection without a request for this time is closed; relays' clients ask each second.
IDLE_S = 10.0
# An answer that isn't taken for this time is given up.
SEND_S = 5.0
RECEIVE_BYTES = 4_096

_REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 503: "Service Unavailable"}

Handler = Callable[[str], Coroutine[Wait, bool, Answer]]


class HttpServer:
    """Serves one address.

    Args:
        reactor: Event loop.
        address: IP address and TCP port to listen on.
        handle: Returns the answer to a path with its query.
        headers: Fields of all answers.
        on_caller: Takes the caller's IP address with each request.

    Raises:
        SettingsError: If the address can't be bound, as bind_socket tells.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: tuple[str, int],
        handle: Handler,
        headers: dict[str, str],
        on_caller: Callable[[str], None] = lambda ip: None,
    ) -> None:
        self._reactor = reactor
        self._on_caller = on_caller
        self._handle = handle
        self._headers = headers
        self._sock = bind_socket(socket.SOCK_STREAM, address)
        self._sock.listen(BACKLOG)
        reactor.add_reader(self._sock, self._accept)

    def _accept(self) -> None:
        try:
            sock, (ip, _) = self._sock.accept()
        except OSError:
            # The caller has gone again, or no descriptor is left; it will try again.
            return
        sock.setblocking(False)
        self._reactor.spawn(self._serve(sock, ip))

    async def _serve(self, sock: socket.socket, ip: str) -> None:
        reader = MessageReader()
        try:
            while await self._reactor.readable(sock, IDLE_S):
                data = sock.recv(RECEIVE_BYTES)
                if not data:
                    return
                request = reader.feed(data)
                self._on_caller(ip)
                if request is not None and not await self._answer(sock, request):
                    return
        except (OSError, PlatformError):
            # A caller that breaks off or sends no HTTP asks again on a new connection.
            return
        finally:
            sock.close()

    async def _answer(self, sock: socket.socket, request: Message) -> bool:
        status, body = await self._handle(request.first[1])
        first = f"HTTP/1.1 {status} {_REASONS.get(status, '')}"
        rest = memoryview(encode_message(first, self._headers, body))
        while rest:
            try:
                rest = rest[sock.send(rest) :]
            except BlockingIOError:
                if not await self._reactor.writable(sock, SEND_S):
                    return False
        return request.headers.get("connection", "").lower() != "close"
