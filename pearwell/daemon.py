"""The daemon: assembles the services of one instance."""

import json
from pathlib import Path

import aiomisc
import structlog

from pearwell.configuration import Configuration
from pearwell.group import GroupSpec, TargetSpec
from pearwell.kernel import Kernel
from pearwell.messages import ConfigurationChanged
from pearwell.metrics import Metrics
from pearwell.packet_path import PacketPath
from pearwell.service import ServiceSpec, TransportProtocol
from pearwell.settings import Settings
from pearwell.static_table import StaticDecider

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
        self._decider = StaticDecider(settings.zone)
        packets = PacketPath(settings, self._decider)
        self._kernel.add(packets)
        self._kernel.add(Metrics(settings, packets.counts))

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
        self._decider.configure(configuration)
        self._kernel.publish(ConfigurationChanged(configuration))


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
