"""Editor: changes configuration objects by conditional updates that include the audit entry."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from pearwell.configuration.audit import (
    Action,
    AuditEntry,
    append_entry,
    describe_changes,
    find_entry,
)
from pearwell.configuration.claims import Claims
from pearwell.configuration.document import Document, decode_document, encode_document
from pearwell.configuration.edits import Edit
from pearwell.configuration.schema import Spec, check_name, encode_spec
from pearwell.configuration.validation import check_group, check_group_unused, endpoint
from pearwell.errors import Code, ConfigurationError, ConflictError, PlatformError
from pearwell.model.configuration import Kind
from pearwell.model.group import GroupSpec
from pearwell.model.service import ServiceSpec
from pearwell.object_store import ObjectStore, StoredObject

__all__ = ["ConfigurationEditor", "DocumentPage", "WriteOutcome", "WriteRequest"]

# Maximum attempts of a change that may be based on any version.
MAX_ATTEMPTS = 8
MAX_PAGE_SIZE = 500
# Time limit of a change: longer than one call with its retries, shorter than the timeout of an
# operator's client.
WRITE_DEADLINE_S = 12.0
# Maximum backoff before the second attempt, after a write conflict or a stale read; it grows with
# each attempt.
CONFLICT_BACKOFF_S = 0.1

_WRITE_CONFLICT_CODES = frozenset(
    {Code.PLATFORM_CONFLICT, Code.PLATFORM_ALREADY_EXISTS, Code.PLATFORM_NOT_FOUND}
)


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """One change requested by an operator.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        action: Type of the change.
        key: Idempotency key, unique to the change.
        fingerprint: Hash of the request.
        actor: Author of the change as named in the request.
        identity: Common name in the caller's certificate; empty without TLS.
        expected_version: Version that the change is based on; None for any.
    """

    kind: Kind
    name: str
    action: Action
    key: str
    fingerprint: str
    actor: str
    identity: str = ""
    expected_version: int | None = None


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Outcome of an accepted change.

    Attributes:
        document: The object as it is now.
        version: Version of the object after the change.
        repeated: Whether an earlier request with the same key made the change.
    """

    document: Document
    version: int
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class DocumentPage:
    """A page of objects of a kind in order of name, tombstones included."""

    documents: tuple[Document, ...]
    next_token: str


