"""Versioned entries held by one instance, with checksums for anti-entropy."""

import math
from collections.abc import Iterable
from functools import reduce
from operator import xor

import msgspec
from xxhash import xxh3_64_intdigest

from pearwell.clock import Clock
from pearwell.messages import Entry, EntryVersion

__all__ = ["EntrySet", "domain_of"]

SHARD_COUNT = 128

# Lifetime of entries by domain; an entry expires unless it is written again in time.
LIFETIMES_S = {"verdict": 300.0}
EXPIRY_INTERVAL_S = 5.0


def domain_of(key: str) -> str:
    """Returns the domain of a key, which is its first path element."""
    return key.partition("/")[0]


class EntrySet:
    """Holds the highest known version of each entry.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._expires_at: dict[str, float] = {}
        self._next_expiry_at = clock.now()
        self._shard_checksums = [0] * SHARD_COUNT
        self._shard_keys: list[set[str]] = [set() for _ in range(SHARD_COUNT)]
        self._domain_checksums: dict[str, int] = {}

    @property
    def checksum(self) -> int:
        """A hash over all keys and versions."""
        return reduce(xor, self._shard_checksums)

    @property
    def shard_checksums(self) -> tuple[int, ...]:
        """The checksum of each shard of the key space."""
        return tuple(self._shard_checksums)

    def domain_checksum(self, domain: str) -> int:
        """Returns a hash over the keys and versions of a domain."""
        return self._domain_checksums.get(domain, 0)

    def get(self, key: str) -> Entry | None:
        """Returns the held entry of a key, or None."""
        return self._entries.get(key)

    def with_prefix(self, prefix: str) -> list[Entry]:
        """Returns all held entries whose key starts with a prefix, sorted by key."""
        return [self._entries[key] for key in sorted(self._entries) if key.startswith(prefix)]

    def in_shards(self, indices: Iterable[int]) -> list[Entry]:
        """Returns the entries of the given shards; ignores indices out of range."""
        known = (index for index in indices if 0 <= index < SHARD_COUNT)
        return [self._entries[key] for index in known for key in self._shard_keys[index]]

    def lacks(self, key: str, version: EntryVersion) -> bool:
        """Returns whether the key is missing or held at a lower version."""
        held = self._entries.get(key)
        return held is None or held.version < version

    def adopt(self, entry: Entry) -> Entry | None:
        """Stores an unexpired entry of a higher version; returns it as stored, else None."""
        if not self.lacks(entry.key, entry.version):
            return None
        lifetime = LIFETIMES_S.get(domain_of(entry.key))
        if lifetime is not None:
            if entry.age_s >= lifetime:
                return None
            self._expires_at[entry.key] = self._clock.now() + lifetime - entry.age_s
        held = self._entries.get(entry.key)
        adopted = msgspec.structs.replace(entry, age_s=0)
        self._update_checksums(
            entry.key, _fingerprint(adopted) ^ (_fingerprint(held) if held else 0)
        )
        self._shard_keys[_shard_of(entry.key)].add(entry.key)
        self._entries[entry.key] = adopted
        return adopted

    def expire(self) -> None:
        """Drops expired entries.

        Entries are sent with their age, so all instances drop one at about the same time.
        """
        now = self._clock.now()
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL_S
        for key in [key for key, at in self._expires_at.items() if at <= now]:
            entry = self._entries.pop(key)
            del self._expires_at[key]
            self._update_checksums(key, _fingerprint(entry))
            self._shard_keys[_shard_of(key)].discard(key)

    def with_age(self, entry: Entry) -> Entry:
        """Returns a copy of an entry with its current age, to be sent to a peer."""
        expires_at = self._expires_at.get(entry.key)
        if expires_at is None:
            return entry
        remaining = expires_at - self._clock.now()
        age = max(0, math.ceil(LIFETIMES_S[domain_of(entry.key)] - remaining))
        return msgspec.structs.replace(entry, age_s=age)

    def _update_checksums(self, key: str, change: int) -> None:
        """XORs the change of an entry's fingerprint into the checksums."""
        domain = domain_of(key)
        self._shard_checksums[_shard_of(key)] ^= change
        self._domain_checksums[domain] = self._domain_checksums.get(domain, 0) ^ change


def _shard_of(key: str) -> int:
    return xxh3_64_intdigest(key.encode()) % SHARD_COUNT


def _fingerprint(entry: Entry) -> int:
    version = entry.version
    return xxh3_64_intdigest(f"{entry.key}\0{version.counter}\0{version.instance}".encode())
