"""Entries of another writer fill the memory of each instance that lists them."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab3 import Client, Host, Lab, endpoint, now, route, run_case  # noqa: E402

EDGES, HOSTS, FLOWS_PER_S = 4, 6, 30
# The final fault of the deployment: all processes are killed, and start again after 0.65 s.
DOWN_S, RECOVERY_S, JUDGED_S = 0.65, 15.0, 10.0
# Memory of the small machines in the sheets of the grown deployments.
MEMORY_MB = 109
# Entries with fields missing and one that no host has, of 0.7 MB each; a value may have 1 MB.
ENTRIES, VALUES = 12, 49_000


def content(number: int) -> bytes:
    """Returns an entry of another writer."""
    values = ",".join(f'{{"a":"{number:x}{n}"}}' for n in range(VALUES))
    return f'{{"Service":"ledger","Samples":[{values}]}}'.encode()


class Case:
    """Clients open a flow for each request, before and after the final fault."""

    def __init__(self, trouble: bool) -> None:
        self.trouble = trouble
        self.lab = lab = Lab(
            Path(__file__).with_name("record.txt"),
            EDGES,
            {"Limits.MemoryMb": MEMORY_MB, "Bounds.RecoveryS": 15},
        )
        lab.hosts = [Host(lab, n + 1, "ledger", 0.020, 2) for n in range(HOSTS)]
        lab.clients = [Client(lab, n + 1) for n in range(20)]
        self.remote = endpoint(lab.ip(9, 1), 8080)
        # Time of each request, and whether it was served.
        self.requests: list[tuple[float, bool]] = []

    async def run(self) -> bool:
        lab = self.lab
        try:
            lab.write_config(
                7, [route("watch", lab.ip(9, 1), 8080, "ledger")], [{"Name": "ledger"}]
            )
            await lab.start()
            for client in lab.clients:
                await client.start()
            lab.spawn(self.traffic())
            await asyncio.sleep(8.0)
            for edge in lab.edges:
                lab.spawn(lab.enforce_memory(edge, MEMORY_MB))
            for number in range(ENTRIES if self.trouble else 0):
                entry = content(number)
                lab.store.put_raw("servers", f"i-00000000{0xA0 + number:02x}", entry)
                lab.record.line(f"store: entry of another writer, {len(entry)} bytes")
                await asyncio.sleep(0.5)
            await asyncio.sleep(2.0)
            fault_at = now()
            await asyncio.gather(*[lab.kill_edge(edge, DOWN_S) for edge in lab.edges])
            back_at = now()
            await asyncio.sleep(RECOVERY_S + JUDGED_S + 2.5)
            before = self.share(fault_at - 8.0, fault_at - 2.0)
            after = self.share(back_at + RECOVERY_S, back_at + RECOVERY_S + JUDGED_S)
            lab.record.line(
                f"share served before the final fault {before:.3f}, after it {after:.3f}"
            )
            return before >= 0.25 > after
        finally:
            await lab.stop()

    def share(self, since: float, until: float) -> float:
        served = [ok for at, ok in self.requests if since <= at < until]
        return sum(served) / max(1, len(served))

    async def traffic(self) -> None:
        while True:
            self.lab.spawn(self.submit(random.choice(self.lab.clients)))
            await asyncio.sleep(random.uniform(0.5, 1.5) / FLOWS_PER_S)

    async def submit(self, client: Client) -> None:
        sent_at = now()
        flow = await client.open(self.remote)
        outcome = "flow not opened"
        if flow is not None:
            outcome = await client.request(flow, f"a{len(self.requests)}")
        if flow is not None and outcome.startswith("ok") and not flow.closed:
            client.close(flow)
        self.requests.append((sent_at, outcome.startswith("ok")))
        self.lab.record.line(f"request sent {now() - sent_at:.3f} s ago: {outcome}")


if __name__ == "__main__":
    sys.exit(run_case(lambda trouble: Case(trouble).run()))
