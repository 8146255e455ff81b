"""Tracks which instance holds which version of the queried keys."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pearwell.agreement.entry_set import EntrySet
from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.messages import Entry, EntryVersion, HoldersQuery, HoldersReply

__all__ = ["Holders"]

QUERY_INTERVAL_S = 0.5
INTEREST_S = 10.0


@dataclass(slots=True)
class _Interest:
    """A local subscription to the versions that peers hold of a key."""

    until: float
    queried_at: float = float("-inf")
    holders: dict[str, EntryVersion] = field(default_factory=dict)


class Holders:
    """Queries the versions that peers hold, and answers their queries.

    A key that no one queries causes no traffic. An instance queries only peers whose version is
    unknown or lower than its own; each answers at once, and again whenever its version rises
    while the query is valid.

    Args:
        instance: Id of the local instance.
        transport: Sends messages to peers.
        clock: Source of monotonic time.
        entries: Entries of the local instance.
    """

    def __init__(
        self, instance: str, transport: Transport, clock: Clock, entries: EntrySet
    ) -> None:
        self._instance = instance
        self._transport = transport
        self._clock = clock
        self._entries = entries
        self._peers: tuple[str, ...] = ()
        self._interests: dict[str, _Interest] = {}
        self._watchers: dict[str, dict[str, float]] = {}

    def of(self, key: str) -> dict[str, EntryVersion]:
        """Returns the version of a key that each instance is known to hold.

        The first call for a key starts queries to the peers; poll until the result is complete.
        """
        now = self._clock.now()
        interest = self._interests.setdefault(key, _Interest(until=now))
        interest.until = now + INTEREST_S
        if now - interest.queried_at >= QUERY_INTERVAL_S:
            self._query([key])
        held = self._entries.get(key)
        own = {self._instance: held.version} if held else {}
        return interest.holders | own

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Sets the other members of the zone."""
        self._peers = peers
        for interest in self._interests.values():
            known = interest.holders.items()
            interest.holders = {name: version for name, version in known if name in peers}

    def tick(self) -> None:
        """Drops expired subscriptions and repeats queries with missing answers."""
        now = self._clock.now()
        self._interests = {k: i for k, i in self._interests.items() if i.until > now}
        for key in list(self._watchers):
            live = {peer: until for peer, until in self._watchers[key].items() if until > now}
            if live:
                self._watchers[key] = live
            else:
                del self._watchers[key]
        due = [k for k, i in self._interests.items() if now - i.queried_at >= QUERY_INTERVAL_S]
        self._query(due)

    def adopted(self, entries: Iterable[Entry]) -> None:
        """Sends the versions of newly adopted entries to the peers subscribed to them."""
        by_peer: dict[str, list[tuple[str, EntryVersion]]] = {}
        for entry in entries:
            for peer in self._watchers.get(entry.key, ()):
                by_peer.setdefault(peer, []).append((entry.key, entry.version))
        for peer, versions in by_peer.items():
            self._transport.send(peer, HoldersReply(tuple(versions)))

    def on_query(self, sender: str, message: HoldersQuery) -> None:
        """Answers a query and subscribes the sender to its keys."""
        until = self._clock.now() + INTEREST_S
        for key in message.keys:
            self._watchers.setdefault(key, {})[sender] = until
        found = [entry for key in message.keys if (entry := self._entries.get(key)) is not None]
        self._transport.send(sender, HoldersReply(tuple((e.key, e.version) for e in found)))

    def on_held(self, sender: str, message: HoldersReply) -> None:
        """Records the versions that a peer holds."""
        for key, version in message.versions:
            interest = self._interests.get(key)
            known = interest.holders.get(sender) if interest else None
            if interest is not None and (known is None or known < version):
                interest.holders[sender] = version

    def _query(self, keys: list[str]) -> None:
        by_peer: dict[str, list[str]] = {}
        for key in keys:
            interest = self._interests[key]
            interest.queried_at = self._clock.now()
            held = self._entries.get(key)
            for peer in self._peers:
                version = interest.holders.get(peer)
                if version is None or (held is not None and version < held.version):
                    by_peer.setdefault(peer, []).append(key)
        for peer, lacking in by_peer.items():
            self._transport.send(peer, HoldersQuery(tuple(lacking)))
