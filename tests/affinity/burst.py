"""Simulates a burst in one zone: clients, instances and hosts with queues in virtual time."""

import heapq
from itertools import count

from tests.affinity.builders import DirectorHarness, data, fin, target

SLOTS, QUEUE = 2, 8
SERVICE_S = 0.04
# Round trip between a client and its host.
ROUND_TRIP_S = 0.004


class Host:
    """The host of a target, with slots and a queue; it sheds requests while the queue is full."""

    def __init__(self):
        self.ends = []

    def serve(self, now):
        """Serves a request; returns the time of its response, and whether it was shed."""
        self.ends = [end for end in self.ends if end > now]
        if len(self.ends) >= SLOTS + QUEUE:
            return now, True
        busy = sorted(self.ends)[-SLOTS:]
        start = busy[0] if len(busy) == SLOTS else now
        self.ends.append(start + SERVICE_S)
        return start + SERVICE_S, False


class BurstSimulation:
    """Zone "a" with instances and hosts; zone "b" has hosts but no clients.

    Args:
        instances: Number of instances in zone "a"; the clients spread over them.
        local_hosts: Number of hosts in zone "a".
        remote_hosts: Number of hosts in zone "b".
    """

    def __init__(self, instances, local_hosts, remote_hosts):
        zones = ["a"] * local_hosts + ["b"] * remote_hosts
        self._harnesses = [
            DirectorHarness(*[target(n, zone=zone) for n, zone in enumerate(zones, start=1)])
            for _ in range(instances)
        ]
        self._hosts = {f"i-{number:08x}": Host() for number in range(1, len(zones) + 1)}
        self._flows = count(1)
        self.shed = self.spilled = 0

    def run(self, seconds, requests_per_s, start):
        """Sends requests at a constant rate, each on its own flow; shed ones are not retried."""
        events = [
            (start + number / requests_per_s, next(self._flows), None)
            for number in range(int(seconds * requests_per_s))
        ]
        while events:
            now, flow, token = heapq.heappop(events)
            harness = self._harnesses[flow % len(self._harnesses)]
            harness.now = now
            if token is None:
                chosen = self._send_request(harness, flow)
                end, shed = self._hosts[chosen.name].serve(now)
                self.shed += shed
                self.spilled += chosen.zone != "a"
                heapq.heappush(events, (end + ROUND_TRIP_S, flow, chosen.token))
            else:
                harness.send(data(flow, token, seq=1101, ack=900, length=0))
                harness.send(fin(flow, token))

    def _send_request(self, harness, flow):
        chosen = harness.open(flow)
        assert harness.send(data(flow, chosen.token)) is chosen
        return chosen
