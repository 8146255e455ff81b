"""Configuration: a versioned set of services and groups."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from pearwell.model.group import GroupSpec
from pearwell.model.service import ServiceSpec

__all__ = ["Configuration", "Kind"]


class Kind(StrEnum):
    """Kinds of configuration objects."""

    SERVICE = "service"
    GROUP = "group"


@dataclass(frozen=True, slots=True)
class Configuration:
    """An immutable snapshot of all services and groups.

    Attributes:
        services: Services by name.
        groups: Target groups by name.
        versions: Applied platform version by (kind, name), including deleted objects.
    """

    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    groups: Mapping[str, GroupSpec] = field(default_factory=dict)
    versions: Mapping[tuple[Kind, str], int] = field(default_factory=dict)

    def find(self, kind: Kind, name: str) -> ServiceSpec | GroupSpec | None:
        """Returns a service or group, or None if it doesn't exist."""
        return self.services.get(name) if kind is Kind.SERVICE else self.groups.get(name)
