"""Silence of targets: repeated SYNs as a sign that flow starts go unanswered."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from pearwell.clock import Clock
from pearwell.model.recent_hashes import RecentHashes

__all__ = ["SilenceDetector"]

RELAPSE_WINDOW_S = 120.0
SILENCE_WINDOW_S = 10.0
SILENCE_HOLD_S = 30.0
MAX_SILENCE_HOLD_S = 480.0


class _Evidence(NamedTuple):
    """Repeats that show silence: at least so many, and so many for each flow start."""

    min_repeats: int
    min_ratio: float


# A target that answers a part of its starts, among losses of the network; 24 keeps chance out.
PARTLY_SILENT = _Evidence(24, 0.3)
# A target that answers hardly any start: losses on the way don't reach this ratio.
WHOLLY_SILENT = _Evidence(6, 0.6)
# A target tried again after a hold: its earlier silence is known, so less shows that it lasts.
RELAPSED = _Evidence(2, 0.6)


class SilenceDetector:
    """Judges from repeated SYNs whether a target leaves flow starts unanswered.

    While a target counts as silent it gets no new flows, so there is no further evidence. After a
    hold it is tried again; each relapse doubles the hold.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_start = clock.now()
        self._syns = RecentHashes(clock)
        self._started = 0
        self._repeated = 0
        self._silent_until = -math.inf
        self._hold_s = SILENCE_HOLD_S

    @property
    def silent(self) -> bool:
        """Whether the target counts as silent now."""
        return self._clock.now() < self._silent_until

    @property
    def hold_s(self) -> float:
        """Time in seconds for which the target goes on to count as silent."""
        return max(0.0, self._silent_until - self._clock.now())

    @property
    def _tried_again(self) -> bool:
        """Whether a hold ended so lately that silence now is a relapse."""
        return 0 <= self._clock.now() - self._silent_until < RELAPSE_WINDOW_S

    def take_syns(self, flow_hashes: Iterable[int]) -> None:
        """Takes SYNs towards the target by flow hash; one that came before is a repeat.

        During a hold they are those of flows that started before it and don't prolong it: other
        instances were told when it ends.
        """
        if self.silent:
            return
        self._roll()
        for flow_hash in flow_hashes:
            if self._syns.add(flow_hash):
                self._repeated += 1
            else:
                self._started += 1
        relapse = (RELAPSED,) if self._tried_again else ()
        if any(self._shows(evidence) for evidence in (PARTLY_SILENT, WHOLLY_SILENT, *relapse)):
            self._mark_silent()

    def _shows(self, evidence: _Evidence) -> bool:
        enough = max(evidence.min_repeats, evidence.min_ratio * self._started)
        return self._repeated >= enough

    def _mark_silent(self) -> None:
        doubled = min(self._hold_s * 2, MAX_SILENCE_HOLD_S)
        self._hold_s = doubled if self._tried_again else SILENCE_HOLD_S
        self._silent_until = self._clock.now() + self._hold_s

    def _roll(self) -> None:
        """Halves the counts with each window, and forgets them when a hold has ended."""
        now = self._clock.now()
        if self._window_start < self._silent_until <= now:
            self._window_start = now
            self._started = self._repeated = 0
        elif now - self._window_start >= SILENCE_WINDOW_S:
            self._window_start = now
            self._started //= 2
            self._repeated //= 2
