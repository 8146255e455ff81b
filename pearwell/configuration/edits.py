"""Edits: pure functions from the current spec of an object to the desired one."""

from collections.abc import Callable
from dataclasses import replace

from pearwell.configuration.schema import Spec
from pearwell.errors import Code, ConfigurationError
from pearwell.model.group import GroupSpec, TargetIntent, TargetSpec

__all__ = [
    "Edit",
    "create",
    "drain_target",
    "put_target",
    "remove",
    "remove_target",
    "undrain_target",
    "update",
]

# Maps the current spec (None if the object doesn't exist) to the desired one (None to delete it).
Edit = Callable[[Spec | None], Spec | None]


def create(spec: Spec) -> Edit:
    """Returns an edit that creates an object; CONFIG_ALREADY_EXISTS if it exists."""

    def edit(current: Spec | None) -> Spec:
        if current is not None:
            raise ConfigurationError(Code.CONFIG_ALREADY_EXISTS, spec.name)
        return spec

    return edit


def update(spec: Spec) -> Edit:
    """Returns an edit that replaces an object; CONFIG_NOT_FOUND if it doesn't exist."""

    def edit(current: Spec | None) -> Spec:
        _require_existing(current, spec.name)
        return spec

    return edit


def remove(name: str) -> Edit:
    """Returns an edit that deletes an object; CONFIG_NOT_FOUND if it doesn't exist."""

    def edit(current: Spec | None) -> None:
        _require_existing(current, name)

    return edit


def put_target(group: str, target: TargetSpec) -> Edit:
    """Returns an edit that adds a target, or replaces the target of that name in place."""

    def edit(current: Spec | None) -> Spec:
        spec = _require_group(current, group)
        if all(other.name != target.name for other in spec.targets):
            return replace(spec, targets=(*spec.targets, target))
        return _map_target(spec, target.name, lambda _: target)

    return edit


def remove_target(group: str, name: str) -> Edit:
    """Returns an edit that removes a target; CONFIG_NOT_FOUND if the group has no such target."""

    def edit(current: Spec | None) -> Spec:
        spec = _require_group(current, group)
        remaining = tuple(target for target in spec.targets if target.name != name)
        if len(remaining) == len(spec.targets):
            raise ConfigurationError(Code.CONFIG_NOT_FOUND, f"target {name} of group {group}")
        return replace(spec, targets=remaining)

    return edit


def drain_target(group: str, name: str, deadline_s: float) -> Edit:
    """Returns an edit that drains a target.

    The target keeps its flows until they end or the deadline, in seconds, passes.
    """

    def drain(target: TargetSpec) -> TargetSpec:
        return replace(target, intent=TargetIntent.LEAVING, drain_deadline_s=deadline_s)

    return lambda current: _map_target(_require_group(current, group), name, drain)


def undrain_target(group: str, name: str) -> Edit:
    """Returns an edit that returns a draining target to service."""

    def undrain(target: TargetSpec) -> TargetSpec:
        return replace(target, intent=TargetIntent.SERVING, drain_deadline_s=0.0)

    return lambda current: _map_target(_require_group(current, group), name, undrain)


def _require_existing(current: Spec | None, name: str) -> Spec:
    if current is None:
        raise ConfigurationError(Code.CONFIG_NOT_FOUND, name)
    return current


def _require_group(current: Spec | None, name: str) -> GroupSpec:
    spec = _require_existing(current, name)
    if not isinstance(spec, GroupSpec):
        raise ConfigurationError(Code.CONFIG_INVALID, f"{name} is not a group")
    return spec


def _map_target(
    spec: GroupSpec, name: str, change: Callable[[TargetSpec], TargetSpec]
) -> GroupSpec:
    if all(target.name != name for target in spec.targets):
        raise ConfigurationError(Code.CONFIG_NOT_FOUND, f"target {name} of group {spec.name}")
    targets = tuple(change(t) if t.name == name else t for t in spec.targets)
    return replace(spec, targets=targets)
