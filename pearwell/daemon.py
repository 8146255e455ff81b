"""The daemon: creates, starts and stops the services of one instance."""

import random
from collections.abc import Iterable, Iterator

import aiomisc
import structlog

from pearwell.admin.instance_state import InstanceState
from pearwell.admin.server import AdminService
from pearwell.agreement.gossip_service import GossipService
from pearwell.agreement.instance_list import InstanceList, InstanceRegistration, ListedState
from pearwell.agreement.membership_service import MembershipService
from pearwell.agreement.peers import Peers
from pearwell.clock import MonotonicClock
from pearwell.configuration.editor import ConfigurationEditor
from pearwell.configuration.service import ConfigurationService
from pearwell.configuration.status_store import PlatformInForceSource, StatusStore
from pearwell.kernel import Kernel, KernelService
from pearwell.metrics import Metrics
from pearwell.model.membership import Member
from pearwell.object_store import RetryingObjectStore
from pearwell.object_store.platform_client import PlatformClient
from pearwell.placement.service import PlacementService
from pearwell.placement.store import SAVE_POLICY, PlacementStore
from pearwell.samples import InstanceComponents, collect_samples
from pearwell.settings import Endpoint, Settings
from pearwell.shutdown import ShutdownSteps, ShutdownTimes, shut_down
from pearwell.steering.flow_meter import FlowMeter
from pearwell.steering.packet_path import PacketPath
from pearwell.steering.steering import Steering
from pearwell.targets.admission import Admission
from pearwell.targets.balancer import Balancer
from pearwell.targets.prober import Prober
from pearwell.tls import load_tls

__all__ = ["Daemon", "DaemonService"]

MAX_PLATFORM_WAIT_S = 3.0

_log = structlog.get_logger()


class Daemon:
    """One instance of pearwell.

    Args:
        settings: Settings of the instance.

    Raises:
        SettingsError: A TLS file can't be read.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._kernel = Kernel()
        self._clock = MonotonicClock()
        self._rng = random.Random()
        self._tls = load_tls(settings.tls)
        self._platform = PlatformClient(_base_url(settings.platform))
        self._store = RetryingObjectStore(self._platform, self._clock, self._rng)
        self._instances = InstanceList(self._store, settings.zone, self._rng)
        self._peers = Peers(settings, self._tls, self._clock, self._rng)
        self._steering = self._make_steering()
        self._packet_path = self._make_packet_path()
        self._gossip = GossipService(settings.instance, self._peers, self._clock, self._rng)
        self._membership = self._make_membership()
        self._configuration = self._make_configuration()
        self._placement = self._make_placement()
        self._prober = Prober(
            settings.instance, settings.zone, self._clock, self._rng, self._gossip.gossip
        )
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
        _log.info("instance_started", zone=self._settings.zone, address=self._settings.address)

    async def stop(self) -> None:
        """Leaves the zone without breaking flows, then stops all services."""
        deadline = self._settings.stop_deadline_s
        times = ShutdownTimes(
            quiet_s=self._settings.stop_quiet_s,
            deadline_s=deadline,
            platform_s=min(MAX_PLATFORM_WAIT_S, deadline),
        )
        steps = ShutdownSteps(
            mark_leaving=self._registration.mark_leaving,
            leave=self._membership.leave,
            last_packet_at=lambda: self._packet_path.fabric_read_at,
            handed_over=self._handed_over,
            remove=self._registration.remove,
        )
        await shut_down(steps, self._clock, times)
        await self._close()
        _log.info("instance_stopped")

    async def _close(self) -> None:
        await self._kernel.stop()
        await self._platform.close()

    def _services(self) -> Iterator[KernelService]:
        """Yields all services in start order; they stop in reverse order."""
        instance, zone = self._settings.instance, self._settings.zone
        gossip = self._gossip.gossip
        components = self._components()
        yield self._peers
        yield self._packet_path
        yield self._gossip
        yield self._configuration
        yield self._placement
        yield self._prober
        yield Balancer(instance, zone, self._clock, gossip, self._peers)
        yield self._membership
        yield self._make_admin()
        yield Metrics(self._settings, lambda: collect_samples(components))
        yield self._registration

    def _components(self) -> InstanceComponents:
        return InstanceComponents(
            self._packet_path,
            self._steering,
            self._peers,
            self._membership,
            self._configuration,
            self._placement,
            self._prober,
            self._platform,
        )

    def _make_steering(self) -> Steering:
        return Steering(
            self._settings.instance,
            self._settings.zone,
            self._peers,
            self._clock,
            self._rng,
            publish=self._kernel.publish,
        )

    def _make_packet_path(self) -> PacketPath:
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

    def _make_configuration(self) -> ConfigurationService:
        return ConfigurationService(
            self._settings.instance,
            self._settings.zone,
            self._gossip.gossip,
            self._store,
            self._clock,
            self._rng,
        )

    def _make_placement(self) -> PlacementService:
        store = RetryingObjectStore(self._platform, self._clock, self._rng, SAVE_POLICY)
        return PlacementService(
            self._settings.instance,
            self._settings.zone,
            self._gossip.gossip,
            self._peers,
            PlacementStore(store, self._settings.zone, self._clock),
            self._clock,
        )

    def _make_admin(self) -> AdminService:
        settings, configuration = self._settings, self._configuration
        state = InstanceState(
            settings.instance,
            settings.region,
            settings.zone,
            is_relay=lambda: configuration.is_relay,
            platform_reachable=lambda: configuration.platform_reachable,
            platform_calls=lambda: self._platform.calls,
        )
        in_force = PlatformInForceSource(
            settings.zone, self._gossip.gossip, configuration.members, StatusStore(self._store)
        )
        return AdminService(
            ConfigurationEditor(self._store, self._rng, settings.instance),
            state,
            settings.address,
            settings.admin_port,
            in_force,
            None if self._tls is None else self._tls.server_credentials(),
            configuration.propagate,
        )

    def _handed_over(self) -> bool:
        """Returns whether this instance serves no shard or no other instance is left."""
        alone = len(self._membership.swim.view.members) <= 1
        return alone or self._steering.shards_served == 0


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


def _base_url(endpoint: Endpoint) -> str:
    host = f"[{endpoint.address}]" if ":" in endpoint.address else endpoint.address
    return f"http://{host}:{endpoint.port}"
