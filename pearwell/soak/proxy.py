"""A loopback TCP proxy that delays or resets connections, or drops data one or both ways."""

import asyncio
import socket
import struct
from enum import StrEnum

__all__ = ["Link", "Proxy"]

CHUNK_BYTES = 65_536


class Link(StrEnum):
    """State of the link between the two sides of a proxy."""

    OPEN = "open"
    DELAYED = "delayed"
    RESET = "reset"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"


_DELAY_S = 0.3
# Directions whose data is dropped: "to" the server, "back" to the client.
_BLOCKED = {Link.SILENT: {"to", "back"}, Link.NO_ANSWERS: {"back"}}


class Proxy:
    """Forwards connections from its own address to a server.

    A connection that has dropped data delivers nothing more in that direction, as may happen in a
    broken network. Connections to the server come from the proxy's own IP address, by which the
    server distinguishes its clients.
    """

    def __init__(self) -> None:
        self._link = Link.OPEN
        self._ip = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, listen_address: tuple[str, int], server_address: tuple[str, int]) -> None:
        """Starts to listen and to forward connections."""
        self._ip = listen_address[0]
        self._server = await asyncio.start_server(
            lambda reader, writer: self._handle_connection(reader, writer, server_address),
            *listen_address,
        )

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self._abort()

    def set_link(self, link: Link) -> None:
        """Changes the state of the link."""
        self._link = link
        if link is Link.RESET:
            self._abort()

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server_address: tuple[str, int],
    ) -> None:
        if self._link is Link.RESET:
            _reset(writer)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *server_address, local_addr=(self._ip, 0)
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, server_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, server_writer, "to"))
                group.create_task(self._forward(server_reader, writer, "back"))
        except* OSError:
            _reset(writer)
        finally:
            self._writers -= {writer, server_writer}
            writer.close()
            server_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        dropping = False
        while data := await reader.read(CHUNK_BYTES):
            if self._link is Link.DELAYED:
                await asyncio.sleep(_DELAY_S)
            dropping = dropping or direction in _BLOCKED.get(self._link, ())
            if not dropping:
                writer.write(data)
                await writer.drain()
        raise ConnectionResetError

    def _abort(self) -> None:
        for writer in [*self._writers]:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            # The connection is already closed.
            return
    writer.close()
