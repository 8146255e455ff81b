"""Instances that communicate over real gRPC, all in the test process."""

import asyncio
import os
import random

from pearwell.agreement.gossip_service import GossipService
from pearwell.agreement.membership_service import MembershipService
from pearwell.agreement.peers import Peers
from pearwell.clock import MonotonicClock
from pearwell.kernel import Kernel
from pearwell.messages import EntryAdopted, PeerMessage, ViewRenewed
from pearwell.settings import Endpoint, PeerSettings, Settings
from pearwell.tls import load_tls

# Derived from the process ID, so that concurrent test runs don't clash.
LOOPBACK_PREFIX = f"127.{60 + os.getpid() % 180}"

PORTS = {
    "fabric_port": 20500,
    "peer_port": 20501,
    "control_port": 20502,
    "admin_port": 20503,
    "metrics_port": 20504,
}


def make_settings(number, seeds=(1,), octet=1, tls=None):
    """Returns the settings of one instance; each test uses its own octet to avoid clashes."""
    peers = tuple(
        PeerSettings(
            instance=f"i{seed}",
            address=f"{LOOPBACK_PREFIX}.{octet}.{seed}",
            peer_port=PORTS["peer_port"],
            control_port=PORTS["control_port"],
        )
        for seed in seeds
    )
    return Settings(
        instance=f"i{number}",
        region="pnw",
        zone="pnw-a",
        address=f"{LOOPBACK_PREFIX}.{octet}.{number}",
        platform=Endpoint(address=f"{LOOPBACK_PREFIX}.{octet}.250", port=20510),
        peers=peers,
        tls=tls,
        plaintext=tls is None,
        **PORTS,
    )


class Instance:
    """The peers, gossip and membership services of one instance."""

    def __init__(self, settings):
        clock, rng = MonotonicClock(), random.Random(settings.instance)
        self.peers = Peers(settings, load_tls(settings.tls), clock, rng)
        self.gossip = GossipService(settings.instance, self.peers, clock, rng)
        gossip = self.gossip.gossip
        self.membership = MembershipService(settings, self.peers, gossip, clock, rng)
        self.recorder = Recorder()
        self.kernel = Kernel()
        for service in (self.peers, self.gossip, self.membership, self.recorder):
            self.kernel.add(service)

    @property
    def members(self):
        """IDs of the members in the view."""
        return [m.instance for m in self.membership.swim.view.members]


class Recorder:
    """A service that records the messages delivered to it."""

    name = "recorder"
    accepts = (EntryAdopted, PeerMessage, ViewRenewed)

    def __init__(self):
        self.messages = []

    async def start(self, kernel):
        """Does nothing."""

    async def stop(self):
        """Does nothing."""

    def deliver(self, message):
        """Records a message."""
        self.messages.append(message)


async def wait_until(condition, timeout_s=15.0):
    """Waits until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)
