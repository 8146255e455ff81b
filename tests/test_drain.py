"""Tests of pearwell.drain."""

import pytest

from pearwell.clock import ManualClock
from pearwell.drain import InstanceDrain, InstanceDrainState, TargetDrain, TargetDrainState
from pearwell.errors import InvariantError

T, N = TargetDrainState, InstanceDrainState


@pytest.mark.parametrize(
    ("steps", "state", "takes_new", "keeps_old"),
    [
        ("", T.SERVING, True, True),
        ("moved deadline", T.SERVING, True, True),
        ("leave", T.ANNOUNCED, True, True),
        ("leave 1.9", T.ANNOUNCED, True, True),
        ("leave 2.0", T.DRAINING, False, True),
        ("leave moved", T.DRAINING, False, True),
        ("leave 1.0 leave 1.0", T.DRAINING, False, True),
        ("leave cancel 5.0", T.SERVING, True, True),
        ("leave 3.0 cancel 5.0", T.SERVING, True, True),
        ("leave 29.9", T.DRAINING, False, True),
        ("leave 30.0", T.EXPIRED, False, False),
        ("leave 30.0 emptied", T.EMPTY, False, True),
        ("leave moved emptied", T.EMPTY, False, True),
        ("leave 30.0 cancel", T.SERVING, True, True),
    ],
)
def test_target_drain(steps, state, takes_new, keeps_old):
    clock = ManualClock(50.0)
    drain = TargetDrain("t", clock)
    actions = {
        "leave": lambda: drain.leave(30.0),
        "cancel": drain.cancel,
        "moved": drain.moved,
        "emptied": drain.emptied,
        "deadline": drain.tick,
    }
    for step in steps.split():
        if step in actions:
            actions[step]()
        else:
            clock.advance(float(step))
            drain.tick()
    assert drain.state is state
    assert (drain.takes_new, drain.keeps_old) == (takes_new, keeps_old)


def test_without_deadline_old_flows_stay_until_they_end():
    clock = ManualClock()
    drain = TargetDrain("t", clock)
    drain.leave()
    drain.check_start()
    clock.advance(1e6)
    assert drain.keeps_old
    with pytest.raises(InvariantError):
        drain.check_start()


@pytest.mark.parametrize(
    ("withdrawn_at", "last_packet_at", "handed_over", "done_at", "timeouts"),
    [
        (0.5, 1.0, True, 4.0, ()),
        (0.5, 0.0, True, 3.0, ()),
        (5.0, 20.0, True, 23.0, ()),
        (None, 1.0, True, 12.0, (N.WITHDRAWING,)),
        (0.5, 1e9, True, 60.5, (N.FORWARDING,)),
        (0.5, 1.0, False, 9.0, (N.HANDING_OVER,)),
        (None, 1e9, False, 75.0, (N.WITHDRAWING, N.FORWARDING, N.HANDING_OVER)),
    ],
)
def test_instance_drain_ends_in_bounded_time(
    withdrawn_at, last_packet_at, handed_over, done_at, timeouts
):
    clock = ManualClock()
    drain = InstanceDrain(clock)
    drain.tick()
    assert drain.state is N.SERVING
    drain.stop()
    drain.stop()
    while drain.tick() is not N.DONE:
        clock.advance(0.5)
        if clock.now() <= last_packet_at:
            drain.fabric_packet()
        if withdrawn_at is not None and clock.now() >= withdrawn_at:
            drain.withdrawn()
        if handed_over and drain.state is N.HANDING_OVER:
            drain.handed_over()
    assert clock.now() == pytest.approx(done_at, abs=0.5)
    assert drain.timeouts == timeouts
