"""Number of instances, as one instance estimates it from what its relay tells.

Every instance calls one relay at a time, at least once a second. A relay counts its callers and
tells their number in its responses. The callers of a relay and the relay itself are a group; with
as many groups as relays, the fleet counts about the size of the group times the number of relays.

Groups differ in size, so the estimates of instances differ. What all instances derive from them
still adds up: if each takes its share of a limit, a group takes the limit divided by the number of
relays, whatever its size. The group of a relay that is down takes nothing.
"""

from collections import deque

__all__ = ["LEASE_S", "UNKNOWN_SIZE", "FleetSize"]

# Time in seconds for which a told number is current, from the start of the call. A relay counts a
# caller for longer (hints.CLIENT_TIMEOUT_S), so that an instance that is cut off from the relays
# stops taking its share before the others take over that share.
LEASE_S = 8.0
# Time in seconds for which the largest number told counts. Callers return one by one to a relay
# that was unavailable, and it tells the first of them too small a number.
HOLD_S = 15.0
# Number of instances assumed while it is unknown; more than the platform runs.
UNKNOWN_SIZE = 1000


class FleetSize:
    """Estimates the number of instances.

    It answers the start or end of many instances at once, and relays that fail under load.

    Args:
        relays: Number of relays, including this instance if it is one.
    """

    __slots__ = ("_current_until", "_relays", "_sizes")

    def __init__(self, relays: int) -> None:
        self._relays = relays
        # Time of each record and the size that follows from it; at least the latest is kept.
        self._sizes: deque[tuple[float, int]] = deque()
        self._current_until = float("-inf")

    def record_callers(self, callers: int, called_at: float, now: float) -> None:
        """Records the number of callers that a relay tells, or that this relay counts.

        Args:
            callers: Number of instances that have called the relay recently.
            called_at: Start of the call in seconds of the clock.
            now: Current time in seconds of the clock.
        """
        self._current_until = max(self._current_until, called_at + LEASE_S)
        self._sizes.append((now, (callers + 1) * self._relays))
        while self._sizes[0][0] < now - HOLD_S:
            self._sizes.popleft()

    def is_current(self, now: float) -> bool:
        """Whether a relay has told its number of callers recently."""
        return now < self._current_until

    def estimate(self, now: float) -> int:
        """Returns the estimated number of instances, at least 1.

        Without news of a relay it stays as it was; UNKNOWN_SIZE if no relay has told any number.
        """
        if not self._sizes:
            return UNKNOWN_SIZE
        since = min(now - HOLD_S, self._sizes[-1][0])
        return max(1, *(size for at, size in self._sizes if at >= since))

    def bound(self, now: float) -> int:
        """Returns the estimate while it is current, else at least UNKNOWN_SIZE.

        For limits that instances may not exceed together while some of them are cut off.
        """
        size = self.estimate(now)
        return size if self.is_current(now) else max(size, UNKNOWN_SIZE)
