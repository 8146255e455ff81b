"""A minimal planner for the simulated zone; the real one is pearwell.placement.planner."""

from collections.abc import Iterable
from typing import Protocol

from pearwell.messages import BucketsClear, Message
from pearwell.model.placement import Generation, Phase, PlacedTarget, Placement, TargetState
from pearwell.placement.change import activate, fail, initial, prepare, release

__all__ = ["GROUP", "ZONE", "PlannedZone", "Planner"]

GROUP = "intake"
ZONE = "pnw-a"
TARGET_PORT = 6080
ACKNOWLEDGE_TIMEOUT_S = 1.5


class PlannedZone(Protocol):
    """The interface of a zone that the planner needs."""

    @property
    def now(self) -> float:
        """Virtual time in seconds."""

    def all_have_applied(self, generation: Generation) -> bool:
        """Returns whether every member has applied a generation."""

    def distribute(self, placement: Placement) -> None:
        """Sends a placement to every instance."""


class Planner:
    """Moves placements through their phases."""

    def __init__(self, zone: PlannedZone, targets: Iterable[str]) -> None:
        self._zone = zone
        self._desired = {name: _target(name) for name in targets}
        self._counter = 1
        self.placement = initial(
            GROUP, ZONE, tuple(self._desired.values()), 0, self._current_generation()
        )
        self._changed_at = 0.0
        self._clear_buckets: set[int] = set()

    @property
    def desired_targets(self) -> dict[str, PlacedTarget]:
        """The desired targets by name."""
        return dict(self._desired)

    def set_targets(self, *names: str) -> None:
        """Starts a change to a new set of desired targets."""
        self._desired = {name: _target(name) for name in names}
        self.prepare_change()

    def set_weight(self, name: str, weight: int) -> None:
        """Starts a change of the weight of one target."""
        self._desired[name] = _target(name, weight)
        self.prepare_change()

    def prepare_change(self) -> None:
        """Prepares a placement of the desired targets."""
        self._apply(prepare(self.placement, tuple(self._desired.values()), self._next_generation()))

    def fail_target(self, name: str) -> None:
        """Reassigns the buckets of a dead target."""
        self._desired.pop(name, None)
        self._apply(fail(self.placement, name, self._next_generation()))

    def restart(self) -> None:
        """Discards in-memory state, as when another instance becomes the planner."""
        self._changed_at = self._zone.now
        self._clear_buckets.clear()

    def handle(self, message: Message) -> None:
        """Records the clear buckets that an owner reports; ignores those of other generations."""
        assert isinstance(message, BucketsClear)
        if message.generation == self.placement.generation.counter:
            self._clear_buckets.update(message.buckets)

    def step(self) -> None:
        """Releases clear buckets and activates a prepared placement.

        Activation waits until every member has applied the placement, or for a timeout.
        """
        if self._clear_buckets:
            buckets, self._clear_buckets = self._clear_buckets, set()
            self._apply(
                release(self.placement, buckets, self._next_generation()), keep_changed_at=True
            )
        if self.placement.phase is Phase.PREPARED and self._may_activate():
            self._apply(activate(self.placement, self._next_generation()))

    def _may_activate(self) -> bool:
        timed_out = self._zone.now - self._changed_at >= ACKNOWLEDGE_TIMEOUT_S
        return timed_out or self._zone.all_have_applied(self.placement.generation)

    def _apply(self, placement: Placement, keep_changed_at: bool = False) -> None:
        self.placement = placement
        if not keep_changed_at:
            self._changed_at = self._zone.now
        self._clear_buckets.clear()
        self._zone.distribute(placement)

    def _next_generation(self) -> Generation:
        self._counter += 1
        return self._current_generation()

    def _current_generation(self) -> Generation:
        return Generation(self._counter, "planner")


def _target(name: str, weight: int = 100) -> PlacedTarget:
    number = int(name[1:]) + 1
    return PlacedTarget(name, f"127.9.1.{number}", TARGET_PORT, weight, TargetState.WORKING)
