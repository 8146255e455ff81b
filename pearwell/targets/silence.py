"""Passive health checks: detects silent targets, which don't answer SYNs, by retransmissions.

Silence is detected from the SYNs of the whole zone. It differs from an unresponsive target in
pearwell.affinity, which has not responded to one instance for a fraction of a second.
"""

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


class _SilenceThreshold(NamedTuple):
    """Retransmissions that indicate silence, as a minimum count and a minimum per new flow."""

    min_retransmissions: int
    min_ratio: float


# Answers some SYNs; 24 retransmissions rule out random packet loss in the network.
PARTLY_SILENT = _SilenceThreshold(24, 0.3)
# Answers hardly any SYN; packet loss in the network doesn't reach this ratio.
WHOLLY_SILENT = _SilenceThreshold(6, 0.6)
# Its hold ended recently, so fewer retransmissions suffice to show that it still is silent.
RELAPSED = _SilenceThreshold(2, 0.6)


class SilenceDetector:
    """Detects from SYN retransmissions that a target doesn't answer new flows.

    A silent target gets no new flows, so there is no evidence of its recovery. After a hold time it
    gets new flows again; each relapse doubles the hold time up to MAX_SILENCE_HOLD_S.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_start = clock.now()
        self._syns = RecentHashes(clock)
        self._new_flows = 0
        self._retransmissions = 0
        self._silent_until = -math.inf
        self._hold_s = SILENCE_HOLD_S

    @property
    def silent(self) -> bool:
        """Whether the target counts as silent now."""
        return self._clock.now() < self._silent_until

    @property
    def hold_s(self) -> float:
        """Remaining time in seconds for which the target counts as silent."""
        return max(0.0, self._silent_until - self._clock.now())

    @property
    def _recently_released(self) -> bool:
        """Whether a hold ended recently enough for further silence to be a relapse."""
        return 0 <= self._clock.now() - self._silent_until < RELAPSE_WINDOW_S

    def record_syns(self, flow_hashes: Iterable[int]) -> None:
        """Records SYNs to the target by flow hash; a known hash is a retransmission.

        SYNs during a hold belong to flows that started before it. They don't extend the hold, since
        its end was already announced to the other instances.
        """
        if self.silent:
            return
        self._decay_counts()
        for flow_hash in flow_hashes:
            if self._syns.add(flow_hash):
                self._retransmissions += 1
            else:
                self._new_flows += 1
        relapse = (RELAPSED,) if self._recently_released else ()
        if any(self._reaches(threshold) for threshold in (PARTLY_SILENT, WHOLLY_SILENT, *relapse)):
            self._mark_silent()

    def _reaches(self, threshold: _SilenceThreshold) -> bool:
        required = max(threshold.min_retransmissions, threshold.min_ratio * self._new_flows)
        return self._retransmissions >= required

    def _mark_silent(self) -> None:
        doubled = min(self._hold_s * 2, MAX_SILENCE_HOLD_S)
        self._hold_s = doubled if self._recently_released else SILENCE_HOLD_S
        self._silent_until = self._clock.now() + self._hold_s

    def _decay_counts(self) -> None:
        """Halves the counts after each window and clears them after a hold."""
        now = self._clock.now()
        if self._window_start < self._silent_until <= now:
            self._window_start = now
            self._new_flows = self._retransmissions = 0
        elif now - self._window_start >= SILENCE_WINDOW_S:
            self._window_start = now
            self._new_flows //= 2
            self._retransmissions //= 2
