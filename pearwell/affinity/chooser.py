"""Choice of the target of a new flow.

Load pattern: steady starts with targets that are cold, leaving or silent; a zone with more clients
than its targets can serve, as clients move or targets leave; and the wave in which every client
comes back at once after all instances were down. Each instance sees only its own
share of the flows, so it evens out that share; ties are broken by the flow's hash, which spreads
the first flows of a wave over the targets although no instance knows of any load yet.
"""

from collections.abc import Iterable

from pearwell.affinity.target import Target
from pearwell.affinity.token import draw

__all__ = ["choose_target"]

# A request that waits for its answer weighs as much as this many open flows; most open flows are
# idle between two requests.
IN_FLIGHT_WEIGHT = 2.0
# How much longer a target works on a request while it is cold; sites state 1.6 (cold_x).
COLD_FACTOR = 1.6

# Requests of this instance that wait at a target of the own zone before other zones' targets are as
# good: with five instances a zone all slots of the target are then busy (2 to 3 on the sites) and
# its queue fills. 1, 2 and 3 were measured, see docs/MEASUREMENTS.md.
SPILL_IN_FLIGHT = 2

# Classes of preference, lower is better.
_OWN_ZONE, _OTHER_ZONE, _SUSPECT, _TRIED = range(4)


def choose_target(
    targets: Iterable[Target], zone: str, tried: Iterable[Target], flow: bytes, now: float
) -> Target | None:
    """Returns the target of a new flow, or None if no target may take one.

    Targets of the own zone come first, as flows to other zones hang when a zone is cut off. Once
    requests queue at all of them, the least loaded of all zones is chosen.

    Args:
        targets: Listed targets of the flow's service.
        zone: Own availability zone.
        tried: Targets that left an earlier copy of the SYN unanswered.
        flow: Addresses and ports of the flow.
        now: Current time in seconds of the clock.
    """
    best, best_score = None, (len((_OWN_ZONE, _OTHER_ZONE, _SUSPECT, _TRIED)), 0.0)
    for target in targets:
        if target.draining or target.shadowed or target.gone:
            continue
        if target in tried:
            tier = _TRIED
        elif now < target.suspect_until:
            tier = _SUSPECT
        elif target.zone == zone and target.in_flight < SPILL_IN_FLIGHT:
            tier = _OWN_ZONE
        else:
            tier = _OTHER_ZONE
        if tier > best_score[0]:
            continue
        load = 1.0 + target.open_flows + IN_FLIGHT_WEIGHT * target.in_flight
        if now < target.warm_at:
            load *= COLD_FACTOR
        score = (tier, load)
        if score > best_score:
            continue
        if (
            score == best_score
            and best is not None
            and draw(flow, best.tag) > draw(flow, target.tag)
        ):
            continue
        best, best_score = target, score
    return best
