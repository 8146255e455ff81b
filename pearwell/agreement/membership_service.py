"""Kernel service that maintains the view of the zone's members."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import structlog

from pearwell.agreement.gossip import Gossip
from pearwell.agreement.rendezvous import rank
from pearwell.agreement.swim import TICK_INTERVAL_S, Swim, SwimCallbacks
from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.errors import PlatformError
from pearwell.kernel import Kernel, QueuedService
from pearwell.messages import Message, PeerMessage, ViewChanged, ViewRenewed
from pearwell.model.membership import Member, View
from pearwell.settings import Settings

__all__ = ["MembershipService", "PeerTransport", "SeedSource", "local_member"]

SEED_RETRY_S = 1.0
SEED_POLL_INTERVAL_S = 30.0
SHARED_DOMAIN = "placement"

SeedSource = Callable[[], Awaitable[Iterable[Member]]]


class PeerTransport(Transport, Protocol):
    """A transport that needs the address of an instance before it can send to it."""

    def set_address(self, member: Member) -> None:
        """Sets the address of an instance, whether it is a member or not."""


_log = structlog.get_logger()


def local_member(settings: Settings) -> Member:
    """Returns the member record of the local instance from its settings."""
    return Member(settings.instance, settings.address, settings.peer_port, settings.control_port)


class MembershipService(QueuedService):
    """The kernel service "membership".

    Args:
        settings: Settings with the local instance and the configured seed peers.
        peers: Transport for protocol messages; receives the members' addresses.
        gossip: Replicated state; compared with a peer whose checksum differs.
        clock: Source of monotonic time.
        rng: Selects members at random.
        seed_source: Reads seeds from the platform's instance list; None without a platform.
    """

    name = "membership"
    accepts: tuple[type[Message], ...] = (PeerMessage,)
    interval_s = TICK_INTERVAL_S

    def __init__(
        self,
        settings: Settings,
        peers: PeerTransport,
        gossip: Gossip,
        clock: Clock,
        rng: random.Random,
        seed_source: SeedSource | None = None,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._seed_source = seed_source
        self._configured_seeds = [
            Member(peer.instance, peer.address, peer.peer_port, peer.control_port)
            for peer in settings.peers
        ]
        callbacks = SwimCallbacks(
            self._publish_view, self._publish_renewal, gossip.compare, peers.set_address
        )
        self._swim = Swim(
            local_member(settings),
            peers,
            clock,
            rng,
            callbacks,
            state_checksum=lambda: gossip.checksum(SHARED_DOMAIN),
        )

    @property
    def swim(self) -> Swim:
        """The protocol core."""
        return self._swim

    async def start(self, kernel: Kernel) -> None:
        """Starts joining the zone."""
        self._swim.set_seeds(self._configured_seeds)
        await super().start(kernel)
        if self._seed_source is not None:
            self._spawn(self._poll_seed_source(self._seed_source))

    async def stop(self) -> None:
        """Announces to the neighbours that this instance stops."""
        self._swim.stop()
        await super().stop()

    def leave(self) -> None:
        """Announces that this instance is leaving; it keeps running until it is stopped."""
        self._swim.leave()

    async def handle(self, message: Message) -> None:
        """Handles a message from another instance."""
        if isinstance(message, PeerMessage):
            self._swim.handle(message.sender, message.message)

    async def tick(self) -> None:
        """Runs the periodic work of the protocol."""
        self._swim.tick()

    async def _poll_seed_source(self, seed_source: SeedSource) -> None:
        """Polls the platform's list until the zone is joined, then only on one instance."""
        while True:
            if not self._swim.joined or self._is_polling_instance():
                try:
                    self._swim.set_seeds([*self._configured_seeds, *await seed_source()])
                except PlatformError as error:
                    _log.info("instance_list_unavailable", code=error.code.name)
            alone = len(self._swim.view.members) == 1
            delay = SEED_RETRY_S if alone or not self._swim.joined else SEED_POLL_INTERVAL_S
            await asyncio.sleep(delay)

    def _is_polling_instance(self) -> bool:
        members = [member.instance for member in self._swim.view.members]
        return rank(self._settings.zone, members, 1) == (self._settings.instance,)

    def _publish_view(self, view: View) -> None:
        _log.info("view_changed", version=view.version, members=len(view.members))
        self.kernel.publish(ViewChanged(view))

    def _publish_renewal(self, confirmed_at: float) -> None:
        self.kernel.publish(ViewRenewed(confirmed_at))
