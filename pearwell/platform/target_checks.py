"""Health checks of targets that leave requests unanswered, and the notices about their results."""

import socket

from pearwell.affinity.director import Director
from pearwell.affinity.failing_targets import (
    CHECK_INTERVAL_S,
    FailingTargets,
    NoticeFilter,
    decode_notice,
    encode_notice,
)
from pearwell.affinity.routes import RouteTable
from pearwell.affinity.target import Target
from pearwell.event_log import EventLog
from pearwell.http_message import encode_message
from pearwell.platform.hint_socket import HintSocket
from pearwell.platform.packet_socket import PacketSocket
from pearwell.platform.store import connect
from pearwell.reactor import Reactor

__all__ = ["TargetChecks"]

# A target that serves answers a check within milliseconds, or after the requests in its slots.
CHECK_TIMEOUT_S = 0.3
RECEIVE_BYTES = 4_096
# What a target reports by its status; others tell nothing.
_SERVES = {b"200": True, b"503": False}


class TargetChecks:
    """Runs the health checks of an instance.

    Args:
        reactor: Event loop.
        failing: Decides which targets are checked.
        routes: Routes in force, with the services' paths of health checks.
        packets: Forwards withheld packets.
        hints: Socket for messages between instances.
        log: Event log.
    """

    def __init__(
        self,
        reactor: Reactor,
        failing: FailingTargets,
        routes: RouteTable,
        packets: PacketSocket,
        hints: HintSocket,
        log: EventLog,
    ) -> None:
        self._reactor = reactor
        self._failing = failing
        self._routes = routes
        self._packets = packets
        self._hints = hints
        self._log = log
        self._filter = NoticeFilter()
        self._watching = False
        hints.on_other = self._on_datagram

    @classmethod
    def start(
        cls,
        reactor: Reactor,
        director: Director,
        routes: RouteTable,
        packets: PacketSocket,
        hints: HintSocket,
        log: EventLog,
    ) -> "TargetChecks":
        """Lets a director find failing targets, and returns what checks them."""
        return cls(reactor, director.watch_failures(), routes, packets, hints, log)

    def run_due(self) -> None:
        """Starts the checks that are due and forwards the packets of targets that recovered."""
        now = self._reactor.now()
        for target in self._failing.take_checks(now):
            self._reactor.spawn(self._check(target))
        self._apply()

    def tick(self) -> None:
        """Runs periodic work; called every second."""
        self._failing.tick(self._reactor.now())
        self.run_due()

    def _apply(self) -> None:
        """Sends notices and released packets, and starts regular checks if they are needed."""
        for notice in self._failing.take_notices():
            self._hints.send_datagram(encode_notice(notice, True))
            if self._hints.is_relay and self._filter.should_forward(notice, self._reactor.now()):
                self._hints.forward_datagram(encode_notice(notice, False))
        self._packets.replay(self._failing.take_released(self._reactor.now()))
        if self._failing.watching and not self._watching:
            self._watching = True
            self._reactor.spawn(self._watch())

    async def _watch(self) -> None:
        try:
            while self._failing.watching:
                await self._reactor.sleep(CHECK_INTERVAL_S)
                for target in self._failing.take_regular_checks(self._reactor.now()):
                    self._reactor.spawn(self._check(target))
        finally:
            self._watching = False

    async def _check(self, target: Target) -> None:
        service = self._routes.find_service(target.service)
        if service is None or service.health_path is None:
            return
        data = b""
        try:
            data = await self._fetch(target.address, service.health_path)
        except OSError as error:
            # A target that has ended is found by a probe.
            self._log.flow("target_check_failed", target=target.name, error=error)
        serves = _SERVES.get(data[9:12]) if data.startswith(b"HTTP/1.") else None
        self._failing.handle_check(target, serves, self._reactor.now())
        self._apply()

    async def _fetch(self, address: tuple[str, int], path: str) -> bytes:
        """Returns the start of the response to a request; b"" if there is none in time."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            if not await connect(self._reactor, sock, address, CHECK_TIMEOUT_S):
                return b""
            headers = {"Host": f"{address[0]}:{address[1]}", "Connection": "close"}
            sock.send(encode_message(f"GET {path} HTTP/1.1", headers))
            if not await self._reactor.readable(sock, CHECK_TIMEOUT_S):
                return b""
            return sock.recv(RECEIVE_BYTES)
        finally:
            sock.close()

    def _on_datagram(self, data: bytes) -> bool:
        """Handles a datagram; returns False if it is no notice."""
        decoded = decode_notice(data)
        if decoded is None:
            return False
        notice, forward = decoded
        now = self._reactor.now()
        if forward and self._hints.is_relay and self._filter.should_forward(notice, now):
            self._hints.forward_datagram(encode_notice(notice, False))
        self._failing.handle_notice(notice, now)
        self._apply()
        return True
