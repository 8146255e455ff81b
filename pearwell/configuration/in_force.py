"""In force: which instances of which zones hold a version of a configuration object."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from pearwell.model.configuration import Kind

__all__ = ["InForceReport", "InForceSource", "NoZones", "ZoneReport", "wait_in_force"]

# Pause between two looks while a request waits.
POLL_INTERVAL_S = 0.2
MAX_WAIT_S = 60.0
# Lagging instances that a report names.
MAX_LAGGING = 10


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """How far one zone has applied a version.

    Attributes:
        zone: Availability zone.
        instances: Number of its members.
        holding: Number of members that hold the version or a later one.
        lagging: Known members that don't.
        age_s: Age of the report in seconds.
    """

    zone: str
    instances: int
    holding: int
    lagging: tuple[str, ...] = ()
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class InForceReport:
    """How far all zones have applied a version."""

    version: int
    zones: tuple[ZoneReport, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every member of every zone holds the version or a later one."""
        return bool(self.zones) and all(zone.holding >= zone.instances for zone in self.zones)


class InForceSource(Protocol):
    """Knows which instances hold what."""

    async def zones(self, kind: Kind, name: str, version: int) -> Sequence[ZoneReport]:
        """Returns one report for each known zone."""


class NoZones:
    """An InForceSource that knows of no zone, for an admin API without a daemon."""

    async def zones(self, kind: Kind, name: str, version: int) -> Sequence[ZoneReport]:
        """Returns no reports."""
        return ()


async def wait_in_force(
    source: InForceSource,
    kind: Kind,
    name: str,
    version: int,
    wait_s: float,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> InForceReport:
    """Looks until a version is in force everywhere or the time is over.

    Args:
        source: Knows which instances hold what.
        kind: Kind of the object.
        name: Name of the object.
        version: The version.
        wait_s: Time in seconds, at most MAX_WAIT_S; 0 looks once.
        sleep: Waits a number of seconds.

    Returns:
        The last report.
    """
    looks = 1 + int(min(wait_s, MAX_WAIT_S) / POLL_INTERVAL_S)
    report = InForceReport(version, ())
    for look in range(looks):
        if look:
            await sleep(POLL_INTERVAL_S)
        report = InForceReport(version, tuple(await source.zones(kind, name, version)))
        if report.everywhere:
            break
    return report
