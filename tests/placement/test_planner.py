"""Tests of pearwell.placement.planner, codec and store."""

import msgspec
import pytest

from pearwell.clock import ManualClock
from pearwell.errors import Code, PeerError, PlatformError
from pearwell.model.membership import Member, MemberState, View
from pearwell.model.placement import Generation, Phase, PlacedTarget, TargetState
from pearwell.object_store import MemoryObjectStore
from pearwell.placement import change
from pearwell.placement.codec import decode_entry, decode_stored, encode_entry
from pearwell.placement.planner import GroupPlanner, PlannerSelection, PrepareBounds
from pearwell.placement.store import PlacementStore, SaveOutcome
from tests.virtual_time import run


def target(name, state=TargetState.WORKING, weight=100):
    return PlacedTarget(name, f"10.0.0.{name[1:]}", 6080, weight, state)


TWO_TARGETS = (target("t1"), target("t2"))
THREE_TARGETS = (*TWO_TARGETS, target("t3"))
UDP_BOUNDS = PrepareBounds(min_prepared_s=2.0, max_prepared_s=2.0)


def make_planner(clock, targets=TWO_TARGETS, prepare_bounds=None, instance="i0"):
    planner = GroupPlanner("g", "pnw-a", instance, clock, lambda: 100)
    planner.set_desired(targets, 7, prepare_bounds or PrepareBounds())
    return planner


def apply_all_due(planner, clock, acknowledged=True):
    """Applies placements until nothing is due."""
    while (successor := planner.next_placement(acknowledged)) is not None:
        assert planner.placement is None or successor.generation > planner.placement.generation
        assert planner.apply(successor)
        clock.advance(0.2)


def test_the_first_placement_uses_the_first_counter_and_the_seed():
    planner = make_planner(ManualClock())
    apply_all_due(planner, ManualClock())
    assert (planner.placement.generation, planner.placement.seed) == (Generation(100, "i0"), 7)
    assert planner.placement.phase is Phase.STABLE


@pytest.mark.parametrize(
    ("acknowledged", "prepare_bounds", "elapsed", "activates"),
    [
        (True, PrepareBounds(), 0.05, False),
        (True, PrepareBounds(), 0.2, True),
        (False, PrepareBounds(), 1.4, False),
        (False, PrepareBounds(), 1.6, True),
        (True, UDP_BOUNDS, 1.9, False),
        (False, UDP_BOUNDS, 2.1, True),
    ],
)
def test_activation_waits_for_acknowledgements_or_the_bound(
    acknowledged, prepare_bounds, elapsed, activates
):
    clock = ManualClock()
    planner = make_planner(clock)
    apply_all_due(planner, clock)
    planner.set_desired(THREE_TARGETS, 7, prepare_bounds)
    prepared = planner.next_placement(acknowledged=False)
    assert prepared.phase is Phase.PREPARED
    planner.apply(prepared)
    clock.advance(elapsed)
    successor = planner.next_placement(acknowledged)
    assert (successor is not None and successor.phase is Phase.ACTIVE) == activates


@pytest.mark.parametrize("phase", [Phase.STABLE, Phase.PREPARED, Phase.ACTIVE])
def test_a_dead_target_is_handled_before_any_other_step(phase):
    clock = ManualClock()
    planner = make_planner(clock)
    apply_all_due(planner, clock)
    planner.set_desired(THREE_TARGETS, 7, PrepareBounds())
    while planner.placement.phase is not phase:
        planner.apply(planner.next_placement(acknowledged=True))
        clock.advance(0.2)
    planner.set_desired((target("t1", TargetState.DEAD), *THREE_TARGETS[1:]), 7, PrepareBounds())
    successor = planner.next_placement(acknowledged=False)
    assert successor.targets[0].state is TargetState.DEAD
    assert 0 not in successor.current


def test_only_reports_for_the_current_generation_release_buckets():
    clock = ManualClock()
    planner = make_planner(clock)
    apply_all_due(planner, clock)
    planner.set_desired(THREE_TARGETS, 7, PrepareBounds())
    apply_all_due(planner, clock)
    held = planner.placement
    moving = [b for b, t in enumerate(held.base) if t != held.current[b]]
    planner.mark_clear(moving, held.generation.counter - 1)
    assert planner.next_placement(acknowledged=False) is None
    planner.mark_clear([*moving, 10**6, -1], held.generation.counter)
    assert planner.next_placement(acknowledged=False).phase is Phase.STABLE


