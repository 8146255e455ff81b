"""Changes of placement as pure functions: prepare, activate, release and fail."""

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
        targets: Its targets in any order; at least one.
        seed: Seed of the flow hash.
        generation: Generation of the new placement.

    Raises:
        ValueError: There is no target.
    """
    ordered = tuple(sorted(targets, key=lambda target: target.name))
    if not ordered:
        raise ValueError(f"group {group!r} has no targets")
    weights = _weights(ordered) or {target.name: 1 for target in ordered}
    names = assign(weights, table_size(len(ordered)))
    table = _indices(names, ordered)
    return Placement(
        group, zone, generation, Phase.STABLE, ordered, table, table, table, seed
    )  # fmt: skip


def prepare(
    placement: Placement, targets: tuple[PlacedTarget, ...], generation: Generation
) -> Placement:
    """Computes the upcoming table for the wanted targets.

    Known targets keep their index. A known target that isn't wanted any more becomes leaving; a
    new one that may take no flows isn't added. Buckets whose new flows go to a dead target move
    at once. If no table changes, the result differs by generation and target details only.

    Args:
        placement: The placement so far, in any phase.
        targets: All wanted targets with their weights and states, in any order.
        generation: Generation of the new placement.
    """
    merged = _merge(placement.targets, targets)
    grown = _grow(msgspec.structs.replace(placement, targets=merged))
    weights = _weights(merged)
    if not weights:
        return _replace(grown, generation)
    previous = tuple(merged[index].name for index in grown.current)
    upcoming = _indices(assign(weights, len(previous), previous), merged)
    current = tuple(
        new if merged[old].state is TargetState.DEAD else old
        for old, new in zip(grown.current, upcoming, strict=True)
    )
    return _replace(grown, generation, current=current, upcoming=upcoming)


def activate(placement: Placement, generation: Generation) -> Placement:
    """Puts the upcoming table into force for new flows."""
    return _replace(placement, generation, current=placement.upcoming)


def release(placement: Placement, buckets: Iterable[int], generation: Generation) -> Placement:
    """Makes the current target the base of buckets proven to have no flow elsewhere.

    The proof must be for the placement's current table: a BucketsClear of an older generation
    is to be ignored, the owner repeats it. Once every bucket is stable, targets that no bucket
    uses and that take no new flows are dropped.

    Args:
        placement: The placement so far.
        buckets: Buckets to release.
        generation: Generation of the new placement.
    """
    clear = frozenset(buckets)
    base = tuple(
        placement.current[bucket] if bucket in clear else index
        for bucket, index in enumerate(placement.base)
    )
    kept = msgspec.structs.replace(placement, returned=placement.returned - clear)
    return _compact(_replace(kept, generation, base=base))


def fail(placement: Placement, target_name: str, generation: Generation) -> Placement:
    """Marks a target dead and moves its new flows at once.

    Its buckets keep it as base for the owner to refuse its flows, until they are released.

    Args:
        placement: The placement so far.
        target_name: The dead target; without effect on the tables if unknown.
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
    weights = _weights(targets)
    marked = msgspec.structs.replace(placement, targets=targets)
    if not weights:
        return _replace(marked, generation)
    names = tuple(targets[index].name for index in placement.upcoming)
    moved = _indices(assign(weights, len(names), names), targets)
    upcoming = _without(target_name, placement.upcoming, moved, targets)
    current = _without(target_name, placement.current, upcoming, targets)
    return _replace(marked, generation, current=current, upcoming=upcoming)


def _weights(targets: tuple[PlacedTarget, ...]) -> dict[str, int]:
    """Returns the weights of targets that may take new flows; suspect ones if no other may."""
    for state in (TargetState.WORKING, TargetState.SUSPECT):
        weights = {t.name: t.weight for t in targets if t.weight > 0 and t.state is state}
        if weights:
            return weights
    return {}


def _merge(
    known: tuple[PlacedTarget, ...], wanted: tuple[PlacedTarget, ...]
) -> tuple[PlacedTarget, ...]:
    """Updates known targets in place and appends new ones in order of name."""
    by_name = {target.name: target for target in wanted}
    kept = [
        by_name.pop(target.name) if target.name in by_name else _leaving(target) for target in known
    ]
    added = sorted(by_name.values(), key=lambda target: target.name)
    taking = _weights((*kept, *added))
    return (*kept, *(target for target in added if target.name in taking))


def _leaving(target: PlacedTarget) -> PlacedTarget:
    if target.state is TargetState.DEAD:
        return target
    return msgspec.structs.replace(target, weight=0, state=TargetState.LEAVING)


def _grow(placement: Placement) -> Placement:
    """Repeats the tables until they are large enough; every flow keeps its target."""
    working = sum(1 for target in placement.targets if target.weight > 0)
    size = len(placement.current)
    copies = max(table_size(working) // size, 1)
    return msgspec.structs.replace(
        placement,
        base=placement.base * copies,
        current=placement.current * copies,
        upcoming=placement.upcoming * copies,
        returned=frozenset(b + size * copy for b in placement.returned for copy in range(copies)),
    )


def _indices(names: Iterable[str], targets: tuple[PlacedTarget, ...]) -> _Table:
    index = {target.name: position for position, target in enumerate(targets)}
    return tuple(index[name] for name in names)


def _without(
    name: str, table: _Table, replacement: _Table, targets: tuple[PlacedTarget, ...]
) -> _Table:
    """Replaces the entries of one target."""
    return tuple(
        new if targets[old].name == name else old
        for old, new in zip(table, replacement, strict=True)
    )


def _compact(placement: Placement) -> Placement:
    """Drops unused targets from a placement whose buckets are all stable."""
    if placement.phase is not Phase.STABLE:
        return placement
    used = set(placement.current)
    taking = _weights(placement.targets)
    kept = tuple(
        target
        for index, target in enumerate(placement.targets)
        if index in used or target.name in taking
    )
    names = (placement.targets[index].name for index in placement.current)
    table = _indices(names, kept)
    return msgspec.structs.replace(
        placement, targets=kept, base=table, current=table, upcoming=table
    )


def _replace(
    placement: Placement,
    generation: Generation,
    base: _Table | None = None,
    current: _Table | None = None,
    upcoming: _Table | None = None,
) -> Placement:
    """Returns a placement with new tables and the phase that follows from them."""
    changed = msgspec.structs.replace(
        placement,
        generation=generation,
        base=placement.base if base is None else base,
        current=placement.current if current is None else current,
        upcoming=placement.upcoming if upcoming is None else upcoming,
    )
    if base is None:
        changed = msgspec.structs.replace(changed, returned=_returned(placement, changed))
    return msgspec.structs.replace(changed, phase=_phase(changed))


def _returned(before: Placement, after: Placement) -> frozenset[int]:
    """Returns the buckets that were split and whose new flows go to the base target again."""
    split = {b for b, index in enumerate(before.base) if index != before.current[b]}
    candidates = split | before.returned
    return frozenset(b for b in candidates if after.base[b] == after.current[b])


def _phase(placement: Placement) -> Phase:
    if placement.upcoming != placement.current:
        return Phase.PREPARED
    if placement.base != placement.current or placement.returned:
        return Phase.ACTIVE
    return Phase.STABLE
