"""The daemon: assembles the services of one instance."""

import json
import random
from collections.abc import Iterable, Iterator
from pathlib import Path

import aiomisc
import structlog

from pearwell import change
from pearwell.admin_server import AdminService
from pearwell.admission import Admission
from pearwell.balancer import Balancer
from pearwell.clock import MonotonicClock
from pearwell.configuration import Configuration
from pearwell.editor import ConfigurationEditor
from pearwell.flow_meter import FlowMeter
from pearwell.gossip_service import GossipService
from pearwell.group import GroupSpec, TargetSpec
from pearwell.instance_list import InstanceList, InstanceRegistration, ListedState
from pearwell.instance_state import InstanceState
from pearwell.kernel import Kernel, KernelService
from pearwell.membership import Member
from pearwell.membership_service import MembershipService
from pearwell.messages import ConfigurationChanged, PlacementChanged
from pearwell.metrics import Metrics
from pearwell.object_store import RetryingObjectStore
from pearwell.packet_path import PacketPath
from pearwell.peers import Peers
from pearwell.placement import Generation, PlacedTarget, Placement
from pearwell.platform_client import PlatformClient
from pearwell.prober import Prober
from pearwell.service import ServiceSpec, TransportProtocol
from pearwell.settings import Endpoint, Settings
from pearwell.shutdown import ShutdownSteps, ShutdownTimes, shut_down
from pearwell.steering import Steering
from pearwell.tls import load_tls

__all__ = ["Daemon", "DaemonService"]

MAX_PLATFORM_WAIT_S = 3.0

_log = structlog.get_logger()


class Daemon:
    """One instance of pearwell.

    Args:
        settings: Its settings.

    Raises:
        SettingsError: A TLS file can't be read.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._kernel = Kernel()
        self._clock = MonotonicClock()
        self._rng = random.Random()
        self._tls = load_tls(settings.tls)
        self._platform = PlatformClient(_url(settings.platform))
        self._store = RetryingObjectStore(self._platform, self._clock, self._rng)
        self._instances = InstanceList(self._store, settings.zone, self._rng)
        self._peers = Peers(settings, self._tls, self._clock, self._rng)
        self._steering = self._make_steering()
        self._packets = self._make_packets()
        self._gossip = GossipService(settings.instance, self._peers, self._clock, self._rng)
        self._membership = self._make_membership()
        self._registration = InstanceRegistration(settings, self._instances)
        for service in self._services():
            self._kernel.add(service)

    @property
    def kernel(self) -> Kernel:
        """The kernel with all services."""
        return self._kernel

    async def start(self) -> None:
        """Starts all services.

        Raises:
            SettingsError: An address can't be bound.
        """
        try:
            await self._kernel.start()
        except BaseException:
            await self._close()
            raise
        self._load_static()
        _log.info("instance_started", zone=self._settings.zone, address=self._settings.address)

    async def stop(self) -> None:
        """Leaves the zone without cutting off a flow, then stops all services."""
        deadline = self._settings.stop_deadline_s
        times = ShutdownTimes(
            quiet_s=self._settings.stop_quiet_s,
            deadline_s=deadline,
            platform_s=min(MAX_PLATFORM_WAIT_S, deadline),
        )
        steps = ShutdownSteps(
            withdraw=self._registration.withdraw,
            leave=self._membership.leave,
            last_packet_at=lambda: self._packets.fabric_heard_at,
            handed_over=lambda: self._steering.shards_served == 0,
            remove=self._registration.remove,
        )
        await shut_down(steps, self._clock, times)
        await self._close()
        _log.info("instance_stopped")

    async def _close(self) -> None:
        await self._kernel.stop()
        await self._platform.close()

    def _services(self) -> Iterator[KernelService]:
        """Yields all services; they start in this order and stop in the opposite one."""
        instance, zone = self._settings.instance, self._settings.zone
        gossip = self._gossip.gossip
        yield self._peers
        yield self._packets
        yield self._gossip
        yield Prober(instance, zone, self._clock, self._rng, gossip)
        yield Balancer(instance, zone, self._clock, gossip, self._peers)
        yield self._membership
        yield self._make_admin()
        yield Metrics(self._settings, lambda: self._packets.counts)
        yield self._registration

    def _make_steering(self) -> Steering:
        return Steering(
            self._settings.instance,
            self._settings.zone,
            self._peers,
            self._clock,
            self._rng,
            publish=self._kernel.publish,
        )

    def _make_packets(self) -> PacketPath:
        admission = Admission(self._clock, self._rng)
        meter = FlowMeter(self._clock)
        return PacketPath(self._settings, self._steering, admission, meter)

    def _make_membership(self) -> MembershipService:
        return MembershipService(
            self._settings,
            self._peers,
            self._gossip.gossip,
            self._clock,
            self._rng,
            self._listed_members,
        )

    async def _listed_members(self) -> Iterable[Member]:
        listed = await self._instances.read()
        return [entry.member() for entry in listed.instances if entry.state is ListedState.LIVE]

    def _make_admin(self) -> AdminService:
        settings = self._settings
        state = InstanceState(settings.instance, settings.region, settings.zone)
        state.platform_calls = lambda: self._platform.calls
        return AdminService(
            ConfigurationEditor(self._store, self._rng, settings.instance),
            state,
            settings.address,
            settings.admin_port,
            credentials=None if self._tls is None else self._tls.server(),
        )

    def _load_static(self) -> None:
        if self._settings.static_configuration is None:
            return
        content = json.loads(Path(self._settings.static_configuration).read_text())
        services = [
            ServiceSpec(**{**item, "protocol": TransportProtocol(item["protocol"])})
            for item in content["services"]
        ]
        groups = [
            GroupSpec(item["name"], tuple(TargetSpec(**target) for target in item["targets"]))
            for item in content["groups"]
        ]
        configuration = Configuration(
            services={service.name: service for service in services},
            groups={group.name: group for group in groups},
        )
        for group in groups:
            self._kernel.publish(PlacementChanged(self._initial_placement(group)))
        self._kernel.publish(ConfigurationChanged(configuration))

    def _initial_placement(self, group: GroupSpec) -> Placement:
        zone = self._settings.zone
        targets = tuple(
            PlacedTarget(target.name, target.address, target.port, target.weight)
            for target in group.targets
            if target.zone == zone
        )
        return change.initial(group.name, zone, targets, group.seed, Generation(1))


class DaemonService(aiomisc.Service):
    """Runs a daemon in an aiomisc entrypoint."""

    __required__ = ("settings",)

    settings: Settings

    async def start(self) -> None:
        """Starts the daemon."""
        self._daemon = Daemon(self.settings)
        await self._daemon.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the daemon."""
        await self._daemon.stop()


def _url(endpoint: Endpoint) -> str:
    host = f"[{endpoint.address}]" if ":" in endpoint.address else endpoint.address
    return f"http://{host}:{endpoint.port}"
