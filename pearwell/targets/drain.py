"""Drain of a target that leaves its group; pearwell.shutdown stops an instance."""

from collections.abc import Mapping
from enum import Enum, auto

from pearwell.clock import Clock
from pearwell.errors import Code, InvariantError

__all__ = ["NEW_FLOW_GRACE_S", "TargetDrain", "TargetDrainState"]

NEW_FLOW_GRACE_S = 2.0


class TargetDrainState(Enum):
    """States of a target with regard to leaving.

    SERVING takes any flow; ANNOUNCED is known to leave while new flows may still reach it;
    DRAINING keeps its old flows only; EXPIRED has its remaining flows reset; EMPTY has none left.
    """

    SERVING = auto()
    ANNOUNCED = auto()
    DRAINING = auto()
    EXPIRED = auto()
    EMPTY = auto()


class _TargetEvent(Enum):
    LEAVE = auto()
    RETURN = auto()
    MOVED = auto()
    GRACE_OVER = auto()
    DEADLINE = auto()
    EMPTIED = auto()


_TARGET_STEPS: Mapping[tuple[TargetDrainState, _TargetEvent], TargetDrainState] = {
    (TargetDrainState.SERVING, _TargetEvent.LEAVE): TargetDrainState.ANNOUNCED,
    (TargetDrainState.ANNOUNCED, _TargetEvent.RETURN): TargetDrainState.SERVING,
    (TargetDrainState.ANNOUNCED, _TargetEvent.MOVED): TargetDrainState.DRAINING,
    (TargetDrainState.ANNOUNCED, _TargetEvent.GRACE_OVER): TargetDrainState.DRAINING,
    (TargetDrainState.ANNOUNCED, _TargetEvent.DEADLINE): TargetDrainState.EXPIRED,
    (TargetDrainState.DRAINING, _TargetEvent.RETURN): TargetDrainState.SERVING,
    (TargetDrainState.DRAINING, _TargetEvent.DEADLINE): TargetDrainState.EXPIRED,
    (TargetDrainState.DRAINING, _TargetEvent.EMPTIED): TargetDrainState.EMPTY,
    (TargetDrainState.EXPIRED, _TargetEvent.EMPTIED): TargetDrainState.EMPTY,
    (TargetDrainState.EXPIRED, _TargetEvent.RETURN): TargetDrainState.SERVING,
    (TargetDrainState.EMPTY, _TargetEvent.RETURN): TargetDrainState.SERVING,
}


class TargetDrain:
    """Follows one target from the moment its leaving is known.

    Args:
        target: Name of the target, for messages.
        clock: Source of monotonic time.
    """

    def __init__(self, target: str, clock: Clock) -> None:
        self._target = target
        self._clock = clock
        self._state = TargetDrainState.SERVING
        self._known_at = 0.0
        self._deadline_s = 0.0

    @property
    def state(self) -> TargetDrainState:
        """The current state."""
        return self._state

    @property
    def takes_new(self) -> bool:
        """Whether a new flow may be assigned to the target."""
        self.tick()
        return self._state in (TargetDrainState.SERVING, TargetDrainState.ANNOUNCED)

    @property
    def keeps_old(self) -> bool:
        """Whether packets of its old flows are forwarded; otherwise they are reset."""
        self.tick()
        return self._state is not TargetDrainState.EXPIRED

    def leave(self, deadline_s: float = 0.0) -> None:
        """Starts the drain.

        Args:
            deadline_s: Time in seconds until old flows are reset; 0 means until they end.
        """
        if self._state is TargetDrainState.SERVING:
            self._known_at = self._clock.now()
        self._deadline_s = deadline_s
        self._on(_TargetEvent.LEAVE)

    def cancel(self) -> None:
        """Takes the target back into service."""
        self._on(_TargetEvent.RETURN)

    def moved(self) -> None:
        """Notes that no bucket's new flows go to the target any more."""
        self._on(_TargetEvent.MOVED)

    def emptied(self) -> None:
        """Notes that no flow is left on the target."""
        self._on(_TargetEvent.EMPTIED)

    def tick(self) -> None:
        """Applies the passing of time."""
        if self._state is TargetDrainState.SERVING:
            return
        elapsed = self._clock.now() - self._known_at
        if elapsed >= NEW_FLOW_GRACE_S:
            self._on(_TargetEvent.GRACE_OVER)
        if self._deadline_s and elapsed >= self._deadline_s:
            self._on(_TargetEvent.DEADLINE)

    def check_start(self) -> None:
        """Asserts that a flow may start on the target now.

        Raises:
            InvariantError: INVARIANT_VIOLATED if the target takes no new flows.
        """
        if not self.takes_new:
            detail = f"new flow on leaving target {self._target}"
            raise InvariantError(Code.INVARIANT_VIOLATED, detail)

    def _on(self, event: _TargetEvent) -> None:
        self._state = _TARGET_STEPS.get((self._state, event), self._state)
