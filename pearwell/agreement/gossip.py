"""Gossip protocol: replicates versioned entries to every instance of a zone."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import reduce
from operator import xor
from typing import Any

from pearwell.agreement.entry_set import EntrySet, domain_of
from pearwell.agreement.holders import Holders
from pearwell.agreement.ring import successors
from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.messages import (
    Digest,
    Entry,
    EntryVersion,
    HoldersQuery,
    HoldersReply,
    Message,
    Offer,
    Pull,
    Push,
)

__all__ = ["URGENT_DOMAINS", "Gossip"]

PUSH_CHUNK_BYTES = 32_768
PUSH_BYTES_PER_S = 12_000
PUSH_BURST_BYTES = 64_000
# Below this token level, entries that aren't urgent are batched and sent on fewer rings.
URGENT_RESERVE_BYTES = 48_000
NON_URGENT_RING_COUNT = 2
COMPARE_INTERVAL_S = 0.5
RANDOM_COMPARE_INTERVAL_S = 5.0
# Minimum time between two replies to digests that differ only in entries that aren't urgent.
NON_URGENT_REPAIR_INTERVAL_S = 3.0
ENTRY_OVERHEAD_BYTES = 16
# Entries of at least this size are offered before they are sent, so that each instance
# receives them only once.
OFFER_THRESHOLD_BYTES = 1_024
PULL_RETRY_S = 0.3

# Entries of these domains (first path element of the key) bypass the push budget.
URGENT_DOMAINS = frozenset({"config", "placement"})


@dataclass(slots=True)
class _PendingPull:
    """A requested entry that hasn't arrived, with the other peers that offered it."""

    version: EntryVersion
    requested_at: float
    sources: list[str] = field(default_factory=list)


