"""Draining of a target that leaves its group; see pearwell.shutdown for stopping an instance."""

from collections.abc import Mapping
from enum import Enum, auto

from pearwell.clock import Clock
from pearwell.errors import Code, InvariantError

__all__ = ["NEW_FLOW_GRACE_S", "TargetDrain", "TargetDrainState"]

NEW_FLOW_GRACE_S = 2.0


class TargetDrainState(Enum):
    """Drain states of a target.

    SERVING accepts all flows. ANNOUNCED is about to leave, but new flows may still reach it.
    DRAINING serves its existing flows only. EXPIRED has passed its drain deadline, so its remaining
    flows are reset. EMPTY has no flows left.
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
    """Drain state machine of one target.

    Args:
        target: Name of the target, for error messages.
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
        """The current state, without applying the passage of time."""
        return self._state

    @property
    def takes_new(self) -> bool:
        """Whether new flows may be assigned to the target."""
        self.tick()
        return self._state in (TargetDrainState.SERVING, TargetDrainState.ANNOUNCED)

    @property
    def keeps_old(self) -> bool:
        """Whether packets of existing flows are forwarded; otherwise the flows are reset."""
        self.tick()
        return self._state is not TargetDrainState.EXPIRED

    def leave(self, deadline_s: float = 0.0) -> None:
        """Starts the drain.

        Args:
            deadline_s: Time in seconds until existing flows are reset; 0 means no deadline.
        """
        if self._state is TargetDrainState.SERVING:
            self._known_at = self._clock.now()
        self._deadline_s = deadline_s
        self._on(_TargetEvent.LEAVE)

    def cancel(self) -> None:
        """Cancels the drain and returns the target to service."""
        self._on(_TargetEvent.RETURN)

    def moved(self) -> None:
        """Records that no bucket assigns new flows to the target any more."""
        self._on(_TargetEvent.MOVED)

    def emptied(self) -> None:
        """Records that the target has no flows left."""
        self._on(_TargetEvent.EMPTIED)

    def tick(self) -> None:
        """Applies the grace period and the drain deadline."""
        if self._state is TargetDrainState.SERVING:
            return
        elapsed = self._clock.now() - self._known_at
        if elapsed >= NEW_FLOW_GRACE_S:
            self._on(_TargetEvent.GRACE_OVER)
        if self._deadline_s and elapsed >= self._deadline_s:
            self._on(_TargetEvent.DEADLINE)

    def check_start(self) -> None:
        """Asserts that a new flow may start on the target now.

        Raises:
            InvariantError: INVARIANT_VIOLATED if the target accepts no new flows.
        """
        if not self.takes_new:
            detail = f"new flow assigned to draining target {self._target}"
            raise InvariantError(Code.INVARIANT_VIOLATED, detail)

    def _on(self, event: _TargetEvent) -> None:
        self._state = _TARGET_STEPS.get((self._state, event), self._state)
