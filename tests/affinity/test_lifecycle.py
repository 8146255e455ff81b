"""Tests of pearwell.affinity.lifecycle."""

import pytest

from pearwell.affinity.lifecycle import (
    MAX_BACKLOG_S,
    STOP_S,
    Lifecycle,
    is_stale,
    is_stale_syn,
)


@pytest.mark.parametrize(
    ("steps", "ready", "forwards", "accepts_flows"),
    [
        ((), False, False, False),
        (("forward",), False, True, False),
        (("forward", "start"), True, True, True),
        (("forward", "stop"), False, True, False),
        (("start",), True, True, True),
        (("start", "stop"), False, True, True),
        (("stop",), False, False, False),
        (("stop", "start"), False, True, True),
        (("start", "stop", "start"), False, True, True),
    ],
)
def test_a_stopping_instance_forwards_but_is_not_ready(steps, ready, forwards, accepts_flows):
    lifecycle = Lifecycle(6.0)
    for step in steps:
        getattr(lifecycle, step)()
    assert (lifecycle.ready, lifecycle.forwards) == (ready, forwards)
    assert lifecycle.accepts_flows == accepts_flows


def test_only_the_first_start_and_stop_count():
    lifecycle = Lifecycle(6.0)
    assert lifecycle.forward() and not lifecycle.forward()
    assert lifecycle.start() and not lifecycle.start()
    assert lifecycle.stop() and not lifecycle.stop()


@pytest.mark.parametrize(("grace_s", "wait_s"), [(6.0, STOP_S), (3.0, 2.0), (0.5, 0.0)])
def test_the_stop_ends_before_the_forced_termination(grace_s, wait_s):
    assert Lifecycle(grace_s).stop_after_s == wait_s


@pytest.mark.parametrize(
    ("waited_s", "stale"), [(0.0, False), (MAX_BACKLOG_S, False), (7.1, True), (1.5, True)]
)
def test_packets_queued_for_too_long_are_stale(waited_s, stale):
    """Clients have given up by then, or opened the flow through another instance."""
    assert is_stale(waited_s) == stale


@pytest.mark.parametrize(
    ("earlier_syns", "waited_s", "stale"),
    [
        (0, 0.19, False),
        (0, 0.21, True),
        (1, 0.39, False),
        (1, 0.41, True),
        (2, 0.79, False),
        (2, 0.81, True),
        (9, 0.79, False),
    ],
)
def test_a_syn_is_stale_once_its_client_has_sent_the_next_one(earlier_syns, waited_s, stale):
    """An instance that woke forwarded SYNs of flows that had opened elsewhere."""
    assert is_stale_syn(earlier_syns, waited_s) == stale
