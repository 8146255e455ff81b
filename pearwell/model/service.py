"""Services: virtual addresses that callers connect to, and the policies for their traffic."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

__all__ = ["FlowLimits", "Preference", "ServiceSpec", "TransportProtocol"]


class TransportProtocol(IntEnum):
    """Supported transport protocols, by IANA protocol number."""

    TCP = 6
    UDP = 17


class Preference(StrEnum):
    """Whether a service prefers unbroken flows (fewer bucket moves) or evenly loaded targets."""

    UNBROKEN = "unbroken"
    EVEN = "even"


@dataclass(frozen=True, slots=True)
class FlowLimits:
    """Admission limits of a service; 0 means unlimited.

    Attributes:
        new_flows_per_s: New flows per second in the whole zone.
        open_flows: Open flows in the whole zone.
        prefix_new_flows_per_s: New flows per second from one caller prefix.
        target_new_flows_per_s: New flows per second to one target.
        target_open_flows: Open flows on one target.
    """

    new_flows_per_s: int = 0
    open_flows: int = 0
    prefix_new_flows_per_s: int = 0
    target_new_flows_per_s: int = 0
    target_open_flows: int = 0


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One load-balanced service.

    Attributes:
        name: Unique name.
        address: IPv4 or IPv6 address that callers connect to.
        port: Transport port that callers connect to.
        protocol: TCP or UDP.
        group: Name of the target group that serves it.
        idle_timeout_s: Time in seconds without packets after which a flow counts as ended.
        learning_time_s: Time in seconds a UDP bucket stays prepared before it moves.
        preference: Which goal takes precedence where even load and few bucket moves conflict.
        limits: Admission limits.
        spill_zones: Zones that may take new flows when this zone has no working target.
    """

    name: str
    address: str
    port: int
    protocol: TransportProtocol
    group: str
    idle_timeout_s: float = 3600.0
    learning_time_s: float = 2.0
    preference: Preference = Preference.UNBROKEN
    limits: FlowLimits = field(default_factory=FlowLimits)
    spill_zones: tuple[str, ...] = ()