class Gossip:
    """Replicates the entries of one instance to and from its peers.

    A new entry is pushed to the ring neighbours at once. Anti-entropy repairs lost pushes: two
    peers compare a checksum over all entries, then one per shard of the key space, and then the
    versions in the shards that differ.

    Args:
        instance: Id of the local instance.
        transport: Sends messages to peers.
        clock: Source of monotonic time.
        rng: Selects peers at random.
        on_adopted: Called with every adopted entry, including those put locally.
    """

    def __init__(
        self,
        instance: str,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        on_adopted: Callable[[Entry], None],
    ) -> None:
        self._instance = instance
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._on_adopted = on_adopted
        self._entries = EntrySet(clock)
        self._holders = Holders(instance, transport, clock, self._entries)
        self._peers: tuple[str, ...] = ()
        self._neighbours: tuple[str, ...] = ()
        self._deferred: dict[str, tuple[Entry, str]] = {}
        self._tokens = float(PUSH_BURST_BYTES)
        self._refilled_at = clock.now()
        self._next_compare_at = clock.now()
        self._next_random_compare_at = clock.now() + RANDOM_COMPARE_INTERVAL_S * rng.random()
        self._non_urgent_repaired_at = float("-inf")
        self._pending_pulls: dict[str, _PendingPull] = {}
        self._handlers: dict[type[Message], Callable[[str, Any], None]] = {
            Push: self._on_push,
            Offer: self._on_offer,
            Digest: self._on_digest,
            Pull: self._on_pull,
            HoldersQuery: self._holders.on_query,
            HoldersReply: self._holders.on_reply,
        }

    @property
    def neighbours(self) -> tuple[str, ...]:
        """Ring neighbours, to which new entries are pushed."""
        return self._neighbours

    def put(self, entry: Entry) -> bool:
        """Adopts an entry whose version is higher than the held one and pushes it to peers.

        Returns:
            Whether the entry was adopted.
        """
        if not self._adopt(entry):
            return False
        self._disseminate([entry], exclude="")
        return True

    def get(self, key: str) -> Entry | None:
        """Returns the held entry of a key, or None."""
        return self._entries.get(key)

    def entries(self, prefix: str) -> list[Entry]:
        """Returns all held entries whose key starts with a prefix, sorted by key."""
        return self._entries.with_prefix(prefix)

    def checksum(self, domain: str) -> int:
        """Returns a hash over the keys and versions of a domain (first path element)."""
        return self._entries.domain_checksum(domain)

    def holders(self, key: str) -> dict[str, EntryVersion]:
        """Returns the version of a key that each instance is known to hold.

        The first call for a key starts queries to the peers; poll until the result is complete.
        """
        return self._holders.versions_of(key)

    def set_peers(self, instances: Iterable[str]) -> None:
        """Sets the other members of the zone.

        Args:
            instances: Instance ids; the local one is ignored.
        """
        self._peers = tuple(sorted(set(instances) - {self._instance}))
        self._neighbours = successors(self._instance, self._peers)
        self._holders.set_peers(self._peers)

    def compare(self, peer: str) -> None:
        """Starts an anti-entropy comparison with a peer."""
        self._transport.send(peer, Digest(self._entries.checksum, urgent=self._urgent_checksum()))

    def handle(self, sender: str, message: Message) -> None:
        """Handles a message from a peer; ignores types of other protocols."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def tick(self) -> None:
        """Runs deferred pushes, pull retries, comparisons, expiry and holder queries."""
        now = self._clock.now()
        self._flush()
        self._retry_pulls(now)
        if now >= self._next_compare_at and self._neighbours:
            self._next_compare_at = now + COMPARE_INTERVAL_S
            self.compare(self._rng.choice(self._neighbours))
        if now >= self._next_random_compare_at and self._peers:
            self._next_random_compare_at = now + RANDOM_COMPARE_INTERVAL_S
            self.compare(self._rng.choice(self._peers))
        self._entries.expire()
        self._holders.tick()

    def _adopt(self, entry: Entry) -> bool:
        adopted = self._entries.adopt(entry)
        if adopted is not None:
            self._on_adopted(adopted)
        return adopted is not None

    # Push.

    def _disseminate(self, entries: list[Entry], exclude: str) -> None:
        self._refill()
        urgent = [e for e in entries if domain_of(e.key) in URGENT_DOMAINS]
        self._push_to_neighbours(urgent, exclude)
        non_urgent = [e for e in entries if domain_of(e.key) not in URGENT_DOMAINS]
        if self._tokens > URGENT_RESERVE_BYTES and not self._deferred:
            self._push_to_neighbours(non_urgent, exclude)
        else:
            self._deferred.update((entry.key, (entry, exclude)) for entry in non_urgent)
        self._holders.notify_subscribers(entries)

    def _push_to_neighbours(self, entries: list[Entry], exclude: str) -> None:
        small = [entry for entry in entries if _size_of(entry) < OFFER_THRESHOLD_BYTES]
        large = [entry for entry in entries if _size_of(entry) >= OFFER_THRESHOLD_BYTES]
        for peer in self._neighbours:
            if peer != exclude:
                self._tokens -= self._push(peer, small) + self._offer(peer, large)

    def _flush(self) -> None:
        """Pushes deferred entries until the budget is used up."""
        self._refill()
        neighbours = self._neighbours[:NON_URGENT_RING_COUNT]
        budget = self._tokens / max(1, len(neighbours))
        batch: list[tuple[Entry, str]] = []
        while self._deferred and budget > 0:
            entry, sender = self._deferred.pop(next(iter(self._deferred)))
            if self._entries.get(entry.key) is not None:
                budget -= _size_of(entry)
                batch.append((entry, sender))
        for peer in neighbours:
            unseen = [entry for entry, sender in batch if sender != peer]
            self._tokens -= self._push(peer, unseen)

    def _refill(self) -> None:
        now = self._clock.now()
        refilled = (now - self._refilled_at) * PUSH_BYTES_PER_S
        self._tokens = min(PUSH_BURST_BYTES, self._tokens + refilled)
        self._refilled_at = now

    def _push(self, peer: str, entries: Iterable[Entry]) -> int:
        """Sends entries in chunks and returns their approximate size in bytes."""
        sent = 0
        chunk: list[Entry] = []
        chunk_bytes = 0
        for entry in entries:
            chunk.append(self._entries.with_age(entry))
            chunk_bytes += _size_of(entry)
            if chunk_bytes >= PUSH_CHUNK_BYTES:
                self._transport.send(peer, Push(tuple(chunk)))
                sent, chunk, chunk_bytes = sent + chunk_bytes, [], 0
        if chunk:
            self._transport.send(peer, Push(tuple(chunk)))
        return sent + chunk_bytes

    def _offer(self, peer: str, entries: list[Entry]) -> int:
        """Offers entries and returns the approximate size of the offer in bytes."""
        if entries:
            self._transport.send(peer, Offer(tuple((e.key, e.version) for e in entries)))
        return sum(len(entry.key) + ENTRY_OVERHEAD_BYTES for entry in entries)

    def _on_offer(self, sender: str, message: Offer) -> None:
        now = self._clock.now()
        pulled = []
        for key, version in message.versions:
            pending = self._pending_pulls.get(key)
            if not self._entries.lacks(key, version):
                continue
            if pending is not None and pending.version >= version:
                pending.sources.append(sender)
            else:
                self._pending_pulls[key] = _PendingPull(version, now)
                pulled.append(key)
        if pulled:
            self._transport.send(sender, Pull(tuple(pulled)))

    def _retry_pulls(self, now: float) -> None:
        """Requests overdue entries from another peer that offered them."""
        for key, pending in list(self._pending_pulls.items()):
            if not self._entries.lacks(key, pending.version):
                del self._pending_pulls[key]
            elif now - pending.requested_at >= PULL_RETRY_S:
                pending.requested_at = now
                if not pending.sources:
                    del self._pending_pulls[key]
                else:
                    self._transport.send(pending.sources.pop(0), Pull((key,)))

    def _on_push(self, sender: str, message: Push) -> None:
        new_entries = [entry for entry in message.entries if self._adopt(entry)]
        if new_entries:
            self._disseminate(new_entries, exclude=sender)

    def _on_pull(self, sender: str, message: Pull) -> None:
        found = [entry for key in message.keys if (entry := self._entries.get(key)) is not None]
        self._push(sender, found)

    # Anti-entropy.

    def _on_digest(self, sender: str, message: Digest) -> None:
        if message.checksum == self._entries.checksum:
            return
        if message.listed:
            self._reconcile(sender, message)
        elif message.shards:
            self._transport.send(sender, self._list_versions(message))
        elif message.urgent != self._urgent_checksum() or self._may_repair_non_urgent():
            reply = Digest(self._entries.checksum, shards=self._entries.shard_checksums)
            self._transport.send(sender, reply)

    def _urgent_checksum(self) -> int:
        return reduce(xor, (self._entries.domain_checksum(name) for name in URGENT_DOMAINS))

    def _may_repair_non_urgent(self) -> bool:
        now = self._clock.now()
        if now - self._non_urgent_repaired_at < NON_URGENT_REPAIR_INTERVAL_S:
            return False
        self._non_urgent_repaired_at = now
        return True

    def _list_versions(self, message: Digest) -> Digest:
        pairs = zip(self._entries.shard_checksums, message.shards, strict=False)
        listed = tuple(index for index, (local, remote) in enumerate(pairs) if local != remote)
        held = self._entries.in_shards(listed)
        versions = tuple((entry.key, entry.version) for entry in held)
        return Digest(self._entries.checksum, versions=versions, listed=listed)

    def _reconcile(self, sender: str, message: Digest) -> None:
        theirs = dict(message.versions)
        missing = tuple(key for key, version in theirs.items() if self._entries.lacks(key, version))
        held = self._entries.in_shards(message.listed)
        self._push(sender, [e for e in held if e.key not in theirs or theirs[e.key] < e.version])
        if missing:
            self._transport.send(sender, Pull(missing))


def _size_of(entry: Entry) -> int:
    return len(entry.payload) + len(entry.key) + ENTRY_OVERHEAD_BYTES
