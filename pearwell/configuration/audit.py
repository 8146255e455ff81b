"""Audit trail of an object: who changed which fields when, and between which versions."""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pearwell.errors import Code
from pearwell.model.configuration import Kind

__all__ = [
    "MAX_AUDIT_ENTRIES",
    "Action",
    "AuditEntry",
    "AuditRecord",
    "RefusalLog",
    "append_entry",
    "audit_records",
    "describe_changes",
    "find_entry",
]

# Entries kept with each object. Also the number of later changes for which an idempotency key is
# recognized.
MAX_AUDIT_ENTRIES = 64
# Size limits of the description in one entry.
MAX_CHANGE_LINES = 12
MAX_CHANGE_LINE_CHARACTERS = 160
# Refused changes kept by an instance.
MAX_REFUSALS = 1000

_ABSENT = "(none)"


class Action(StrEnum):
    """Type of a change."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    PUT_TARGET = "put-target"
    REMOVE_TARGET = "remove-target"
    DRAIN_TARGET = "drain-target"
    UNDRAIN_TARGET = "undrain-target"
    # Raises only the version, so that unfinished writes based on an earlier version fail.
    FENCE = "fence"


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One accepted change, stored in the changed object by the same conditional update.

    The version after the change isn't stored, since the platform assigns it in that update. It
    equals version_before of the next entry, or the object's version after the last entry.

    Attributes:
        key: Idempotency key of the request.
        fingerprint: Hash of the request, which distinguishes a retry from a reused key.
        action: Type of the change.
        actor: Author of the change as named in the request.
        identity: Common name in the caller's certificate; empty without TLS.
        instance: Instance that wrote the change.
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
    """An audit entry as the admin API returns it.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        entry: The entry.
        version_after: Version of the object after the change; 0 if the change was refused.
        code: OK, or the reason for the refusal.
    """

    kind: Kind
    name: str
    entry: AuditEntry
    version_after: int
    code: Code = Code.OK


class RefusalLog:
    """The latest changes that this instance refused, kept in memory only."""

    def __init__(self, size: int = MAX_REFUSALS) -> None:
        self._records: deque[AuditRecord] = deque(maxlen=size)

    def add(self, record: AuditRecord) -> None:
        """Adds a refused change."""
        self._records.appendleft(record)

    def page(self, start: int, size: int) -> tuple[AuditRecord, ...]:
        """Returns a page of refused changes, newest first."""
        return tuple(self._records)[start : start + size]


def append_entry(entries: Sequence[AuditEntry], entry: AuditEntry) -> tuple[AuditEntry, ...]:
    """Returns the entries with one more; drops the oldest beyond MAX_AUDIT_ENTRIES."""
    return (*entries, entry)[-MAX_AUDIT_ENTRIES:]


def find_entry(entries: Iterable[AuditEntry], key: str) -> AuditEntry | None:
    """Returns the entry with the idempotency key, or None."""
    return next((entry for entry in entries if entry.key == key), None)


def audit_records(
    kind: Kind, name: str, entries: Sequence[AuditEntry], version: int
) -> tuple[AuditRecord, ...]:
    """Returns the audit records of an object, newest first.

    Args:
        kind: Kind of the object.
        name: Name of the object.
        entries: Audit entries of the object, oldest first.
        version: Current version of the object.
    """
    versions_after = [entry.version_before for entry in entries[1:]] + [version]
    pairs = zip(entries, versions_after, strict=True)
    return tuple(AuditRecord(kind, name, entry, after) for entry, after in pairs)[::-1]


def describe_changes(before: Any, after: Any) -> tuple[str, ...]:
    """Returns one line for each field that differs between two JSON values, limited in size."""
    lines = [
        f"{path}: {old} -> {new}"[:MAX_CHANGE_LINE_CHARACTERS]
        for path, old, new in _differences(_fields(before), _fields(after))
    ]
    if len(lines) > MAX_CHANGE_LINES:
        omitted = len(lines) - MAX_CHANGE_LINES + 1
        lines = [*lines[: MAX_CHANGE_LINES - 1], f"and {omitted} more"]
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
            has_name = isinstance(item, Mapping) and "name" in item
            yield from _flatten(f"{path}.{item['name'] if has_name else index}", item)
    elif value is not None:
        yield path, str(value)
