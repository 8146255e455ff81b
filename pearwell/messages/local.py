"""Messages between the services of one instance; each names the service that publishes it."""

from pearwell.messages.base import Message, wire_message
from pearwell.messages.gossip import Entry
from pearwell.model.configuration import Configuration
from pearwell.model.membership import View
from pearwell.model.placement import Placement, TargetState

__all__ = [
    "BucketsClear",
    "ConfigurationChanged",
    "EntryAdopted",
    "FlowsMetered",
    "PeerMessage",
    "PlacementChanged",
    "SynsSampled",
    "TargetStateChanged",
    "ViewChanged",
    "ViewRenewed",
    "WeightsChanged",
]


class ConfigurationChanged(Message, frozen=True):
    """The applied configuration changed; from "configuration"."""

    configuration: Configuration


class EntryAdopted(Message, frozen=True):
    """This instance adopted a gossip entry of a higher version; from "gossip"."""

    entry: Entry


class ViewChanged(Message, frozen=True):
    """The members of the zone changed; from "membership"."""

    view: View


class ViewRenewed(Message, frozen=True):
    """The view is confirmed to be current; from "membership".

    Attributes:
        confirmed_at: Time of the latest confirmation in seconds of the instance's clock.
    """

    confirmed_at: float


class PlacementChanged(Message, frozen=True):
    """This instance applied a placement of a higher generation; from "placement"."""

    placement: Placement


@wire_message
class BucketsClear(Message, frozen=True):
    """All live flows of these buckets are on their current target; from "packets".

    The placement service sends it on to the instance that plans for the group.
    """

    group: str
    buckets: tuple[int, ...]
    generation: int


class FlowsMetered(Message, frozen=True):
    """Counts of new and ended flows since the previous message; from "packets"."""

    group: str
    started: tuple[tuple[str, int], ...]
    ended: tuple[tuple[str, int], ...]


class SynsSampled(Message, frozen=True):
    """Sampled SYNs sent to a target; from "packets".

    Retransmissions aren't filtered out, as the fabric may route them to different instances. Only
    the group's balancer, which receives all samples, can detect them.
    """

    group: str
    target: str
    flow_hashes: tuple[int, ...]


class TargetStateChanged(Message, frozen=True):
    """The health state that the zone agrees on for a target changed; from "prober"."""

    group: str
    target: str
    state: TargetState


class WeightsChanged(Message, frozen=True):
    """Desired weights of a group's targets in this zone; from "balancer"."""

    group: str
    weights: tuple[tuple[str, int], ...]


class PeerMessage(Message, frozen=True):
    """A message received from another instance; from "peers"."""

    sender: str
    message: Message
