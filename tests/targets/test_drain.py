"""Tests of pearwell.targets.drain."""

import pytest

from pearwell.clock import ManualClock
from pearwell.errors import InvariantError
from pearwell.targets.drain import TargetDrain, TargetDrainState

T = TargetDrainState


@pytest.mark.parametrize(
    ("steps", "state", "accepts_new_flows", "keeps_existing_flows"),
    [
        ("", T.SERVING, True, True),
        ("moved deadline", T.SERVING, True, True),
        ("start", T.ANNOUNCED, True, True),
        ("start 1.9", T.ANNOUNCED, True, True),
        ("start 2.0", T.DRAINING, False, True),
        ("start moved", T.DRAINING, False, True),
        ("start 1.0 start 1.0", T.DRAINING, False, True),
        ("start cancel 5.0", T.SERVING, True, True),
        ("start 3.0 cancel 5.0", T.SERVING, True, True),
        ("start 29.9", T.DRAINING, False, True),
        ("start 30.0", T.EXPIRED, False, False),
        ("start 30.0 emptied", T.EMPTY, False, True),
        ("start moved emptied", T.EMPTY, False, True),
        ("start 30.0 cancel", T.SERVING, True, True),
    ],
)
def test_target_drain(steps, state, accepts_new_flows, keeps_existing_flows):
    clock = ManualClock(50.0)
    drain = TargetDrain("t", clock)
    actions = {
        "start": lambda: drain.start(30.0),
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
    assert (drain.accepts_new_flows, drain.keeps_existing_flows) == (
        accepts_new_flows,
        keeps_existing_flows,
    )


def test_without_deadline_existing_flows_are_kept_until_they_end():
    clock = ManualClock()
    drain = TargetDrain("t", clock)
    drain.start()
    drain.check_new_flow()
    clock.advance(1e6)
    assert drain.keeps_existing_flows
    with pytest.raises(InvariantError):
        drain.check_new_flow()
