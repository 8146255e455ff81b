"""State of an instance and its zone that the admin API shows."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from pearwell.model.configuration import Configuration
from pearwell.model.membership import View
from pearwell.model.placement import Placement

__all__ = ["InstanceState"]


@dataclass
class InstanceState:
    """State of the instance that the admin API shows; the admin service updates it.

    Attributes:
        instance: Id of the instance.
        region: Region of the instance.
        zone: Availability zone of the instance.
        configuration: Configuration that the instance applies.
        view: Members of the zone.
        placements: Placements by group.
        is_relay: Returns whether the instance watches the platform for its zone.
        platform_reachable: Returns whether the latest call to the platform succeeded.
        platform_calls: Returns the number of calls to the platform by operation.
    """

    instance: str
    region: str = ""
    zone: str = ""
    configuration: Configuration = field(default_factory=Configuration)
    view: View = field(default_factory=View)
    placements: dict[str, Placement] = field(default_factory=dict)
    is_relay: Callable[[], bool] = lambda: False
    platform_reachable: Callable[[], bool] = lambda: True
    platform_calls: Callable[[], Mapping[str, int]] = dict

    def __post_init__(self) -> None:
        self._changed = asyncio.Event()

    def apply(self, configuration: Configuration) -> None:
        """Replaces the applied configuration and wakes the watch streams."""
        self.configuration = configuration
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_changed(self) -> None:
        """Waits for the next change of the configuration."""
        await self._changed.wait()
