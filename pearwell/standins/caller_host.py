"""Socket and timers of the caller stand-ins, which send through the fabric stand-in."""

import asyncio
import random
import time

from pearwell.packet_path import bind_udp
from pearwell.standins.caller import CallerCore
from pearwell.standins.fabric import Fabric

__all__ = ["CallerHost"]

BATCH_PACKETS = 256
PACKET_BUFFER_BYTES = 65535
SOCKET_BUFFER_BYTES = 8_000_000
TICK_S = 0.005


class CallerHost:
    """Runs callers in this process.

    Args:
        address: IP address that takes the answers.
        port: UDP port that takes the answers.
        rng: Source of all random choices.
    """

    def __init__(self, address: str, port: int, rng: random.Random) -> None:
        self._socket = bind_udp(address, port)
        self._fabric = Fabric(self._socket, rng)
        self._core = CallerCore(self._fabric.send, rng)
        self._task: asyncio.Task[None] | None = None

    @property
    def core(self) -> CallerCore:
        """The flows."""
        return self._core

    @property
    def fabric(self) -> Fabric:
        """The fabric that sprays the callers' packets."""
        return self._fabric

    def start(self) -> None:
        """Starts to receive and to run timers."""
        asyncio.get_running_loop().add_reader(self._socket, self._drain)
        self._task = asyncio.ensure_future(self._tick_forever())

    async def stop(self) -> None:
        """Stops and closes the socket."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    async def _tick_forever(self) -> None:
        while True:
            self._core.tick(time.monotonic())
            await asyncio.sleep(TICK_S)

    def _drain(self) -> None:
        for _ in range(BATCH_PACKETS):
            try:
                packet = self._socket.recv(PACKET_BUFFER_BYTES)
            except OSError:
                return
            self._core.receive(packet, time.monotonic())
