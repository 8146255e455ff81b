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
from pearwell.placement.planner import GroupPlanner, Pace, Planners
from pearwell.placement.store import PlacementStore, SaveOutcome
from tests.virtual_time import run


def target(name, state=TargetState.WORKING, weight=100):
    return PlacedTarget(name, f"10.0.0.{name[1:]}", 6080, weight, state)


TWO = (target("t1"), target("t2"))
THREE = (*TWO, target("t3"))
UDP_PACE = Pace(min_prepared_s=2.0, max_prepared_s=2.0)


def planner(clock, targets=TWO, pace=None, instance="i0"):
    made = GroupPlanner("g", "pnw-a", instance, clock, lambda: 100)
    made.want(targets, 7, pace or Pace())
    return made


def settle(made, clock, acknowledged=True):
    """Adopts placements until nothing is due."""
    while (following := made.next(acknowledged)) is not None:
        assert made.placement is None or following.generation > made.placement.generation
        assert made.adopt(following)
        clock.advance(0.2)


def test_the_first_placement_uses_the_first_counter_and_the_seed():
    made = planner(ManualClock())
    settle(made, ManualClock())
    assert (made.placement.generation, made.placement.seed) == (Generation(100, "i0"), 7)
    assert made.placement.phase is Phase.STABLE


@pytest.mark.parametrize(
    ("acknowledged", "pace", "elapsed", "activates"),
    [
        (True, Pace(), 0.05, False),
        (True, Pace(), 0.2, True),
        (False, Pace(), 1.4, False),
        (False, Pace(), 1.6, True),
        (True, UDP_PACE, 1.9, False),
        (False, UDP_PACE, 2.1, True),
    ],
)
def test_activation_waits_for_acknowledgements_or_the_bound(acknowledged, pace, elapsed, activates):
    clock = ManualClock()
    made = planner(clock)
    settle(made, clock)
    made.want(THREE, 7, pace)
    prepared = made.next(acknowledged=False)
    assert prepared.phase is Phase.PREPARED
    made.adopt(prepared)
    clock.advance(elapsed)
    following = made.next(acknowledged)
    assert (following is not None and following.phase is Phase.ACTIVE) == activates


@pytest.mark.parametrize("phase", [Phase.STABLE, Phase.PREPARED, Phase.ACTIVE])
def test_a_dead_target_comes_before_everything_else(phase):
    clock = ManualClock()
    made = planner(clock)
    settle(made, clock)
    made.want(THREE, 7, Pace())
    while made.placement.phase is not phase:
        made.adopt(made.next(acknowledged=True))
        clock.advance(0.2)
    made.want((target("t1", TargetState.DEAD), *THREE[1:]), 7, Pace())
    following = made.next(acknowledged=False)
    assert following.targets[0].state is TargetState.DEAD
    assert 0 not in following.current


def test_only_proofs_of_the_current_generation_release_buckets():
    clock = ManualClock()
    made = planner(clock)
    settle(made, clock)
    made.want(THREE, 7, Pace())
    settle(made, clock)
    held = made.placement
    moving = [b for b, t in enumerate(held.base) if t != held.current[b]]
    made.clear(moving, held.generation.counter - 1)
    assert made.next(acknowledged=False) is None
    made.clear([*moving, 10**6, -1], held.generation.counter)
    assert made.next(acknowledged=False).phase is Phase.STABLE


def test_nothing_is_planned_without_a_reason():
    clock = ManualClock()
    made = planner(clock)
    settle(made, clock)
    held = made.placement
    assert not made.adopt(held)
    made.want(tuple(reversed(TWO)), 7, Pace())
    assert made.next(acknowledged=True) is None
    made.want((), 7, Pace())
    assert made.next(acknowledged=True) is None


def test_the_planner_is_a_lasting_member():
    states = (MemberState.LEAVING, MemberState.ALIVE, MemberState.SUSPECT)
    members = tuple(Member(f"i{n}", "127.0.0.1", 1, 2, 0, state) for n, state in enumerate(states))
    chosen = {Planners(View(members)).of(f"g{n}") for n in range(50)}
    assert chosen == {"i1", "i2"}
    assert Planners(View()).of("g") is None


def placement(counter, instance="i0", targets=TWO):
    return change.initial("g", "pnw-a", targets, 7, Generation(counter, instance))


def test_entries_hold_the_placement_of_their_version():
    entry = encode_entry(placement(3))
    assert decode_entry(entry) == placement(3)
    other = encode_entry(placement(4)).payload
    for spoiled in (other, b"", b"\x00", entry.payload[:-1]):
        with pytest.raises(PeerError) as caught:
            decode_entry(msgspec.structs.replace(entry, payload=spoiled))
        assert caught.value.code is Code.PEER_BAD_MESSAGE


@pytest.mark.parametrize(
    ("held", "own", "fresh", "outcome"),
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
def test_a_placement_is_never_saved_over_a_later_one(held, own, fresh, outcome):
    async def check():
        platform = MemoryObjectStore()
        if held is not None:
            await PlacementStore(platform, "pnw-a", ManualClock()).save(
                placement(*held), fresh=True
            )
        store = PlacementStore(platform, "pnw-a", ManualClock())
        saved = await store.save(placement(*own), fresh=fresh)
        assert saved.outcome is outcome
        stored = decode_stored(await platform.get("placement", "g.pnw-a"))
        won = own if outcome is SaveOutcome.SAVED else held
        assert stored.generation == Generation(*won)
        assert saved.stored == (placement(*held) if outcome is SaveOutcome.SUPERSEDED else None)

    run(check())


def test_a_lost_answer_and_an_outage_count_as_unreachable_for_a_while():
    async def check():
        platform, clock = MemoryObjectStore(), ManualClock()
        store = PlacementStore(platform, "pnw-a", clock)
        platform.faults.lose_answers = 1
        assert (await store.save(placement(1), fresh=True)).outcome is SaveOutcome.UNREACHABLE
        assert not store.reachable
        clock.advance(3.0)
        assert (await store.save(placement(2), fresh=True)).outcome is SaveOutcome.SAVED
        platform.faults.outage = True
        assert (await store.save(placement(3), fresh=True)).outcome is SaveOutcome.UNREACHABLE
        with pytest.raises(PlatformError):
            await store.load("g")

    run(check())
