"""Fabric stand-in: sends each packet to a random instance, encapsulated as IP in UDP."""

import asyncio
import random
import socket
from collections.abc import Iterable

from pearwell.agreement.instance_list import InstanceList, ListedState
from pearwell.errors import PlatformError
from pearwell.steering.verdict import Address

__all__ = ["Fabric", "poll_instances"]

# Time by which the fabric may lag behind the platform's list of instances.
POLL_INTERVAL_S = 0.5


class Fabric:
    """Sends packets of callers to instances.

    Args:
        sock: Non-blocking UDP socket to send from.
        rng: Chooses the instance of each packet.
    """

    def __init__(self, sock: socket.socket, rng: random.Random) -> None:
        self._socket = sock
        self._rng = rng
        self._instances: tuple[Address, ...] = ()
        self._dropped = 0

    @property
    def instances(self) -> tuple[Address, ...]:
        """Encapsulation addresses of the instances in use."""
        return self._instances

    @property
    def dropped(self) -> int:
        """Packets dropped because no instance was listed or sending failed."""
        return self._dropped

    def set_instances(self, instances: Iterable[Address]) -> None:
        """Replaces the instances that packets are sent to."""
        self._instances = tuple(instances)

    def send(self, packet: bytes) -> None:
        """Sends a packet to a random instance."""
        if not self._instances:
            self._dropped += 1
            return
        try:
            self._socket.sendto(packet, self._rng.choice(self._instances))
        except OSError:
            self._dropped += 1


async def poll_instances(fabric: Fabric, instances: InstanceList) -> None:
    """Polls the platform's list and keeps the fabric on its live instances until cancelled."""
    while True:
        try:
            listed = await instances.read()
        except PlatformError:
            await asyncio.sleep(POLL_INTERVAL_S)
            continue
        live = [e for e in listed.instances if e.state is ListedState.LIVE]
        fabric.set_instances((entry.address, entry.fabric_port) for entry in live)
        await asyncio.sleep(POLL_INTERVAL_S)
