"""Reports of where a version of a configuration object is in force, by zone and instance."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from pearwell.model.configuration import Kind

__all__ = [
    "EmptyInForceSource",
    "InForceReport",
    "InForceSource",
    "ZoneReport",
    "wait_until_in_force",
]

# Interval between polls while a request waits.
POLL_INTERVAL_S = 0.2
MAX_WAIT_S = 60.0
# Maximum number of lagging instances that an API response names.
MAX_LAGGING_NAMES = 10


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """Progress of one zone in applying a version.

    Attributes:
        zone: Availability zone.
        instances: Number of members of the zone.
        holding: Number of members that hold the version or a later one.
        lagging: Known members that don't hold it.
        age_s: Age of the report in seconds.
    """

    zone: str
    instances: int
    holding: int
    lagging: tuple[str, ...] = ()
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class InForceReport:
    """Progress of all zones in applying a version."""

    version: int
    zones: tuple[ZoneReport, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every member of every zone holds the version or a later one."""
        return bool(self.zones) and all(zone.holding >= zone.instances for zone in self.zones)


class InForceSource(Protocol):
    """Source of reports on the versions that instances hold."""

    async def zone_reports(self, kind: Kind, name: str, version: int) -> Sequence[ZoneReport]:
        """Returns one report for each known zone."""


class EmptyInForceSource:
    """An InForceSource without zones, for an admin API without a daemon."""

    async def zone_reports(self, kind: Kind, name: str, version: int) -> Sequence[ZoneReport]:
        """Returns no reports."""
        return ()


async def wait_until_in_force(
    source: InForceSource,
    kind: Kind,
    name: str,
    version: int,
    wait_s: float,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> InForceReport:
    """Polls until a version is in force everywhere or the wait times out.

    Args:
        source: Source of the zones' reports.
        kind: Kind of the object.
        name: Name of the object.
        version: The version.
        wait_s: Time in seconds, at most MAX_WAIT_S; 0 polls once.
        sleep: Waits for a number of seconds.

    Returns:
        The last report.
    """
    polls = 1 + int(min(wait_s, MAX_WAIT_S) / POLL_INTERVAL_S)
    report = InForceReport(version, ())
    for poll in range(polls):
        if poll:
            await sleep(POLL_INTERVAL_S)
        report = InForceReport(version, tuple(await source.zone_reports(kind, name, version)))
        if report.everywhere:
            break
    return report
