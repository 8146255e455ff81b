"""A fleet of instances in virtual time: store, relays and their clients, without sockets.

Calls pass through the real clients, relays and schedulers; only the exchange of bytes is replaced.
"""

import asyncio
from urllib.parse import parse_qs, urlsplit

import msgspec

from pearwell.affinity.instance import Bounds, Instance
from pearwell.affinity.relay import Relay
from pearwell.affinity.sync import ObjectSync
from pearwell.errors import Code, PlatformError
from pearwell.http_message import MessageReader, encode_message
from pearwell.platform.edge import RELAY_HEADERS
from pearwell.platform.evacuation_handler import EvacuationHandler
from pearwell.platform.objects import ConfigHandler, TargetHandler
from pearwell.platform.store import StoreClient
from pearwell.standins.object_server import ObjectServer

LATENCY_S = 0.004
HEARTBEAT_S = 0.77
BOUNDS = Bounds(drain_s=3.0, config_s=3.0, contact_s=4.0, grace_s=6.0, heartbeat_s=HEARTBEAT_S)
EVACUATION_BOUNDS = Bounds(drain_s=5.0, config_s=5.0, contact_s=5.0, grace_s=6.0, evacuate_s=5.0)
ROUTE = {"Name": "r", "Host": "198.18.0.1", "PathPrefix": "/8443/", "Service": "intake"}


def config(version):
    return {"Version": version, "Routes": [ROUTE], "Limits": {}}


def entry(number, state="ready", born=1, zone="a", host=None):
    return {
        "Service": "intake",
        "Address": f"10.0.0.{host or number}:8000",
        "Zone": zone,
        "Version": "v1",
        "Concurrency": 3,
        "State": state,
        "WarmupLeftMs": 0,
        "born": born,
    }


