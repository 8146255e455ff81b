"""Applied configuration of one instance: the highest valid version of each object."""

from dataclasses import dataclass
from typing import Any

import msgspec

from pearwell.configuration.schema import Spec, decode_spec
from pearwell.errors import Code, ConfigurationError, InvariantError
from pearwell.messages.gossip import Entry, EntryVersion
from pearwell.model.configuration import Configuration, Kind
from pearwell.model.group import GroupSpec
from pearwell.model.service import ServiceSpec
from pearwell.object_store import StoredObject

__all__ = [
    "CONFIG_PREFIX",
    "AppliedConfiguration",
    "entry_of",
    "is_tombstone",
    "key_of",
    "tombstone_entry",
]

CONFIG_PREFIX = "config/"

# Payload of an entry whose object was deleted.
_TOMBSTONE_PAYLOAD = b"null"


@dataclass(frozen=True, slots=True)
class _VersionedSpec:
    kind: Kind
    name: str
    version: int
    spec: Spec | None


class AppliedConfiguration:
    """Services and groups by name; a lower version never replaces a higher one."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceSpec] = {}
        self._groups: dict[str, GroupSpec] = {}
        self._versions: dict[tuple[Kind, str], int] = {}

    @property
    def snapshot(self) -> Configuration:
        """An immutable copy of the applied configuration."""
        return Configuration(dict(self._services), dict(self._groups), dict(self._versions))

    def apply(self, entry: Entry) -> bool:
        """Applies an entry if its version is higher than the applied one.

        Args:
            entry: An entry whose key starts with CONFIG_PREFIX.

        Returns:
            Whether it was applied.

        Raises:
            ConfigurationError: The value is invalid in this release; the applied one stays.
            InvariantError: The entry has the applied version but a different value.
        """
        parsed = _parse(entry)
        key = (parsed.kind, parsed.name)
        applied = self._versions.get(key, 0)
        if parsed.version == applied and parsed.spec != self._find(*key):
            detail = f"{parsed.kind} {parsed.name} has two different values at version {applied}"
            raise InvariantError(Code.INVARIANT_VIOLATED, detail)
        if parsed.version <= applied:
            return False
        self._replace(parsed)
        self._versions[key] = parsed.version
        return True

    def _find(self, kind: Kind, name: str) -> Spec | None:
        return self._services.get(name) if kind is Kind.SERVICE else self._groups.get(name)

    def _replace(self, parsed: _VersionedSpec) -> None:
        if isinstance(parsed.spec, ServiceSpec):
            self._services[parsed.name] = parsed.spec
        elif isinstance(parsed.spec, GroupSpec):
            self._groups[parsed.name] = parsed.spec
        elif parsed.kind is Kind.SERVICE:
            self._services.pop(parsed.name, None)
        else:
            self._groups.pop(parsed.name, None)


def key_of(kind: str, name: str) -> str:
    """Returns the key of an object's entry."""
    return f"{CONFIG_PREFIX}{kind}/{name}"


def entry_of(stored: StoredObject) -> Entry:
    """Returns the entry of an object in the platform: its spec as stored, without its audit trail.

    The spec isn't decoded and encoded again, so that instances of different releases send the same
    bytes.

    Raises:
        ConfigurationError: CONFIG_INVALID if the object isn't a configuration object.
    """
    key = key_of(stored.kind, stored.name)
    if not isinstance(stored.value.get("spec", ""), dict | None):
        raise ConfigurationError(Code.CONFIG_INVALID, f"{key} has no spec")
    payload = msgspec.json.encode(stored.value["spec"], order="sorted")
    return Entry(key, EntryVersion(stored.version), payload)


def tombstone_entry(key: str, version: int) -> Entry:
    """Returns the entry of a deleted object."""
    return Entry(key, EntryVersion(version), _TOMBSTONE_PAYLOAD)


def is_tombstone(entry: Entry) -> bool:
    """Returns whether an entry marks its object as deleted."""
    return entry.payload == _TOMBSTONE_PAYLOAD


def _parse(entry: Entry) -> _VersionedSpec:
    try:
        kind_name, _, name = entry.key.removeprefix(CONFIG_PREFIX).partition("/")
        kind = Kind(kind_name)
        value: Any = msgspec.json.decode(entry.payload)
    except (ValueError, msgspec.DecodeError) as error:
        raise ConfigurationError(Code.CONFIG_INVALID, f"{entry.key}: {error}") from error
    spec = None if value is None else decode_spec(kind, value)
    if spec is not None and spec.name != name:
        raise ConfigurationError(Code.CONFIG_INVALID, f"{entry.key} has a spec named {spec.name}")
    return _VersionedSpec(kind, name, entry.version.counter, spec)
