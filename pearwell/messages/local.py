"""Messages between the services of one instance."""

from pearwell.messages.base import Message, wire
from pearwell.messages.gossip import Entry
from pearwell.model.configuration import Configuration
from pearwell.model.membership import View
from pearwell.model.placement import Placement, TargetState

__all__ = [
    "BucketsClear",
    "ConfigurationChanged",
    "EntryAdopted",
    "FlowsStarted",
    "PeerMessage",
    "PlacementChanged",
    "SynsSeen",
    "TargetJudged",
    "ViewChanged",
    "ViewRenewed",
    "WeightsChanged",
]


class ConfigurationChanged(Message, frozen=True):
    """The applied configuration changed; from "configuration"."""

    configuration: Configuration


class EntryAdopted(Message, frozen=True):
    """A gossip entry of a higher version is held here; from "gossip"."""

    entry: Entry


class ViewChanged(Message, frozen=True):
    """The members of the zone changed; from "membership"."""

    view: View


class ViewRenewed(Message, frozen=True):
    """The zone was heard from and the view is current; from "membership".

    Attributes:
        heard_at: Time of the latest proof in seconds of the instance's clock.
    """

    heard_at: float


class PlacementChanged(Message, frozen=True):
    """A placement of a higher generation is in force here; from "placement"."""

    placement: Placement


@wire
class BucketsClear(Message, frozen=True):
    """No live flow is left off the current target of these buckets; from "packets".

    It is passed on to the instance that plans for the group.
    """

    group: str
    buckets: tuple[int, ...]
    generation: int


class FlowsStarted(Message, frozen=True):
    """Flow starts and ends seen since the last such message; from "packets"."""

    group: str
    started: tuple[tuple[str, int], ...]
    ended: tuple[tuple[str, int], ...]


class SynsSeen(Message, frozen=True):
    """A sample of the SYNs sent to a target; from "packets".

    Each SYN stands for itself, as the fabric may hand the repeats of one to different instances;
    only the group's balancer, which hears of all of them, can tell repeats.
    """

    group: str
    target: str
    flow_hashes: tuple[int, ...]


class TargetJudged(Message, frozen=True):
    """The zone's verdict on a target changed; from "prober"."""

    group: str
    target: str
    state: TargetState


class WeightsChanged(Message, frozen=True):
    """Wanted weights of a group's targets in this zone; from "balancer"."""

    group: str
    weights: tuple[tuple[str, int], ...]


class PeerMessage(Message, frozen=True):
    """A message that another instance sent; from "peers"."""

    sender: str
    message: Message
