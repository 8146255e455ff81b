"""Tests of pearwell.soak.start_schedule."""

import signal

import pytest

from pearwell.soak.start_schedule import (
    MAX_SIGNAL_DELAY_S,
    Ending,
    HeldPort,
    Output,
    SettingsFault,
    TroubleKind,
    draw_starts,
    draw_store_faults,
    draw_troubles,
)

SEEDS = range(30)
LENGTH_S = 12.0


def draw_instance_starts(seed, length_s):
    return draw_starts(seed, 0, length_s)


def draw_instance_troubles(seed, length_s):
    return draw_troubles(seed, 0, length_s)


@pytest.mark.parametrize("draw", [draw_instance_starts, draw_instance_troubles, draw_store_faults])
def test_same_seed_gives_the_same_schedule_in_order_with_overlaps(draw):
    assert draw(7, LENGTH_S) == draw(7, LENGTH_S) != draw(8, LENGTH_S)
    overlaps = 0
    for seed in SEEDS:
        items = draw(seed, LENGTH_S)
        assert [item.at_s for item in items] == sorted(item.at_s for item in items)
        assert all(0 <= item.at_s < LENGTH_S for item in items)
        pairs = zip(items, items[1:], strict=False)
        overlaps += sum(one.at_s + one.for_s > other.at_s for one, other in pairs)
    assert overlaps > len(SEEDS)


@pytest.mark.parametrize("draw", [draw_starts, draw_troubles])
def test_instances_have_schedules_of_their_own(draw):
    assert draw(7, 0, LENGTH_S) != draw(7, 1, LENGTH_S)


@pytest.mark.parametrize(
    ("field", "kinds"),
    [
        ("ending", Ending),
        ("output", Output),
        ("settings", SettingsFault),
        ("held_port", HeldPort),
    ],
)
def test_starts_cover_all_kinds(field, kinds):
    starts = [start for seed in SEEDS for start in draw_starts(seed, 0, LENGTH_S)]
    assert {getattr(start, field) for start in starts} == set(kinds)


def test_signals_come_singly_and_in_bursts_in_the_first_moments_of_a_start():
    bursts = [start.signals for seed in SEEDS for start in draw_starts(seed, 0, LENGTH_S)]
    assert {0, 1, 2, 12} <= {len(burst) for burst in bursts}
    signals = [item for burst in bursts for item in burst]
    assert all(0 <= item.delay_s <= MAX_SIGNAL_DELAY_S for item in signals)
    assert {item.number for item in signals} == {
        signal.SIGHUP,
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGKILL,
    }


def test_troubles_and_store_faults_cover_all_kinds():
    troubles = {item.kind for seed in SEEDS for item in draw_troubles(seed, 0, LENGTH_S)}
    assert troubles == set(TroubleKind)
    assert len({fault.kind for seed in SEEDS for fault in draw_store_faults(seed, LENGTH_S)}) == 4


def test_each_of_many_instances_starts_less_often():
    counts = [
        sum(len(draw_starts(seed, 0, LENGTH_S, instances)) for seed in SEEDS)
        for instances in (1, 10, 40)
    ]
    assert counts[0] == counts[1] > 2 * counts[2]
