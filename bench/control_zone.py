"""Control plane of a zone in one process, with in-memory or gRPC transport."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from pearwell.agreement.gossip_service import GossipService
from pearwell.agreement.membership_service import MembershipService, PeerTransport
from pearwell.agreement.peers import Peers
from pearwell.clock import Clock
from pearwell.configuration.service import ConfigurationService
from pearwell.errors import Code, PlatformError
from pearwell.kernel import Kernel, KernelService, QueuedService
from pearwell.messages import (
    ConfigurationChanged,
    Entry,
    EntryAdopted,
    EntryVersion,
    Message,
    PeerMessage,
    PlacementChanged,
    ViewChanged,
    ViewRenewed,
    decode,
    encode,
)
from pearwell.model.membership import Member, View
from pearwell.model.placement import Generation
from pearwell.object_store import (
    MemoryObjectStore,
    ObjectList,
    RetryingObjectStore,
    StoredObject,
    Value,
    WatchEvent,
)
from pearwell.placement.service import PlacementService
from pearwell.placement.store import PlacementStore
from pearwell.settings import Endpoint, PeerSettings, Settings

__all__ = [
    "AdoptedEntries",
    "ControlInstance",
    "ControlZone",
    "Faults",
    "Observer",
    "ReachableStore",
]

ZONE = "pnw-a"
LATENCY_S = 0.0005
CONTROL_PORT = 20602
SEED_COUNT = 3


@dataclass
class Faults:
    """Faults of the network between instances.

    Attributes:
        delivery: Returns the delay in seconds of each delivered copy of a message; empty if it
            is lost.
    """

    delivery: Callable[[str, str, Message], tuple[float, ...]] = lambda sender, to, message: (
        LATENCY_S,
    )


@dataclass
class ReachableStore:
    """The platform's store as seen by one instance, which can be disconnected from it."""

    inner: MemoryObjectStore
    reachable: Callable[[], bool]

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object."""
        self._check()
        return await self.inner.get(kind, name)

    async def list(self, kind: str, *, limit: int = 0, token: str = "") -> ObjectList:
        """Returns the objects of a kind."""
        self._check()
        return await self.inner.list(kind, limit=limit, token=token)

    async def create(self, kind: str, name: str, value: Value) -> StoredObject:
        """Creates an object."""
        self._check()
        return await self.inner.create(kind, name, value)

    async def update(
        self, kind: str, name: str, value: Value, expected_version: int
    ) -> StoredObject:
        """Replaces an object."""
        self._check()
        return await self.inner.update(kind, name, value, expected_version)

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Removes an object."""
        self._check()
        await self.inner.delete(kind, name, expected_version)

    async def watch(self, kind: str, version: int) -> AsyncIterator[WatchEvent]:
        """Yields the changes of a kind after a version."""
        self._check()
        async for event in self.inner.watch(kind, version):
            self._check()
            yield event

    def _check(self) -> None:
        if not self.reachable():
            raise PlatformError(
                Code.PLATFORM_UNAVAILABLE, "instance is disconnected from the platform"
            )


@dataclass
class AdoptedEntries:
    """The gossip entries that any instance has adopted.

    Attributes:
        payloads: Payload by key and version.
        conflicts: Keys and versions adopted with two different payloads.
    """

    payloads: dict[tuple[str, EntryVersion], bytes] = field(default_factory=dict)
    conflicts: list[tuple[str, EntryVersion]] = field(default_factory=list)

    def record(self, entry: Entry) -> None:
        """Records an adopted entry."""
        key = (entry.key, entry.version)
        if self.payloads.setdefault(key, entry.payload) != entry.payload:
            self.conflicts.append(key)


