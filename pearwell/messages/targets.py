"""Messages and gossip payloads about targets."""

import msgspec

from pearwell.messages.base import Message, wire
from pearwell.model.load_report import LoadReport
from pearwell.model.placement import TargetState

__all__ = [
    "FlowCounts",
    "GroupLoad",
    "GroupWeights",
    "LoadReported",
    "OpenFlowsReported",
    "SilenceVerdict",
    "StartsCounted",
    "TargetVerdict",
]


class TargetVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Payload of verdict/<group>/<target>/<prober>: the opinion of one prober."""

    state: TargetState


class SilenceVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Payload of silence/<group>/<target>: whether flow starts go unanswered.

    Attributes:
        hold_s: Time in seconds from its arrival for which the target counts as silent.
    """

    hold_s: float


class GroupWeights(msgspec.Struct, frozen=True, array_like=True):
    """Payload of weights/<group>: wanted weights of the working targets of the zone."""

    weights: tuple[tuple[str, int], ...]


class GroupLoad(msgspec.Struct, frozen=True, array_like=True):
    """Payload of load/<group>: open flows by target, for limits of open flows."""

    open_flows: tuple[tuple[str, int], ...]


class FlowCounts(msgspec.Struct, frozen=True, array_like=True):
    """What one instance saw of the flows of one target.

    Attributes:
        target: Name of the target.
        started: Flow starts sent to it.
        ended: Ends of flows seen.
        syns: Sample of flow hashes, one for each SYN sent to it.
    """

    target: str
    started: int = 0
    ended: int = 0
    syns: tuple[int, ...] = ()


@wire
class LoadReported(Message, frozen=True):
    """The load of one target, from one of its probers to the group's balancer."""

    group: str
    target: str
    report: LoadReport


@wire
class StartsCounted(Message, frozen=True):
    """Flows that the sender saw since its last such message, for the group's balancer."""

    group: str
    counts: tuple[FlowCounts, ...]


class OpenFlowsReported(Message, frozen=True):
    """Open flows of a group in the zone by target; from "balancer" to "packets"."""

    group: str
    open_flows: tuple[tuple[str, int], ...]
