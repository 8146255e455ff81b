"""Tests of pearwell.placement.change."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearwell.model.placement import Generation, Phase, PlacedTarget, TargetState
from pearwell.placement.change import activate, fail, initial, prepare, release


def target(name, weight=100, state=TargetState.WORKING):
    return PlacedTarget(name, f"127.9.1.{int(name[1:]) + 1}", 6080, weight, state)


def targets(*numbers, **states):
    return tuple(
        target(f"t{number}", state=states.get(f"t{number}", TargetState.WORKING))
        for number in numbers
    )


def generation(counter):
    return Generation(counter, "i1")


@pytest.fixture
def stable():
    return initial("g", "z", targets(2, 0, 1), 7, generation(1))


def test_initial_is_stable_and_even(stable):
    counts = Counter(stable.current)
    assert stable.phase is Phase.STABLE
    assert stable.base == stable.current == stable.upcoming
    assert max(counts.values()) - min(counts.values()) <= 1
    assert stable == initial("g", "z", targets(0, 1, 2), 7, generation(1))


def test_an_added_target_is_prepared_activated_and_released(stable):
    prepared = prepare(stable, targets(0, 1, 2, 3), generation(2))
    assert prepared.phase is Phase.PREPARED
    assert prepared.base == prepared.current
    assert prepared.targets[:3] == stable.targets
    active = activate(prepared, generation(3))
    assert active.phase is Phase.ACTIVE
    assert active.base == prepared.base
    assert active.current == prepared.upcoming
    moved = [b for b in range(512) if active.base[b] != active.current[b]]
    partial = release(active, moved[:1], generation(4))
    assert partial.phase is Phase.ACTIVE
    assert release(partial, moved, generation(5)).phase is Phase.STABLE


def test_a_removed_target_is_dropped_once_all_buckets_are_stable(stable):
    active = activate(prepare(stable, targets(0, 2), generation(2)), generation(3))
    assert active.targets[1].state is TargetState.LEAVING
    assert 1 not in active.current
    released = release(active, range(512), generation(4))
    assert [t.name for t in released.targets] == ["t0", "t2"]
    assert set(released.base) == {0, 1}
    again = prepare(released, targets(0, 1, 2, t1=TargetState.LEAVING), generation(5))
    assert again.targets == released.targets
    assert again.phase is Phase.STABLE


def test_a_second_change_keeps_the_base_of_split_buckets(stable):
    active = activate(prepare(stable, targets(0, 1, 2, 3), generation(2)), generation(3))
    again = activate(prepare(active, targets(0, 1, 2), generation(4)), generation(5))
    assert again.base == stable.base
    assert 3 not in again.current


def test_a_bucket_that_returns_to_its_base_is_stable_only_after_its_release(stable):
    active = activate(prepare(stable, targets(0, 1, 2, 3), generation(2)), generation(3))
    split = {b for b in range(512) if active.base[b] != active.current[b]}
    back = activate(prepare(active, targets(0, 1, 2), generation(4)), generation(5))
    returned = {b for b in split if back.current[b] == back.base[b]}
    assert returned
    assert back.returned == returned
    assert back.phase is Phase.ACTIVE
    assert release(back, split, generation(6)).phase is Phase.STABLE


def test_a_dead_target_loses_its_new_flows_at_once(stable):
    failed = fail(stable, "t1", generation(2))
    assert failed.targets[1].state is TargetState.DEAD
    assert failed.base == stable.base
    assert 1 not in failed.current
    assert failed.current == failed.upcoming
    kept = [b for b in range(512) if stable.current[b] != 1]
    assert all(failed.current[b] == stable.current[b] for b in kept)


def test_preparing_with_a_dead_target_moves_its_new_flows_at_once(stable):
    prepared = prepare(stable, targets(0, 1, 2, t1=TargetState.DEAD), generation(2))
    assert 1 not in prepared.current


def test_the_last_target_keeps_its_buckets_when_it_fails(stable):
    all_failed = fail(
        fail(fail(stable, "t0", generation(2)), "t1", generation(3)), "t2", generation(4)
    )
    assert set(all_failed.current) == {2}


def test_a_suspect_target_takes_flows_only_if_no_target_is_working(stable):
    suspect = prepare(stable, targets(0, 1, 2, t0=TargetState.SUSPECT), generation(2))
    assert 0 not in suspect.upcoming
    states = {f"t{number}": TargetState.SUSPECT for number in range(3)}
    assert set(prepare(stable, targets(0, 1, 2, **states), generation(2)).upcoming) == {0, 1, 2}


def test_adding_targets_extends_the_tables_by_repetition(stable):
    grown = prepare(stable, targets(*range(5)), generation(2))
    assert len(grown.upcoming) == 1024
    assert grown.base == stable.base * 2


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.sets(st.integers(0, 5), min_size=1), min_size=1, max_size=6))
def test_only_release_changes_a_base_and_only_to_the_current_target(target_sets):
    placement = initial("g", "z", targets(*sorted(target_sets[0])), 0, generation(1))
    for step, numbers in enumerate(target_sets):
        names = [placement.targets[index].name for index in placement.base]
        changed = activate(
            prepare(placement, targets(*sorted(numbers)), generation(2 + 3 * step)),
            generation(3 + 3 * step),
        )
        size = len(changed.base)
        assert [changed.targets[i].name for i in changed.base] == names * (size // len(names))
        assert {changed.targets[i].name for i in changed.current} == {f"t{n}" for n in numbers}
        current = [changed.targets[index].name for index in changed.current]
        placement = release(changed, range(0, size, 2), generation(4 + 3 * step))
        base = [placement.targets[index].name for index in placement.base]
        assert base[::2] == current[::2]
