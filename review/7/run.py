"""A host's last write before its crash is executed late, when it is up again under its Id."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from loopback import ClientFlow, Fleet, foreign_resets, run  # noqa: E402

ROUTES = {443: "desk"}
CONTACT_S = 4.0
# Times after the host's last write: its crash, its start, the first flows, the end.
CRASH_AT_S, START_AT_S, FLOWS_AT_S, END_AT_S = 0.1, 0.8, 2.0, 9.0
# When the store executes that write; 1 to 6 s are allowed.
LATE_S = 5.5
FLOWS = 42


async def use(flow: ClientFlow, number: int) -> None:
    """Opens a flow and sends a request on it every half a second."""
    await asyncio.sleep(number * 0.02)
    if not await flow.open():
        return
    for count in range(12):
        if await flow.request(f"charge-{flow.port}-{count}") != "answered":
            return
        await asyncio.sleep(0.5)


async def play(fleet: Fleet, trouble: bool) -> list[str]:
    await fleet.start(instances=3, hosts=8, routes=ROUTES)
    await asyncio.sleep(CONTACT_S + 1.0)
    host = fleet.hosts[0]
    if trouble:
        host.next_beat_late_s = LATE_S
        async with asyncio.timeout(2.0):
            await host.beat_lost.wait()
    start = time.monotonic()

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(start + at_s - time.monotonic())

    await wait_until(CRASH_AT_S)
    fleet.record(f"{host.name} crashes, started {host.born}")
    await host.stop()
    await wait_until(START_AT_S)
    await host.start()
    fleet.record(f"{host.name} is up again, started {host.born}")
    await wait_until(FLOWS_AT_S)
    for number in range(FLOWS):
        fleet.spawn(use(fleet.client.flow(42_000 + number), number))
    await wait_until(END_AT_S)
    return foreign_resets(fleet)


run(FOLDER, play, seeds=3)
