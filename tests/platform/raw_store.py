"""The platform's store with objects as JSON texts, which other writers may fill with anything."""

import asyncio
from urllib.parse import unquote_to_bytes

__all__ = ["RawStore"]

PAGE_BYTES = 1_000_000


class RawStore:
    """Serves lists and watches of objects that are written by calls in this process."""

    def __init__(self):
        self.revision = 1
        self.calls = []
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None
        self._tasks = set()

    async def start(self, ip, port):
        self._server = await asyncio.start_server(self._accept, ip, port)

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def put(self, kind, name, spec, meta=b"", tail=b'"status":null'):
        """Writes an object, given the JSON text of its spec, and of more fields of its meta."""
        self.revision += 1
        meta = b'"Name":%b,"Revision":%d%b' % (name, self.revision, meta)
        text = b'{"meta":{%b},"spec":%b,%b}' % (meta, spec, tail)
        self._objects.setdefault(kind, {})[name] = text
        self._add_event(kind, text, b"false")

    def remove(self, kind, name):
        """Removes an object."""
        self.revision += 1
        self._add_event(kind, self._objects[kind].pop(name), b"true")

    def _add_event(self, kind, text, deleted):
        self._events.append((self.revision, kind, b'{"Object":%b,"Deleted":%b}' % (text, deleted)))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await self._respond(head.split(b" ")[1])
                writer.write(b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n")
                writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The role has closed the connection.
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _respond(self, target):
        path, _, query = target.partition(b"?")
        kind = path.removeprefix(b"/objects/").decode()
        fields = dict(part.partition(b"=")[::2] for part in query.split(b"&") if part)
        self.calls.append((kind, "watch" if b"Watch" in fields else "list"))
        if b"Watch" in fields:
            return await self._watch(kind, int(fields[b"Watch"]), int(fields[b"WaitMs"]) / 1000)
        after = unquote_to_bytes(fields.get(b"after", b""))
        listed = sorted(
            (name[1:-1], text)
            for name, text in self._objects.get(kind, {}).items()
            if name[1:-1] > after
        )
        page, size = [], 0
        while listed and (not page or size < PAGE_BYTES):
            page.append(listed.pop(0)[1])
            size += len(page[-1])
        more = b"true" if listed else b"false"
        items = b",".join(page)
        return b'{"items":[%b],"HasMore":%b,"AsOf":%d}' % (items, more, self.revision)

    async def _watch(self, kind, revision, wait_s):
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            found = [text for at, of, text in self._events if of == kind and at > revision]
            left = deadline - asyncio.get_running_loop().time()
            if found or left <= 0:
                return b'{"events":[%b],"AsOf":%d}' % (b",".join(found), self.revision)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
