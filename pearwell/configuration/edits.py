"""Edits: pure functions from the present value of an object to the wanted one."""

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

# Takes the present value, None if there is none, and returns the wanted one, None to delete.
Edit = Callable[[Spec | None], Spec | None]


def create(spec: Spec) -> Edit:
    """Makes an object; CONFIG_ALREADY_EXISTS if there is one."""

    def edit(present: Spec | None) -> Spec:
        if present is not None:
            raise ConfigurationError(Code.CONFIG_ALREADY_EXISTS, spec.name)
        return spec

    return edit


def update(spec: Spec) -> Edit:
    """Replaces an object; CONFIG_NOT_FOUND if there is none."""

    def edit(present: Spec | None) -> Spec:
        _existing(present, spec.name)
        return spec

    return edit


def remove(name: str) -> Edit:
    """Deletes an object; CONFIG_NOT_FOUND if there is none."""

    def edit(present: Spec | None) -> None:
        _existing(present, name)

    return edit


def put_target(group: str, target: TargetSpec) -> Edit:
    """Adds a target to a group, or replaces the one of its name in place."""

    def edit(present: Spec | None) -> Spec:
        spec = _group(present, group)
        if all(other.name != target.name for other in spec.targets):
            return replace(spec, targets=(*spec.targets, target))
        return _map_target(spec, target.name, lambda _: target)

    return edit


def remove_target(group: str, name: str) -> Edit:
    """Takes a target out of a group; CONFIG_NOT_FOUND if it has none of that name."""

    def edit(present: Spec | None) -> Spec:
        spec = _group(present, group)
        left = tuple(target for target in spec.targets if target.name != name)
        if len(left) == len(spec.targets):
            raise ConfigurationError(Code.CONFIG_NOT_FOUND, f"target {name} of group {group}")
        return replace(spec, targets=left)

    return edit


def drain_target(group: str, name: str, deadline_s: float) -> Edit:
    """Makes a target leave; it keeps its flows until they end or the deadline in seconds."""

    def drained(target: TargetSpec) -> TargetSpec:
        return replace(target, intent=TargetIntent.LEAVING, drain_deadline_s=deadline_s)

    return lambda present: _map_target(_group(present, group), name, drained)


def undrain_target(group: str, name: str) -> Edit:
    """Makes a leaving target serve again."""

    def serving(target: TargetSpec) -> TargetSpec:
        return replace(target, intent=TargetIntent.SERVING, drain_deadline_s=0.0)

    return lambda present: _map_target(_group(present, group), name, serving)


def _existing(present: Spec | None, name: str) -> Spec:
    if present is None:
        raise ConfigurationError(Code.CONFIG_NOT_FOUND, name)
    return present


def _group(present: Spec | None, name: str) -> GroupSpec:
    spec = _existing(present, name)
    if not isinstance(spec, GroupSpec):
        raise ConfigurationError(Code.CONFIG_INVALID, f"{name} is no group")
    return spec


def _map_target(
    spec: GroupSpec, name: str, change: Callable[[TargetSpec], TargetSpec]
) -> GroupSpec:
    if all(target.name != name for target in spec.targets):
        raise ConfigurationError(Code.CONFIG_NOT_FOUND, f"target {name} of group {spec.name}")
    targets = tuple(change(t) if t.name == name else t for t in spec.targets)
    return replace(spec, targets=targets)
