"""Graceful stops: a target that leaves its group and an instance that leaves its zone.

Both are state tables without I/O. Every wait has a bound, so that a stop ends even if the platform
or a peer doesn't answer; a bound that was needed is reported, since flows may then have been cut.
"""

from collections.abc import Mapping
from enum import Enum, auto

from pearwell.clock import Clock
from pearwell.errors import Code, InvariantError

__all__ = [
    "NEW_FLOW_GRACE_S",
    "InstanceDrain",
    "InstanceDrainState",
    "TargetDrain",
    "TargetDrainState",
]

NEW_FLOW_GRACE_S = 2.0

WITHDRAW_TIMEOUT_S = 10.0
MIN_FORWARD_S = 2.0
FABRIC_QUIET_S = 3.0
FORWARD_TIMEOUT_S = 60.0
HAND_OVER_TIMEOUT_S = 5.0


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


class InstanceDrainState(Enum):
    """States of an instance that stops.

    SERVING is normal work; WITHDRAWING waits until the platform lists it as leaving; FORWARDING
    still forwards what the fabric sends; HANDING_OVER sends its flow records to their next owners;
    DONE may exit.
    """

    SERVING = auto()
    WITHDRAWING = auto()
    FORWARDING = auto()
    HANDING_OVER = auto()
    DONE = auto()


class _InstanceEvent(Enum):
    STOP = auto()
    WITHDRAWN = auto()
    QUIET = auto()
    HANDED_OVER = auto()
    TIMEOUT = auto()


_INSTANCE_STEPS: Mapping[tuple[InstanceDrainState, _InstanceEvent], InstanceDrainState] = {
    (InstanceDrainState.SERVING, _InstanceEvent.STOP): InstanceDrainState.WITHDRAWING,
    (InstanceDrainState.WITHDRAWING, _InstanceEvent.WITHDRAWN): InstanceDrainState.FORWARDING,
    (InstanceDrainState.WITHDRAWING, _InstanceEvent.TIMEOUT): InstanceDrainState.FORWARDING,
    (InstanceDrainState.FORWARDING, _InstanceEvent.QUIET): InstanceDrainState.HANDING_OVER,
    (InstanceDrainState.FORWARDING, _InstanceEvent.TIMEOUT): InstanceDrainState.HANDING_OVER,
    (InstanceDrainState.HANDING_OVER, _InstanceEvent.HANDED_OVER): InstanceDrainState.DONE,
    (InstanceDrainState.HANDING_OVER, _InstanceEvent.TIMEOUT): InstanceDrainState.DONE,
}

_INSTANCE_TIMEOUTS_S: Mapping[InstanceDrainState, float] = {
    InstanceDrainState.WITHDRAWING: WITHDRAW_TIMEOUT_S,
    InstanceDrainState.FORWARDING: FORWARD_TIMEOUT_S,
    InstanceDrainState.HANDING_OVER: HAND_OVER_TIMEOUT_S,
}


class InstanceDrain:
    """Follows this instance through its graceful stop.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._state = InstanceDrainState.SERVING
        self._entered_at = clock.now()
        self._last_packet_at = clock.now()
        self._timeouts: list[InstanceDrainState] = []

    @property
    def state(self) -> InstanceDrainState:
        """The current state."""
        return self._state

    @property
    def timeouts(self) -> tuple[InstanceDrainState, ...]:
        """States that were left by their time limit; empty after a clean stop."""
        return tuple(self._timeouts)

    def stop(self) -> None:
        """Starts the stop; a second call changes nothing."""
        self._on(_InstanceEvent.STOP)

    def withdrawn(self) -> None:
        """Notes that the platform lists this instance as leaving."""
        self._on(_InstanceEvent.WITHDRAWN)

    def fabric_packet(self) -> None:
        """Notes a packet from the fabric."""
        self._last_packet_at = self._clock.now()

    def handed_over(self) -> None:
        """Notes that the next owners confirmed all flow records."""
        self._on(_InstanceEvent.HANDED_OVER)

    def tick(self) -> InstanceDrainState:
        """Applies the passing of time and returns the state."""
        now = self._clock.now()
        in_state_s = now - self._entered_at
        quiet = now - self._last_packet_at >= FABRIC_QUIET_S and in_state_s >= MIN_FORWARD_S
        if self._state is InstanceDrainState.FORWARDING and quiet:
            self._on(_InstanceEvent.QUIET)
        elif in_state_s >= _INSTANCE_TIMEOUTS_S.get(self._state, float("inf")):
            self._timeouts.append(self._state)
            self._on(_InstanceEvent.TIMEOUT)
        return self._state

    def _on(self, event: _InstanceEvent) -> None:
        following = _INSTANCE_STEPS.get((self._state, event), self._state)
        if following is not self._state:
            self._state = following
            self._entered_at = self._clock.now()
