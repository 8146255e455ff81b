"""Status store: the zones' status objects in the platform, and reports made from them."""

import time
from collections.abc import Callable, Sequence

from pearwell.agreement.entry_table import EntryTable
from pearwell.configuration.applied import key_of
from pearwell.configuration.in_force import ZoneReport
from pearwell.configuration.zone_status import (
    STATUS_EXPIRY_S,
    ZONE_STATUS_KIND,
    ZoneStatus,
    decode_status,
    encode_status,
    local_zone_report,
)
from pearwell.errors import Code, PlatformError
from pearwell.model.configuration import Kind
from pearwell.object_store import ObjectStore, StoredObject

__all__ = ["PlatformInForceSource", "StatusStore"]

_WRITE_CONFLICT_CODES = frozenset(
    {Code.PLATFORM_CONFLICT, Code.PLATFORM_ALREADY_EXISTS, Code.PLATFORM_NOT_FOUND}
)


class StatusStore:
    """Reads and writes status objects, one for each zone.

    Args:
        store: The platform, with retries.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._last_stored: StoredObject | None = None

    async def read(self, zone: str) -> ZoneStatus | None:
        """Returns the status of a zone, or None if it has none; raises PlatformError."""
        try:
            self._last_stored = await self._store.get(ZONE_STATUS_KIND, zone)
        except PlatformError as error:
            if error.code is not Code.PLATFORM_NOT_FOUND:
                raise
            self._last_stored = None
            return None
        return decode_status(self._last_stored)

    async def write(self, status: ZoneStatus) -> bool:
        """Replaces the status that this store read or wrote last.

        Returns:
            False if another instance wrote a status since; read it before the next attempt.

        Raises:
            PlatformError: The platform failed.
        """
        value = encode_status(status)
        try:
            if self._last_stored is None:
                self._last_stored = await self._store.create(ZONE_STATUS_KIND, status.zone, value)
            else:
                version = self._last_stored.version
                self._last_stored = await self._store.update(
                    ZONE_STATUS_KIND, status.zone, value, version
                )
        except PlatformError as error:
            if error.code not in _WRITE_CONFLICT_CODES:
                raise
            return False
        return True

    async def read_all(self) -> list[ZoneStatus]:
        """Returns the status of every zone; raises PlatformError."""
        listed = await self._store.list(ZONE_STATUS_KIND)
        return [decode_status(stored) for stored in listed.items]


class PlatformInForceSource:
    """An InForceSource: the local zone from its entries, remote zones from their status objects.

    Args:
        zone: The local zone.
        table: The local zone's entries.
        members: Returns the members of the local zone.
        statuses: Status objects of all zones.
        wall_time: Returns Unix time in seconds.
    """

    def __init__(
        self,
        zone: str,
        table: EntryTable,
        members: Callable[[], Sequence[str]],
        statuses: StatusStore,
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        self._zone = zone
        self._table = table
        self._members = members
        self._statuses = statuses
        self._wall_time = wall_time
        self._last_statuses: list[ZoneStatus] = []

    async def zone_reports(self, kind: Kind, name: str, version: int) -> Sequence[ZoneReport]:
        """Returns one report for each zone.

        Raises:
            PlatformError: The platform failed and no remote zone's status is known.
        """
        now = self._wall_time()
        local_report = local_zone_report(
            self._zone, self._table, self._members(), key_of(kind, name), version
        )
        remote_reports = [
            status.report(version, now)
            for status in await self._read_statuses()
            if status.zone != self._zone and now - status.at < STATUS_EXPIRY_S
        ]
        return sorted([local_report, *remote_reports], key=lambda report: report.zone)

    async def _read_statuses(self) -> list[ZoneStatus]:
        try:
            self._last_statuses = await self._statuses.read_all()
        except PlatformError:
            if not self._last_statuses:
                raise
        return self._last_statuses
