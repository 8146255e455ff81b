"""What the zone's own counts of flow starts and ends say of its targets' load.

The mean life of a flow follows from Little's law: open flows divided by starts a second. Starts
decayed with that life are an estimate of a target's open flows that no load endpoint can falsify.
"""

import math
import statistics
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ExpectedLoad", "SheddingDetector"]

MIN_FLOW_LIFE_S = 30.0
MAX_FLOW_LIFE_S = 86_400.0
RATE_TIME_CONSTANT_S = 300.0
MIN_COVERAGE = 0.5

SHEDDING_WINDOW_S = 300.0
MIN_STARTS = 20.0
SHEDDING_DEVIATIONS = 3.0
MIN_SHED_FRACTION = 0.1


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


@dataclass(slots=True)
class _FlowBalance:
    """Decayed sums of one target.

    Attributes:
        started: Flow starts.
        missing: Flow starts less ends less growth of the reported open flows.
        new_started: Flow starts since the last update.
        new_missing: Missing flows since the last update.
        reported: Latest report.
    """

    started: float = 0.0
    missing: float = 0.0
    new_started: int = 0
    new_missing: int = 0
    reported: int | None = None

    def update(self, decay: float) -> None:
        """Adds the latest counts; a target can't refuse more flows than were started."""
        missing = min(max(self.new_missing, -self.new_started), self.new_started)
        self.started = self.started * decay + self.new_started
        self.missing = self.missing * decay + missing
        self.new_started = 0
        self.new_missing = 0


class SheddingDetector:
    """Finds targets that refuse flows, which callers see but an instance doesn't.

    Flows that were started and haven't ended should show up as open. Some never do since their
    callers vanish unseen, but that befalls all targets alike, so only the excess over the group's
    median counts.

    Args:
        now: Current time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._updated_at = now
        self._balances: dict[str, _FlowBalance] = {}

    def counted(self, target: str, started: int, ended: int) -> None:
        """Takes numbers of flow starts and ends at a target."""
        balance = self._balances.setdefault(target, _FlowBalance())
        balance.new_started += started
        balance.new_missing += started - ended

    def reported(self, target: str, open_flows: int) -> None:
        """Takes the open flows that a target reports."""
        balance = self._balances.setdefault(target, _FlowBalance())
        if balance.reported is not None:
            balance.new_missing -= open_flows - balance.reported
        balance.reported = open_flows

    def reset(self, target: str) -> None:
        """Forgets a target."""
        self._balances.pop(target, None)

    def update(self, now: float) -> None:
        """Applies the passing of time."""
        decay = math.exp(-(now - self._updated_at) / SHEDDING_WINDOW_S)
        self._updated_at = now
        for balance in self._balances.values():
            balance.update(decay)

    def fraction(self, target: str) -> float:
        """Returns the fraction of flow starts that a target seems to refuse; 0 if in doubt."""
        balance = self._balances.get(target)
        if balance is None or balance.started < MIN_STARTS:
            return 0.0
        excess = balance.missing - self._usual_fraction() * balance.started
        if excess < SHEDDING_DEVIATIONS * math.sqrt(balance.started):
            return 0.0
        fraction = excess / balance.started
        return min(fraction, 1.0) if fraction >= MIN_SHED_FRACTION else 0.0

    def _usual_fraction(self) -> float:
        counted = [b for b in self._balances.values() if b.started >= MIN_STARTS]
        return statistics.median(b.missing / b.started for b in counted)
