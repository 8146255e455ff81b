"""gRPC transport for messages between the instances of a zone."""

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator

import grpc
import structlog

from pearwell.agreement.peer_link import PeerLink
from pearwell.clock import Clock
from pearwell.errors import Code, PeerError, SettingsError
from pearwell.kernel import Kernel, QueuedService
from pearwell.messages import (
    Ack,
    IndirectAck,
    Join,
    MemberUpdates,
    Message,
    PeerMessage,
    Ping,
    ProbeRequest,
    ViewChanged,
    decode,
    encode,
)
from pearwell.model.membership import Member, View
from pearwell.settings import Settings
from pearwell.tls import TlsCredentials
from pearwell.v1 import peer_pb2, peer_pb2_grpc

__all__ = ["Peers"]

HOUSEKEEPING_INTERVAL_S = 5.0
STOP_FLUSH_S = 0.5
STOP_GRACE_S = 0.2
MAX_MESSAGE_BYTES = 4_000_000

_SERVER_OPTIONS = (
    # Binding a port that is in use must fail; gRPC shares it by default.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.http2.bdp_probe", 0),
)

# Message types accepted from instances that aren't members yet.
_NON_MEMBER_MESSAGES = (Ack, IndirectAck, Join, MemberUpdates, Ping, ProbeRequest)

_log = structlog.get_logger()


