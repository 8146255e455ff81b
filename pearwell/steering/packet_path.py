"""The packet path: forwards inner packets from the UDP sockets of the fabric and of peers."""

import asyncio
import socket
from collections import Counter
from time import monotonic

import structlog

from pearwell.errors import Code
from pearwell.kernel import Kernel, QueuedService
from pearwell.messages import (
    ConfigurationChanged,
    Message,
    PeerMessage,
    PlacementChanged,
    ViewChanged,
    ViewRenewed,
)
from pearwell.messages.targets import OpenFlowsReported
from pearwell.model.configuration import Configuration
from pearwell.reactor import bind_socket
from pearwell.settings import Settings
from pearwell.steering.flow_meter import FlowMeter
from pearwell.steering.forwarding import Forwarder
from pearwell.steering.packet import MAX_PACKET_BYTES
from pearwell.steering.steering import Steering
from pearwell.steering.verdict import Action, Address
from pearwell.targets.admission import Admission

__all__ = ["PacketPath", "bind_udp"]

# Packets read from one socket before the event loop runs other work.
BATCH_PACKETS = 64
# A longer gap between two packets of a batch may mean that the process was paused.
PAUSE_THRESHOLD_S = 0.05
TICK_INTERVAL_S = 0.1
# Ticks between two reports of flow counts.
METER_REPORT_TICKS = 10
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

_log = structlog.get_logger()


def bind_udp(address: str, port: int) -> socket.socket:
    """Binds a non-blocking UDP socket.

    Raises:
        SettingsError: SETTINGS_PORT_IN_USE, or SETTINGS_INVALID_VALUE if it can't be bound.
    """
    sock = bind_socket(socket.SOCK_DGRAM, (address, port))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return sock


class PacketPath(QueuedService):
    """The service "packets": forwards packets and applies changes to steering.

    Args:
        settings: Addresses and ports.
        steering: Provides tables and verdicts.
        admission: Admits new flows.
        meter: Counts new and ended flows.
    """

    name = "packets"
    accepts: tuple[type[Message], ...] = (
        ConfigurationChanged,
        OpenFlowsReported,
        PeerMessage,
        PlacementChanged,
        ViewChanged,
        ViewRenewed,
    )
    interval_s = TICK_INTERVAL_S

    def __init__(
        self, settings: Settings, steering: Steering, admission: Admission, meter: FlowMeter
    ) -> None:
        super().__init__()
        self._settings = settings
        self._steering = steering
        self._admission = admission
        self._meter = meter
        self._forwarder = Forwarder(steering, admission, meter, self._send_reply)
        self._buffer = bytearray(MAX_PACKET_BYTES)
        self._buffer_view = memoryview(self._buffer)
        self._fabric_read_at = monotonic()
        self._configuration = Configuration()
        self._ticks = 0
        self._sockets: list[socket.socket] = []
        self._peers: frozenset[str] = frozenset(peer.address for peer in settings.peers)
        self._return_address: Address | None = None
        if settings.return_endpoint is not None:
            self._return_address = (
                settings.return_endpoint.address,
                settings.return_endpoint.port,
            )

    @property
    def counts(self) -> Counter[tuple[Action, Code]]:
        """Packets by action and code since the process started."""
        return self._forwarder.counts

    @property
    def fabric_read_at(self) -> float:
        """Monotonic time in seconds of the latest read from the fabric socket."""
        return self._fabric_read_at

    async def start(self, kernel: Kernel) -> None:
        """Binds the sockets and starts forwarding."""
        await super().start(kernel)
        settings = self._settings
        fabric = bind_udp(settings.address, settings.fabric_port)
        self._sockets.append(fabric)
        peer = bind_udp(settings.address, settings.peer_port)
        self._sockets.append(peer)
        loop = asyncio.get_running_loop()
        loop.add_reader(fabric, self._read_fabric, fabric)
        loop.add_reader(peer, self._read_peers, peer)
        _log.info("packets_started", address=settings.address, port=settings.fabric_port)

    async def stop(self) -> None:
        """Stops forwarding and closes the sockets."""
        loop = asyncio.get_running_loop()
        for sock in self._sockets:
            loop.remove_reader(sock)
            sock.close()
        self._sockets.clear()
        await super().stop()

    async def handle(self, message: Message) -> None:
        """Applies a message to steering, admission and forwarding."""
        match message:
            case PeerMessage(sender=sender, message=content):
                self._steering.handle(sender, content)
            case ViewRenewed(confirmed_at=confirmed_at):
                self._steering.renew_view(confirmed_at)
            case ViewChanged(view=view):
                self._steering.apply_view(view)
                self._admission.set_live_instances(len(view.members))
                self._peers = frozenset(member.address for member in view.members)
            case PlacementChanged(placement=placement):
                self._steering.apply_placement(placement)
                self._forwarder.refresh()
            case ConfigurationChanged(configuration=configuration):
                self._steering.configure(configuration)
                self._admission.configure(configuration)
                self._forwarder.configure(configuration)
                self._configuration = configuration
            case OpenFlowsReported(group=group, open_flows=open_flows):
                self._update_open_flows(group, dict(open_flows))

    def _update_open_flows(self, group: str, open_flows: dict[str, int]) -> None:
        for service in self._configuration.services.values():
            if service.group == group:
                self._admission.update_open_flows(service.name, open_flows)

    async def tick(self) -> None:
        """Runs steering's periodic work and publishes the flow counts."""
        self._steering.tick()
        self._ticks += 1
        if self._ticks % METER_REPORT_TICKS == 0:
            for message in self._meter.take_messages():
                self.kernel.publish(message)

    def _read_fabric(self, sock: socket.socket) -> None:
        """Forwards queued packets from the fabric, at most a batch."""
        buffer, buffer_view = self._buffer, self._buffer_view
        receive, forward, send = sock.recv_into, self._forwarder.forward, sock.sendto
        previous = self._check_lease()
        self._fabric_read_at = previous
        for _ in range(BATCH_PACKETS):
            try:
                length = receive(buffer)
            except OSError:
                return
            now = monotonic()
            if now - previous > PAUSE_THRESHOLD_S:
                self._check_lease()
            previous = now
            address = forward(buffer, length)
            if address is None:
                continue
            try:
                send(buffer_view[:length], address)
            except OSError:
                self._forwarder.count_drop(Code.PACKET_SEND_FAILED)

    def _read_peers(self, sock: socket.socket) -> None:
        """Forwards queued packets from known peers, at most a batch."""
        previous = self._check_lease()
        for _ in range(BATCH_PACKETS):
            try:
                length, sender = sock.recvfrom_into(self._buffer)
            except OSError:
                return
            now = monotonic()
            if now - previous > PAUSE_THRESHOLD_S:
                self._check_lease()
            previous = now
            if sender[0] not in self._peers:
                self._forwarder.count_drop(Code.PACKET_UNKNOWN_PEER)
                continue
            address = self._forwarder.forward(self._buffer, length, from_peer=True)
            if address is not None:
                self._send(self._buffer_view[:length], address)

    def _check_lease(self) -> float:
        self._steering.check_lease()
        return monotonic()

    def _send_reply(self, packet: bytes) -> None:
        if self._return_address is not None:
            self._send(packet, self._return_address)

    def _send(self, packet: bytes | memoryview, address: Address) -> None:
        try:
            self._sockets[0].sendto(packet, address)
        except OSError:
            self._forwarder.count_drop(Code.PACKET_SEND_FAILED)
