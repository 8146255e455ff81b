"""Placement changes as pure functions: prepare, activate, release and fail."""

from collections.abc import Iterable

import msgspec

from pearwell.model.placement import Generation, Phase, PlacedTarget, Placement, TargetState
from pearwell.placement.table import assign, table_size

__all__ = ["activate", "fail", "initial", "prepare", "release"]

_Table = tuple[int, ...]


def initial(
    group: str,
    zone: str,
    targets: tuple[PlacedTarget, ...],
    seed: int,
    generation: Generation,
) -> Placement:
    """Returns the first placement of a group, with every bucket stable.

    Args:
        group: Name of the group.
        zone: Availability zone.
        targets: Targets of the group in any order; at least one.
        seed: Seed of the flow hash.
        generation: Generation of the new placement.

    Raises:
        ValueError: The list of targets is empty.
    """
    ordered = tuple(sorted(targets, key=lambda target: target.name))
    if not ordered:
        raise ValueError(f"group {group!r} has no targets")
    weights = _eligible_weights(ordered) or {target.name: 1 for target in ordered}
    names = assign(weights, table_size(len(ordered)))
    table = _target_indices(names, ordered)
    return Placement(
        group, zone, generation, Phase.STABLE, ordered, table, table, table, seed
    )  # fmt: skip


def prepare(
    placement: Placement, targets: tuple[PlacedTarget, ...], generation: Generation
) -> Placement:
    """Computes the upcoming table for the desired targets.

    Known targets keep their index. A known target that is no longer desired is marked as
    leaving; a new target that can't take flows isn't added. Buckets whose new flows go to a dead
    target move immediately. If no table changes, the result differs only in its generation and
    target details.

    Args:
        placement: The latest placement, in any phase.
        targets: All desired targets with their weights and states, in any order.
        generation: Generation of the new placement.
    """
    merged = _merge_targets(placement.targets, targets)
    extended = _extend_tables(msgspec.structs.replace(placement, targets=merged))
    weights = _eligible_weights(merged)
    if not weights:
        return _with_tables(extended, generation)
    previous = tuple(merged[index].name for index in extended.current)
    upcoming = _target_indices(assign(weights, len(previous), previous), merged)
    current = tuple(
        new if merged[old].state is TargetState.DEAD else old
        for old, new in zip(extended.current, upcoming, strict=True)
    )
    return _with_tables(extended, generation, current=current, upcoming=upcoming)


def activate(placement: Placement, generation: Generation) -> Placement:
    """Makes the upcoming table the current one, which assigns new flows."""
    return _with_tables(placement, generation, current=placement.upcoming)


def release(placement: Placement, buckets: Iterable[int], generation: Generation) -> Placement:
    """Makes the current target the base of buckets whose flows are all on that target.

    The buckets must have been confirmed clear for the placement's current table: callers ignore a
    BucketsClear of an older generation, as the bucket's owner sends it again. Once every bucket
    is stable, targets that no bucket uses and that take no new flows are dropped.

    Args:
        placement: The latest placement.
        buckets: Buckets to release.
        generation: Generation of the new placement.
    """
    clear_buckets = frozenset(buckets)
    base = tuple(
        placement.current[bucket] if bucket in clear_buckets else index
        for bucket, index in enumerate(placement.base)
    )
    kept = msgspec.structs.replace(placement, returned=placement.returned - clear_buckets)
    return _drop_unused_targets(_with_tables(kept, generation, base=base))


def fail(placement: Placement, target_name: str, generation: Generation) -> Placement:
    """Marks a target as dead and immediately assigns its new flows to other targets.

    The dead target stays the base of its buckets until they are released, so that their owners
    can refuse its existing flows.

    Args:
        placement: The latest placement.
        target_name: Name of the dead target; an unknown name leaves the tables unchanged.
        generation: Generation of the new placement.
    """
    targets = tuple(
        (
            msgspec.structs.replace(target, state=TargetState.DEAD)
            if target.name == target_name
            else target
        )
        for target in placement.targets
    )
    weights = _eligible_weights(targets)
    marked = msgspec.structs.replace(placement, targets=targets)
    if not weights:
        return _with_tables(marked, generation)
    names = tuple(targets[index].name for index in placement.upcoming)
    moved = _target_indices(assign(weights, len(names), names), targets)
    upcoming = _replace_target(target_name, placement.upcoming, moved, targets)
    current = _replace_target(target_name, placement.current, upcoming, targets)
    return _with_tables(marked, generation, current=current, upcoming=upcoming)


