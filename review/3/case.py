"""A flow whose SYN went to two hosts, and whose instance is stopped as planned."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from client import Client, ClientFlow  # noqa: E402
from deployment import Deployment, run_case  # noqa: E402
from record import Record  # noqa: E402

INSTANCES, HOSTS, FLOWS = 10, 4, 60
# Of more than 400 datagrams until all flows are open, this many are lost, all answers to SYNs.
LOST = 2
# Far below the idle timeout of 12 s.
PAUSE_S = 3.0


async def _open_with_loss(deployment: Deployment, client: Client, flow: ClientFlow) -> None:
    """Opens a flow; the first answer to its SYN is lost."""
    for host in deployment.hosts:
        host.synacks_to_lose = 1
    opening = asyncio.ensure_future(client.open(flow))
    await deployment.wait_for(lambda: any(h.synacks_to_lose == 0 for h in deployment.hosts))
    for host in deployment.hosts:
        host.synacks_to_lose = 0
    if not await opening:
        raise RuntimeError("a flow could not be opened")


async def case(record: Record, directory: Path, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    deployment = Deployment(record, directory, INSTANCES)
    broken = 0
    try:
        await deployment.start(HOSTS)
        client = await deployment.add_client()
        # Not a seed, so that its stop has no effect on the others.
        stopped = [*deployment.instances.values()][5]
        flows = []
        for number in range(FLOWS):
            # The network loses a datagram: the first answer to this SYN.
            if number < LOST:
                flow = client.new_flow(
                    deployment.remote, lambda ends: deployment.router.owner(ends) == stopped.name
                )
                await _open_with_loss(deployment, client, flow)
            else:
                flow = client.new_flow(deployment.remote)
                if not await client.open(flow):
                    raise RuntimeError("a flow could not be opened")
            if await client.request(flow) != "ok":
                raise RuntimeError("the first request failed")
            flows.append((flow, deployment.host_of(flow.ends)))
        if has_trouble:
            stopped.send(signal.SIGTERM)
        await asyncio.sleep(PAUSE_S)
        for flow, host in flows:
            outcome = await client.request(flow)
            for _, sender in flow.resets:
                is_foreign = host is not None and sender != host.address
                broken += is_foreign
                record.write(
                    "flow_reset",
                    port=flow.local[1],
                    outcome=outcome,
                    host=host and host.name,
                    sender=f"{sender[0]}:{sender[1]}",
                    host_still_holds_flow=host is not None and host.holds(flow.ends),
                )
    finally:
        await deployment.stop()
    record.write("counts", flows=FLOWS, datagrams_lost=LOST, reset_by_others=broken)
    return not broken


if __name__ == "__main__":
    run_case(case, Path(__file__).with_name("record.txt"))
