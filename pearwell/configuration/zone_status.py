"""Zone status: progress of one zone in applying the configuration, readable from every zone."""

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
    "STATUS_EXPIRY_S",
    "ZONE_STATUS_KIND",
    "StatusReporter",
    "ZoneStatus",
    "decode_status",
    "encode_status",
    "local_zone_report",
]

ZONE_STATUS_KIND = "zonestatus"

# Maximum number of entries whose holders are looked up for one status.
MAX_KEYS_PER_STATUS = 256
# Age at which an unchanged status is written again.
STATUS_RENEWAL_S = 30.0
# Age at which a status is ignored, since its zone has no instances any more.
STATUS_EXPIRY_S = 24 * 3600.0


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """Progress of the members of a zone in applying the configuration.

    Attributes:
        zone: Availability zone.
        members: Number of members of the zone.
        seen: Highest version that reached the zone.
        lagging: For each lagging member, the version up to which it holds every change.
        at: Unix time of the report in seconds.
    """

    zone: str
    members: int
    seen: int
    lagging: Mapping[str, int]
    at: float

    @property
    def held_through(self) -> int:
        """Version up to which every member holds every change."""
        return min(self.lagging.values(), default=self.seen)

    def report(self, version: int, now: float) -> ZoneReport:
        """Returns the zone's progress in applying a version.

        Args:
            version: The version.
            now: Unix time in seconds.
        """
        lagging = tuple(
            name for name, held_through in self.lagging.items() if held_through < version
        )
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
    """Computes the status of the local zone on the one instance that reports it.

    Args:
        zone: The local zone.
        table: The zone's entries and their holders.
    """

    def __init__(self, zone: str, table: EntryTable) -> None:
        self._zone = zone
        self._table = table
        self._active = False
        self._seen = 0
        self._pending: dict[str, int] = {}
        self._last_written: ZoneStatus | None = None

    @property
    def active(self) -> bool:
        """Whether this instance reports."""
        return self._active

    def start(self, last: ZoneStatus | None) -> None:
        """Starts reporting.

        Args:
            last: The status in the platform, up to which no entry needs to be checked again.
        """
        self._active = True
        self._last_written = last
        held_through = last.held_through if last else 0
        entries = self._table.entries(CONFIG_PREFIX)
        self._seen = max((entry.version.counter for entry in entries), default=0)
        self._pending = {
            e.key: e.version.counter for e in entries if e.version.counter > held_through
        }

    def stop(self) -> None:
        """Stops reporting because another instance now reports."""
        self._active = False
        self._pending.clear()

    def track(self, entry: Entry) -> None:
        """Tracks an adopted entry until every member holds it."""
        if self._active:
            self._seen = max(self._seen, entry.version.counter)
            self._pending[entry.key] = entry.version.counter

    def compute_status(self, members: Iterable[str], now: float) -> ZoneStatus:
        """Returns the current status.

        Args:
            members: Members of the zone.
            now: Unix time in seconds.
        """
        names = tuple(members)
        lagging: dict[str, int] = {}
        ordered = sorted(self._pending.items(), key=lambda item: item[1])
        for key, version in ordered[:MAX_KEYS_PER_STATUS]:
            lagging_members = self._members_without(key, version, names)
            if not lagging_members:
                del self._pending[key]
            for name in lagging_members:
                lagging.setdefault(name, version - 1)
        for _, version in ordered[MAX_KEYS_PER_STATUS:][:1]:
            lagging = {name: lagging.get(name, version - 1) for name in names}
        return ZoneStatus(self._zone, len(names), self._seen, lagging, now)

    def is_due(self, status: ZoneStatus) -> bool:
        """Returns whether a status has changed or is due for renewal."""
        last_written = self._last_written
        if last_written is None or status.at - last_written.at >= STATUS_RENEWAL_S:
            return True
        current = (status.members, status.seen, status.lagging)
        return current != (last_written.members, last_written.seen, last_written.lagging)

    def record_written(self, status: ZoneStatus) -> None:
        """Records the status that was written to the platform."""
        self._last_written = status

    def _members_without(self, key: str, version: int, members: Iterable[str]) -> list[str]:
        holders = self._table.holders(key)
        return [name for name in members if name not in holders or holders[name].counter < version]


def local_zone_report(
    zone: str, table: EntryTable, members: Iterable[str], key: str, version: int
) -> ZoneReport:
    """Returns the local zone's progress in applying a version of one object.

    Args:
        zone: The local zone.
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
    """Decodes and validates a stored status; raises PLATFORM_BAD_ANSWER if it is invalid."""
    try:
        return ZoneStatus(**dict(_StatusModel.model_validate(stored.value)))
    except pydantic.ValidationError as error:
        detail = f"{stored.kind}/{stored.name}: {error.errors()[0]['msg']}"
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, detail) from error
