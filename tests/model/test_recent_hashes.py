"""Tests of pearwell.model.recent_hashes."""

import pytest

from pearwell.clock import ManualClock
from pearwell.model.recent_hashes import RECENT_LIMIT, RecentHashes


@pytest.mark.parametrize(("pause", "seen"), [(1.0, True), (9.0, True), (17.0, False)])
def test_hashes_are_forgotten_after_a_while(pause, seen):
    clock = ManualClock()
    recent = RecentHashes(clock)
    assert not recent.add(7)
    clock.advance(pause)
    assert recent.add(7) is seen


def test_memory_is_bounded():
    recent = RecentHashes(ManualClock())
    for flow_hash in range(3 * RECENT_LIMIT):
        recent.add(flow_hash)
    assert recent.size <= 2 * RECENT_LIMIT
