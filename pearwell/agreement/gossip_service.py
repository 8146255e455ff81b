"""Kernel service that runs the gossip protocol."""

import random

from pearwell.agreement.gossip import Gossip
from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.kernel import QueuedService
from pearwell.messages import Entry, EntryAdopted, Message, PeerMessage, ViewChanged

__all__ = ["GossipService"]

TICK_INTERVAL_S = 0.2


class GossipService(QueuedService):
    """The kernel service "gossip"; publishes every adopted entry.

    Args:
        instance: Id of the local instance.
        transport: Sends messages to peers.
        clock: Source of monotonic time.
        rng: Selects peers at random.
    """

    name = "gossip"
    accepts: tuple[type[Message], ...] = (PeerMessage, ViewChanged)
    interval_s = TICK_INTERVAL_S

    def __init__(
        self, instance: str, transport: Transport, clock: Clock, rng: random.Random
    ) -> None:
        super().__init__()
        self._gossip = Gossip(instance, transport, clock, rng, self._publish)

    @property
    def gossip(self) -> Gossip:
        """The protocol core, through which other services put and read entries."""
        return self._gossip

    async def handle(self, message: Message) -> None:
        """Handles a message from a peer or updates the peers after a view change."""
        match message:
            case PeerMessage(sender=sender, message=content):
                self._gossip.handle(sender, content)
            case ViewChanged(view=view):
                self._gossip.set_peers(member.instance for member in view.members)

    async def tick(self) -> None:
        """Runs the periodic work of the protocol."""
        self._gossip.tick()

    def _publish(self, entry: Entry) -> None:
        self.kernel.publish(EntryAdopted(entry))
