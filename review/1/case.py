"""An entry of another writer among the hosts, with bytes that can't be read."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from deployment import Deployment, run_case  # noqa: E402
from record import Record  # noqa: E402

INSTANCES, HOSTS = 10, 4
# The rule: on a tenth of the machines, two at least, three ends by themselves.
MACHINES, ENDS = 2, 3
WATCHED_S = 12.0
# The service is a single byte that is no UTF-8, as a JSON text can hold it.
UNREADABLE = (
    b'{"meta":{"Name":"spare-00000000000000ff","Revision":%d},"spec":{"Service":"\\udcff",'
    b'"Address":"127.0.0.1:9","Zone":"pnw-a","State":"ready"},"status":null}'
)


async def case(record: Record, directory: Path, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    deployment = Deployment(record, directory, INSTANCES)
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
                "servers", b"spare-00000000000000ff", lambda revision: UNREADABLE % revision
            )
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
