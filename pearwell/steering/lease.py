"""The view lease: how long an instance may rely on its view and placements without updates."""

import random
from collections.abc import Callable, Iterable

from xxhash import xxh3_64_intdigest

from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.messages import Message
from pearwell.messages.steering import PlacementQuery, PlacementState
from pearwell.model.placement import Generation

__all__ = ["VIEW_LEASE_S", "ViewLease"]

VIEW_LEASE_S = 1.0
# Peers queried at once after the lease lapsed.
URGENT_PEERS = 3
# Fraction of the lease between two queries; the lease survives the loss of a few answers.
ASK_SHARE = 0.25

_NEVER = float("-inf")


class ViewLease:
    """Valid while membership hears from the zone and a peer confirms the placements.

    Membership alone doesn't show that no placement was missed, so a random peer is queried a few
    times per lease for higher generations.

    Args:
        transport: Carries messages to other instances.
        clock: Source of time.
        rng: Chooses the peers to query.
        lease_s: Seconds for which the lease is valid after an update.
        generations: Returns the local generation by group.
        renewed: Called after every update that leaves the lease valid.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        lease_s: float,
        generations: Callable[[], dict[str, Generation]],
        renewed: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._lease_s = lease_s
        self._generations = generations
        self._renewed = renewed
        self._peers: list[str] = []
        self._heard_at = _NEVER
        self._confirmed_at = _NEVER
        self._number = 0
        self._queried_at = _NEVER
        self._asked_at: dict[int, float] = {}
        self._missing: dict[str, Generation] = {}
        self._missing_at = _NEVER

    @property
    def valid(self) -> bool:
        """Whether the lease is valid now."""
        latest = min(self._heard_at, self._confirmed_at)
        return self._clock.now() - latest <= self._lease_s

    def set_peers(self, peers: Iterable[str]) -> None:
        """Sets the peers to query."""
        self._peers = sorted(peers)

    def hear(self, heard_at: float) -> None:
        """Records that membership heard from the zone at a time in seconds."""
        self._heard_at = max(self._heard_at, heard_at)
        self._announce()

    def ask(self) -> None:
        """Queries a few peers at once, to end a lapse quickly."""
        for peer in self._rng.sample(self._peers, min(URGENT_PEERS, len(self._peers))):
            self._query(peer)

    def tick(self) -> None:
        """Queries one peer when due, or a few peers while the lease is invalid."""
        due = self._clock.now() - self._queried_at >= self._lease_s * ASK_SHARE
        if not self.valid:
            self.ask()
        elif self._peers and due:
            self._query(self._rng.choice(self._peers))

    def check_caught_up(self) -> None:
        """Renews the lease if all missing placements have arrived."""
        own = self._generations()
        if self._missing and not _newer(self._missing, own):
            self._confirm(self._missing_at)

    def handle(self, sender: str, message: Message) -> bool:
        """Handles a message; returns False if it doesn't belong to the lease."""
        if isinstance(message, PlacementQuery):
            self._answer(sender, message)
            return True
        if isinstance(message, PlacementState):
            self._on_state(message)
            return True
        return False

    def _query(self, peer: str) -> None:
        now = self._clock.now()
        self._asked_at = {n: at for n, at in self._asked_at.items() if now - at < self._lease_s}
        self._number += 1
        self._queried_at = now
        self._asked_at[self._number] = now
        self._transport.send(peer, PlacementQuery(self._number, _checksum(self._generations())))

    def _answer(self, sender: str, message: PlacementQuery) -> None:
        own = self._generations()
        differs = message.checksum != _checksum(own)
        known = tuple(own.items()) if differs else ()
        self._transport.send(sender, PlacementState(message.number, known))

    def _on_state(self, message: PlacementState) -> None:
        asked_at = self._asked_at.pop(message.number, _NEVER)
        own = self._generations()
        newer = _newer(dict(message.generations), own)
        if not own:
            return
        if newer:
            self._missing, self._missing_at = newer, asked_at
        else:
            self._confirm(asked_at)

    def _confirm(self, at: float) -> None:
        self._missing = {}
        self._confirmed_at = max(self._confirmed_at, at)
        self._announce()

    def _announce(self) -> None:
        if self.valid:
            self._renewed()


def _newer(theirs: dict[str, Generation], own: dict[str, Generation]) -> dict[str, Generation]:
    """Returns the generations above the local ones; ignores groups unknown locally."""
    return {
        name: generation
        for name, generation in theirs.items()
        if name in own and generation > own[name]
    }


def _checksum(generations: dict[str, Generation]) -> int:
    """Returns a 32-bit hash over the generations, sorted by group."""
    ordered = sorted(generations.items())
    text = "\0".join(f"{name}\0{g.counter}\0{g.instance}" for name, g in ordered)
    return xxh3_64_intdigest(text.encode()) & 0xFFFFFFFF