class ConfigurationEditor:
    """Reads and changes the configuration in the platform.

    Args:
        store: The platform, with retries.
        rng: Source of jitter.
        instance: Id of the local instance, for the audit trail.
        wall_time: Returns Unix time in seconds.
    """

    def __init__(
        self,
        store: ObjectStore,
        rng: random.Random,
        instance: str,
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._rng = rng
        self._instance = instance
        self._wall_time = wall_time
        self._claims = Claims(store, rng, self)

    def wall_time(self) -> float:
        """Returns the Unix time in seconds that the audit trail uses."""
        return self._wall_time()

    async def read(self, kind: Kind, name: str) -> Document:
        """Returns an object; its version is 0 if the platform has no such object.

        Raises:
            PlatformError: The platform failed.
        """
        try:
            return decode_document(await self._store.get(kind, name))
        except PlatformError as error:
            if error.code is Code.PLATFORM_NOT_FOUND:
                return Document(kind, name)
            raise

    async def page(self, kind: Kind, size: int, token: str = "") -> DocumentPage:
        """Returns a page of at most MAX_PAGE_SIZE objects of a kind."""
        listed = await self._store.list(kind, limit=min(size, MAX_PAGE_SIZE), token=token)
        return DocumentPage(tuple(map(decode_document, listed.items)), listed.next_token)

    async def write(self, request: WriteRequest, edit: Edit) -> WriteOutcome:
        """Makes a change, at most once for each idempotency key.

        Args:
            request: Identifies the object, the change, its author and its base version.
            edit: Maps the current spec to the desired one.

        Returns:
            The outcome; the first outcome if the key was used before.

        Raises:
            ConfigurationError: The change is refused.
            ConflictError: CONFIG_CONFLICT if another change came first.
            PlatformError: The platform failed. The change may have been made; a retry with the
                same key determines whether it was.
        """
        _check_request(request)
        try:
            async with asyncio.timeout(WRITE_DEADLINE_S):
                return await self._write(request, edit)
        except TimeoutError as error:
            raise PlatformError(Code.PLATFORM_TIMEOUT, "the change timed out") from error

    async def uses_address(self, holder: str, service: ServiceSpec) -> bool:
        """Returns whether a service uses the address, port and transport of another service."""
        return _uses_address(await self.read(Kind.SERVICE, holder), service)

    async def fence(self, holder: str, service: ServiceSpec) -> bool:
        """Raises the version of a service in the platform unless it uses the address.

        Returns:
            True if the service uses the address.
        """
        for _ in range(MAX_ATTEMPTS):
            document = await self.read(Kind.SERVICE, holder)
            if _uses_address(document, service):
                return True
            key = f"fence-{holder}-{document.version}"
            request = WriteRequest(Kind.SERVICE, holder, Action.FENCE, key, "", "pearwell")
            changed = self._changed_document(request, document, document.spec)
            if await self._put(document, changed) is not None:
                return False
        raise ConflictError(Code.CONFIG_CONFLICT, f"service {holder} was changed in every attempt")

    async def _write(self, request: WriteRequest, edit: Edit) -> WriteOutcome:
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(self._rng.uniform(0, CONFLICT_BACKOFF_S * attempt))
            document = await self.read(request.kind, request.name)
            previous_entry = find_entry(document.audit_entries, request.key)
            if previous_entry is not None:
                return _repeated_outcome(request, document, previous_entry)
            if _is_stale(request, document):
                continue
            _check_version(request, document)
            changed = self._changed_document(request, document, edit(document.spec))
            stored = await self._try_write(request, document, changed)
            if stored is not None:
                return WriteOutcome(replace(changed, version=stored.version), stored.version)
        raise ConflictError(Code.CONFIG_CONFLICT, f"{request.name} was changed in every attempt")

    async def _try_write(
        self, request: WriteRequest, document: Document, changed: Document
    ) -> StoredObject | None:
        await self._validate_spec(changed)
        if not isinstance(document.spec, ServiceSpec):
            await self._acquire_claim(request, changed)
            return await self._put(document, changed)
        if _uses_address(changed, document.spec):
            return await self._put(document, changed)
        freed_claim = await self._claims.find(document.spec)
        await self._acquire_claim(request, changed)
        stored = await self._put(document, changed)
        if stored is not None and freed_claim is not None:
            await self._claims.release(freed_claim)
        return stored

    async def _validate_spec(self, changed: Document) -> None:
        # Validates the desired spec against other objects in the platform.
        if isinstance(changed.spec, GroupSpec):
            check_group(changed.spec)
        elif isinstance(changed.spec, ServiceSpec):
            group = await self.read(Kind.GROUP, changed.spec.group)
            if group.spec is None:
                raise ConfigurationError(Code.CONFIG_UNKNOWN_GROUP, changed.spec.group)
        elif changed.kind is Kind.GROUP:
            check_group_unused(changed.name, await self._services())

    async def _acquire_claim(self, request: WriteRequest, changed: Document) -> None:
        if isinstance(changed.spec, ServiceSpec):
            await self._claims.acquire(changed.spec, request.key)

    async def _services(self) -> Sequence[ServiceSpec]:
        documents = map(decode_document, (await self._store.list(Kind.SERVICE)).items)
        return [d.spec for d in documents if isinstance(d.spec, ServiceSpec)]

    async def _put(self, document: Document, changed: Document) -> StoredObject | None:
        # Returns None if another change, or an earlier attempt of this one, was written first.
        value = encode_document(changed)
        kind, name, version = document.kind, document.name, document.version
        try:
            if version == 0:
                return await self._store.create(kind, name, value)
            return await self._store.update(kind, name, value, version)
        except PlatformError as error:
            if error.code in _WRITE_CONFLICT_CODES:
                return None
            raise

    def _changed_document(
        self, request: WriteRequest, document: Document, spec: Spec | None
    ) -> Document:
        entry = AuditEntry(
            key=request.key,
            fingerprint=request.fingerprint,
            action=request.action,
            actor=request.actor,
            identity=request.identity,
            instance=self._instance,
            at=self._wall_time(),
            changes=describe_changes(
                _spec_to_json(document.kind, document.spec), _spec_to_json(request.kind, spec)
            ),
            version_before=document.version,
        )
        return replace(
            document, spec=spec, audit_entries=append_entry(document.audit_entries, entry)
        )


def _spec_to_json(kind: Kind, spec: Spec | None) -> object:
    return {} if spec is None else encode_spec(kind, spec)


def _uses_address(document: Document, service: ServiceSpec) -> bool:
    spec = document.spec
    return isinstance(spec, ServiceSpec) and endpoint(spec) == endpoint(service)


def _check_request(request: WriteRequest) -> None:
    for field, value in (("idempotency_key", request.key), ("actor", request.actor)):
        if not 0 < len(value) <= 128:
            raise ConfigurationError(Code.CONFIG_INVALID, f"{field}: must have 1 to 128 characters")
    try:
        check_name(request.name)
    except ValueError as error:
        raise ConfigurationError(Code.CONFIG_BAD_NAME, f"{request.name!r} {error}") from error


def _is_stale(request: WriteRequest, document: Document) -> bool:
    # Versions only rise, so a lower one than the caller has seen comes from a stale read.
    return document.version < (request.expected_version or 0)


def _check_version(request: WriteRequest, document: Document) -> None:
    expected = request.expected_version
    current_version = document.version if document.spec is not None else 0
    if expected is not None and expected != current_version and request.action is not Action.CREATE:
        detail = f"{request.kind} {request.name} has version {current_version}, not {expected}"
        code = Code.CONFIG_CONFLICT if current_version else Code.CONFIG_NOT_FOUND
        raise ConflictError(code, detail)


def _repeated_outcome(request: WriteRequest, document: Document, entry: AuditEntry) -> WriteOutcome:
    if entry.fingerprint != request.fingerprint:
        raise ConfigurationError(Code.CONFIG_KEY_REUSED, request.key)
    later_entries = document.audit_entries[document.audit_entries.index(entry) + 1 :]
    version = later_entries[0].version_before if later_entries else document.version
    return WriteOutcome(document, version, repeated=True)
