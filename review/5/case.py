"""Flows on a new host that move to instances which still await an answer of a frozen relay."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from client import Client, ClientFlow  # noqa: E402
from deployment import CONTACT_S, Deployment, Instance, run_case  # noqa: E402
from host import Host  # noqa: E402
from record import Record  # noqa: E402

INSTANCES, HOSTS = 10, 3
# Flows on the new host for each of the instances that they move to.
FLOWS_EACH, WITH_OTHERS = 4, 60
FROZEN_S = 3.0


async def _open(client: Client, flow: ClientFlow) -> bool:
    return await client.open(flow) and await client.request(flow) == "ok"


async def _play_freeze(
    deployment: Deployment, record: Record, client: Client, frozen: Instance, has_trouble: bool
) -> int:
    """Plays one freeze of a seed; returns the number of flows that others than their host reset."""
    router, stopped = deployment.router, deployment.seeds[0]
    # Flows that the hosts hold already, so that a new one gets those that follow.
    for _ in range(WITH_OTHERS):
        flow = client.new_flow(deployment.remote, lambda ends: router.owner(ends) == stopped.name)
        if not await _open(client, flow):
            raise RuntimeError("a flow could not be opened")
    # All listings have been complete for a while.
    await asyncio.sleep(CONTACT_S)

    # Planned work: an instance is stopped and a host is added.
    stopped.send(signal.SIGTERM)
    if has_trouble:
        frozen.send(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FROZEN_S, frozen.send, signal.SIGCONT)
    new = await deployment.add_host()
    await asyncio.sleep(0.05)
    flows = [
        client.new_flow(
            deployment.remote,
            lambda ends, then=name: router.owner(ends) == stopped.name
            and router.owner(ends, without=(stopped.name, frozen.name)) == then,
        )
        for name in deployment.instances
        if name not in (stopped.name, frozen.name)
        for _ in range(FLOWS_EACH)
    ]
    await asyncio.gather(*(_open(client, flow) for flow in flows))
    on_new = [flow for flow in flows if new.holds(flow.ends)]
    await deployment.wait_for(lambda: stopped.name not in router.rotation)
    await asyncio.gather(*(_request(client, flow, frozen.name) for flow in on_new))
    broken = sum(_count_foreign_resets(record, flow, new) for flow in on_new)
    record.write("freeze_played", instance=frozen.name, flows=len(on_new), reset_by_others=broken)
    if not on_new:
        raise RuntimeError("no flow opened on the new host")
    await asyncio.sleep(FROZEN_S)
    await deployment.wait_for(lambda: len(router.rotation) == INSTANCES)
    return broken


async def case(record: Record, directory: Path, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    deployment = Deployment(record, directory, INSTANCES)
    broken = 0
    try:
        await deployment.start(HOSTS)
        client = await deployment.add_client()
        # One freeze after the other: an instance is the relay of some others, of few or many.
        for frozen in deployment.seeds[1:]:
            broken += await _play_freeze(deployment, record, client, frozen, has_trouble)
    finally:
        await deployment.stop()
    record.write("counts", reset_by_others=broken)
    return not broken


async def _request(client: Client, flow: ClientFlow, frozen: str) -> None:
    """Sends another request on a flow, unless it would go to the frozen instance."""
    if client.router.owner(flow.ends) != frozen:
        await client.request(flow)


def _count_foreign_resets(record: Record, flow: ClientFlow, host: Host) -> int:
    count = 0
    for _, sender in flow.resets:
        is_foreign = sender != host.address
        count += is_foreign
        record.write(
            "flow_reset",
            port=flow.local[1],
            host=host.name,
            sender=f"{sender[0]}:{sender[1]}",
            host_still_holds_flow=host.holds(flow.ends),
        )
    return count


if __name__ == "__main__":
    run_case(case, Path(__file__).with_name("record.txt"))
