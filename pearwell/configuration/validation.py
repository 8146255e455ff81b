"""Checks within a group, and between groups and services."""

from collections import Counter
from collections.abc import Hashable, Iterable

from pearwell.errors import Code, ConfigurationError
from pearwell.model.group import GroupSpec
from pearwell.model.service import ServiceSpec

__all__ = ["check_group", "check_group_unused", "endpoint"]


def endpoint(service: ServiceSpec) -> tuple[str, int, int]:
    """Returns the address, port and protocol number by which packets identify a service."""
    return service.address, service.port, int(service.protocol)


def check_group(group: GroupSpec) -> None:
    """Checks the targets of a group.

    Raises:
        ConfigurationError: CONFIG_EMPTY_GROUP or CONFIG_TARGET_OVERLAP.
    """
    if not group.targets:
        raise ConfigurationError(Code.CONFIG_EMPTY_GROUP, group.name)
    _check_unique(target.name for target in group.targets)
    _check_unique((target.address, target.port) for target in group.targets)


def check_group_unused(name: str, services: Iterable[ServiceSpec]) -> None:
    """Raises CONFIG_GROUP_IN_USE if a service refers to the group."""
    users = sorted(service.name for service in services if service.group == name)
    if users:
        detail = f"group {name} is used by {', '.join(users[:5])}"
        raise ConfigurationError(Code.CONFIG_GROUP_IN_USE, detail)


def _check_unique(values: Iterable[Hashable]) -> None:
    counts = Counter(values)
    repeated = [value for value, count in counts.items() if count > 1]
    if repeated:
        raise ConfigurationError(Code.CONFIG_TARGET_OVERLAP, f"duplicate in group: {repeated[0]}")
