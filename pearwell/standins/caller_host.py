"""Socket and timers of the caller stand-ins, which send through the fabric stand-in."""

import asyncio
import random
import time
from collections.abc import Coroutine
from typing import Any

from pearwell.agreement.instance_list import InstanceList
from pearwell.object_store.platform_client import PlatformClient
from pearwell.standins.caller import CallerCore
from pearwell.standins.fabric import Fabric, poll_instances
from pearwell.steering.packet_path import bind_udp
from pearwell.steering.verdict import Address

__all__ = ["CallerHost"]

BATCH_PACKETS = 256
PACKET_BUFFER_BYTES = 65535
TICK_INTERVAL_S = 0.005
POLL_INTERVAL_S = 0.1


class CallerHost:
    """Runs callers and the fabric in this process.

    Args:
        return_address: IP address and UDP port that receive the packets to callers.
        platform_url: Base URL of the platform, whose list of instances the fabric uses.
        zone: Availability zone of the instances.
        rng: Source of all random choices.
    """

    def __init__(
        self, return_address: Address, platform_url: str, zone: str, rng: random.Random
    ) -> None:
        self._socket = bind_udp(*return_address)
        self._fabric = Fabric(self._socket, rng)
        self._core = CallerCore(self._fabric.send, rng)
        self._platform = PlatformClient(platform_url)
        self._instances = InstanceList(self._platform, zone, rng)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def core(self) -> CallerCore:
        """Core that runs the flows."""
        return self._core

    def start(self) -> None:
        """Starts to receive packets, to run timers and to poll the list of instances."""
        asyncio.get_running_loop().add_reader(self._socket, self._receive_packets)
        self._spawn(self._run_timers())
        self._spawn(poll_instances(self._fabric, self._instances))

    async def stop(self) -> None:
        """Cancels all tasks and closes the socket."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        await self._platform.close()

    async def wait_for_instances(self, count: int, timeout_s: float) -> None:
        """Waits until the fabric sends to at least count instances.

        Raises:
            TimeoutError: It sends to fewer after timeout_s.
        """
        async with asyncio.timeout(timeout_s):
            while len(self._fabric.instances) < count:
                await asyncio.sleep(POLL_INTERVAL_S)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _run_timers(self) -> None:
        while True:
            self._core.tick(time.monotonic())
            await asyncio.sleep(TICK_INTERVAL_S)

    def _receive_packets(self) -> None:
        for _ in range(BATCH_PACKETS):
            try:
                packet = self._socket.recv(PACKET_BUFFER_BYTES)
            except OSError:
                return
            self._core.receive(packet, time.monotonic())
