"""Entries of targets that are older than what is known, until it is certain that they hold.

A write that got no answer may be executed seconds later, after newer ones of the same target. The
next heartbeat of the target that lives replaces it, and the entry of one that is dead is removed.
An older entry that outlives both is kept up by a target whose clock was set back.
"""

from pearwell.affinity.target import Target

__all__ = ["OutdatedEntries"]

# Number of heartbeats that an older entry has to outlive. The platform removes an entry after three
# of silence; as many again leave time for the removal to be made and to arrive.
HEARTBEATS = 6


class OutdatedEntries:
    """The older entries that the platform lists at present, by name.

    Args:
        heartbeat_s: Interval in seconds of the heartbeats of targets.
    """

    def __init__(self, heartbeat_s: float) -> None:
        self._confirmed_after_s = HEARTBEATS * heartbeat_s
        # Each with the clock time in seconds at which it was first seen.
        self._entries: dict[str, tuple[Target, float]] = {}

    def add(self, target: Target, now: float) -> bool:
        """Adds an entry; returns whether its incarnation is a new one here."""
        known, since = self._entries.get(target.name, (target, now))
        is_new = target.name not in self._entries or not known.same_incarnation(target)
        self._entries[target.name] = (target, now if is_new else since)
        return is_new

    def discard(self, name: str) -> None:
        """Removes the entry of a target, which the platform lists no more."""
        self._entries.pop(name, None)

    def take_confirmed(self, complete_at: float, store_healthy_since: float) -> list[Target]:
        """Removes and returns the entries that are kept up by their targets.

        Args:
            complete_at: Clock time in seconds until which all entries are known.
            store_healthy_since: Clock time in seconds since which no call to the store has failed.
        """
        confirmed = [
            target
            for target, since in self._entries.values()
            if complete_at - max(since, store_healthy_since) >= self._confirmed_after_s
        ]
        for target in confirmed:
            self.discard(target.name)
        return confirmed
