"""The socket that receives clients' packets and sends forwarded packets and resets."""

import socket
from collections.abc import Callable

from pearwell.affinity.director import RST, SYN, Director
from pearwell.affinity.lifecycle import is_stale, is_stale_syn
from pearwell.affinity.target import Target
from pearwell.affinity.token import NO_TOKEN
from pearwell.errors import Code, PacketError
from pearwell.event_log import EventLog
from pearwell.histogram import Histogram
from pearwell.platform.packet import (
    client_ip,
    decode_packet,
    encode_forwarded,
    encode_reset,
    flow_packet,
)
from pearwell.reactor import Reactor

__all__ = ["PacketSocket"]

# Maximum number of packets read before timers and other sockets are served.
BATCH_PACKETS = 64
DATAGRAM_BYTES = 2_048
# Holds the packets that arrive while an instance starts or is paused.
RECEIVE_BUFFER_BYTES = 4_194_304
# More packets than that buffer holds, with the kernel's overhead for each.
MAX_BACKLOG_PACKETS = 8_192
_NOT_RESET = (Code.FLOW_UNSETTLED, Code.FLOW_WITHHELD, Code.FLOW_HELD)


class PacketSocket:
    """Reads packets and forwards or resets them as the director decides.

    The socket is bound already, and packets queue in it until start() is called.

    Args:
        reactor: Event loop.
        sock: Socket bound to the address that routers send to.
        client_port: Port at which clients receive.
        director: Makes the decisions.
        log: Event log.
        times: Histogram of the processing time of a packet in seconds.
        on_batch: Called after each batch of packets.
    """

    def __init__(
        self,
        reactor: Reactor,
        sock: socket.socket,
        client_port: int,
        director: Director,
        log: EventLog,
        times: Histogram,
        on_batch: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._client_port = client_port
        self._director = director
        self._log = log
        self._times = times
        self._on_batch = on_batch
        self._sock = sock
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._bound_at = reactor.now()
        self._started = False

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    def start(self) -> None:
        """Starts reading packets."""
        self._started = True
        self._reactor.add_reader(self._sock, self._read)
        self.catch_up(self._reactor.now() - self._bound_at)

    def catch_up(self, waited_s: float) -> None:
        """Handles the queued packets, and drops those that may have been queued for too long.

        Packets go on queueing until start() is called.

        Args:
            waited_s: Maximum time in seconds that a packet may have been queued.
        """
        packets = dropped = 0
        while self._started and packets < MAX_BACKLOG_PACKETS:
            try:
                data = self._sock.recv(DATAGRAM_BYTES)
            except OSError:
                # BlockingIOError: all have been read.
                break
            packets += 1
            if is_stale(waited_s) or _is_stale_syn(data, waited_s):
                dropped += 1
            else:
                self._handle(data, self._reactor.now())
        if dropped:
            self._log.event(
                "backlog_dropped", packets=dropped, of=packets, waited_s=round(waited_s, 3)
            )

    def send_retransmissions(self, now: float) -> None:
        """Retransmits the unanswered SYNs that are due."""
        for data, target in self._director.due_retransmissions(now):
            self._forward(data, target, NO_TOKEN)

    def send_resets(self) -> None:
        """Resets the flows whose targets are gone."""
        for flow in self._director.take_resets():
            self._reset(flow.key, encode_reset(flow_packet(flow.key, flow.last_ack)))
        for key, ack in self._director.take_unknown_resets(self._reactor.now()):
            self._reset(key, encode_reset(flow_packet(key, ack)))

    def replay(self, packets: list[bytes]) -> None:
        """Handles packets that were withheld or held as if they had just been received."""
        for data in packets:
            self._handle(data, self._reactor.now())

    def _read(self) -> None:
        started = self._reactor.now()
        packets = 0
        while packets < BATCH_PACKETS:
            try:
                data = self._sock.recv(DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as error:
                self._log.event("receive_failed", error=error)
                break
            packets += 1
            self._handle(data, started)
        if packets:
            self._times.observe((self._reactor.now() - started) / packets)
        self._on_batch()

    def _handle(self, data: bytes, now: float) -> None:
        try:
            packet = decode_packet(data)
        except PacketError as error:
            self._log.flow("packet_malformed", code=int(error.code), detail=error.detail)
            return
        decision = self._director.on_packet(packet, data, now)
        key, _, flags, _, _, _, token = packet
        if isinstance(decision, Target):
            self._forward(data, decision, token)
        elif decision not in _NOT_RESET and not flags & RST:
            self._reset(key, encode_reset(packet))

    def _forward(self, data: bytes, target: Target, packet_token: int) -> None:
        self._send(encode_forwarded(data, target.tag, target.token, packet_token), target.address)

    def _reset(self, key: bytes, reset: bytes) -> None:
        self._send(reset, (client_ip(key), self._client_port))

    def _send(self, datagram: bytes, address: tuple[str, int]) -> None:
        try:
            self._sock.sendto(datagram, address)
        except OSError as error:
            # The packet is lost, for example on a full link; the client retransmits it.
            self._log.flow("send_failed", to=address[0], error=error)


def _is_stale_syn(data: bytes, waited_s: float) -> bool:
    try:
        _, _, flags, _, earlier_syns, _, _ = decode_packet(data)
    except PacketError:
        return False
    return bool(flags & SYN) and is_stale_syn(earlier_syns, waited_s)
