"""Planner: determines the next placement of a group and when to write it."""

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
    "MAX_PREPARED_S",
    "GroupPlanner",
    "PlannerSelection",
    "PrepareBounds",
    "placed_targets",
]

MAX_PREPARED_S = 1.5
MIN_PREPARED_S = 0.1
RELEASE_INTERVAL_S = 5.0
SLOT_COUNT = 256

_ELIGIBLE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class PlannerSelection:
    """Selects the instance that plans for each group in one view.

    Groups are hashed to a fixed number of slots, so that the cost of a view change doesn't depend
    on the number of groups.

    Args:
        view: Members of the zone; leaving ones aren't selected.
    """

    def __init__(self, view: View) -> None:
        self._candidates = [
            member.instance for member in view.members if member.state in _ELIGIBLE_STATES
        ]
        self._by_slot: dict[int, str | None] = {}

    def planning_instance(self, group: str) -> str | None:
        """Returns the instance that plans for a group, or None if no member can."""
        slot = xxh3_64_intdigest(group.encode()) % SLOT_COUNT
        if slot not in self._by_slot:
            first = rank(f"planner/{slot}", self._candidates, 1)
            self._by_slot[slot] = first[0] if first else None
        return self._by_slot[slot]


def placed_targets(
    group: GroupSpec,
    zone: str,
    eligible: Iterable[TargetSpec],
    states: Mapping[str, TargetState],
    weights: Mapping[str, int],
) -> tuple[PlacedTarget, ...]:
    """Returns the desired targets of a group's placement in a zone.

    Args:
        group: The group.
        zone: Own availability zone.
        eligible: Targets that take new flows, in this zone or in zones that it spills over to.
        states: Observed states by target name; targets without one count as working.
        weights: Weights by target name that override the configured ones.
    """
    names = {target.name for target in eligible}
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


def _state_of(target: TargetSpec, observed: TargetState) -> TargetState:
    if observed is TargetState.DEAD or target.intent is TargetIntent.SERVING:
        return observed
    return TargetState.LEAVING


@dataclass(frozen=True, slots=True)
class PrepareBounds:
    """Bounds on the time for which a change stays prepared before its activation.

    Attributes:
        min_prepared_s: Minimum time; at least the learning time if the group serves UDP.
        max_prepared_s: Time after which the change is activated without acknowledgements.
    """

    min_prepared_s: float = MIN_PREPARED_S
    max_prepared_s: float = MAX_PREPARED_S


class GroupPlanner:
    """Plans the placements of one group in one zone.

    A change is prepared, then activated once every member holds the prepared placement or the
    wait times out; buckets are released as their owners report them clear. The planner guarantees
    nothing across placements, as another instance may continue from any of them.

    Args:
        group: Name of the group.
        zone: Own availability zone.
        instance: Own instance id, used in generations.
        clock: Source of monotonic time.
        first_counter: Returns the counter of the first generation. It must be higher than that
            of any earlier placement that the zone has lost.
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
        self._applied_at = clock.now()
        self._released_at = float("-inf")
        self._desired_targets: tuple[PlacedTarget, ...] = ()
        self._seed = 0
        self._prepare_bounds = PrepareBounds()
        self._clear_buckets: set[int] = set()
        self._up_to_date = False

    @property
    def placement(self) -> Placement | None:
        """The known placement with the highest generation."""
        return self._placement

    def apply(self, placement: Placement) -> bool:
        """Applies a placement if its generation is higher; returns whether it was."""
        held = self._placement
        if held is not None and placement.generation <= held.generation:
            return False
        self._placement = placement
        self._applied_at = self._clock.now()
        self._clear_buckets.clear()
        self._up_to_date = False
        return True

    def set_desired(
        self, targets: tuple[PlacedTarget, ...], seed: int, prepare_bounds: PrepareBounds
    ) -> None:
        """Sets the desired state of the placement.

        Args:
            targets: Targets with their weights and states.
            seed: Seed of the flow hash, used in the first placement.
            prepare_bounds: Bounds on the time for which changes stay prepared.
        """
        self._prepare_bounds = prepare_bounds
        self._seed = seed
        if targets != self._desired_targets:
            self._desired_targets = targets
            self._up_to_date = False

    def mark_clear(self, buckets: Iterable[int], generation: int) -> None:
        """Records buckets that owners reported clear; ignores reports for another generation."""
        held = self._placement
        if held is not None and held.generation.counter == generation:
            self._clear_buckets.update(
                bucket for bucket in buckets if 0 <= bucket < len(held.current)
            )

    def next_placement(self, acknowledged: bool) -> Placement | None:
        """Returns the next placement to write, or None if nothing is due.

        Args:
            acknowledged: Whether every live member holds the latest placement.
        """
        if self._placement is None:
            return self._initial()
        for step in (self._fail_dead_target, self._activate, self._prepare, self._release):
            successor = step(self._placement, acknowledged)
            if successor is not None:
                return successor
        return None

    def _initial(self) -> Placement | None:
        if not self._desired_targets:
            return None
        generation = Generation(self._first_counter(), self._instance)
        return change.initial(
            self._group, self._zone, self._desired_targets, self._seed, generation
        )

    def _fail_dead_target(self, placement: Placement, acknowledged: bool) -> Placement | None:
        """Moves the buckets of a dead target without a prepare step."""
        dead = {target.name for target in self._desired_targets if target.state is TargetState.DEAD}
        for target in placement.targets:
            if target.name in dead and target.state is not TargetState.DEAD:
                return change.fail(placement, target.name, self._next_generation(placement))
        return None

    def _activate(self, placement: Placement, acknowledged: bool) -> Placement | None:
        if placement.phase is not Phase.PREPARED:
            return None
        elapsed = self._clock.now() - self._applied_at
        wait_over = elapsed >= self._prepare_bounds.max_prepared_s or acknowledged
        if wait_over and elapsed >= self._prepare_bounds.min_prepared_s:
            return change.activate(placement, self._next_generation(placement))
        return None

    def _prepare(self, placement: Placement, acknowledged: bool) -> Placement | None:
        if self._up_to_date or placement.phase is Phase.PREPARED or not self._desired_targets:
            return None
        successor = change.prepare(
            placement, self._desired_targets, self._next_generation(placement)
        )
        if _differs(successor, placement):
            return successor
        self._up_to_date = True
        return None

    def _release(self, placement: Placement, acknowledged: bool) -> Placement | None:
        if placement.phase is not Phase.ACTIVE or not self._clear_buckets:
            return None
        now = self._clock.now()
        if (
            now - self._released_at < RELEASE_INTERVAL_S
            and not _unreleased_buckets(placement) <= self._clear_buckets
        ):
            return None
        self._released_at = now
        return change.release(
            placement, sorted(self._clear_buckets), self._next_generation(placement)
        )

    def _next_generation(self, placement: Placement) -> Generation:
        return Generation(placement.generation.counter + 1, self._instance)


def _differs(one: Placement, other: Placement) -> bool:
    return (one.targets, one.base, one.current, one.upcoming) != (
        other.targets,
        other.base,
        other.current,
        other.upcoming,
    )


def _unreleased_buckets(placement: Placement) -> set[int]:
    pairs = enumerate(zip(placement.base, placement.current, strict=True))
    return {bucket for bucket, (base, current) in pairs if base != current} | placement.returned
