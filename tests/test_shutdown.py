"""Tests of pearwell.shutdown."""

import pytest

from pearwell.clock import ManualClock
from pearwell.shutdown import ShutdownSteps, ShutdownTimes, shut_down

TIMES = ShutdownTimes(quiet_s=1.5, deadline_s=10.0, poll_s=0.1)


@pytest.mark.parametrize(
    ("fabric_stops_at", "handed_over_at", "finished", "ends_at"),
    [
        (0.0, 0.0, True, 1.5),
        (3.0, 0.0, True, 4.5),
        (0.0, 4.0, True, 4.0),
        (99.0, 0.0, False, 10.0),
        (0.0, 99.0, False, 10.0),
    ],
)
async def test_waits_for_quiet_and_hand_over(fabric_stops_at, handed_over_at, finished, ends_at):
    clock = ManualClock()
    calls = []

    def step(name):
        async def called():
            calls.append((name, clock.now()))
            return True

        return called

    async def sleep(seconds):
        clock.advance(seconds)

    steps = ShutdownSteps(
        withdraw=step("withdraw"),
        leave=lambda: calls.append(("leave", clock.now())),
        last_packet_at=lambda: min(clock.now(), fabric_stops_at),
        handed_over=lambda: clock.now() >= handed_over_at,
        remove=step("remove"),
    )
    assert await shut_down(steps, clock, TIMES, sleep) is finished
    assert [name for name, _ in calls] == ["leave", "withdraw", "remove"]
    assert calls[-1][1] == pytest.approx(ends_at, abs=0.2)
