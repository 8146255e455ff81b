"""Zone status: how far one zone has applied the configuration, for operators in every zone."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import pydantic

from pearwell.agreement.entry_table import EntryTable
from pearwell.configuration.applied import CONFIG_PREFIX
from pearwell.configuration.in_force import ZoneReport
from pearwell.errors import Code, PlatformError
from pearwell.messages.gossip import Entry
from pearwell.object_store import StoredObject

__all__ = [
    "EXPIRY_S",
    "ZONE_STATUS_KIND",
    "StatusReporter",
    "ZoneStatus",
    "decode_status",
    "encode_status",
    "own_report",
]

ZONE_STATUS_KIND = "zonestatus"

# Entries whose holders are asked for at once.
MAX_KEYS_PER_LOOK = 256
# Age at which an unchanged status is written again.
RENEWAL_S = 30.0
# Age at which the status of a zone without instances no longer counts.
EXPIRY_S = 24 * 3600.0


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """How far the members of a zone have applied the configuration.

    Attributes:
        zone: Availability zone.
        members: Number of its members.
        seen: Highest version that reached the zone.
        lagging: Highest version up to which each lagging member holds everything.
        at: Unix time of the report in seconds.
    """

    zone: str
    members: int
    seen: int
    lagging: Mapping[str, int]
    at: float

    @property
    def through(self) -> int:
        """Highest version up to which every member holds everything."""
        return min(self.lagging.values(), default=self.seen)

    def report(self, version: int, now: float) -> ZoneReport:
        """Returns how far the zone has applied a version.

        Args:
            version: The version.
            now: Unix time in seconds.
        """
        lagging = tuple(name for name, through in self.lagging.items() if through < version)
        holding = self.members - len(lagging) if self.seen >= version else 0
        return ZoneReport(self.zone, self.members, holding, lagging, max(0.0, now - self.at))


class _StatusModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", from_attributes=True)

    zone: str
    members: int = pydantic.Field(ge=0)
    seen: int = pydantic.Field(ge=0)
    lagging: dict[str, int]
    at: float


class StatusReporter:
    """Works out the status of the own zone, at the one instance that reports it.

    Args:
        zone: The zone.
        table: The zone's entries, which knows their holders.
    """

    def __init__(self, zone: str, table: EntryTable) -> None:
        self._zone = zone
        self._table = table
        self._active = False
        self._seen = 0
        self._pending: dict[str, int] = {}
        self._written: ZoneStatus | None = None

    @property
    def active(self) -> bool:
        """Whether this instance reports."""
        return self._active

    def take_over(self, last: ZoneStatus | None) -> None:
        """Starts to report.

        Args:
            last: The status in the platform, which says what need not be looked at again.
        """
        self._active = True
        self._written = last
        through = last.through if last else 0
        held = self._table.entries(CONFIG_PREFIX)
        self._seen = max((entry.version.counter for entry in held), default=0)
        self._pending = {e.key: e.version.counter for e in held if e.version.counter > through}

    def stop(self) -> None:
        """Stops reporting, since another instance does."""
        self._active = False
        self._pending.clear()

    def adopted(self, entry: Entry) -> None:
        """Takes note of an adopted entry, until every member holds it."""
        if self._active:
            self._seen = max(self._seen, entry.version.counter)
            self._pending[entry.key] = entry.version.counter

    def look(self, members: Iterable[str], now: float) -> ZoneStatus:
        """Returns the present status.

        Args:
            members: Members of the zone.
            now: Unix time in seconds.
        """
        names = tuple(members)
        lagging: dict[str, int] = {}
        ordered = sorted(self._pending.items(), key=lambda item: item[1])
        for key, version in ordered[:MAX_KEYS_PER_LOOK]:
            without = self._without(key, version, names)
            if not without:
                del self._pending[key]
            for name in without:
                lagging.setdefault(name, version - 1)
        for _, version in ordered[MAX_KEYS_PER_LOOK:][:1]:
            lagging = {name: lagging.get(name, version - 1) for name in names}
        return ZoneStatus(self._zone, len(names), self._seen, lagging, now)

    def is_due(self, status: ZoneStatus) -> bool:
        """Returns whether a status should be written."""
        written = self._written
        if written is None or status.at - written.at >= RENEWAL_S:
            return True
        present = (status.members, status.seen, status.lagging)
        return present != (written.members, written.seen, written.lagging)

    def wrote(self, status: ZoneStatus) -> None:
        """Takes note of the status that the platform holds now."""
        self._written = status

    def _without(self, key: str, version: int, members: Iterable[str]) -> list[str]:
        holders = self._table.holders(key)
        return [name for name in members if name not in holders or holders[name].counter < version]


def own_report(
    zone: str, table: EntryTable, members: Iterable[str], key: str, version: int
) -> ZoneReport:
    """Returns how far the own zone has applied a version of one object.

    Args:
        zone: The zone.
        table: The zone's entries.
        members: Members of the zone.
        key: Key of the object's entry.
        version: The version.
    """
    names = tuple(members)
    holders = table.holders(key)
    lagging = tuple(n for n in names if n not in holders or holders[n].counter < version)
    return ZoneReport(zone, len(names), len(names) - len(lagging), lagging)


def encode_status(status: ZoneStatus) -> dict[str, object]:
    """Returns the JSON value to store."""
    return _StatusModel.model_validate(status).model_dump(mode="json")


def decode_status(stored: StoredObject) -> ZoneStatus:
    """Validates what the platform holds; raises PLATFORM_BAD_ANSWER."""
    try:
        return ZoneStatus(**dict(_StatusModel.model_validate(stored.value)))
    except pydantic.ValidationError as error:
        detail = f"{stored.kind}/{stored.name}: {error.errors()[0]['msg']}"
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, detail) from error
