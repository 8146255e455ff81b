"""The daemon: assembles the services of one instance."""

import json
import random
from pathlib import Path

import aiomisc
import structlog

from pearwell import change
from pearwell.clock import MonotonicClock
from pearwell.configuration import Configuration
from pearwell.group import GroupSpec, TargetSpec
from pearwell.kernel import Kernel
from pearwell.messages import ConfigurationChanged, Message, PlacementChanged
from pearwell.metrics import Metrics
from pearwell.packet_path import PacketPath
from pearwell.placement import Generation, PlacedTarget, Placement
from pearwell.service import ServiceSpec, TransportProtocol
from pearwell.settings import Settings
from pearwell.steering import Steering

__all__ = ["Daemon", "DaemonService"]

_log = structlog.get_logger()


class Daemon:
    """One instance of pearwell.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._kernel = Kernel()
        steering = Steering(
            settings.instance,
            settings.zone,
            _NoTransport(),
            MonotonicClock(),
            random.Random(),
            publish=self._kernel.publish,
        )
        packets = PacketPath(settings, steering)
        self._kernel.add(packets)
        self._kernel.add(Metrics(settings, lambda: packets.counts))

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
            await self._kernel.stop()
            raise
        self._load_static()
        _log.info("instance_started", zone=self._settings.zone, address=self._settings.address)

    async def stop(self) -> None:
        """Stops all services in reverse order."""
        await self._kernel.stop()
        _log.info("instance_stopped")

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


class _NoTransport:
    """Drops every message."""

    def send(self, to: str, message: Message) -> None:
        """Drops a message."""


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
