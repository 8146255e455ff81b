"""Expected open flows of targets, from the flow starts that the zone itself sent to them.

The mean life of a flow follows from Little's law: open flows divided by starts a second. Starts
decayed with that life are an estimate of a target's open flows that no load endpoint can falsify.
"""

import math
from collections.abc import Iterable

__all__ = ["ExpectedLoad"]

MIN_FLOW_LIFE_S = 30.0
MAX_FLOW_LIFE_S = 86_400.0
RATE_TIME_CONSTANT_S = 300.0
MIN_COVERAGE = 0.5


class ExpectedLoad:
    """Estimates the open flows of a group's targets.

    Args:
        now: Current time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._updated_at = now
        self._pending: dict[str, int] = {}
        self._decayed: dict[str, float] = {}
        self._rate = 0.0
        self._rate_age_s = 0.0

    @property
    def start_rate(self) -> float:
        """Flow starts a second of the whole group, averaged over some minutes."""
        return self._rate

    def started(self, target: str, count: int) -> None:
        """Takes a number of flow starts towards a target."""
        self._pending[target] = self._pending.get(target, 0) + count

    def keep(self, targets: Iterable[str]) -> None:
        """Forgets all targets but these."""
        kept = set(targets)
        self._decayed = {name: n for name, n in self._decayed.items() if name in kept}

    def reset(self, target: str) -> None:
        """Forgets the flows of a target that lost them."""
        self._decayed.pop(target, None)
        self._pending.pop(target, None)

    def update(self, now: float, open_flows: float) -> None:
        """Applies the passing of time.

        Args:
            now: Current time in seconds.
            open_flows: Open flows of the group, for the mean life of a flow.
        """
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        self._update_rate(elapsed)
        decay = math.exp(-elapsed / self._flow_life(open_flows))
        names = self._decayed.keys() | self._pending.keys()
        self._decayed = {
            name: self._decayed.get(name, 0.0) * decay + self._pending.get(name, 0)
            for name in names
        }
        self._pending.clear()
        self._updated_at = now

    def estimate(self, target: str, open_flows: float) -> float | None:
        """Returns the expected open flows of a target; None while too little was seen.

        Args:
            target: Name of the target.
            open_flows: Open flows of the group.
        """
        seen = sum(self._decayed.values())
        if not seen or seen < MIN_COVERAGE * open_flows:
            return None
        return self._decayed.get(target, 0.0) * open_flows / seen

    def _update_rate(self, elapsed: float) -> None:
        self._rate_age_s = min(self._rate_age_s + elapsed, RATE_TIME_CONSTANT_S)
        weight = 1.0 - math.exp(-elapsed / self._rate_age_s)
        self._rate += (sum(self._pending.values()) / elapsed - self._rate) * weight

    def _flow_life(self, open_flows: float) -> float:
        life = open_flows / self._rate if self._rate else MAX_FLOW_LIFE_S
        return min(max(life, MIN_FLOW_LIFE_S), MAX_FLOW_LIFE_S)
