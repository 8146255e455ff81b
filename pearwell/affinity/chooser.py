"""Selection of the target of a new flow.

The selection handles targets that are warming up, draining or suspect, a zone with more
clients than its targets can serve (during a burst, or when clients move or targets leave), and the
reconnect wave after all instances were down. Each instance sees only its own share of the flows
and balances that share. Ties are broken by the flow's hash, which spreads the first flows of a
reconnect wave over the targets while no instance has load data yet.

Where targets of a service tell different numbers of slots, load counts against the slots.
"""

from collections.abc import Collection, Iterable

from pearwell.affinity.target import Target
from pearwell.affinity.token import rendezvous_score

__all__ = ["choose_target"]

# Load of a request in flight, in open flows; most open flows are idle between two requests.
IN_FLIGHT_WEIGHT = 2.0
# Service time of a cold target (one that is warming up) relative to a warm one.
COLD_FACTOR = 1.6

# Slots of a target that tells none. Once an instance has as many requests in flight at a target of
# the local zone, they are all busy, and targets of remote zones are ranked equally.
DEFAULT_SLOTS = 2
# Most slots that count here: a target that tells its slots wrongly would never seem busy.
MAX_SLOTS = 32

# Preference tiers; lower is better. A busy target of the local zone ranks with remote-zone targets.
_LOCAL_ZONE, _ANY_ZONE, _SUSPECT, _TRIED = range(4)


def choose_target(
    targets: Collection[Target],
    zone: str,
    tried: Iterable[Target],
    flow: bytes,
    now: float,
    zone_queueing: bool = False,
) -> Target | None:
    """Returns the target of a new flow, or None if no target accepts new flows.

    Targets of the local zone come first, as flows to remote zones hang when a zone is partitioned.
    Once requests queue there, the least loaded target of all zones is chosen.

    Args:
        targets: Listed targets of the flow's service.
        zone: Availability zone of this instance.
        tried: Targets that did not answer an earlier transmission of the SYN.
        flow: Addresses and ports of the flow.
        now: Current time in seconds of the clock.
        zone_queueing: Whether response times show queueing at the local zone's targets; with few
            instances the requests in flight of this one show it as well.
    """
    best, best_score = None, (len((_LOCAL_ZONE, _ANY_ZONE, _SUSPECT, _TRIED)), 0.0)
    ratios = None
    if len({target.counted_slots for target in targets} - {None}) > 1:
        # Few services have targets of unlike slots.
        from pearwell.affinity.slot_ratios import SlotRatios

        ratios = SlotRatios(targets)
    for target in targets:
        if target.draining or target.token_conflict or target.gone:
            continue
        if target in tried:
            tier = _TRIED
        elif now < target.suspect_until:
            tier = _SUSPECT
        elif (
            target.zone == zone
            and target.in_flight < min(target.counted_slots or DEFAULT_SLOTS, MAX_SLOTS)
            and not zone_queueing
        ):
            tier = _LOCAL_ZONE
        else:
            tier = _ANY_ZONE
        if tier > best_score[0]:
            continue
        load = 1.0 + target.open_flows + IN_FLIGHT_WEIGHT * target.in_flight
        if ratios is not None:
            load = ratios.weigh(load, target, flow)
        if now < target.warmup_ends_at:
            load *= COLD_FACTOR
        score = (tier, load)
        if score > best_score:
            continue
        if (
            score == best_score
            and best is not None
            and rendezvous_score(flow, best.tag) > rendezvous_score(flow, target.tag)
        ):
            continue
        best, best_score = target, score
    return best
