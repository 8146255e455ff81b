"""Routes from an address to the services of its new flows, with increasing versions."""

from collections.abc import Callable
from zlib import crc32

from pearwell.affinity.service import Service

__all__ = ["Route", "RouteTable", "Routes"]

DEFAULT_IDLE_S = 15.0


class Route:
    """The services for the new flows of one address and port.

    Attributes:
        name: Name of the route.
        services: Services that share the new flows, each with its weight.
        total: Sum of the weights.
        objective_s: Latency objective of its requests in seconds; None if there is none.
        timeout_s: Time in seconds after which its clients give up; None if unknown.
        priority: Priority of its requests; 0 is the highest.
        repeatable: Whether clients may retry its requests after any failure.
    """

    __slots__ = ("name", "objective_s", "priority", "repeatable", "services", "timeout_s", "total")

    def __init__(
        self,
        name: str,
        services: tuple[tuple[str, int], ...],
        objective_s: float | None = None,
        timeout_s: float | None = None,
        priority: int = 0,
        repeatable: bool = True,
    ) -> None:
        self.name = name
        self.services = services
        self.total = sum(weight for _, weight in services)
        self.objective_s = objective_s
        self.timeout_s = timeout_s
        self.priority = priority
        self.repeatable = repeatable

    def allows(self, service: str) -> bool:
        """Whether a service may get new flows."""
        return any(name == service and weight > 0 for name, weight in self.services)

    def service_of(self, flow: bytes) -> str:
        """Returns the service of a new flow, the same for every transmission of its SYN.

        The result is "" if all weights are zero.
        """
        if len(self.services) == 1:
            return self.services[0][0]
        if self.total <= 0:
            return ""
        point = crc32(flow) % self.total
        for service, weight in self.services:
            point -= weight
            if point < 0:
                return service
        return ""


class Routes:
    """One version of the configuration.

    Attributes:
        version: Version that the operator assigned.
        by_address: Routes by destination port and address: 6 bytes in the packet's format.
        idle_s: Time in seconds after which an idle flow may be removed.
        services: Services by name.
    """

    __slots__ = ("by_address", "idle_s", "services", "version")

    def __init__(
        self,
        version: int,
        by_address: dict[bytes, Route],
        idle_s: float = DEFAULT_IDLE_S,
        services: dict[str, Service] | None = None,
    ) -> None:
        self.version = version
        self.by_address = by_address
        self.idle_s = idle_s
        self.services = services or {}


class RouteTable:
    """The routes in force; an older version never replaces a newer one.

    Attributes:
        find: Returns the route of a destination port and address (6 bytes), or None. It is bound
            directly to the mapping's method because it is called for each packet.
        limits_flows: Whether a service has a limit on the flows of a target.
    """

    def __init__(self) -> None:
        self._routes = Routes(-1, {})
        self._applied_at = 0.0
        self._removed: set[bytes] = set()
        self.limits_flows = False
        self.find: Callable[[bytes], Route | None] = self._routes.by_address.get

    @property
    def version(self) -> int:
        """Version in force; -1 if there is none yet."""
        return self._routes.version

    @property
    def known(self) -> bool:
        """Whether a version is in force."""
        return self._routes.version >= 0

    @property
    def applied_at(self) -> float:
        """Clock time in seconds at which the version came into force."""
        return self._applied_at

    @property
    def idle_s(self) -> float:
        """Time in seconds after which an idle flow may be removed."""
        return self._routes.idle_s

    @property
    def has_warmup_rate(self) -> bool:
        """Whether a service limits the flows started on its cold targets."""
        services = self._routes.services.values()
        return any(service.warmup_starts_per_s is not None for service in services)

    @property
    def has_health_path(self) -> bool:
        """Whether a service has a path for health checks of its targets."""
        services = self._routes.services.values()
        return any(service.health_path is not None for service in services)

    def find_service(self, name: str) -> Service | None:
        """Returns a service of the version in force, or None."""
        return self._routes.services.get(name)

    def __len__(self) -> int:
        return len(self._routes.by_address)

    def was_removed(self, address: bytes) -> bool:
        """Whether an earlier version had a route for the address that has since been removed."""
        return address in self._removed

    def apply(self, routes: Routes, now: float) -> bool:
        """Applies a version; returns False if it isn't newer than the one in force."""
        if routes.version <= self._routes.version:
            return False
        self._removed |= self._routes.by_address.keys()
        self._removed -= routes.by_address.keys()
        self._routes = routes
        self._applied_at = now
        self.find = routes.by_address.get
        self.limits_flows = any(service.max_flows for service in routes.services.values())
        return True