class Trigger:
    """The reactor's trigger on asyncio."""

    def __init__(self):
        self._event = asyncio.Event()

    async def wait(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
            return True
        except TimeoutError:
            return False

    def fire(self):
        self._event.set()
        self._event = asyncio.Event()


class LocalClient(StoreClient):
    """A client whose calls reach their server without a socket.

    Args:
        node: The calling instance.
        respond: Returns status, headers and body of the response to a path.
        link: Cleared while the server can't be reached.
    """

    def __init__(self, node, respond, link, **options):
        super().__init__(node, ("10.200.1.7", 80), **options)
        self._node = node
        self._respond = respond
        self._link = link
        self._task = None

    def interrupt(self):
        if self._task is not None:
            self._task.cancel(Code.PLATFORM_INTERRUPTED)

    async def _exchange(self, path, timeout_s):
        self._task = asyncio.ensure_future(self._reach(path, timeout_s))
        try:
            return await self._task
        except asyncio.CancelledError as error:
            self._task.cancel()
            if error.args != (Code.PLATFORM_INTERRUPTED,):
                raise
            raise PlatformError(Code.PLATFORM_INTERRUPTED) from error
        finally:
            self._task = None

    async def _reach(self, path, timeout_s):
        await self._node.running.wait()
        self._calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(LATENCY_S / 2)
                await self._link.wait()
                status, headers, body = await self._respond(path)
                await self._link.wait()
                await asyncio.sleep(LATENCY_S / 2)
        except TimeoutError as error:
            await self._node.running.wait()
            raise PlatformError(Code.PLATFORM_TIMEOUT, "no response") from error
        await self._node.running.wait()
        return MessageReader().feed(encode_message(f"HTTP/1.1 {status} -", headers, body))


class VirtualStore:
    """The store, whose calls a test can hook into.

    Attributes:
        server: The objects.
        away: Whether calls are refused.
        on_call: Called with the number of the call and "request" or "response".
    """

    def __init__(self):
        self.server = ObjectServer()
        self.away = False
        self.calls = 0
        self.on_call = None

    async def respond(self, path):
        number, self.calls = self.calls, self.calls + 1
        await self._hook(number, "request")
        if self.away:
            return self._message(503)
        url = urlsplit(path)
        kind, query = url.path.rsplit("/", 1)[1], parse_qs(url.query)
        if "Watch" not in query:
            fields = await self.server.list_page(kind, query.get("after", [""])[0])
        else:
            wait_s = int(query["WaitMs"][0]) / 1000
            fields = await self.server.watch(kind, int(query["Watch"][0]), wait_s)
        message = self._message(410) if fields is None else self._message(200, fields)
        await self._hook(number, "response")
        return message

    def _message(self, status, fields=None):
        body = b"" if fields is None else msgspec.json.encode(fields)
        return status, {"Store-Era": str(self.server.history.era)}, body

    async def _hook(self, number, stage):
        if self.on_call is not None:
            await self.on_call(number, stage)


class Node:
    """One instance.

    Attributes:
        running: Cleared while the instance is frozen.
        ended: Whether its process has ended.
        linked: Cleared while it is cut off from the other instances.
        store_linked: Cleared while it is cut off from the store.
        versions: Configurations that came into force, with their times.
        evacuated: Evacuated zones that came into force, with their times.
        events: Log events with their times and fields.
    """

    def __init__(self, store, relays, is_relay, bounds=BOUNDS, zone="a"):
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._relays = relays
        self._is_relay = is_relay
        self._bounds = bounds
        self._zone = zone
        self.running, self.linked, self.store_linked = (asyncio.Event() for _ in range(3))
        for event in (self.running, self.linked, self.store_linked):
            event.set()
        self.events = []
        self.versions = []
        self.evacuated = []
        self._changed = Trigger()
        self._start()

    def _start(self):
        self.ended = False
        self.instance = Instance(
            self._zone,
            self._bounds,
            len(self._relays),
            self._is_relay,
            lambda: 0.5,
            self._log,
            self._log,
        )
        instance = self.instance
        caches = {"config": instance.config_cache, "servers": instance.target_cache}
        feed = instance.evacuation_feed
        if feed is not None:
            caches["evacuations"] = feed.cache
        self._relay = Relay(
            self._zone,
            caches,
            lambda: instance.target_scheduler.store_healthy_since,
            self._changed,
            self.now,
        )
        targets = TargetHandler(instance.directory, instance.trusts_listing, self._log)
        pairs = [
            (ConfigHandler(instance.routes, self._log), instance.config_scheduler),
            (targets, instance.target_scheduler),
        ]
        if feed is not None:
            handler = EvacuationHandler(feed.evacuations, feed.trusts_listing, self._log)
            pairs.append((handler, feed.scheduler))
        self._tasks = [asyncio.ensure_future(self._tick())]
        self._syncs = {}
        self._stores = []
        for handler, scheduler in pairs:
            store = LocalClient(self, self._store.respond, self.store_linked)
            self._stores.append(store)
            sync = ObjectSync(
                handler,
                scheduler,
                caches[handler.kind],
                store,
                [relay.client_for(self) for relay in self._relays],
                self.now,
                asyncio.sleep,
                self._on_change,
                self._log,
            )
            self._syncs[handler.kind] = sync
            self._tasks.append(asyncio.ensure_future(sync.run()))

    @property
    def store_calls(self):
        """Calls to the store so far."""
        return sum(store.calls for store in self._stores)

    def send(self, packet):
        """Passes a packet to the director, as the packet socket does; returns its decision."""
        director = self.instance.director
        decision = director.on_packet(packet, b"", self.now())
        if director.take_store_request():
            # The rest of the batch is handled first.
            self._loop.call_later(0.0001, self._syncs["servers"].ask_store)
        return decision

    def take_resets(self):
        """Returns the flows that the packet socket would reset now."""
        director = self.instance.director
        return director.take_resets() + director.take_unknown_resets(self.now())

    def now(self):
        return self._loop.time()

    def client_for(self, node):
        return LocalClient(node, self._respond, node.linked, is_relay=True)

    async def freeze(self, seconds):
        await _clear([self.running], seconds)

    async def cut(self, seconds):
        await _clear([self.linked, self.store_linked], seconds)

    async def cut_from_store(self, seconds):
        await _clear([self.store_linked], seconds)

    async def kill(self, seconds):
        """Ends the process; another one starts after a time."""
        await self.stop()
        self.ended = True
        await asyncio.sleep(seconds)
        self._start()

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        errors = [error for error in results if not isinstance(error, asyncio.CancelledError)]
        assert errors == []

    async def _respond(self, path):
        await self.running.wait()
        await self.linked.wait()
        if self.ended:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "connection refused")
        status, body, headers = await self._relay.respond(path)
        await self.running.wait()
        await self.linked.wait()
        return status, RELAY_HEADERS | headers, body

    async def _tick(self):
        while True:
            await asyncio.sleep(1.0)
            await self.running.wait()
            self.instance.tick(self.now())
            self._record_evacuated()

    def _on_change(self):
        self.instance.start_if_synced()
        version = self.instance.routes.version
        if not self.versions or self.versions[-1][1] != version:
            self.versions.append((self.now(), version))
        self._record_evacuated()
        self._changed.fire()

    def _record_evacuated(self):
        feed = self.instance.evacuation_feed
        zones = frozenset(feed.evacuations.zones) if feed is not None else frozenset()
        if not self.evacuated or self.evacuated[-1][1] != zones:
            self.evacuated.append((self.now(), zones))

    def _log(self, event, **fields):
        self.events.append((round(self.now(), 3), event, fields))