def _eligible_weights(targets: tuple[PlacedTarget, ...]) -> dict[str, int]:
    """Returns the weights of targets that can take new flows; suspect ones only as a fallback."""
    for state in (TargetState.WORKING, TargetState.SUSPECT):
        weights = {t.name: t.weight for t in targets if t.weight > 0 and t.state is state}
        if weights:
            return weights
    return {}


def _merge_targets(
    known: tuple[PlacedTarget, ...], desired: tuple[PlacedTarget, ...]
) -> tuple[PlacedTarget, ...]:
    """Updates known targets, keeping their indices, and appends new ones in order of name."""
    by_name = {target.name: target for target in desired}
    kept = [
        by_name.pop(target.name) if target.name in by_name else _mark_leaving(target)
        for target in known
    ]
    added = sorted(by_name.values(), key=lambda target: target.name)
    eligible = _eligible_weights((*kept, *added))
    return (*kept, *(target for target in added if target.name in eligible))


def _mark_leaving(target: PlacedTarget) -> PlacedTarget:
    if target.state is TargetState.DEAD:
        return target
    return msgspec.structs.replace(target, weight=0, state=TargetState.LEAVING)


def _extend_tables(placement: Placement) -> Placement:
    """Repeats the tables up to the size needed; every flow keeps its target."""
    weighted = sum(1 for target in placement.targets if target.weight > 0)
    size = len(placement.current)
    copies = max(table_size(weighted) // size, 1)
    return msgspec.structs.replace(
        placement,
        base=placement.base * copies,
        current=placement.current * copies,
        upcoming=placement.upcoming * copies,
        returned=frozenset(b + size * copy for b in placement.returned for copy in range(copies)),
    )


def _target_indices(names: Iterable[str], targets: tuple[PlacedTarget, ...]) -> _Table:
    index = {target.name: position for position, target in enumerate(targets)}
    return tuple(index[name] for name in names)


def _replace_target(
    name: str, table: _Table, replacement: _Table, targets: tuple[PlacedTarget, ...]
) -> _Table:
    """Returns a table in which the entries of one target are replaced."""
    return tuple(
        new if targets[old].name == name else old
        for old, new in zip(table, replacement, strict=True)
    )


def _drop_unused_targets(placement: Placement) -> Placement:
    """Drops unused targets from a placement once all its buckets are stable."""
    if placement.phase is not Phase.STABLE:
        return placement
    used = set(placement.current)
    eligible = _eligible_weights(placement.targets)
    kept = tuple(
        target
        for index, target in enumerate(placement.targets)
        if index in used or target.name in eligible
    )
    names = (placement.targets[index].name for index in placement.current)
    table = _target_indices(names, kept)
    return msgspec.structs.replace(
        placement, targets=kept, base=table, current=table, upcoming=table
    )


def _with_tables(
    placement: Placement,
    generation: Generation,
    base: _Table | None = None,
    current: _Table | None = None,
    upcoming: _Table | None = None,
) -> Placement:
    """Returns a placement with the given tables and the resulting phase."""
    changed = msgspec.structs.replace(
        placement,
        generation=generation,
        base=placement.base if base is None else base,
        current=placement.current if current is None else current,
        upcoming=placement.upcoming if upcoming is None else upcoming,
    )
    if base is None:
        changed = msgspec.structs.replace(changed, returned=_returned_buckets(placement, changed))
    return msgspec.structs.replace(changed, phase=_phase(changed))


def _returned_buckets(before: Placement, after: Placement) -> frozenset[int]:
    """Returns buckets that were split and whose new flows go to the base target again.

    They may still have flows on another target, so they aren't stable until they are released.
    """
    split = {b for b, index in enumerate(before.base) if index != before.current[b]}
    candidates = split | before.returned
    return frozenset(b for b in candidates if after.base[b] == after.current[b])


def _phase(placement: Placement) -> Phase:
    if placement.upcoming != placement.current:
        return Phase.PREPARED
    if placement.base != placement.current or placement.returned:
        return Phase.ACTIVE
    return Phase.STABLE
