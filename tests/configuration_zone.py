"""A zone of configuration services and its platform, for tests in virtual time."""

import asyncio
import random

from pearwell.agreement.gossip import Gossip
from pearwell.configuration import edits
from pearwell.configuration.audit import Action
from pearwell.configuration.editor import ConfigurationEditor, WriteRequest
from pearwell.configuration.service import ConfigurationService
from pearwell.configuration.status_store import PlatformInForceSource, StatusStore
from pearwell.kernel import Kernel
from pearwell.messages import ConfigurationChanged, EntryAdopted, ViewChanged
from pearwell.model.configuration import Kind
from pearwell.model.group import GroupSpec, TargetSpec
from pearwell.model.membership import Member, View
from pearwell.object_store import MemoryObjectStore, RetryingObjectStore

GROUP = GroupSpec("g", tuple(TargetSpec(f"t{n}", f"10.0.0.{n}", "pnw-a") for n in range(1, 4)))
MESSAGE_DELAY_S = 0.02
TICK_INTERVAL_S = 0.1
IN_FORCE_LIMIT_S = 3.0
WRITES_PER_OPERATOR = 8


class Recorder:
    """A kernel service that checks that no applied version ever decreases."""

    name = "recorder"
    accepts = (ConfigurationChanged,)

    def __init__(self):
        self.configuration = None

    async def start(self, kernel):
        pass

    async def stop(self):
        pass

    def deliver(self, message):
        applied = message.configuration
        if self.configuration is not None:
            for key, version in self.configuration.versions.items():
                assert applied.versions[key] >= version, f"{key} decreased from {version}"
        self.configuration = applied


class Zone:
    """Instances that gossip over a network with delays and partitions."""

    def __init__(self, store, names, seed=1, zone="pnw-a"):
        self.zone, self.store, self.rng = zone, store, random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.instances = {}
        self.partitioned = set()
        self.wall_offset_s = 0.0
        self.names = list(names)
        self.tick_task = asyncio.ensure_future(self._tick_forever())

    async def start(self, *names):
        for name in names or self.names:
            self.instances[name] = Instance(self, name)
            await self.instances[name].kernel.start()
        self.publish_views()

    async def stop(self, *names):
        for name in names or tuple(self.instances):
            await self.instances.pop(name).kernel.stop()
        if not names:
            self.tick_task.cancel()

    def publish_views(self):
        for name, instance in self.instances.items():
            reachable = sorted(n for n in self.instances if not self._is_partitioned(n, name))
            view = View(tuple(Member(n, "127.20.0.1", 1, 2) for n in reachable), 1)
            instance.kernel.publish(ViewChanged(view))
            instance.table.set_peers(reachable)

    def wall_time(self):
        return self.loop.time() + self.wall_offset_s

    def running_instances(self):
        return tuple(self.instances.values())

    def transport(self, name):
        return Transport(lambda to, message: self._send(name, to, message))

    def _send(self, name, to, message):
        if not self._is_partitioned(name, to):
            delay = self.rng.uniform(0, MESSAGE_DELAY_S)
            self.loop.call_later(delay, self._deliver, name, to, message)

    def _deliver(self, name, to, message):
        if to in self.instances:
            self.instances[to].table.handle(name, message)

    def _is_partitioned(self, one, other):
        return (one in self.partitioned) != (other in self.partitioned)

    async def _tick_forever(self):
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            for instance in list(self.instances.values()):
                instance.table.tick()


class Transport:
    """Transport that passes messages to a function."""

    def __init__(self, send):
        self.send = send


class Instance:
    """One instance of a zone."""

    def __init__(self, zone, name):
        self.kernel = Kernel()
        rng = random.Random(f"{name}/{zone.rng.random()}")
        self.table = Gossip(
            name,
            zone.transport(name),
            zone.loop,
            rng,
            lambda entry: self.kernel.publish(EntryAdopted(entry)),
        )
        self.store = RetryingObjectStore(zone.store, zone.loop, rng)
        self.editor = ConfigurationEditor(self.store, rng, name, zone.wall_time)
        self.service = ConfigurationService(
            name, zone.zone, self.table, self.store, zone.loop, rng, zone.wall_time
        )
        self.recorder = Recorder()
        self.kernel.add(self.recorder)
        self.kernel.add(self.service)
        self.in_force = PlatformInForceSource(
            zone.zone, self.table, self.service.members, StatusStore(self.store), zone.wall_time
        )

    async def drain(self, deadline_s, key):
        request = WriteRequest(Kind.GROUP, "g", Action.DRAIN_TARGET, key, "f", "ada")
        outcome = await self.editor.write(request, edits.drain_target("g", "t1", deadline_s))
        if not outcome.repeated:
            self.service.propagate(outcome.document)
        return outcome.version

    @property
    def version(self):
        applied = self.recorder.configuration
        return applied.versions.get((Kind.GROUP, "g"), 0) if applied else 0

    @property
    def deadline_s(self):
        return self.recorder.configuration.groups["g"].targets[0].drain_deadline_s


class Spy:
    """Calls a function and records an observation after each call."""

    def __init__(self, function, observe):
        self._function, self._observe, self.observed = function, observe, set()

    def __call__(self):
        self._function()
        self.observed.add(self._observe())


def instance_names(count, zone="pnw-a"):
    return [f"{zone}-{n}" for n in range(1, count + 1)]


async def start_zone(count=5, **arguments):
    store = MemoryObjectStore(**arguments)
    editor = ConfigurationEditor(store, random.Random(1), "setup", lambda: 0.0)
    request = WriteRequest(Kind.GROUP, "g", Action.CREATE, "setup", "f", "ada")
    await editor.write(request, edits.create(GROUP))
    zone = Zone(store, instance_names(count))
    await zone.start()
    await asyncio.sleep(4.0)
    assert [i.version for i in zone.running_instances()] == [1] * count
    return store, zone, editor


async def write_in_other_zone(editor, deadline_s):
    """Makes a change in another zone, which reaches the instances only by the watches."""
    request = WriteRequest(Kind.GROUP, "g", Action.DRAIN_TARGET, f"k{deadline_s}", "f", "ada")
    edit = edits.drain_target("g", "t1", deadline_s)
    return (await editor.write(request, edit)).version


def check_versions(zone, version):
    assert {name: i.version for name, i in zone.instances.items()} == dict.fromkeys(
        zone.instances, version
    )
