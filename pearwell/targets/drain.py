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


class _DrainEvent(Enum):
    START = auto()
    CANCEL = auto()
    NEW_FLOWS_MOVED = auto()
    GRACE_EXPIRED = auto()
    DEADLINE_PASSED = auto()
    FLOWS_ENDED = auto()


_TRANSITIONS: Mapping[tuple[TargetDrainState, _DrainEvent], TargetDrainState] = {
    (TargetDrainState.SERVING, _DrainEvent.START): TargetDrainState.ANNOUNCED,
    (TargetDrainState.ANNOUNCED, _DrainEvent.CANCEL): TargetDrainState.SERVING,
    (TargetDrainState.ANNOUNCED, _DrainEvent.NEW_FLOWS_MOVED): TargetDrainState.DRAINING,
    (TargetDrainState.ANNOUNCED, _DrainEvent.GRACE_EXPIRED): TargetDrainState.DRAINING,
    (TargetDrainState.ANNOUNCED, _DrainEvent.DEADLINE_PASSED): TargetDrainState.EXPIRED,
    (TargetDrainState.DRAINING, _DrainEvent.CANCEL): TargetDrainState.SERVING,
    (TargetDrainState.DRAINING, _DrainEvent.DEADLINE_PASSED): TargetDrainState.EXPIRED,
    (TargetDrainState.DRAINING, _DrainEvent.FLOWS_ENDED): TargetDrainState.EMPTY,
    (TargetDrainState.EXPIRED, _DrainEvent.FLOWS_ENDED): TargetDrainState.EMPTY,
    (TargetDrainState.EXPIRED, _DrainEvent.CANCEL): TargetDrainState.SERVING,
    (TargetDrainState.EMPTY, _DrainEvent.CANCEL): TargetDrainState.SERVING,
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
        self._started_at = 0.0
        self._deadline_s = 0.0

    @property
    def state(self) -> TargetDrainState:
        """The current state, without applying the passage of time."""
        return self._state

    @property
    def accepts_new_flows(self) -> bool:
        """Whether new flows may be assigned to the target."""
        self.tick()
        return self._state in (TargetDrainState.SERVING, TargetDrainState.ANNOUNCED)

    @property
    def keeps_existing_flows(self) -> bool:
        """Whether packets of existing flows are forwarded; otherwise the flows are reset."""
        self.tick()
        return self._state is not TargetDrainState.EXPIRED

    def start(self, deadline_s: float = 0.0) -> None:
        """Starts the drain.

        Args:
            deadline_s: Time in seconds until existing flows are reset; 0 means no deadline.
        """
        if self._state is TargetDrainState.SERVING:
            self._started_at = self._clock.now()
        self._deadline_s = deadline_s
        self._apply(_DrainEvent.START)

    def cancel(self) -> None:
        """Cancels the drain and returns the target to service."""
        self._apply(_DrainEvent.CANCEL)

    def new_flows_moved(self) -> None:
        """Records that no bucket assigns new flows to the target any more."""
        self._apply(_DrainEvent.NEW_FLOWS_MOVED)

    def flows_ended(self) -> None:
        """Records that the target has no flows left."""
        self._apply(_DrainEvent.FLOWS_ENDED)

    def tick(self) -> None:
        """Applies the grace period and the drain deadline."""
        if self._state is TargetDrainState.SERVING:
            return
        elapsed = self._clock.now() - self._started_at
        if elapsed >= NEW_FLOW_GRACE_S:
            self._apply(_DrainEvent.GRACE_EXPIRED)
        if self._deadline_s and elapsed >= self._deadline_s:
            self._apply(_DrainEvent.DEADLINE_PASSED)

    def check_new_flow(self) -> None:
        """Asserts that a new flow may start on the target now.

        Raises:
            InvariantError: INVARIANT_VIOLATED if the target accepts no new flows.
        """
        if not self.accepts_new_flows:
            detail = f"new flow assigned to draining target {self._target}"
            raise InvariantError(Code.INVARIANT_VIOLATED, detail)

    def _apply(self, event: _DrainEvent) -> None:
        self._state = _TRANSITIONS.get((self._state, event), self._state)
