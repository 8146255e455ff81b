"""Load of targets that tell unlike numbers of slots.

An instance that has fewer flows than there are targets spreads them in proportion to the slots, by
a hash between 0 and 1 that is added to the number of open flows; the largest targets would
otherwise get the first flow of each instance.
"""

from collections.abc import Collection

from pearwell.affinity.target import Target
from pearwell.affinity.token import rendezvous_score

__all__ = ["MAX_SLOTS_RATIO", "SlotRatios"]

# Largest ratio, either way, of a target's slots to the usual ones of its service that counts. A
# target that tells its slots wrongly would otherwise get all flows.
MAX_SLOTS_RATIO = 16.0
# Number of values of rendezvous_score().
SCORE_VALUES = 1 << 32


class SlotRatios:
    """Slots of targets relative to the usual ones, the median of those told.

    Args:
        targets: Targets of a service, at least one of which tells its slots.
    """

    __slots__ = ("_usual",)

    def __init__(self, targets: Collection[Target]) -> None:
        told = [target.counted_slots for target in targets if target.counted_slots is not None]
        self._usual = sorted(told)[len(told) // 2]

    def of(self, target: Target) -> float:
        """Returns a target's slots relative to the usual ones, which it has if it tells none."""
        if target.counted_slots is None:
            return 1.0
        return min(max(target.counted_slots / self._usual, 1 / MAX_SLOTS_RATIO), MAX_SLOTS_RATIO)

    def weigh(self, load: float, target: Target, flow: bytes) -> float:
        """Returns the load of a target relative to its slots, for the choice of a flow's target.

        Args:
            load: Its load, at least 1.
            target: The target.
            flow: Addresses and ports of the flow.
        """
        return (load - rendezvous_score(flow, target.tag) / SCORE_VALUES) / self.of(target)
