"""Placement store: conditional writes that never replace a higher generation."""

import asyncio
from dataclasses import dataclass
from enum import Enum, auto

import structlog

from pearwell.clock import Clock
from pearwell.errors import Code, PlatformError
from pearwell.model.placement import Generation, Placement
from pearwell.object_store import ObjectStore, RetryPolicy, StoredObject
from pearwell.placement.codec import PLACEMENT_KIND, decode_stored, encode_value, object_name

__all__ = ["SAVE_POLICY", "PlacementStore", "SaveOutcome", "SaveResult"]

SAVE_TIMEOUT_S = 0.6
# For the store passed to PlacementStore; bounds each of the calls that a save consists of.
SAVE_POLICY = RetryPolicy(attempt_timeout_s=0.25, deadline_s=0.5)
OUTAGE_BACKOFF_S = 2.0
MAX_SAVE_ATTEMPTS = 3

_CONCURRENT_WRITE_CODES = frozenset(
    {Code.PLATFORM_CONFLICT, Code.PLATFORM_ALREADY_EXISTS, Code.PLATFORM_NOT_FOUND}
)

_log = structlog.get_logger()


class SaveOutcome(Enum):
    """Outcomes of saving a placement."""

    SAVED = auto()
    SUPERSEDED = auto()
    UNREACHABLE = auto()


@dataclass(frozen=True, slots=True)
class SaveResult:
    """Result of saving a placement.

    Attributes:
        outcome: Whether the placement was saved, was superseded by another one, or wasn't written.
        stored: The placement that the platform holds instead, if superseded.
    """

    outcome: SaveOutcome
    stored: Placement | None = None


class PlacementStore:
    """Writes the placements of one zone, conditional on the last version seen.

    Args:
        store: The platform.
        zone: Own availability zone.
        clock: Source of monotonic time.
    """

    def __init__(self, store: ObjectStore, zone: str, clock: Clock) -> None:
        self._store = store
        self._zone = zone
        self._clock = clock
        self._versions: dict[str, int] = {}
        self._retry_at = float("-inf")

    @property
    def reachable(self) -> bool:
        """Whether to call the platform; False for OUTAGE_BACKOFF_S after a failed save."""
        return self._clock.now() >= self._retry_at

    async def save(self, placement: Placement, *, newly_planned: bool) -> SaveResult:
        """Writes a placement unless the platform holds a later one.

        Args:
            placement: The placement.
            newly_planned: Whether it has just been planned. If so, a stored placement with the same
                counter was planned concurrently from the same state and takes precedence; if
                not, the higher generation does.
        """
        if not self.reachable:
            return SaveResult(SaveOutcome.UNREACHABLE)
        try:
            async with asyncio.timeout(SAVE_TIMEOUT_S):
                return await self._save(placement, newly_planned)
        except TimeoutError:
            self._record_outage("timeout")
        except PlatformError as error:
            self._record_outage(error.code.name)
        return SaveResult(SaveOutcome.UNREACHABLE)

    async def load(self, group: str) -> Placement | None:
        """Returns the placement that the platform holds, or None if there is none.

        Raises:
            PlatformError: The call failed or the stored placement is malformed.
        """
        stored = await self._read(group)
        return None if stored is None else decode_stored(stored)

    async def _save(self, placement: Placement, newly_planned: bool) -> SaveResult:
        for _ in range(MAX_SAVE_ATTEMPTS):
            try:
                await self._write(placement)
                return SaveResult(SaveOutcome.SAVED)
            except PlatformError as error:
                if error.code not in _CONCURRENT_WRITE_CODES:
                    raise
            held = await self.load(placement.group)
            if held is not None and held.generation == placement.generation:
                return SaveResult(SaveOutcome.SAVED)
            if held is not None and _supersedes(
                held.generation, placement.generation, newly_planned
            ):
                return SaveResult(SaveOutcome.SUPERSEDED, held)
        raise PlatformError(Code.PLATFORM_CONFLICT, f"{PLACEMENT_KIND}/{placement.group}")

    async def _write(self, placement: Placement) -> None:
        name = object_name(placement.group, self._zone)
        value = encode_value(placement)
        version = self._versions.get(placement.group)
        if version is None:
            stored = await self._store.create(PLACEMENT_KIND, name, value)
        else:
            stored = await self._store.update(PLACEMENT_KIND, name, value, version)
        self._versions[placement.group] = stored.version

    async def _read(self, group: str) -> StoredObject | None:
        try:
            stored = await self._store.get(PLACEMENT_KIND, object_name(group, self._zone))
        except PlatformError as error:
            if error.code is Code.PLATFORM_NOT_FOUND:
                self._versions.pop(group, None)
                return None
            raise
        self._versions[group] = stored.version
        return stored

    def _record_outage(self, reason: str) -> None:
        self._retry_at = self._clock.now() + OUTAGE_BACKOFF_S
        _log.info("placement_not_saved", zone=self._zone, reason=reason)


def _supersedes(held: Generation, own: Generation, newly_planned: bool) -> bool:
    return held.counter >= own.counter if newly_planned else held > own
