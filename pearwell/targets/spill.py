"""Spill-over of new flows to other configured zones while a zone has no working target."""

from collections.abc import Mapping
from enum import Enum, auto

from pearwell.clock import Clock
from pearwell.model.group import GroupSpec, TargetIntent, TargetSpec
from pearwell.model.placement import TargetState

__all__ = ["SpillOver", "SpillState", "candidate_targets"]

SPILL_DELAY_S = 2.0
RETURN_DELAY_S = 15.0


class SpillState(Enum):
    """Spill-over states of a group.

    LOCAL uses the targets of the zone; FAILING has no working target there but doesn't spill over
    yet; SPILLED uses a spill zone; RETURNING still does although the zone has working targets.
    """

    LOCAL = auto()
    FAILING = auto()
    SPILLED = auto()
    RETURNING = auto()


_TRANSITIONS: Mapping[tuple[SpillState, bool], SpillState] = {
    (SpillState.LOCAL, True): SpillState.LOCAL,
    (SpillState.LOCAL, False): SpillState.FAILING,
    (SpillState.FAILING, True): SpillState.LOCAL,
    (SpillState.FAILING, False): SpillState.FAILING,
    (SpillState.SPILLED, True): SpillState.RETURNING,
    (SpillState.SPILLED, False): SpillState.SPILLED,
    (SpillState.RETURNING, True): SpillState.RETURNING,
    (SpillState.RETURNING, False): SpillState.SPILLED,
}

_DELAYED_TRANSITIONS: Mapping[SpillState, tuple[float, SpillState]] = {
    SpillState.FAILING: (SPILL_DELAY_S, SpillState.SPILLED),
    SpillState.RETURNING: (RETURN_DELAY_S, SpillState.LOCAL),
}


def candidate_targets(
    group: GroupSpec, zone: str, spill_zones: tuple[str, ...]
) -> list[TargetSpec]:
    """Returns the targets that a zone may use, and so has to probe."""
    zones = (zone, *spill_zones)
    return [target for target in group.targets if target.zone in zones]


class SpillOver:
    """Selects the targets of a group that receive the new flows of one zone.

    Only new flows are affected. Flows that spilled over stay on their targets when new flows
    return, as after any planned placement change.

    Args:
        zone: Availability zone of this instance.
        spill_zones: Zones that may take new flows, in order of preference; empty disables spilling.
        clock: Source of monotonic time.
    """

    def __init__(self, zone: str, spill_zones: tuple[str, ...], clock: Clock) -> None:
        self._zone = zone
        self._spill_zones = spill_zones
        self._clock = clock
        self._state = SpillState.LOCAL
        self._entered_at = clock.now()

    @property
    def state(self) -> SpillState:
        """The current state."""
        return self._state

    def choose(self, group: GroupSpec, states: Mapping[str, TargetState]) -> tuple[TargetSpec, ...]:
        """Returns the targets that receive new flows.

        Args:
            group: The group.
            states: States by target name; targets without a state count as working.
        """
        local_targets = _working(group, self._zone, states)
        if not self._spill_zones:
            return local_targets
        self._enter(_TRANSITIONS[self._state, bool(local_targets)])
        wait = _DELAYED_TRANSITIONS.get(self._state)
        if wait is not None and self._clock.now() - self._entered_at >= wait[0]:
            self._enter(wait[1])
        spilled = self._state in (SpillState.SPILLED, SpillState.RETURNING)
        return self._spill_targets(group, states) or local_targets if spilled else local_targets

    def _spill_targets(
        self, group: GroupSpec, states: Mapping[str, TargetState]
    ) -> tuple[TargetSpec, ...]:
        choices = (_working(group, zone, states) for zone in self._spill_zones)
        return next((targets for targets in choices if targets), ())

    def _enter(self, state: SpillState) -> None:
        if state is not self._state:
            self._state = state
            self._entered_at = self._clock.now()


def _working(
    group: GroupSpec, zone: str, states: Mapping[str, TargetState]
) -> tuple[TargetSpec, ...]:
    return tuple(
        target
        for target in group.targets
        if target.zone == zone
        and target.intent is TargetIntent.SERVING
        and states.get(target.name, TargetState.WORKING) is TargetState.WORKING
    )