class Peers(QueuedService):
    """The kernel service "peers"; a Transport to the other instances over gRPC.

    Args:
        settings: Settings with the local address and control port.
        tls: TLS credentials; None for plaintext.
        clock: Source of monotonic time.
        rng: Source of backoff jitter.
    """

    name = "peers"
    accepts: tuple[type[Message], ...] = (ViewChanged,)
    interval_s = HOUSEKEEPING_INTERVAL_S

    def __init__(
        self, settings: Settings, tls: TlsCredentials | None, clock: Clock, rng: random.Random
    ) -> None:
        super().__init__()
        self._settings = settings
        self._tls = tls
        self._clock = clock
        self._rng = rng
        self._addresses: dict[str, Member] = {}
        self._members: frozenset[str] = frozenset()
        self._links: dict[str, PeerLink] = {}
        self._dropped: Counter[Code] = Counter()
        self._bytes_sent = 0
        self._messages_sent = 0
        self._server: grpc.aio.Server | None = None

    @property
    def dropped(self) -> Counter[Code]:
        """Number of dropped messages by error code, incoming and outgoing."""
        return self._dropped

    @property
    def bytes_sent(self) -> int:
        """Total size of the messages queued for sending, in encoded bytes."""
        return self._bytes_sent

    @property
    def messages_sent(self) -> int:
        """Number of messages queued for sending."""
        return self._messages_sent

    @property
    def batches_sent(self) -> int:
        """Number of batches sent over the links that are open now."""
        return sum(link.batches for link in self._links.values())

    @property
    def links(self) -> int:
        """Number of open links."""
        return len(self._links)

    async def start(self, kernel: Kernel) -> None:
        """Starts the gRPC server.

        Raises:
            SettingsError: SETTINGS_PORT_IN_USE if the control port can't be bound.
        """
        await super().start(kernel)
        server = grpc.aio.server(options=_SERVER_OPTIONS)
        servicer = _PeerServicer(self)
        peer_pb2_grpc.add_PeerServiceServicer_to_server(servicer, server)
        self._bind(server)
        await server.start()
        self._server = server
        _log.info("peers_listening", port=self._settings.control_port, tls=self._tls is not None)

    async def stop(self) -> None:
        """Flushes and closes all links, then stops the server."""
        await super().stop()
        links = list(self._links.values())
        self._links.clear()
        await asyncio.gather(*(link.flush(STOP_FLUSH_S) for link in links))
        await asyncio.gather(*(link.close() for link in links))
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)
            self._server = None

    def set_address(self, member: Member) -> None:
        """Sets the address of an instance, whether it is a member or not."""
        self._addresses[member.instance] = member

    def send(self, to: str, message: Message) -> None:
        """Queues a message to an instance; drops and counts it if that fails."""
        member = self._addresses.get(to)
        if member is None:
            self._dropped[Code.PEER_UNKNOWN] += 1
            return
        payload = encode(message)
        if self._link_to(member).send(payload):
            self._bytes_sent += len(payload)
            self._messages_sent += 1
        else:
            self._dropped[Code.PEER_QUEUE_FULL] += 1

    def receive(self, sender: str, payload: bytes) -> None:
        """Decodes a message from another instance and publishes it.

        A malformed message, or one that requires membership from a non-member, is dropped and
        counted.
        """
        try:
            message = decode(payload)
        except PeerError as error:
            self._dropped[error.code] += 1
            return
        if sender not in self._members and not isinstance(message, _NON_MEMBER_MESSAGES):
            self._dropped[Code.PEER_UNKNOWN] += 1
            return
        self.kernel.publish(PeerMessage(sender, message))

    def count_rejected(self, code: Code) -> None:
        """Counts a rejected batch."""
        self._dropped[code] += 1

    async def handle(self, message: Message) -> None:
        """Updates the members and their addresses after a view change."""
        if isinstance(message, ViewChanged):
            self._apply_view(message.view)

    async def tick(self) -> None:
        """Closes idle links."""
        for name, link in list(self._links.items()):
            if link.idle:
                del self._links[name]
                await link.close()

    def _apply_view(self, view: View) -> None:
        self._members = frozenset(member.instance for member in view.members)
        for member in view.members:
            self.set_address(member)

    def _link_to(self, member: Member) -> PeerLink:
        link = self._links.get(member.instance)
        if link is not None and _endpoint(link.member) != _endpoint(member):
            self._spawn(link.close())
            link = None
        if link is None:
            link = PeerLink(
                self._settings.instance,
                member,
                self._tls,
                self._clock,
                self._rng,
                self._count_unreachable,
            )
            self._links[member.instance] = link
        return link

    def _count_unreachable(self, count: int) -> None:
        self._dropped[Code.PEER_UNREACHABLE] += count

    def _bind(self, server: grpc.aio.Server) -> None:
        address, port = self._settings.address, self._settings.control_port
        endpoint = f"[{address}]:{port}" if ":" in address else f"{address}:{port}"
        try:
            if self._tls is None:
                server.add_insecure_port(endpoint)
            else:
                server.add_secure_port(endpoint, self._tls.server_credentials())
        except RuntimeError as error:
            raise SettingsError(Code.SETTINGS_PORT_IN_USE, endpoint) from error


class _PeerServicer(peer_pb2_grpc.PeerServiceServicer):
    """Serves the incoming streams of other instances."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    async def Deliver(  # noqa: N802
        self,
        request_iterator: AsyncIterator[peer_pb2.Batch],
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.DeliverResponse:
        """Publishes the messages of one incoming stream until it ends."""
        names = _certificate_names(context)
        async for batch in request_iterator:
            if names is not None and batch.sender not in names:
                self._peers.count_rejected(Code.PEER_UNAUTHENTICATED)
                await context.abort(
                    grpc.StatusCode.UNAUTHENTICATED, "the certificate names another instance"
                )
            for payload in batch.messages:
                self._peers.receive(batch.sender, payload)
        return peer_pb2.DeliverResponse()


def _certificate_names(context: grpc.aio.ServicerContext) -> frozenset[str] | None:
    """Returns the subject alternative names of the peer's certificate, or None without TLS."""
    auth = context.auth_context()
    if b"ssl" not in auth.get("transport_security_type", []):
        return None
    names = auth.get("x509_subject_alternative_name", [])
    return frozenset(bytes(name).decode() for name in names)


def _endpoint(member: Member) -> tuple[str, int]:
    return member.address, member.control_port
