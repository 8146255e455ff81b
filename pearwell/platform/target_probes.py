"""Probes of targets that leave packets unanswered: connection attempts to their addresses."""

import errno
import socket

from pearwell.affinity.target import Target
from pearwell.affinity.target_health import TargetHealth
from pearwell.platform.hint_socket import HintSocket
from pearwell.platform.packet_socket import PacketSocket
from pearwell.platform.store import connect, finish_connect
from pearwell.reactor import Reactor

__all__ = ["TargetProbes"]

# A target that accepts connections does so within milliseconds. Once a probe has been unanswered
# for the shorter time, the other instances start theirs.
PROBE_HINT_S = 0.05
PROBE_TIMEOUT_S = 0.3
# Errors of an attempt that never left this machine.
_NOT_MADE = (
    errno.EACCES,
    errno.EADDRNOTAVAIL,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ENOSPC,
    errno.EPERM,
)


class TargetProbes:
    """Probes targets, and passes on what follows from the results.

    Args:
        reactor: Event loop.
        health: Receives the results.
        packets: Resets the flows of targets that are gone.
        hints: Notifies the other instances.
    """

    def __init__(
        self, reactor: Reactor, health: TargetHealth, packets: PacketSocket, hints: HintSocket
    ) -> None:
        self._reactor = reactor
        self._health = health
        self._packets = packets
        self._hints = hints

    async def probe(self, target: Target) -> None:
        """Probes a target with a connection attempt, which is refused if its process has ended."""
        answered, refused = False, False
        try:
            answered = await self._connect(target)
        except OSError as error:
            if error.errno in _NOT_MADE:
                self._health.handle_failed_probe(target, error)
                return
            refused = error.errno == errno.ECONNREFUSED
        except Exception as error:
            # The target may be probed again.
            self._health.handle_failed_probe(target, error)
            raise
        self._health.handle_probe_result(target, answered, refused, self._reactor.now())
        self._packets.send_resets()
        self._hints.send_hints(self._health.take_hints())

    async def _connect(self, target: Target) -> bool:
        """Returns whether a target accepts a connection in time; raises OSError on a failure."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            if await connect(self._reactor, sock, target.address, PROBE_HINT_S):
                return True
            self._health.handle_slow_probe(target, self._reactor.now())
            self._hints.send_hints(self._health.take_hints())
            return await finish_connect(self._reactor, sock, PROBE_TIMEOUT_S - PROBE_HINT_S)
        finally:
            sock.close()
