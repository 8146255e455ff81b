"""Planner: which placement of a group comes next, and when."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from pearwell.agreement.rendezvous import rank
from pearwell.clock import Clock
from pearwell.model.group import GroupSpec, TargetIntent, TargetSpec
from pearwell.model.membership import MemberState, View
from pearwell.model.placement import Generation, Phase, PlacedTarget, Placement, TargetState
from pearwell.placement import change

__all__ = [
    "PREPARE_WAIT_S",
    "GroupPlanner",
    "Pace",
    "Planners",
    "placed_targets",
]

PREPARE_WAIT_S = 1.5
ACKNOWLEDGED_WAIT_S = 0.1
RELEASE_INTERVAL_S = 5.0
SLOT_COUNT = 256

_TAKES_PART = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class Planners:
    """Knows which instance plans for which group in one view.

    Groups share a fixed number of slots, so that a change of the view costs the same however many
    groups there are.

    Args:
        view: Members of the zone; those that leave plan nothing.
    """

    def __init__(self, view: View) -> None:
        self._lasting = [member.instance for member in view.members if member.state in _TAKES_PART]
        self._by_slot: dict[int, str | None] = {}

    def of(self, group: str) -> str | None:
        """Returns the instance that plans for a group; None in an empty view."""
        slot = xxh3_64_intdigest(group.encode()) % SLOT_COUNT
        if slot not in self._by_slot:
            first = rank(f"planner/{slot}", self._lasting, 1)
            self._by_slot[slot] = first[0] if first else None
        return self._by_slot[slot]


def placed_targets(
    group: GroupSpec,
    zone: str,
    taking: Iterable[TargetSpec],
    states: Mapping[str, TargetState],
    weights: Mapping[str, int],
) -> tuple[PlacedTarget, ...]:
    """Returns the targets that a zone's placement of a group should have.

    Args:
        group: The group.
        zone: Own availability zone.
        taking: Targets that take new flows, of this zone or of those that it spills over to.
        states: States by target name, as the evidence says; unknown ones count as working.
        weights: Weights by target name that replace the configured ones.
    """
    names = {target.name for target in taking}
    used = [target for target in group.targets if target.zone == zone or target.name in names]
    return tuple(
        PlacedTarget(
            target.name,
            target.address,
            target.port,
            weights.get(target.name, target.weight),
            _state_of(target, states.get(target.name, TargetState.WORKING)),
        )
        for target in used
    )


def _state_of(target: TargetSpec, evidence: TargetState) -> TargetState:
    if evidence is TargetState.DEAD or target.intent is TargetIntent.SERVING:
        return evidence
    return TargetState.LEAVING


@dataclass(frozen=True, slots=True)
class Pace:
    """How long a change stays prepared.

    Attributes:
        min_prepared_s: Least time; the learning time of a group that serves UDP.
        max_prepared_s: Time after which missing acknowledgements don't hold it up.
    """

    min_prepared_s: float = ACKNOWLEDGED_WAIT_S
    max_prepared_s: float = PREPARE_WAIT_S


class GroupPlanner:
    """Plans the placements of one group in one zone.

    A change is prepared, then activated once every member holds the prepared placement or the
    wait is over; buckets are released as their owners prove them clear. The planner keeps no
    promise over time: another instance may go on from any placement.

    Args:
        group: Name of the group.
        zone: Own availability zone.
        instance: Own instance id, for generations.
        clock: Source of monotonic time.
        first_counter: Returns the counter of a first generation. It must be higher than that of
            any placement that the zone had and forgot.
    """

    def __init__(
        self,
        group: str,
        zone: str,
        instance: str,
        clock: Clock,
        first_counter: Callable[[], int] = lambda: 1,
    ) -> None:
        self._group = group
        self._zone = zone
        self._instance = instance
        self._clock = clock
        self._first_counter = first_counter
        self._placement: Placement | None = None
        self._adopted_at = clock.now()
        self._released_at = float("-inf")
        self._targets: tuple[PlacedTarget, ...] = ()
        self._seed = 0
        self._pace = Pace()
        self._clear: set[int] = set()
        self._reviewed = False

    @property
    def placement(self) -> Placement | None:
        """The highest placement known here."""
        return self._placement

    def adopt(self, placement: Placement) -> bool:
        """Takes over a placement of a higher generation; returns whether it was higher."""
        held = self._placement
        if held is not None and placement.generation <= held.generation:
            return False
        self._placement = placement
        self._adopted_at = self._clock.now()
        self._clear.clear()
        self._reviewed = False
        return True

    def want(self, targets: tuple[PlacedTarget, ...], seed: int, pace: Pace) -> None:
        """Sets what the placement should come to.

        Args:
            targets: Targets with their weights and states.
            seed: Seed of the flow hash of a first placement.
            pace: How long changes stay prepared.
        """
        self._pace = pace
        self._seed = seed
        if targets != self._targets:
            self._targets = targets
            self._reviewed = False

    def clear(self, buckets: Iterable[int], generation: int) -> None:
        """Notes buckets that owners proved clear under the placement of a generation."""
        held = self._placement
        if held is not None and held.generation.counter == generation:
            self._clear.update(bucket for bucket in buckets if 0 <= bucket < len(held.current))

    def next(self, acknowledged: bool) -> Placement | None:
        """Returns the placement to write now, or None if there is nothing to change.

        Args:
            acknowledged: Whether every live member holds the current placement.
        """
        if self._placement is None:
            return self._first()
        for step in (self._fail, self._activate, self._prepare, self._release):
            following = step(self._placement, acknowledged)
            if following is not None:
                return following
        return None

    def _first(self) -> Placement | None:
        if not self._targets:
            return None
        generation = Generation(self._first_counter(), self._instance)
        return change.initial(self._group, self._zone, self._targets, self._seed, generation)

    def _fail(self, placement: Placement, acknowledged: bool) -> Placement | None:
        """Moves the buckets of a dead target at once."""
        dead = {target.name for target in self._targets if target.state is TargetState.DEAD}
        for target in placement.targets:
            if target.name in dead and target.state is not TargetState.DEAD:
                return change.fail(placement, target.name, self._following(placement))
        return None

    def _activate(self, placement: Placement, acknowledged: bool) -> Placement | None:
        if placement.phase is not Phase.PREPARED:
            return None
        elapsed = self._clock.now() - self._adopted_at
        waited = elapsed >= self._pace.max_prepared_s or acknowledged
        if waited and elapsed >= self._pace.min_prepared_s:
            return change.activate(placement, self._following(placement))
        return None

    def _prepare(self, placement: Placement, acknowledged: bool) -> Placement | None:
        if self._reviewed or placement.phase is Phase.PREPARED or not self._targets:
            return None
        following = change.prepare(placement, self._targets, self._following(placement))
        if _differs(following, placement):
            return following
        self._reviewed = True
        return None

    def _release(self, placement: Placement, acknowledged: bool) -> Placement | None:
        if placement.phase is not Phase.ACTIVE or not self._clear:
            return None
        now = self._clock.now()
        if now - self._released_at < RELEASE_INTERVAL_S and not _moving(placement) <= self._clear:
            return None
        self._released_at = now
        return change.release(placement, sorted(self._clear), self._following(placement))

    def _following(self, placement: Placement) -> Generation:
        return Generation(placement.generation.counter + 1, self._instance)


def _differs(one: Placement, other: Placement) -> bool:
    return (one.targets, one.base, one.current, one.upcoming) != (
        other.targets,
        other.base,
        other.current,
        other.upcoming,
    )


def _moving(placement: Placement) -> set[int]:
    pairs = enumerate(zip(placement.base, placement.current, strict=True))
    return {bucket for bucket, (base, current) in pairs if base != current} | placement.returned
