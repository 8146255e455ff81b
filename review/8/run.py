"""A datagram is lost while the hosts are half full; later the instances are restarted in turn."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from loopback import ACK, SYN, ClientFlow, Fleet, Packet, foreign_resets, run  # noqa: E402

ROUTES = {443: "desk"}
MAX_CONNS = 20
# Flows that stay open and send a request now and then: 12 of 20 on each host.
REGULAR_FLOWS = 24
TEST_PORT = 40_001


async def keep_busy(flow: ClientFlow, number: int) -> None:
    """Sends a request on an open flow about every 5 s."""
    count = 0
    while True:
        await asyncio.sleep(5.0 + number % 7 * 0.1)
        count += 1
        await flow.request(f"regular-{flow.port}-{count}")


async def play(fleet: Fleet, trouble: bool) -> list[str]:
    await fleet.start(instances=2, hosts=2, routes=ROUTES)
    for number in range(REGULAR_FLOWS):
        flow = fleet.client.flow(41_001 + number)
        if not await flow.open():
            raise RuntimeError("a regular flow did not open")
        fleet.spawn(keep_busy(flow, number))
        await asyncio.sleep(0.05)
    # Instances count each other after 10 s of calls to the seed.
    await asyncio.sleep(14.0)
    flow = fleet.client.flow(TEST_PORT)
    lost: list[Packet] = []

    def loses(packet: Packet) -> bool:
        is_first = packet.dst == flow.local and packet.flags == SYN | ACK and not lost
        if is_first:
            lost.append(packet)
        return is_first and trouble

    for host in fleet.hosts:
        host.loses = loses
    if not await flow.open():
        raise RuntimeError("the flow did not open")
    if await flow.request("charge-1") != "answered":
        raise RuntimeError("the first request was not answered")
    # Planned work: the instance is stopped and started again while the flow is idle.
    await asyncio.sleep(5.0)
    restarted = fleet.route(TEST_PORT)
    await restarted.restart()
    await asyncio.sleep(2.5)
    await flow.request("charge-2")
    await asyncio.sleep(0.5)
    return foreign_resets(fleet)


run(FOLDER, play, seeds=1, max_conns=MAX_CONNS)
