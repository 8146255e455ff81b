"""Tracks which instance holds which version of the queried keys."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pearwell.agreement.entry_set import EntrySet
from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.messages import Entry, EntryVersion, HoldersQuery, HoldersReply

__all__ = ["Holders"]

QUERY_INTERVAL_S = 0.5
SUBSCRIPTION_S = 10.0


@dataclass(slots=True)
class _Subscription:
    """A local subscription to the versions that peers hold of a key."""

    expires_at: float
    queried_at: float = float("-inf")
    holders: dict[str, EntryVersion] = field(default_factory=dict)


class Holders:
    """Queries the versions that peers hold, and replies to their queries.

    A key that no one queries causes no traffic. An instance queries only peers whose version is
    unknown or lower than its own; each replies at once, and again whenever its version rises
    during the subscription that the query starts.

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
        self._subscriptions: dict[str, _Subscription] = {}
        self._subscribers: dict[str, dict[str, float]] = {}

    def versions_of(self, key: str) -> dict[str, EntryVersion]:
        """Returns the version of a key that each instance is known to hold.

        The first call for a key starts queries to the peers; poll until the result is complete.
        """
        now = self._clock.now()
        subscription = self._subscriptions.setdefault(key, _Subscription(expires_at=now))
        subscription.expires_at = now + SUBSCRIPTION_S
        if now - subscription.queried_at >= QUERY_INTERVAL_S:
            self._query([key])
        held = self._entries.get(key)
        local = {self._instance: held.version} if held else {}
        return subscription.holders | local

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Sets the other members of the zone."""
        self._peers = peers
        for subscription in self._subscriptions.values():
            known = subscription.holders.items()
            subscription.holders = {name: version for name, version in known if name in peers}

    def tick(self) -> None:
        """Drops expired subscriptions and retries queries whose replies are missing."""
        now = self._clock.now()
        self._subscriptions = {k: s for k, s in self._subscriptions.items() if s.expires_at > now}
        for key in list(self._subscribers):
            live = {
                peer: expires_at
                for peer, expires_at in self._subscribers[key].items()
                if expires_at > now
            }
            if live:
                self._subscribers[key] = live
            else:
                del self._subscribers[key]
        due = [k for k, s in self._subscriptions.items() if now - s.queried_at >= QUERY_INTERVAL_S]
        self._query(due)

    def notify_subscribers(self, entries: Iterable[Entry]) -> None:
        """Sends the versions of newly adopted entries to the peers subscribed to them."""
        by_peer: dict[str, list[tuple[str, EntryVersion]]] = {}
        for entry in entries:
            for peer in self._subscribers.get(entry.key, ()):
                by_peer.setdefault(peer, []).append((entry.key, entry.version))
        for peer, versions in by_peer.items():
            self._transport.send(peer, HoldersReply(tuple(versions)))

    def on_query(self, sender: str, message: HoldersQuery) -> None:
        """Replies to a query and subscribes the sender to its keys."""
        expires_at = self._clock.now() + SUBSCRIPTION_S
        for key in message.keys:
            self._subscribers.setdefault(key, {})[sender] = expires_at
        found = [entry for key in message.keys if (entry := self._entries.get(key)) is not None]
        self._transport.send(sender, HoldersReply(tuple((e.key, e.version) for e in found)))

    def on_reply(self, sender: str, message: HoldersReply) -> None:
        """Records the versions that a peer holds."""
        for key, version in message.versions:
            subscription = self._subscriptions.get(key)
            known = subscription.holders.get(sender) if subscription else None
            if subscription is not None and (known is None or known < version):
                subscription.holders[sender] = version

    def _query(self, keys: list[str]) -> None:
        by_peer: dict[str, list[str]] = {}
        for key in keys:
            subscription = self._subscriptions[key]
            subscription.queried_at = self._clock.now()
            held = self._entries.get(key)
            for peer in self._peers:
                version = subscription.holders.get(peer)
                if version is None or (held is not None and version < held.version):
                    by_peer.setdefault(peer, []).append(key)
        for peer, lacking in by_peer.items():
            self._transport.send(peer, HoldersQuery(tuple(lacking)))
