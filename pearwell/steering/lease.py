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
# Peers queried at the same time while the lease is invalid.
LAPSE_QUERY_PEERS = 3
# Fraction of the lease between two queries; the lease survives the loss of a few replies.
QUERY_INTERVAL_FRACTION = 0.25

_NEVER = float("-inf")


class ViewLease:
    """Valid while membership confirms the view and a peer confirms that no placement is missing.

    Membership alone doesn't show that no placement was missed, so a random peer is queried a few
    times per lease for higher generations.

    Args:
        transport: Carries messages to other instances.
        clock: Source of time.
        rng: Chooses the peers to query.
        lease_s: Seconds for which the lease is valid after an update.
        generations: Returns the local generation by group.
        on_renewed: Called after every update that leaves the lease valid.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        lease_s: float,
        generations: Callable[[], dict[str, Generation]],
        on_renewed: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._lease_s = lease_s
        self._generations = generations
        self._on_renewed = on_renewed
        self._peers: list[str] = []
        self._view_confirmed_at = _NEVER
        self._placements_confirmed_at = _NEVER
        self._last_query = 0
        self._last_query_at = _NEVER
        self._pending_queries: dict[int, float] = {}
        self._missing_placements: dict[str, Generation] = {}
        self._missing_queried_at = _NEVER

    @property
    def valid(self) -> bool:
        """Whether the lease is valid now."""
        latest = min(self._view_confirmed_at, self._placements_confirmed_at)
        return self._clock.now() - latest <= self._lease_s

    def set_peers(self, peers: Iterable[str]) -> None:
        """Sets the peers to query."""
        self._peers = sorted(peers)

    def renew_membership(self, confirmed_at: float) -> None:
        """Records the time in seconds at which membership last confirmed the view."""
        self._view_confirmed_at = max(self._view_confirmed_at, confirmed_at)
        self._notify_if_valid()

    def query_peers(self) -> None:
        """Queries a few peers at the same time, to end a lapse quickly."""
        for peer in self._rng.sample(self._peers, min(LAPSE_QUERY_PEERS, len(self._peers))):
            self._query(peer)

    def tick(self) -> None:
        """Queries one peer when due, or a few peers while the lease is invalid."""
        due = self._clock.now() - self._last_query_at >= self._lease_s * QUERY_INTERVAL_FRACTION
        if not self.valid:
            self.query_peers()
        elif self._peers and due:
            self._query(self._rng.choice(self._peers))

    def check_missing_placements(self) -> None:
        """Renews the lease if all missing placements have arrived."""
        own = self._generations()
        if self._missing_placements and not _newer_generations(self._missing_placements, own):
            self._confirm_placements(self._missing_queried_at)

    def handle(self, sender: str, message: Message) -> bool:
        """Handles a message; returns False if it doesn't belong to the lease."""
        if isinstance(message, PlacementQuery):
            self._on_query(sender, message)
            return True
        if isinstance(message, PlacementState):
            self._on_state(message)
            return True
        return False

    def _query(self, peer: str) -> None:
        now = self._clock.now()
        self._pending_queries = {
            n: at for n, at in self._pending_queries.items() if now - at < self._lease_s
        }
        self._last_query += 1
        self._last_query_at = now
        self._pending_queries[self._last_query] = now
        self._transport.send(peer, PlacementQuery(self._last_query, _checksum(self._generations())))

    def _on_query(self, sender: str, message: PlacementQuery) -> None:
        own = self._generations()
        differs = message.checksum != _checksum(own)
        known = tuple(own.items()) if differs else ()
        self._transport.send(sender, PlacementState(message.number, known))

    def _on_state(self, message: PlacementState) -> None:
        sent_at = self._pending_queries.pop(message.number, _NEVER)
        own = self._generations()
        newer = _newer_generations(dict(message.generations), own)
        if not own:
            return
        if newer:
            self._missing_placements, self._missing_queried_at = newer, sent_at
        else:
            self._confirm_placements(sent_at)

    def _confirm_placements(self, at: float) -> None:
        self._missing_placements = {}
        self._placements_confirmed_at = max(self._placements_confirmed_at, at)
        self._notify_if_valid()

    def _notify_if_valid(self) -> None:
        if self.valid:
            self._on_renewed()


def _newer_generations(
    theirs: dict[str, Generation], own: dict[str, Generation]
) -> dict[str, Generation]:
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