@dataclass
class Observer:
    """Records when versions were applied at an instance and checks their order.

    Attributes:
        applied_at: Time at which each version of a configuration object was applied.
        versions: Latest applied version of each configuration object.
        placement_times: Time at which each placement generation was applied, by group.
        view_confirmed_at: Time of the latest confirmation of the view.
        violations: Versions that decreased and generations that didn't increase.
    """

    clock: Clock
    adopted_entries: "AdoptedEntries"
    name: str = "observer"
    accepts: tuple[type[Message], ...] = (
        ConfigurationChanged,
        EntryAdopted,
        PlacementChanged,
        ViewRenewed,
    )
    applied_at: dict[tuple[str, int], float] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    placement_times: dict[str, dict[Generation, float]] = field(default_factory=dict)
    view_confirmed_at: float = float("-inf")
    violations: list[str] = field(default_factory=list)

    async def start(self, kernel: Kernel) -> None:
        """Does nothing; there are no tasks to start."""

    async def stop(self) -> None:
        """Does nothing; there are no tasks to stop."""

    def deliver(self, message: Message) -> None:
        """Records the versions that a message reports."""
        match message:
            case ConfigurationChanged(configuration=configuration):
                for (_, name), version in configuration.versions.items():
                    self._record_version(name, version)
            case PlacementChanged(placement=placement):
                generations = self.placement_times.setdefault(placement.group, {})
                if generations and placement.generation <= max(generations):
                    self.violations.append(
                        f"{placement.group} did not advance: {placement.generation}"
                    )
                generations[placement.generation] = self.clock.now()
            case ViewRenewed(confirmed_at=confirmed_at):
                self.view_confirmed_at = max(self.view_confirmed_at, confirmed_at)
            case EntryAdopted(entry=entry):
                self.adopted_entries.record(entry)

    def _record_version(self, name: str, version: int) -> None:
        previous = self.versions.get(name, 0)
        if version < previous:
            self.violations.append(f"{name} decreased from {previous} to {version}")
        if version > previous:
            self.versions[name] = version
            self.applied_at[name, version] = self.clock.now()


class _MemoryPeers:
    """The service "peers" over the zone's in-memory network."""

    name = "peers"
    accepts: tuple[type[Message], ...] = (ViewChanged,)

    def __init__(self, zone: "ControlZone", instance: str) -> None:
        self._zone = zone
        self._instance = instance
        self._kernel = Kernel()
        self._queued_messages: list[tuple[str, bytes]] = []
        self.paused = False
        self.bytes_sent = 0
        self.messages_sent = 0

    async def start(self, kernel: Kernel) -> None:
        """Attaches to the network."""
        self._kernel = kernel
        self._zone.receivers[self._instance] = self._receive

    async def stop(self) -> None:
        """Detaches from the network."""
        self._zone.receivers.pop(self._instance, None)

    def deliver(self, message: Message) -> None:
        """Ignores views."""

    def set_address(self, member: Member) -> None:
        """Ignores addresses; the network routes by instance ID."""

    def send(self, to: str, message: Message) -> None:
        """Sends a message to an instance."""
        payload = encode(message)
        self.bytes_sent += len(payload)
        self.messages_sent += 1
        self._zone.send_message(self._instance, to, message, payload)

    def resume(self) -> None:
        """Delivers the messages that arrived during a pause."""
        self.paused = False
        queued, self._queued_messages = self._queued_messages, []
        for sender, payload in queued:
            self._receive(sender, payload)

    def _receive(self, sender: str, payload: bytes) -> None:
        if self.paused:
            self._queued_messages.append((sender, payload))
        else:
            self._kernel.publish(PeerMessage(sender, decode(payload)))


class ControlInstance:
    """Peer transport, gossip, membership, configuration and placement of one instance."""

    def __init__(self, zone: "ControlZone", number: int) -> None:
        self.name = f"i{number}"
        settings = zone.settings(number, zone.seeds())
        rng = random.Random(f"{zone.seed}/{self.name}")
        clock = zone.clock
        self.peers: _MemoryPeers | Peers = (
            Peers(settings, None, clock, rng) if zone.grpc else _MemoryPeers(zone, self.name)
        )
        self.platform = ReachableStore(
            zone.platform, lambda: self.name not in zone.disconnected_from_platform
        )
        store = RetryingObjectStore(self.platform, clock, rng)
        gossip = GossipService(self.name, self.peers, clock, rng)
        self.gossip = gossip.gossip
        peer_transport: PeerTransport = self.peers
        self.membership = MembershipService(
            settings, peer_transport, self.gossip, clock, rng, zone.list_instances
        )
        self.configuration = ConfigurationService(self.name, ZONE, self.gossip, store, clock, rng)
        self.placement = PlacementService(
            self.name,
            ZONE,
            self.gossip,
            self.peers,
            PlacementStore(self.platform, ZONE, clock),
            clock,
            zone.wall_time,
        )
        self.observer = Observer(clock, zone.adopted_entries)
        self.kernel = Kernel()
        self._running = asyncio.Event()
        self._running.set()
        queued: list[QueuedService] = [
            gossip,
            self.membership,
            self.configuration,
            self.placement,
        ]
        for service in queued:
            service.handle = self._block_while_paused(service.handle)  # type: ignore[method-assign]
            service.tick = self._block_while_paused(service.tick)  # type: ignore[method-assign]
        services: list[KernelService] = [self.peers, *queued, self.observer]
        for added in services:
            self.kernel.add(added)

    @property
    def view(self) -> View:
        """The membership view of the instance."""
        return self.membership.swim.view

    @property
    def members(self) -> list[str]:
        """Instance IDs in the view."""
        return [member.instance for member in self.view.members]

    def pause(self) -> None:
        """Suspends all services as if the process were paused; calls in progress continue."""
        self._running.clear()
        if isinstance(self.peers, _MemoryPeers):
            self.peers.paused = True

    def resume(self) -> None:
        """Resumes all services."""
        if isinstance(self.peers, _MemoryPeers):
            self.peers.resume()
        self._running.set()

    def _block_while_paused(
        self, operation: Callable[..., Coroutine[Any, Any, None]]
    ) -> Callable[..., Coroutine[Any, Any, None]]:
        async def run_unless_paused(*arguments: Any) -> None:
            await self._running.wait()
            await operation(*arguments)

        return run_unless_paused


