"""Lifecycle of an instance: when it forwards open and new flows and tells routers it is ready."""

from collections.abc import Mapping

__all__ = ["MAX_BACKLOG_S", "SYN_LIFETIMES_S", "Lifecycle", "Phase", "is_stale", "is_stale_syn"]

# Packets queued in the socket for longer are dropped unread: the flow may have ended meanwhile.
MAX_BACKLOG_S = 1.0
# Time from each transmission of a SYN to the client's next one, or until it gives up. An older one
# may have opened its flow through another instance already, on a target of that one's choice.
SYN_LIFETIMES_S = (0.2, 0.4, 0.8)

# Time between the request to stop and the exit. Routers probe every 500 ms and send flows elsewhere
# after two failed probes; flows from routers that notice later are still forwarded.
STOP_S = 4.5
# Part of the grace period reserved for the exit itself.
STOP_MARGIN_S = 1.0


class Phase:
    """Phases of an instance's lifecycle."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


_TRANSITIONS: Mapping[tuple[str, str], str] = {
    (Phase.STARTING, "start"): Phase.SERVING,
    (Phase.STARTING, "stop"): Phase.STOPPING,
    (Phase.SERVING, "stop"): Phase.STOPPING,
}


class Lifecycle:
    """Lifecycle of one instance from start to stop.

    Args:
        grace_s: Grace period in seconds that the platform gives a process to stop.
    """

    def __init__(self, grace_s: float) -> None:
        self.grace_s = grace_s
        self._phase = Phase.STARTING
        self._forwards = False
        self._accepts_flows = False

    @property
    def phase(self) -> str:
        """The current phase."""
        return self._phase

    @property
    def ready(self) -> bool:
        """Whether routers may send new flows."""
        return self._phase == Phase.SERVING

    @property
    def forwards(self) -> bool:
        """Whether packets of open flows are forwarded; a stopping instance goes on with it."""
        return self._forwards

    @property
    def accepts_flows(self) -> bool:
        """Whether new flows are accepted; a stopping instance goes on with it."""
        return self._accepts_flows

    @property
    def stop_after_s(self) -> float:
        """Time in seconds from the request to stop to the exit."""
        return max(0.0, min(STOP_S, self.grace_s - STOP_MARGIN_S))

    def forward(self) -> bool:
        """Records that the targets are known; returns whether this is the first time."""
        first = not self._forwards
        self._forwards = True
        return first

    def start(self) -> bool:
        """Records that routes and targets are known; returns whether this is the first time."""
        first = not self._accepts_flows
        self._forwards = self._accepts_flows = True
        self._phase = _TRANSITIONS.get((self._phase, "start"), self._phase)
        return first

    def stop(self) -> bool:
        """Handles a request to stop; returns False if it isn't the first one."""
        before = self._phase
        self._phase = _TRANSITIONS.get((self._phase, "stop"), self._phase)
        return self._phase != before


def is_stale(waited_s: float) -> bool:
    """Whether packets queued for up to a time in seconds are too old to forward."""
    return waited_s > MAX_BACKLOG_S


def is_stale_syn(earlier_syns: int, waited_s: float) -> bool:
    """Whether a SYN queued for up to a time in seconds is too old to forward.

    Args:
        earlier_syns: Number of the client's earlier transmissions of it.
        waited_s: Maximum time in seconds that it may have been queued.
    """
    return waited_s > SYN_LIFETIMES_S[min(earlier_syns, len(SYN_LIFETIMES_S) - 1)]
