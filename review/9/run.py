"""A seed loses its path to the store and stands still two seconds later; a route is dropped."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from loopback import Fleet, Instance, run  # noqa: E402

ROUTES = {443: "desk", 8443: "desk"}
DROPPED = 443
# The bounds in the settings: ConfigApplyMs and ContactMs.
APPLY_S, CONTACT_S = 3.0, 4.0
# Times after a first change, of a time-out.
CUT_AT_S, DROP_AT_S, FREEZE_AT_S, WAKE_AT_S = 3.5, 3.55, 5.2, 8.5
PROBE_INTERVAL_S = 0.05


async def open_flows(fleet: Fleet, instance: Instance, acked_at: float, port: int) -> list[str]:
    """Opens flows on the dropped route; returns the requests that a host ran too late."""
    late = []
    while (sent_s := time.monotonic() - acked_at) < APPLY_S + 1.5:
        flow = fleet.client.flow(port, DROPPED)
        flow.instance = instance
        port += 1
        if await flow.open():
            answer = await flow.request(f"request-{flow.port}")
            if sent_s > APPLY_S and answer == "answered" and flow.opened_on is not None:
                late.append(
                    f"{instance.name}: a request sent {sent_s:.2f} s after the acknowledgement"
                    f" ran on the dropped route at {flow.opened_on.name}"
                )
            flow.close()
        await asyncio.sleep(PROBE_INTERVAL_S)
    return late


async def play(fleet: Fleet, trouble: bool) -> list[str]:
    # Three seeds, one in each zone; the others are in the zone of the first.
    await fleet.start(instances=7, hosts=2, routes=ROUTES, zones="abcaaaa", paths=1)
    # All instances are in touch, and have found the seed of their zone.
    await asyncio.sleep(CONTACT_S + 6.0)
    seed = fleet.instances[0]
    assert seed.path is not None
    await fleet.configure(ROUTES, timeout_ms=2400)
    start = time.monotonic()

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(start + at_s - time.monotonic())

    await wait_until(CUT_AT_S)
    if trouble:
        fleet.record(f"{seed.name} is cut off from the store")
        seed.path.cut()
    await wait_until(DROP_AT_S)
    await fleet.configure({8443: "desk"}, timeout_ms=2400)
    acked_at = time.monotonic()
    probes = [
        fleet.spawn(open_flows(fleet, instance, acked_at, 42_000 + 1_000 * number))
        for number, instance in enumerate(fleet.instances[3:])
    ]
    await wait_until(FREEZE_AT_S)
    if trouble:
        seed.signal(signal.SIGSTOP)
    await wait_until(WAKE_AT_S)
    if trouble:
        seed.signal(signal.SIGCONT)
        seed.path.heal()
        fleet.record(f"{seed.name} reaches the store again")
    return [line for lines in await asyncio.gather(*probes) for line in lines]


run(FOLDER, play, seeds=3)