def test_nothing_is_planned_without_a_change():
    clock = ManualClock()
    planner = make_planner(clock)
    apply_all_due(planner, clock)
    held = planner.placement
    assert not planner.apply(held)
    planner.set_desired(tuple(reversed(TWO_TARGETS)), 7, PrepareBounds())
    assert planner.next_placement(acknowledged=True) is None
    planner.set_desired((), 7, PrepareBounds())
    assert planner.next_placement(acknowledged=True) is None


def test_leaving_members_are_never_selected_as_planners():
    states = (MemberState.LEAVING, MemberState.ALIVE, MemberState.SUSPECT)
    members = tuple(Member(f"i{n}", "127.0.0.1", 1, 2, 0, state) for n, state in enumerate(states))
    chosen = {PlannerSelection(View(members)).planning_instance(f"g{n}") for n in range(50)}
    assert chosen == {"i1", "i2"}
    assert PlannerSelection(View()).planning_instance("g") is None


def placement(counter, instance="i0", targets=TWO_TARGETS):
    return change.initial("g", "pnw-a", targets, 7, Generation(counter, instance))


def test_entries_must_match_the_key_and_version_of_their_placement():
    entry = encode_entry(placement(3))
    assert decode_entry(entry) == placement(3)
    other = encode_entry(placement(4)).payload
    for corrupted in (other, b"", b"\x00", entry.payload[:-1]):
        with pytest.raises(PeerError) as caught:
            decode_entry(msgspec.structs.replace(entry, payload=corrupted))
        assert caught.value.code is Code.PEER_BAD_MESSAGE


@pytest.mark.parametrize(
    ("held", "own", "newly_planned", "outcome"),
    [
        (None, (5, "i1"), True, SaveOutcome.SAVED),
        ((4, "i0"), (5, "i1"), True, SaveOutcome.SAVED),
        ((5, "i0"), (5, "i1"), True, SaveOutcome.SUPERSEDED),
        ((5, "i0"), (5, "i1"), False, SaveOutcome.SAVED),
        ((5, "i2"), (5, "i1"), False, SaveOutcome.SUPERSEDED),
        ((6, "i0"), (5, "i1"), True, SaveOutcome.SUPERSEDED),
        ((5, "i1"), (5, "i1"), True, SaveOutcome.SAVED),
    ],
)
def test_a_placement_is_never_saved_over_a_later_one(held, own, newly_planned, outcome):
    async def check():
        platform = MemoryObjectStore()
        if held is not None:
            await PlacementStore(platform, "pnw-a", ManualClock()).save(
                placement(*held), newly_planned=True
            )
        store = PlacementStore(platform, "pnw-a", ManualClock())
        saved = await store.save(placement(*own), newly_planned=newly_planned)
        assert saved.outcome is outcome
        stored = decode_stored(await platform.get("placement", "g.pnw-a"))
        won = own if outcome is SaveOutcome.SAVED else held
        assert stored.generation == Generation(*won)
        assert saved.stored == (placement(*held) if outcome is SaveOutcome.SUPERSEDED else None)

    run(check())


def test_a_lost_response_and_an_outage_count_as_unreachable_until_the_backoff_ends():
    async def check():
        platform, clock = MemoryObjectStore(), ManualClock()
        store = PlacementStore(platform, "pnw-a", clock)
        platform.faults.lose_answers = 1
        assert (
            await store.save(placement(1), newly_planned=True)
        ).outcome is SaveOutcome.UNREACHABLE
        assert not store.reachable
        clock.advance(3.0)
        assert (await store.save(placement(2), newly_planned=True)).outcome is SaveOutcome.SAVED
        platform.faults.outage = True
        assert (
            await store.save(placement(3), newly_planned=True)
        ).outcome is SaveOutcome.UNREACHABLE
        with pytest.raises(PlatformError):
            await store.load("g")

    run(check())
