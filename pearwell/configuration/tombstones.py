"""Removes tombstones of deleted objects from the platform after their retention time."""

import time
from collections.abc import Callable

import structlog

from pearwell.configuration.document import decode_document
from pearwell.errors import PearwellError
from pearwell.object_store import ObjectStore, StoredObject

__all__ = ["RETENTION_S", "TombstonePurge"]

# Longer than any zone stays partitioned. Otherwise a zone whose partition heals could restore an
# object whose tombstone has been removed.
RETENTION_S = 7 * 24 * 3600.0
# Maximum number of removals after one list, which spreads the load on the platform.
MAX_REMOVALS = 50

_log = structlog.get_logger()


class TombstonePurge:
    """Removes tombstones that are older than the retention time.

    A removal is conditional on the version, so an object that has been created again stays.

    Args:
        store: The platform, with retries.
        wall_time: Returns Unix time in seconds.
    """

    def __init__(self, store: ObjectStore, wall_time: Callable[[], float] = time.time) -> None:
        self._store = store
        self._wall_time = wall_time

    async def run(self, items: tuple[StoredObject, ...]) -> int:
        """Removes the old tombstones in a full list and returns their number.

        It stops at the first failure; the rest is removed after a later list.
        """
        cutoff = self._wall_time() - RETENTION_S
        expired = [stored for stored in items if _deleted_before(stored, cutoff)][:MAX_REMOVALS]
        removed = 0
        for stored in expired:
            try:
                await self._store.delete(stored.kind, stored.name, stored.version)
            except PearwellError as error:
                _log.info("tombstone_kept", object=stored.name, code=int(error.code))
                break
            removed += 1
        if removed:
            _log.info("tombstones_removed", count=removed)
        return removed


def _deleted_before(stored: StoredObject, cutoff: float) -> bool:
    if stored.value.get("spec", "") is not None:
        return False
    try:
        entries = decode_document(stored).audit_entries
    except PearwellError:
        return False
    return bool(entries) and entries[-1].at < cutoff
