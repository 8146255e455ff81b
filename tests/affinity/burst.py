"""A burst in one zone: clients, instances and queueing hosts in virtual time."""

import heapq
from itertools import count

from tests.affinity.builders import World, data, fin, target

SLOTS, QUEUE = 2, 8
SERVICE_S = 0.04
# Round trip between a client and its host.
TRIP_S = 0.004


class Host:
    """A host with slots and a queue; it sheds requests that find the queue full."""

    def __init__(self):
        self.ends = []

    def serve(self, now):
        """Takes a request; returns when its answer is out, and whether that sheds it."""
        self.ends = [end for end in self.ends if end > now]
        if len(self.ends) >= SLOTS + QUEUE:
            return now, True
        busy = sorted(self.ends)[-SLOTS:]
        start = busy[0] if len(busy) == SLOTS else now
        self.ends.append(start + SERVICE_S)
        return start + SERVICE_S, False


class Burst:
    """Zone "a" with some instances and hosts; zone "b" has hosts without clients of its own.

    Args:
        instances: Instances of zone "a"; clients spread over them.
        own: Hosts of zone "a".
        others: Hosts of zone "b".
    """

    def __init__(self, instances, own, others):
        zones = ["a"] * own + ["b"] * others
        self._worlds = [
            World(*[target(n, zone=zone) for n, zone in enumerate(zones, start=1)])
            for _ in range(instances)
        ]
        self._hosts = {f"i-{number:08x}": Host() for number in range(1, len(zones) + 1)}
        self._flows = count(1)
        self.shed = self.spilled = 0

    def run(self, seconds, requests_per_s, start):
        """Plays requests, each on a flow of its own, at an even pace; shed ones aren't repeated."""
        events = [
            (start + number / requests_per_s, next(self._flows), None)
            for number in range(int(seconds * requests_per_s))
        ]
        while events:
            now, flow, token = heapq.heappop(events)
            world = self._worlds[flow % len(self._worlds)]
            world.now = now
            if token is None:
                chosen = self._ask(world, flow)
                end, shed = self._hosts[chosen.name].serve(now)
                self.shed += shed
                self.spilled += chosen.zone != "a"
                heapq.heappush(events, (end + TRIP_S, flow, chosen.token))
            else:
                world.send(data(flow, token, seq=1101, ack=900, length=0))
                world.send(fin(flow, token))

    def _ask(self, world, flow):
        chosen = world.open(flow)
        assert world.send(data(flow, chosen.token)) is chosen
        return chosen
