"""Tests of pearwell.targets.drain."""

import pytest

from pearwell.clock import ManualClock
from pearwell.errors import InvariantError
from pearwell.targets.drain import TargetDrain, TargetDrainState

T = TargetDrainState


@pytest.mark.parametrize(
    ("steps", "state", "takes_new", "keeps_existing_flows"),
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
def test_target_drain(steps, state, takes_new, keeps_existing_flows):
    clock = ManualClock(50.0)
    drain = TargetDrain("t", clock)
    actions = {
        "leave": lambda: drain.leave(30.0),
        "cancel": drain.cancel,
        "moved": drain.new_flows_moved,
        "emptied": drain.flows_ended,
        "deadline": drain.tick,
    }
    for step in steps.split():
        if step in actions:
            actions[step]()
        else:
            clock.advance(float(step))
            drain.tick()
    assert drain.state is state
    assert (drain.takes_new, drain.keeps_existing_flows) == (takes_new, keeps_existing_flows)


def test_without_deadline_existing_flows_are_kept_until_they_end():
    clock = ManualClock()
    drain = TargetDrain("t", clock)
    drain.leave()
    drain.check_start()
    clock.advance(1e6)
    assert drain.keeps_existing_flows
    with pytest.raises(InvariantError):
        drain.check_start()
