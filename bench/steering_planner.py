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
ACKNOWLEDGE_WAIT_S = 1.5


class PlannedZone(Protocol):
    """The interface of a zone that the planner needs."""

    @property
    def now(self) -> float:
        """Virtual time in seconds."""

    def all_hold(self, generation: Generation) -> bool:
        """Returns whether every member has applied a generation."""

    def spread(self, placement: Placement) -> None:
        """Sends a placement to every instance."""


class Planner:
    """Moves placements through their phases."""

    def __init__(self, zone: PlannedZone, targets: Iterable[str]) -> None:
        self._zone = zone
        self._wanted = {name: _target(name) for name in targets}
        self._counter = 1
        self.placement = initial(GROUP, ZONE, tuple(self._wanted.values()), 0, self._generation())
        self._since = 0.0
        self._clear: set[int] = set()

    @property
    def wanted(self) -> dict[str, PlacedTarget]:
        """The desired targets by name."""
        return dict(self._wanted)

    def want(self, *names: str) -> None:
        """Starts a change to a new set of desired targets."""
        self._wanted = {name: _target(name) for name in names}
        self.begin()

    def weigh(self, name: str, weight: int) -> None:
        """Starts a change of the weight of one target."""
        self._wanted[name] = _target(name, weight)
        self.begin()

    def begin(self) -> None:
        """Prepares a placement of the desired targets."""
        self._put(prepare(self.placement, tuple(self._wanted.values()), self._next()))

    def kill(self, name: str) -> None:
        """Reassigns the buckets of a dead target."""
        self._wanted.pop(name, None)
        self._put(fail(self.placement, name, self._next()))

    def replace(self) -> None:
        """Discards in-memory state, as when another instance becomes the planner."""
        self._since = self._zone.now
        self._clear.clear()

    def take(self, message: Message) -> None:
        """Records the clear buckets that an owner reports; ignores those of other generations."""
        assert isinstance(message, BucketsClear)
        if message.generation == self.placement.generation.counter:
            self._clear.update(message.buckets)

    def step(self) -> None:
        """Releases clear buckets and activates a placement that every member has applied."""
        if self._clear:
            buckets, self._clear = self._clear, set()
            self._put(release(self.placement, buckets, self._next()), keep_since=True)
        if self.placement.phase is Phase.PREPARED and self._acknowledged():
            self._put(activate(self.placement, self._next()))

    def _acknowledged(self) -> bool:
        waited = self._zone.now - self._since >= ACKNOWLEDGE_WAIT_S
        return waited or self._zone.all_hold(self.placement.generation)

    def _put(self, placement: Placement, keep_since: bool = False) -> None:
        self.placement = placement
        if not keep_since:
            self._since = self._zone.now
        self._clear.clear()
        self._zone.spread(placement)

    def _next(self) -> Generation:
        self._counter += 1
        return self._generation()

    def _generation(self) -> Generation:
        return Generation(self._counter, "planner")


def _target(name: str, weight: int = 100) -> PlacedTarget:
    number = int(name[1:]) + 1
    return PlacedTarget(name, f"127.9.1.{number}", TARGET_PORT, weight, TargetState.WORKING)
