"""SYNs that a frozen instance forwards when it wakes, after their flows opened elsewhere."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from client import Client, ClientFlow  # noqa: E402
from deployment import CONTACT_S, Deployment, run_case  # noqa: E402
from record import Record  # noqa: E402

INSTANCES, HOSTS = 10, 4
# Freezes of one machine, one after the other.
FREEZES, FROZEN_S = 4, 1.25
# The flows of a freeze start in this span of it: by their last SYN, the routers know.
FLOWS, FIRST_SYN_S, LAST_SYN_S = 12, 0.42, 0.55
# Until all machines are in touch again; far below the idle timeout of 12 s.
REST_S = CONTACT_S + 0.5


async def _open_later(client: Client, flow: ClientFlow, wait_s: float) -> bool:
    await asyncio.sleep(wait_s)
    return await client.open(flow) and await client.request(flow) == "ok"


async def _play_freeze(
    deployment: Deployment, record: Record, client: Client, has_trouble: bool
) -> int:
    """Plays one freeze; returns the number of flows that others than their hosts reset."""
    # Not a seed, so that the freeze has no effect on the others.
    frozen = [*deployment.instances.values()][6]
    router, loop = deployment.router, asyncio.get_running_loop()
    flows = [
        client.new_flow(deployment.remote, lambda ends: router.owner(ends) == frozen.name)
        for _ in range(FLOWS)
    ]
    await asyncio.sleep(router.next_probe_at[frozen.name] - loop.time() - 0.01)
    if has_trouble:
        frozen.send(signal.SIGSTOP)
    step_s = (LAST_SYN_S - FIRST_SYN_S) / FLOWS
    opening = [
        asyncio.ensure_future(_open_later(client, flow, FIRST_SYN_S + step_s * number))
        for number, flow in enumerate(flows)
    ]
    await asyncio.sleep(FROZEN_S)
    frozen.send(signal.SIGCONT)
    opened = await asyncio.gather(*opening)
    hosts = {flow: deployment.host_of(flow.ends) for flow in flows}
    await asyncio.sleep(REST_S)
    broken = 0
    for flow, is_open in zip(flows, opened, strict=True):
        if not is_open:
            continue
        await client.request(flow)
        host = hosts[flow]
        for _, sender in flow.resets:
            is_foreign = host is not None and sender != host.address
            broken += is_foreign
            record.write(
                "flow_reset",
                port=flow.local[1],
                host=host and host.name,
                sender=f"{sender[0]}:{sender[1]}",
                host_still_holds_flow=host is not None and host.holds(flow.ends),
            )
    record.write("freeze_played", flows=FLOWS, opened=sum(opened), reset_by_others=broken)
    return broken


async def case(record: Record, directory: Path, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    deployment = Deployment(record, directory, INSTANCES)
    broken = 0
    try:
        await deployment.start(HOSTS)
        client = await deployment.add_client()
        await asyncio.sleep(CONTACT_S)
        for _ in range(FREEZES):
            broken += await _play_freeze(deployment, record, client, has_trouble)
    finally:
        await deployment.stop()
    record.write("counts", flows=FREEZES * FLOWS, reset_by_others=broken)
    return not broken


if __name__ == "__main__":
    run_case(case, Path(__file__).with_name("record.txt"))