class ControlZone:
    """Instances of one zone and their platform.

    Args:
        clock: Source of time; the event loop itself for virtual time.
        seed: Seed of all random choices.
        grpc: Whether instances communicate over gRPC on loopback addresses.
    """

    def __init__(self, clock: Clock, seed: int, grpc: bool = False) -> None:
        self.clock = clock
        self.seed = seed
        self.grpc = grpc
        self.platform = MemoryObjectStore()
        self.instances: dict[str, ControlInstance] = {}
        self.receivers: dict[str, Callable[[str, bytes], None]] = {}
        self.disconnected_from_platform: set[str] = set()
        self.faults = Faults()
        self.adopted_entries = AdoptedEntries()

    def wall_time(self) -> float:
        """Returns a Unix time in seconds that advances with the clock."""
        return 1_700_000_000 + self.clock.now()

    def settings(self, number: int, seeds: tuple[PeerSettings, ...] = ()) -> Settings:
        """Returns the settings of an instance."""
        return Settings(
            instance=f"i{number}",
            region="pnw",
            zone=ZONE,
            address=f"127.40.{20 + number // 250}.{1 + number % 250}",
            fabric_port=20600,
            peer_port=20601,
            control_port=CONTROL_PORT,
            admin_port=20603,
            metrics_port=20604,
            platform=Endpoint(address="127.40.20.254", port=20610),
            peers=seeds,
            plaintext=True,
        )

    def seeds(self) -> tuple[PeerSettings, ...]:
        """Returns the seeds of a new instance: the most recently started instances."""
        known = [self.settings(int(name[1:])) for name in list(self.instances)[-SEED_COUNT:]]
        return tuple(
            PeerSettings(
                instance=peer.instance,
                address=peer.address,
                peer_port=peer.peer_port,
                control_port=peer.control_port,
            )
            for peer in known
        )

    async def list_instances(self) -> list[Member]:
        """Returns the platform's list of instances, which contains all running ones."""
        if self.platform.faults.outage:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "injected outage")
        members = []
        for name in self.instances:
            settings = self.settings(int(name[1:]))
            address = settings.address
            members.append(Member(name, address, settings.peer_port, settings.control_port))
        return members

    async def start(self, *numbers: int) -> None:
        """Starts instances."""
        new_instances = [ControlInstance(self, number) for number in numbers]
        for instance in new_instances:
            self.instances[instance.name] = instance
        for instance in new_instances:
            await instance.kernel.start()

    async def kill(self, *names: str) -> None:
        """Stops instances without notifying their peers."""
        for name in names:
            self.receivers.pop(name, None)
            instance = self.instances.pop(name)
            instance.peers.send = lambda to, message: None  # type: ignore[method-assign]
            await instance.kernel.stop()

    async def stop(self) -> None:
        """Stops all instances."""
        await self.kill(*self.instances)

    def send_message(self, sender: str, to: str, message: Message, payload: bytes) -> None:
        """Schedules the delivery of a message according to the injected faults."""
        loop = asyncio.get_running_loop()
        for delay in self.faults.delivery(sender, to, message):
            loop.call_later(delay, self._deliver, sender, to, payload)

    def _deliver(self, sender: str, to: str, payload: bytes) -> None:
        receiver = self.receivers.get(to)
        if receiver is not None:
            receiver(sender, payload)

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = 30.0) -> float:
        """Waits until a condition holds and returns the elapsed seconds.

        Raises:
            TimeoutError: The condition doesn't hold within the timeout.
        """
        started_at = self.clock.now()
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.02)
        return self.clock.now() - started_at

    async def wait_until_joined(self, timeout_s: float = 60.0) -> float:
        """Waits until the view of every instance contains all instances."""
        return await self.wait_until(
            lambda: all(len(i.members) == len(self.instances) for i in self.instances.values()),
            timeout_s,
        )
