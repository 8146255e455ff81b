"""Stored form of a configuration object: its spec, or a tombstone, with its audit trail."""

from dataclasses import dataclass
from typing import Any

import pydantic

from pearwell.configuration.audit import Action, AuditEntry
from pearwell.configuration.schema import Spec, decode_spec, encode_spec
from pearwell.errors import Code, PlatformError
from pearwell.model.configuration import Kind
from pearwell.object_store import StoredObject

__all__ = ["Document", "decode_document", "encode_document"]


@dataclass(frozen=True, slots=True)
class Document:
    """A configuration object as stored in the platform.

    A deleted object remains as a tombstone, so that its deletion has a version like any change.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Version in the platform; 0 if the platform has no such object.
        spec: The service or group; None if it doesn't exist or was deleted.
        audit_entries: Audit trail, oldest first.
    """

    kind: Kind
    name: str
    version: int = 0
    spec: Spec | None = None
    audit_entries: tuple[AuditEntry, ...] = ()


class _AuditEntryModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", from_attributes=True)

    key: str
    fingerprint: str
    action: Action
    actor: str
    identity: str
    instance: str
    at: float
    changes: tuple[str, ...]
    version_before: int = pydantic.Field(ge=0)

    def to_entry(self) -> AuditEntry:
        """Converts the model to the data class."""
        return AuditEntry(**dict(self))


class _DocumentModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    spec: dict[str, Any] | None
    audit: tuple[_AuditEntryModel, ...] = ()


def decode_document(stored: StoredObject) -> Document:
    """Decodes and validates a stored object.

    Raises:
        PlatformError: PLATFORM_BAD_ANSWER if the value isn't a configuration object.
        ConfigurationError: The service or group in it is invalid.
    """
    kind = Kind(stored.kind)
    try:
        model = _DocumentModel.model_validate(stored.value)
    except pydantic.ValidationError as error:
        detail = f"{stored.kind}/{stored.name}: {error.errors()[0]['msg']}"
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, detail) from error
    spec = None if model.spec is None else decode_spec(kind, model.spec)
    entries = tuple(entry.to_entry() for entry in model.audit)
    return Document(kind, stored.name, stored.version, spec, entries)


def encode_document(document: Document) -> dict[str, Any]:
    """Returns the JSON value to store, without the version."""
    spec = None if document.spec is None else encode_spec(document.kind, document.spec)
    audit = [
        _AuditEntryModel.model_validate(e).model_dump(mode="json") for e in document.audit_entries
    ]
    return {"spec": spec, "audit": audit}
