"""Graceful stop of an instance that breaks no flow and hands over its shards.

The instance announces to its zone and the platform that it is leaving. It then keeps forwarding
until the fabric sends it no more packets and other instances serve its shards, and only then
exits. Every wait has a deadline, so that a platform outage can't block the stop indefinitely.
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
    """Time limits of a graceful stop in seconds.

    Attributes:
        quiet_s: Time without a packet after which the fabric counts as no longer sending.
        deadline_s: Timeout of the wait for the fabric and for the handover.
        poll_s: Polling interval of that wait.
        platform_s: Timeout of each write to the platform's list of instances.
    """

    quiet_s: float = 1.5
    deadline_s: float = 15.0
    poll_s: float = 0.1
    platform_s: float = 3.0


@dataclass(frozen=True, slots=True)
class ShutdownSteps:
    """Callbacks of a graceful stop.

    Attributes:
        mark_leaving: Marks the instance as leaving in the platform's list of instances.
        leave: Announces to the zone that the instance is leaving.
        last_packet_at: Returns the clock time of the latest packet from the fabric.
        handed_over: Returns whether other instances serve all shards of this one.
        remove: Removes the instance from the platform's list.
    """

    mark_leaving: Callable[[], Awaitable[bool]]
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
    """Runs a graceful stop until the instance can exit.

    Args:
        steps: Callbacks into the instance.
        clock: Source of monotonic time.
        times: Time limits.
        sleep: Sleeps for a number of seconds.

    Returns:
        Whether the fabric was quiet and the handover complete before the deadline.
    """
    times = times or ShutdownTimes()
    started_at = clock.now()
    steps.leave()
    await _run_with_timeout(times.platform_s, steps.mark_leaving)
    finished = False
    while not finished and clock.now() - started_at < times.deadline_s:
        await sleep(times.poll_s)
        quiet = clock.now() - max(steps.last_packet_at(), started_at) >= times.quiet_s
        finished = quiet and steps.handed_over()
    await _run_with_timeout(times.platform_s, steps.remove)
    _log.info("instance_left", complete=finished, seconds=round(clock.now() - started_at, 1))
    return finished


async def _run_with_timeout(seconds: float, step: Callable[[], Awaitable[bool]]) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await step()
