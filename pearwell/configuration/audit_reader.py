"""Paged access to the audit trails of all objects."""

from collections.abc import Sequence
from dataclasses import dataclass

from pearwell.configuration.audit import AuditRecord, RefusalLog, audit_records
from pearwell.configuration.document import Document
from pearwell.configuration.editor import ConfigurationEditor
from pearwell.errors import Code, ConfigurationError
from pearwell.model.configuration import Kind

__all__ = ["AuditPage", "AuditReader"]

# Objects per list request to the platform.
OBJECTS_PER_READ = 20


@dataclass(frozen=True, slots=True)
class AuditPage:
    """A page of audit records; next_token is empty on the last page."""

    records: tuple[AuditRecord, ...]
    next_token: str = ""


@dataclass(frozen=True, slots=True)
class _Position:
    """Start of a page: a kind, the platform's list token, and the number of records to skip."""

    kind: Kind
    token: str = ""
    skip: int = 0

    def encode(self) -> str:
        return f"{self.kind}/{self.token}/{self.skip}"

    @classmethod
    def decode(cls, text: str) -> "_Position":
        try:
            kind, rest = text.split("/", 1)
            token, skip = rest.rsplit("/", 1)
            return cls(Kind(kind), token, int(skip))
        except ValueError as error:
            raise ConfigurationError(Code.CONFIG_INVALID, "page_token is malformed") from error


class AuditReader:
    """Lists audit records.

    Args:
        editor: Reads the objects.
        refusals: Changes that this instance refused.
    """

    def __init__(self, editor: ConfigurationEditor, refusals: RefusalLog) -> None:
        self._editor = editor
        self._refusals = refusals

    async def read_object(self, kind: Kind, name: str) -> AuditPage:
        """Returns the whole audit trail of one object, newest first.

        Raises:
            ConfigurationError: CONFIG_NOT_FOUND if the platform has no such object.
            PlatformError: The platform failed.
        """
        document = await self._editor.read(kind, name)
        if not document.version:
            raise ConfigurationError(Code.CONFIG_NOT_FOUND, f"{kind} {name}")
        return AuditPage(_records(document))

    async def read_all(self, size: int, token: str = "") -> AuditPage:
        """Returns records of all objects by kind and name, newest first within each object.

        Args:
            size: Maximum number of records in the page.
            token: next_token of the previous page.
        """
        start = _Position.decode(token) if token else _Position(Kind.SERVICE)
        chunk = await self._editor.page(start.kind, OBJECTS_PER_READ, start.token)
        available = [record for document in chunk.documents for record in _records(document)]
        page = tuple(available[start.skip : start.skip + size])
        next_position = _next_position(start, len(available), size, chunk.next_token)
        return AuditPage(page, next_position.encode() if next_position else "")

    def read_refused(self, size: int, token: str = "") -> AuditPage:
        """Returns a page of the changes that this instance refused, newest first."""
        start = int(token) if token.isdecimal() else 0
        page = self._refusals.page(start, size)
        return AuditPage(page, str(start + size) if len(page) == size else "")


def _records(document: Document) -> tuple[AuditRecord, ...]:
    return audit_records(document.kind, document.name, document.audit_entries, document.version)


def _next_position(
    start: _Position, available: int, size: int, next_token: str
) -> _Position | None:
    if start.skip + size < available:
        return _Position(start.kind, start.token, start.skip + size)
    if next_token:
        return _Position(start.kind, next_token)
    kinds: Sequence[Kind] = list(Kind)
    later_kinds = kinds[kinds.index(start.kind) + 1 :]
    return _Position(later_kinds[0]) if later_kinds else None
