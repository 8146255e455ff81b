"""Tests of pearwell.model.recent_hashes."""

import pytest

from pearwell.clock import ManualClock
from pearwell.model.recent_hashes import MAX_HASHES_PER_GENERATION, RecentHashes


@pytest.mark.parametrize(("pause", "seen"), [(1.0, True), (9.0, True), (17.0, False)])
def test_hashes_expire(pause, seen):
    clock = ManualClock()
    recent = RecentHashes(clock)
    assert not recent.add(7)
    clock.advance(pause)
    assert recent.add(7) is seen


def test_memory_is_bounded():
    recent = RecentHashes(ManualClock())
    for flow_hash in range(3 * MAX_HASHES_PER_GENERATION):
        recent.add(flow_hash)
    assert recent.size <= 2 * MAX_HASHES_PER_GENERATION
