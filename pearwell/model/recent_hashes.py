"""Set of recently seen flow hashes."""

from pearwell.clock import Clock

__all__ = ["RecentHashes"]

GENERATION_LIFETIME_S = 8.0
MAX_HASHES_PER_GENERATION = 20_000


class RecentHashes:
    """Two-generation set of recently seen flow hashes with bounded memory.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rotated_at = clock.now()
        self._current: set[int] = set()
        self._previous: set[int] = set()

    @property
    def size(self) -> int:
        """Number of stored hashes."""
        return len(self._current) + len(self._previous)

    def add(self, flow_hash: int) -> bool:
        """Adds a flow hash and returns whether it was already present."""
        now = self._clock.now()
        if (
            now - self._rotated_at >= GENERATION_LIFETIME_S
            or len(self._current) >= MAX_HASHES_PER_GENERATION
        ):
            self._previous = (
                self._current if now - self._rotated_at < 2 * GENERATION_LIFETIME_S else set()
            )
            self._current = set()
            self._rotated_at = now
        seen = flow_hash in self._current or flow_hash in self._previous
        self._current.add(flow_hash)
        return seen
