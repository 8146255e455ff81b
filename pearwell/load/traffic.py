"""Traffic: plans of flows that hold a number open while flows end and start."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pearwell.load.profile import ServiceProfile
from pearwell.standins.caller import CallerService, FlowPlan

__all__ = ["TrafficShape", "plan_flows"]

# Callers of one address use one port for each flow, so a new address is taken after so many.
FLOWS_PER_CALLER_ADDRESS = 40_000
CALLER_NETWORK = "203.0.113"


@dataclass(frozen=True, slots=True)
class TrafficShape:
    """How flows of one service come and go.

    Attributes:
        open_flows: Flows to hold open.
        ramp_s: Time over which they open.
        mean_flow_s: Mean life of a flow; lives are exponential.
        interval_s: Time between an answer and the next request.
        duration_s: Time until the last flow starts.
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

    The flows of the ramp are followed, one by one as they end, by flows that start at the same
    rate, so that the number of open flows stays about the same.

    Args:
        profile: The service's profile.
        service: Where the flows connect to.
        shape: How they come and go.
        start: Time of the first flow in seconds of the callers' clock.
        rng: Source of lives and starts.
    """
    number = 0
    starts = [rng.random() * shape.ramp_s for _ in range(shape.open_flows)]
    for first in starts:
        at_s = first
        while at_s < shape.duration_s:
            life_s = rng.expovariate(1 / shape.mean_flow_s)
            caller = f"{CALLER_NETWORK}.{1 + number // FLOWS_PER_CALLER_ADDRESS}"
            requests = max(1, round(life_s / shape.interval_s))
            endpoint = CallerService(profile.name, service.address, service.port, caller)
            yield FlowPlan(endpoint, start + at_s, requests, shape.interval_s)
            number += 1
            at_s += life_s
