"""Graceful stop of an instance: it cuts off no flow and hands over what it decides for.

The instance first tells the platform and its zone that it is leaving, goes on forwarding until the
fabric has stopped sending packets and the other instances have taken over its records, and only
then ends. Each wait has a deadline, so that an outage of the platform can't hold it up for ever.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from pearwell.clock import Clock

__all__ = ["ShutdownSteps", "ShutdownTimes", "shut_down"]

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Bounds of a graceful stop in seconds.

    Attributes:
        quiet_s: Time without a packet from the fabric after which it has stopped sending.
        deadline_s: Longest wait for that and for the hand-over.
        poll_s: Time between two looks.
        platform_s: Longest time that each change of the platform's list may take.
    """

    quiet_s: float = 1.5
    deadline_s: float = 15.0
    poll_s: float = 0.1
    platform_s: float = 3.0


@dataclass(frozen=True, slots=True)
class ShutdownSteps:
    """What a graceful stop calls.

    Attributes:
        withdraw: Lists the instance as leaving in the platform.
        leave: Tells the zone that the instance is leaving.
        last_packet_at: Time of the latest packet from the fabric in seconds of the clock.
        handed_over: Whether other instances decide for everything that this one decided for.
        remove: Removes the instance from the platform's list.
    """

    withdraw: Callable[[], Awaitable[bool]]
    leave: Callable[[], None]
    last_packet_at: Callable[[], float]
    handed_over: Callable[[], bool]
    remove: Callable[[], Awaitable[bool]]


async def shut_down(
    steps: ShutdownSteps,
    clock: Clock,
    times: ShutdownTimes | None = None,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> bool:
    """Brings an instance to where it can end.

    Args:
        steps: What to call.
        clock: Source of monotonic time.
        times: Bounds.
        sleep: Waits a number of seconds.

    Returns:
        Whether the fabric was quiet and all was handed over before the deadline.
    """
    times = times or ShutdownTimes()
    started = clock.now()
    steps.leave()
    await _within(times.platform_s, steps.withdraw)
    finished = False
    while not finished and clock.now() - started < times.deadline_s:
        await sleep(times.poll_s)
        quiet = clock.now() - max(steps.last_packet_at(), started) >= times.quiet_s
        finished = quiet and steps.handed_over()
    await _within(times.platform_s, steps.remove)
    _log.info("instance_left", complete=finished, seconds=round(clock.now() - started, 1))
    return finished


async def _within(seconds: float, step: Callable[[], Awaitable[bool]]) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await step()