async def _clear(events, seconds):
    for event in events:
        event.clear()
    await asyncio.sleep(seconds)
    for event in events:
        event.set()


class Fleet:
    """Store, relays and clients, with the operator and the hosts that write to the store.

    Hosts write their entries at an interval, so entries lost in a restore are back after it. The
    operator finds its latest configuration and evacuations lost and writes them again.
    """

    def __init__(self, relays, clients, bounds=BOUNDS):
        self._bounds = bounds
        self.store = VirtualStore()
        self.relays = [Node(self.store, [], True, bounds) for _ in range(relays)]
        self.clients = []
        for _ in range(clients):
            self.add_client()
        self.entries = {}
        # Writes of each target's incarnation so far.
        self._sequences = {}
        self.evacuated = set()
        self.version = 0
        self._copy = self.store.server.history.copy()
        self._restored_at = float("-inf")
        self._tasks = [asyncio.ensure_future(self._write_entries())]

    @property
    def nodes(self):
        return [*self.relays, *self.clients]

    async def configure(self):
        """Writes the next configuration."""
        self.version += 1
        await self.store.server.write("config", "main", config(self.version))

    def add_client(self):
        """Starts a further instance."""
        self.clients.append(Node(self.store, self.relays, False, self._bounds))
        return self.clients[-1]

    async def evacuate(self, zone):
        """Evacuates a zone."""
        self.evacuated.add(zone)
        await self.store.server.write("evacuations", zone, {})

    async def take_back(self, zone):
        """Ends the evacuation of a zone."""
        self.evacuated.discard(zone)
        await self.store.server.remove("evacuations", zone)

    async def put_target(self, number, **fields):
        """Adds or changes a target; another start begins its sequence anew."""
        name, spec = f"i-{number:08x}", entry(number, **fields)
        if self.entries.get(name, spec)["born"] != spec["born"]:
            self._sequences[name] = 0
        self.entries[name] = spec
        await self._write_entry(name)

    def lose_write(self, number, late_s):
        """Lets a target's next write go unanswered; it is executed after a time."""
        name = f"i-{number:08x}"
        task = self._write_late(self._next_spec(name), name, late_s)
        self._tasks.append(asyncio.ensure_future(task))

    async def remove_target(self, number):
        """Ends a target, which removes its entry."""
        del self.entries[f"i-{number:08x}"]
        await self.store.server.remove("servers", f"i-{number:08x}")

    def copy(self):
        """Takes the copy that the next restore uses."""
        self._copy = self.store.server.history.copy()

    async def restore(self, away_s=0.0, rewrite_s=0.3):
        """Brings the store back from the latest copy; lost objects are written again later."""
        self.store.away = away_s > 0
        await asyncio.sleep(away_s)
        self.store.away = False
        self._restored_at = asyncio.get_running_loop().time()
        await self.store.server.restore(self._copy)
        self._tasks.append(asyncio.ensure_future(self._rewrite(rewrite_s)))

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            await node.stop()

    async def _rewrite(self, delay_s):
        await asyncio.sleep(delay_s)
        await self.store.server.write("config", "main", config(self.version))
        for zone in [*self.evacuated]:
            await self.store.server.write("evacuations", zone, {})
        for kind, name in [*self.store.server.history.unconfirmed]:
            if kind == "evacuations" and name not in self.evacuated:
                await self.store.server.remove(kind, name)
        for name in [*self.entries]:
            await self._write_entry(name)
        await asyncio.sleep(3 * HEARTBEAT_S)
        # Entries that nobody has written again lapse.
        for kind, name in self.store.server.history.unconfirmed:
            if kind == "servers" and name not in self.entries:
                await self.store.server.remove(kind, name)

    def _next_spec(self, name):
        self._sequences[name] = self._sequences.get(name, 0) + 1
        return {**self.entries[name], "Sequence": self._sequences[name]}

    async def _write_late(self, spec, name, late_s):
        await asyncio.sleep(late_s)
        await self.store.server.write("servers", name, spec)

    async def _write_entry(self, name):
        if not self.store.away:
            await self.store.server.write("servers", name, self._next_spec(name))

    async def _write_entries(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if asyncio.get_running_loop().time() - self._restored_at > HEARTBEAT_S:
                for name in [*self.entries]:
                    await self._write_entry(name)
