"""Audit trail: who changed an object, when, what changed, and between which versions."""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pearwell.errors import Code
from pearwell.model.configuration import Kind

__all__ = [
    "MAX_ENTRIES",
    "Action",
    "AuditEntry",
    "AuditRecord",
    "RefusalLog",
    "append_entry",
    "describe_changes",
    "find_entry",
    "records",
]

# Entries kept with each object; also how many changes an idempotency key is remembered for.
MAX_ENTRIES = 64
# Bounds of one entry's description.
MAX_LINES = 12
MAX_LINE_CHARACTERS = 160
# Refused attempts kept by an instance.
MAX_REFUSALS = 1000

_ABSENT = "(none)"


class Action(StrEnum):
    """What a change does."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    PUT_TARGET = "put-target"
    REMOVE_TARGET = "remove-target"
    DRAIN_TARGET = "drain-target"
    UNDRAIN_TARGET = "undrain-target"
    # Changes only the version, so that unfinished writes from an earlier version fail.
    FENCE = "fence"


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One accepted change, stored in the changed object by the same conditional update.

    The version after it isn't stored, since the platform gives it out with the update: it is the
    version before the next entry, or that of the object.

    Attributes:
        key: Idempotency key of the request.
        fingerprint: Hash of the request, which tells a repetition from a reused key.
        action: What the change does.
        actor: Who made it, as the request says.
        identity: Name in the caller's certificate; empty without TLS.
        instance: Instance that wrote it.
        at: Unix time in seconds.
        changes: One line for each changed field.
        version_before: Version before the change; 0 for a new object.
    """

    key: str
    fingerprint: str
    action: Action
    actor: str
    identity: str
    instance: str
    at: float
    changes: tuple[str, ...]
    version_before: int


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """An entry as operators see it.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        entry: The entry.
        version_after: Version that the change made; 0 if it was refused.
        code: OK, or why it was refused.
    """

    kind: Kind
    name: str
    entry: AuditEntry
    version_after: int
    code: Code = Code.OK


class RefusalLog:
    """Keeps the latest refused attempts at one instance, in memory only."""

    def __init__(self, size: int = MAX_REFUSALS) -> None:
        self._records: deque[AuditRecord] = deque(maxlen=size)

    def add(self, record: AuditRecord) -> None:
        """Adds an attempt."""
        self._records.appendleft(record)

    def page(self, start: int, size: int) -> tuple[AuditRecord, ...]:
        """Returns attempts, newest first."""
        return tuple(self._records)[start : start + size]


def append_entry(entries: Sequence[AuditEntry], entry: AuditEntry) -> tuple[AuditEntry, ...]:
    """Returns the entries with one more; the oldest go."""
    return (*entries, entry)[-MAX_ENTRIES:]


def find_entry(entries: Iterable[AuditEntry], key: str) -> AuditEntry | None:
    """Returns the entry with an idempotency key, or None."""
    return next((entry for entry in entries if entry.key == key), None)


def records(
    kind: Kind, name: str, entries: Sequence[AuditEntry], version: int
) -> tuple[AuditRecord, ...]:
    """Returns the entries of an object with the versions after them, newest first.

    Args:
        kind: Kind of the object.
        name: Name of the object.
        entries: Its entries, oldest first.
        version: Its version.
    """
    after = [entry.version_before for entry in entries[1:]] + [version]
    pairs = zip(entries, after, strict=True)
    return tuple(AuditRecord(kind, name, entry, then) for entry, then in pairs)[::-1]


def describe_changes(before: Any, after: Any) -> tuple[str, ...]:
    """Returns one line for each field that differs between two JSON values, bounded in size."""
    lines = [
        f"{path}: {old} -> {new}"[:MAX_LINE_CHARACTERS]
        for path, old, new in _differences(_fields(before), _fields(after))
    ]
    if len(lines) > MAX_LINES:
        left = len(lines) - MAX_LINES + 1
        lines = [*lines[: MAX_LINES - 1], f"and {left} more"]
    return tuple(lines)


def _differences(
    before: Mapping[str, str], after: Mapping[str, str]
) -> Iterator[tuple[str, str, str]]:
    for path in [*before, *(path for path in after if path not in before)]:
        old, new = before.get(path, _ABSENT), after.get(path, _ABSENT)
        if old != new:
            yield path, old, new


def _fields(value: Any) -> dict[str, str]:
    return dict(_flatten("", value))


def _flatten(path: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, Mapping):
        for name, item in value.items():
            yield from _flatten(f"{path}.{name}" if path else str(name), item)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            named = isinstance(item, Mapping) and "name" in item
            yield from _flatten(f"{path}.{item['name'] if named else index}", item)
    elif value is not None:
        yield path, str(value)
