"""The platform's store: lists and watches of objects, as PROTOCOL.md describes them."""

import asyncio
import contextlib
import json
import socket
from collections.abc import Callable
from urllib.parse import unquote_to_bytes

from record import Record

__all__ = ["Store"]

# Entries and bytes of one page of a list at most.
PAGE_ENTRIES, PAGE_BYTES = 500, 1_000_000


class _BadRequestError(Exception):
    """The request is no HTTP/1.1."""


class Store:
    """Keeps objects in memory; hosts and the operator write by calls in this process.

    Args:
        record: Receives what is written.
        page_entries: Entries of one page of a list.
    """

    def __init__(self, record: Record, page_entries: int = PAGE_ENTRIES) -> None:
        self._record = record
        self._page_entries = page_entries
        self._revision = 1
        self._objects: dict[str, dict[bytes, bytes]] = {}
        self._events: list[tuple[int, str, bytes]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int) -> None:
        """Starts to serve."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    def stop(self) -> None:
        """Stops to serve."""
        if self._server is not None:
            self._server.close()
        self.cut()

    def put(self, kind: str, name: str, spec: dict[str, object]) -> None:
        """Writes an object."""
        quoted = json.dumps(name).encode()
        body = json.dumps(spec).encode()
        self.put_bytes(
            kind,
            name.encode(),
            lambda revision: b'{"meta":{"Name":%b,"Revision":%d},"spec":%b,"status":null}'
            % (quoted, revision, body),
        )

    def put_bytes(self, kind: str, name: bytes, encode: Callable[[int], bytes]) -> None:
        """Writes an object of another writer, given its JSON text for a revision."""
        self._revision += 1
        text = encode(self._revision)
        self._objects.setdefault(kind, {})[name] = text
        self._add_event(kind, text, deleted=False)
        self._record.write("store_put", kind=kind, name=name, text=text)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        text = self._objects[kind].pop(name.encode())
        self._revision += 1
        self._add_event(kind, text, deleted=True)
        self._record.write("store_remove", kind=kind, name=name)

    def cut(self) -> None:
        """Cuts off all connections, with the watches that are waiting on them."""
        for writer in [*self._writers]:
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()

    def _add_event(self, kind: str, text: bytes, deleted: bool) -> None:
        event = b'{"Object":%b,"Deleted":%b}' % (text, b"true" if deleted else b"false")
        self._events.append((self._revision, kind, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                try:
                    status, body = await self._respond(head)
                except _BadRequestError:
                    status, body = "400 Bad Request", b"{}"
                writer.write(
                    b"HTTP/1.1 %b\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, head: bytes) -> tuple[str, bytes]:
        words = head.split(b"\r\n", 1)[0].split(b" ")
        if len(words) != 3 or words[2] != b"HTTP/1.1":
            raise _BadRequestError
        path, _, query = words[1].partition(b"?")
        kind = path.removeprefix(b"/objects/").decode()
        fields = dict(part.partition(b"=")[::2] for part in query.split(b"&") if part)
        if words[0] != b"GET":
            return "405 Method Not Allowed", b"{}"
        if b"Watch" in fields:
            wait_s = int(fields.get(b"WaitMs", b"0")) / 1000
            return "200 OK", await self._watch(kind, int(fields[b"Watch"]), wait_s)
        return "200 OK", self._list(kind, unquote_to_bytes(fields.get(b"after", b"")))

    def _list(self, kind: str, after: bytes) -> bytes:
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        page: list[bytes] = []
        for name in names[: self._page_entries]:
            if page and sum(map(len, page)) + len(objects[name]) > PAGE_BYTES:
                break
            page.append(objects[name])
        more = b"true" if len(page) < len(names) else b"false"
        return b'{"items":[%b],"HasMore":%b,"AsOf":%d}' % (b",".join(page), more, self._revision)

    async def _watch(self, kind: str, revision: int, wait_s: float) -> bytes:
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            changed = self._changed
            found = [event for at, of, event in self._events if at > revision and of == kind]
            left_s = deadline - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                return b'{"events":[%b],"AsOf":%d}' % (b",".join(found), self._revision)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
