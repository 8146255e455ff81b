"""What the zone's own counts of flow starts and ends say of its targets' load.

The mean life of a flow follows from Little's law: open flows divided by starts a second. Starts
decayed with that life are an estimate of a target's open flows that no load endpoint can falsify.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["ExpectedLoad", "SheddingDetector"]

MIN_FLOW_LIFE_S = 1.0
MAX_FLOW_LIFE_S = 86_400.0
RATE_TIME_CONSTANT_S = 300.0
MIN_COVERAGE = 0.5

SHEDDING_WINDOW_S = 300.0
REPORT_LAG_S = 150.0
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

    def flow_life(self, open_flows: float) -> float:
        """Returns the mean life of a flow in seconds, for a number of open flows of the group."""
        life = open_flows / self._rate if self._rate else MAX_FLOW_LIFE_S
        return min(max(life, MIN_FLOW_LIFE_S), MAX_FLOW_LIFE_S)

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
        decay = math.exp(-elapsed / self.flow_life(open_flows))
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


@dataclass(slots=True)
class _Sums:
    """Decayed sums of flow starts, and of those that neither ended nor show up as open."""

    started: float = 0.0
    missing: float = 0.0

    def add(self, decay: float, started: int, ended: int, grown: int) -> None:
        """Adds counts; a target can't refuse more flows than were started."""
        missing = min(max(started - ended - grown, -started), started)
        self.started = self.started * decay + started
        self.missing = self.missing * decay + missing

    @property
    def fraction(self) -> float:
        """Missing flows in units of the starts."""
        return self.missing / self.started if self.started else 0.0


@dataclass(slots=True)
class _FlowBalance:
    """Flows of one target.

    Attributes:
        prompt: Sums if reports show the present.
        lagging: Sums if they show what was REPORT_LAG_S ago.
        waiting: Time, starts and ends that a lagging report doesn't show yet.
        started: Flow starts since the last update.
        ended: Ends since the last update.
        grown: Growth of the reported open flows since the last update.
        reported: Latest report.
    """

    prompt: _Sums = field(default_factory=_Sums)
    lagging: _Sums = field(default_factory=_Sums)
    waiting: deque[tuple[float, int, int]] = field(default_factory=deque)
    started: int = 0
    ended: int = 0
    grown: int = 0
    reported: int | None = None

    def update(self, now: float, decay: float) -> None:
        """Adds the latest counts to the sums."""
        self.prompt.add(decay, self.started, self.ended, self.grown)
        self.waiting.append((now, self.started, self.ended))
        started = ended = 0
        while self.waiting and self.waiting[0][0] <= now - REPORT_LAG_S:
            _, more_started, more_ended = self.waiting.popleft()
            started += more_started
            ended += more_ended
        self.lagging.add(decay, started, ended, self.grown)
        self.started = self.ended = self.grown = 0


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
        balance.started += started
        balance.ended += ended

    def reported(self, target: str, open_flows: int) -> None:
        """Takes the open flows that a target reports."""
        balance = self._balances.setdefault(target, _FlowBalance())
        if balance.reported is not None:
            balance.grown += open_flows - balance.reported
        balance.reported = open_flows

    def reset(self, target: str) -> None:
        """Forgets a target."""
        self._balances.pop(target, None)

    def update(self, now: float) -> None:
        """Applies the passing of time."""
        decay = math.exp(-(now - self._updated_at) / SHEDDING_WINDOW_S)
        self._updated_at = now
        for balance in self._balances.values():
            balance.update(now, decay)

    def fraction(self, target: str) -> float:
        """Returns the fraction of flow starts that a target seems to refuse; 0 if in doubt.

        It has to follow both if reports are prompt and if they lag, since either assumption alone
        makes some targets with a growing load look as if they refused flows.
        """
        balance = self._balances.get(target)
        if balance is None:
            return 0.0
        held = self._balances.values()
        prompt = _excess(balance.prompt, [other.prompt for other in held])
        lagging = _excess(balance.lagging, [other.lagging for other in held])
        return min(prompt, lagging)


def _excess(sums: _Sums, group: list[_Sums]) -> float:
    """Returns by how much a target's missing fraction exceeds the group's median; 0 if in doubt."""
    if sums.started < MIN_STARTS:
        return 0.0
    usual = statistics.median(other.fraction for other in group if other.started >= MIN_STARTS)
    fraction = sums.fraction - usual
    if fraction * sums.started < SHEDDING_DEVIATIONS * math.sqrt(sums.started):
        return 0.0
    return min(fraction, 1.0) if fraction >= MIN_SHED_FRACTION else 0.0
