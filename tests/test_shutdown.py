"""Tests of pearwell.shutdown."""

import asyncio

import pytest

from pearwell.clock import ManualClock
from pearwell.shutdown import ShutdownSteps, ShutdownTimes, shut_down
from tests.virtual_time import VirtualTimeLoop

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
async def test_stop_waits_for_a_quiet_fabric_and_the_handover(
    fabric_stops_at, handed_over_at, finished, ends_at
):
    clock = ManualClock()
    calls = []

    def step(name):
        async def callback():
            calls.append((name, clock.now()))
            return True

        return callback

    async def sleep(seconds):
        clock.advance(seconds)

    steps = ShutdownSteps(
        mark_leaving=step("mark_leaving"),
        leave=lambda: calls.append(("leave", clock.now())),
        last_packet_at=lambda: min(clock.now(), fabric_stops_at),
        handed_over=lambda: clock.now() >= handed_over_at,
        remove=step("remove"),
    )
    assert await shut_down(steps, clock, TIMES, sleep) is finished
    assert [name for name, _ in calls] == ["leave", "mark_leaving", "remove"]
    assert calls[-1][1] == pytest.approx(ends_at, abs=0.2)


@pytest.mark.parametrize(
    "hanging_steps", [("mark_leaving",), ("remove",), ("mark_leaving", "remove")]
)
def test_an_unresponsive_platform_delays_the_stop_by_a_bounded_time(hanging_steps):
    calls = []

    def step(name):
        async def callback():
            calls.append(name)
            if name in hanging_steps:
                await asyncio.Event().wait()
            return True

        return callback

    async def stop():
        loop = asyncio.get_running_loop()
        steps = ShutdownSteps(
            mark_leaving=step("mark_leaving"),
            leave=lambda: calls.append("leave"),
            last_packet_at=loop.time,
            handed_over=lambda: False,
            remove=step("remove"),
        )
        return await shut_down(steps, loop, TIMES), loop.time()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        finished, ended_at = runner.run(stop())
    assert not finished
    assert calls == ["leave", "mark_leaving", "remove"]
    longest = TIMES.deadline_s + TIMES.platform_s * ("remove" in hanging_steps)
    assert ended_at == pytest.approx(longest, abs=2 * TIMES.poll_s)
