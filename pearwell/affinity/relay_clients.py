"""The clients of a relay: where hints are forwarded to, and how many instances call it."""

__all__ = ["CLIENT_TIMEOUT_S", "RelayClients"]

# Clients call their relay every second; one that has not done so for this time gets no hints.
CLIENT_TIMEOUT_S = 10.0
# Time in which a relay forwards only one hint about a target, as several instances detect its
# failure at once. A target that fails again later is a new failure.
DUPLICATE_WINDOW_S = 1.0
# Minimum time in seconds between two removals of clients that no longer call, for their count.
COUNT_INTERVAL_S = 1.0


class RelayClients:
    """The clients of a relay, and the hints forwarded to them recently."""

    def __init__(self) -> None:
        self._called_at: dict[str, float] = {}
        self._counted_at = float("-inf")
        self._forwarded_at: dict[str, float] = {}

    def record_call(self, ip: str, now: float) -> None:
        """Records a call by a client."""
        self._called_at[ip] = now

    def should_forward(self, name: str, now: float) -> bool:
        """Whether to forward a hint about a target, as none was forwarded recently."""
        self._forwarded_at = {
            known_name: at
            for known_name, at in self._forwarded_at.items()
            if now - at <= DUPLICATE_WINDOW_S
        }
        if name in self._forwarded_at:
            return False
        self._forwarded_at[name] = now
        return True

    def active(self, now: float) -> list[str]:
        """Returns the IP addresses of clients that called recently, and removes the others."""
        self._called_at = {
            ip: at for ip, at in self._called_at.items() if now - at <= CLIENT_TIMEOUT_S
        }
        return list(self._called_at)

    def count(self, now: float, serving_since: float) -> int | None:
        """Returns the number of clients, or None while some may not have called yet.

        Args:
            now: Current time in seconds of the clock.
            serving_since: Clock time in seconds since which the relay has refused no client.
        """
        if now - serving_since < CLIENT_TIMEOUT_S:
            return None
        if now - self._counted_at >= COUNT_INTERVAL_S:
            self._counted_at = now
            self.active(now)
        return len(self._called_at)
