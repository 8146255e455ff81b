"""Messages and gossip payloads about targets."""

import msgspec

from pearwell.messages.base import Message, wire_message
from pearwell.model.load_report import LoadReport
from pearwell.model.placement import TargetState

__all__ = [
    "FlowCounts",
    "FlowsCounted",
    "GroupLoad",
    "GroupWeights",
    "LoadReported",
    "OpenFlowsReported",
    "SilenceVerdict",
    "TargetVerdict",
]


class TargetVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Payload of verdict/<group>/<target>/<prober>: one prober's verdict on a target."""

    state: TargetState


class SilenceVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Payload of silence/<group>/<target>: how long the target counts as silent.

    A silent target leaves the SYNs of new flows unanswered.

    Attributes:
        hold_s: Seconds from receipt for which it counts as silent; 0 clears the state.
    """

    hold_s: float


class GroupWeights(msgspec.Struct, frozen=True, array_like=True):
    """Payload of weights/<group>: desired weights of the working targets of the zone."""

    weights: tuple[tuple[str, int], ...]


class GroupLoad(msgspec.Struct, frozen=True, array_like=True):
    """Payload of load/<group>: open flows by target, to enforce the limits on them."""

    open_flows: tuple[tuple[str, int], ...]


class FlowCounts(msgspec.Struct, frozen=True, array_like=True):
    """Flow counts of one target, as seen by one instance.

    Attributes:
        target: Name of the target.
        started: Number of new flows sent to it.
        ended: Number of its flows that ended.
        syns: Flow hashes of sampled SYNs sent to it, one for each SYN.
    """

    target: str
    started: int = 0
    ended: int = 0
    syns: tuple[int, ...] = ()


@wire_message
class LoadReported(Message, frozen=True):
    """The load of one target, sent by one of its probers to the group's balancer."""

    group: str
    target: str
    report: LoadReport


@wire_message
class FlowsCounted(Message, frozen=True, tag="StartsCounted"):
    """Flow counts since the sender's previous message, sent to the group's balancer."""

    group: str
    counts: tuple[FlowCounts, ...]


class OpenFlowsReported(Message, frozen=True):
    """Open flows of a group in the zone by target; from "balancer" to "packets"."""

    group: str
    open_flows: tuple[tuple[str, int], ...]
