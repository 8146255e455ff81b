"""Outgoing gRPC stream to one peer instance."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

import grpc
import structlog

from pearwell.clock import Clock
from pearwell.model.membership import Member
from pearwell.tls import TlsCredentials
from pearwell.v1 import peer_pb2, peer_pb2_grpc

__all__ = ["PeerLink"]

MAX_QUEUE_MESSAGES = 512
MAX_QUEUE_BYTES = 4_000_000
BATCH_BYTES = 256_000
BATCH_DELAY_S = 0.002
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 3.0
CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 3.0
IDLE_TIMEOUT_S = 120.0

_CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 3_000),
    ("grpc.enable_retries", 0),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.use_local_subchannel_pool", 1),
)

_log = structlog.get_logger()


class PeerLink:
    """Sends messages to one peer over one stream, in order and without delivery guarantee.

    Messages are buffered in a bounded queue. A new message is dropped if the queue is full, and
    the whole queue is dropped if the peer is unreachable.

    Args:
        sender: Id of the local instance.
        member: The peer.
        tls: TLS credentials; None for plaintext.
        clock: Source of monotonic time.
        rng: Source of backoff jitter.
        on_dropped: Called with the number of messages dropped from the queue.
    """

    def __init__(
        self,
        sender: str,
        member: Member,
        tls: TlsCredentials | None,
        clock: Clock,
        rng: random.Random,
        on_dropped: Callable[[int], None],
    ) -> None:
        self._sender = sender
        self._member = member
        self._tls = tls
        self._clock = clock
        self._rng = rng
        self._on_dropped = on_dropped
        self._queue: deque[bytes] = deque()
        self._queue_bytes = 0
        self._wake = asyncio.Event()
        self._last_queued_at = clock.now()
        self._batches = 0
        self._writing = False
        self._task = asyncio.ensure_future(self._run())

    @property
    def member(self) -> Member:
        """The peer."""
        return self._member

    @property
    def idle(self) -> bool:
        """Whether the queue is empty and no message was queued for IDLE_TIMEOUT_S."""
        return not self._queue and self._clock.now() - self._last_queued_at > IDLE_TIMEOUT_S

    @property
    def batches(self) -> int:
        """Number of batches sent."""
        return self._batches

    def send(self, payload: bytes) -> bool:
        """Queues an encoded message; returns False if it was dropped."""
        self._last_queued_at = self._clock.now()
        full = len(self._queue) >= MAX_QUEUE_MESSAGES or self._queue_bytes >= MAX_QUEUE_BYTES
        if full:
            return False
        self._queue.append(payload)
        self._queue_bytes += len(payload)
        self._wake.set()
        return True

    async def close(self) -> None:
        """Closes the stream; queued messages are lost."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def flush(self, timeout_s: float) -> None:
        """Waits until all queued messages are written or the timeout expires."""
        deadline = self._clock.now() + timeout_s
        while (self._queue or self._writing) and self._clock.now() < deadline:
            await asyncio.sleep(BATCH_DELAY_S)

    async def _run(self) -> None:
        backoff = FIRST_BACKOFF_S
        while True:
            await self._wake.wait()
            batches = self._batches
            try:
                await self._stream_batches()
            except Exception as error:
                # The link reconnects after any error.
                self._drop_queue(error)
            if self._batches > batches:
                backoff = FIRST_BACKOFF_S
            await asyncio.sleep(backoff * self._rng.uniform(0.5, 1.0))
            backoff = min(MAX_BACKOFF_S, 2 * backoff)

    async def _stream_batches(self) -> None:
        async with self._channel() as channel:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await channel.channel_ready()
            call = peer_pb2_grpc.PeerServiceStub(channel).Deliver()
            while not call.done():
                await self._wake.wait()
                await asyncio.sleep(BATCH_DELAY_S)
                self._writing = True
                batch = peer_pb2.Batch(sender=self._sender, messages=self._take_batch())
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await call.write(batch)
                self._writing = False
                self._batches += 1

    def _channel(self) -> grpc.aio.Channel:
        member = self._member
        host = f"[{member.address}]" if ":" in member.address else member.address
        endpoint = f"{host}:{member.control_port}"
        if self._tls is None:
            return grpc.aio.insecure_channel(endpoint, _CHANNEL_OPTIONS)
        options = (*_CHANNEL_OPTIONS, ("grpc.ssl_target_name_override", member.instance))
        return grpc.aio.secure_channel(endpoint, self._tls.channel_credentials(), options)

    def _take_batch(self) -> list[bytes]:
        """Removes the next batch of messages from the queue."""
        batch: list[bytes] = []
        size = 0
        while self._queue and size < BATCH_BYTES:
            payload = self._queue.popleft()
            size += len(payload)
            batch.append(payload)
        self._queue_bytes -= size
        if not self._queue:
            self._wake.clear()
        return batch

    def _drop_queue(self, error: Exception) -> None:
        self._writing = False
        lost = len(self._queue)
        self._queue.clear()
        self._queue_bytes = 0
        self._wake.clear()
        self._on_dropped(lost)
        _log.info(
            "peer_unreachable", peer=self._member.instance, lost=lost, error=type(error).__name__
        )
