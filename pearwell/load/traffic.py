"""Traffic: plans flows that keep the number of open flows roughly constant."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pearwell.load.profile import ServiceProfile
from pearwell.standins.caller import CallerService, FlowPlan

__all__ = ["TrafficShape", "plan_flows"]

# Each flow needs its own source port, so a caller address supports a limited number of flows.
FLOWS_PER_CALLER_ADDRESS = 40_000
CALLER_NETWORK = "203.0.113"


@dataclass(frozen=True, slots=True)
class TrafficShape:
    """Number, lifetime and request rate of the flows of one service.

    Attributes:
        open_flows: Flows to keep open.
        ramp_s: Time in seconds over which they open.
        mean_flow_s: Mean of the exponentially distributed lifetime of a flow in seconds.
        interval_s: Time in seconds between a response and the next request.
        duration_s: Time in seconds after which no flow starts.
    """

    open_flows: int
    ramp_s: float
    mean_flow_s: float
    interval_s: float
    duration_s: float


def plan_flows(
    profile: ServiceProfile,
    service: CallerService,
    shape: TrafficShape,
    start: float,
    rng: random.Random,
) -> Iterator[FlowPlan]:
    """Plans all flows of a service.

    Each flow that ends is replaced by a new one, so that the number of open flows stays roughly
    constant after the ramp.

    Args:
        profile: The service's profile.
        service: Address and port that the flows connect to.
        shape: Number, lifetime and request rate of the flows.
        start: Start of the run in seconds of the callers' clock.
        rng: Random number generator for start times and lifetimes.
    """
    number = 0
    starts = [rng.random() * shape.ramp_s for _ in range(shape.open_flows)]
    for first_start_s in starts:
        at_s = first_start_s
        while at_s < shape.duration_s:
            lifetime_s = rng.expovariate(1 / shape.mean_flow_s)
            caller = f"{CALLER_NETWORK}.{1 + number // FLOWS_PER_CALLER_ADDRESS}"
            requests = max(1, round(lifetime_s / shape.interval_s))
            endpoint = CallerService(profile.name, service.address, service.port, caller)
            yield FlowPlan(endpoint, start + at_s, requests, shape.interval_s)
            number += 1
            at_s += lifetime_s
