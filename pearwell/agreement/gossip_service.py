"""The kernel service that runs gossip."""

import random

from pearwell.agreement.gossip import Gossip
from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.kernel import QueuedService
from pearwell.messages import Entry, EntryAdopted, Message, PeerMessage, ViewChanged

__all__ = ["GossipService"]

TICK_INTERVAL_S = 0.2


class GossipService(QueuedService):
    """The kernel service "gossip"; publishes every entry that it adopts.

    Args:
        instance: Id of the own instance.
        transport: Sends messages to peers.
        clock: Source of monotonic time.
        rng: Source of random choices.
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
        """The core, for services that put and read entries."""
        return self._gossip

    async def handle(self, message: Message) -> None:
        """Handles a peer's message or takes over the members of the zone."""
        match message:
            case PeerMessage(sender=sender, message=content):
                self._gossip.handle(sender, content)
            case ViewChanged(view=view):
                self._gossip.set_peers(member.instance for member in view.members)

    async def tick(self) -> None:
        """Does the periodic work of gossip."""
        self._gossip.tick()

    def _publish(self, entry: Entry) -> None:
        self.kernel.publish(EntryAdopted(entry))
