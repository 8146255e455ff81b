"""An entry whose name can't be read, at the end of a page of the list of hosts."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab.deployment import Deployment, run_case  # noqa: E402
from lab.record import Record  # noqa: E402

INSTANCES, HOSTS, PAGE_ENTRIES = 10, 60, 50
# The rule: on a tenth of the machines, two at least, three ends by themselves.
MACHINES, ENDS = 2, 3
WATCHED_S = 15.0
# Sorts behind the entries of 49 hosts; its last byte is no UTF-8.
NAME = b"intake-0000000000000031\xff"


async def case(record: Record, directory: Path, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    deployment = Deployment(record, directory, INSTANCES, PAGE_ENTRIES)
    served: dict[bool, list[bool]] = {False: [], True: []}
    try:
        await deployment.start(HOSTS)
        client = await deployment.add_client()

        async def send(is_after: bool) -> None:
            flow = client.new_flow(deployment.remote)
            is_served = await client.open(flow) and await client.request(flow) == "ok"
            served[is_after].append(is_served)

        for _ in range(20):
            await send(False)
        if not all(served[False]):
            raise RuntimeError("requests failed before the disruption")
        if has_trouble:
            deployment.store.put_bytes(
                "servers",
                NAME,
                lambda revision: b'{"meta":{"Name":"%b","Revision":%d},"spec":{},"status":null}'
                % (NAME, revision),
            )
        await asyncio.sleep(1.0)
        # Watches that are waiting may be cut off; the system then lists.
        deployment.store.cut()
        end = record.now + WATCHED_S
        while record.now < end:
            await asyncio.gather(*(send(True) for _ in range(4)))
            await asyncio.sleep(0.2)
    finally:
        await deployment.stop()
    ends = [instance.exits_by_itself for instance in deployment.instances.values()]
    record.write(
        "counts",
        ends_by_themselves=ends,
        sent_after=len(served[True]),
        served_after=sum(served[True]),
    )
    return sum(count >= ENDS for count in ends) < max(MACHINES, INSTANCES / 10)


if __name__ == "__main__":
    run_case(case, Path(__file__).with_name("record.txt"))
