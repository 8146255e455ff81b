"""Client of the admin API: fails over between instances and raises errors with their codes."""

from collections.abc import AsyncIterator, Sequence
from types import TracebackType
from typing import Any

import grpc

from pearwell.admin.codec import CODE_KEY
from pearwell.errors import (
    Code,
    ConfigurationError,
    ConflictError,
    PearwellError,
    PeerError,
    PlatformError,
)
from pearwell.v1 import admin_pb2_grpc

__all__ = ["AdminClient"]

DEFAULT_TIMEOUT_S = 15.0
MAX_MESSAGE_BYTES = 8_000_000

_OPTIONS = (("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),)


class AdminClient:
    """Calls the admin API of the first reachable instance of several.

    A call that fails without a pearwell error code is sent to the next instance. The idempotency
    key in a write keeps the change from being made twice.

    Args:
        servers: Instances as "address:port", or "name@address:port" where the certificate has that
            name instead of the address.
        credentials: TLS credentials; None connects in plaintext.
        timeout_s: Timeout of a call in seconds, in addition to the time that a write waits.
    """

    def __init__(
        self,
        servers: Sequence[str],
        credentials: grpc.ChannelCredentials | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._timeout_s = timeout_s
        self._channels = [_open_channel(server, credentials) for server in servers]
        self._stubs = [admin_pb2_grpc.AdminServiceStub(channel) for channel in self._channels]

    async def __aenter__(self) -> "AdminClient":
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Closes the connections."""
        for channel in self._channels:
            await channel.close(None)

    async def call(self, method: str, request: Any, wait_s: float = 0.0) -> Any:
        """Calls a method of AdminService.

        Args:
            method: Name of the method.
            request: Request of the method.
            wait_s: Time in seconds that the method itself may wait.

        Returns:
            The response.

        Raises:
            PearwellError: The error with the code that the instance returned, or with
                PEER_UNREACHABLE.
        """
        failure: PearwellError = PeerError(Code.PEER_UNREACHABLE, "no server is given")
        for stub in self._stubs:
            try:
                return await getattr(stub, method)(request, timeout=self._timeout_s + wait_s)
            except grpc.aio.AioRpcError as error:
                failure = _to_pearwell_error(error)
                if failure.code is not Code.PEER_UNREACHABLE:
                    raise failure from error
        raise failure

    async def stream(self, method: str, request: Any) -> AsyncIterator[Any]:
        """Calls a streaming method; restarts the stream at the next instance if one fails."""
        failure: PearwellError = PeerError(Code.PEER_UNREACHABLE, "no server is given")
        for stub in self._stubs:
            try:
                async for message in getattr(stub, method)(request):
                    yield message
                return
            except grpc.aio.AioRpcError as error:
                failure = _to_pearwell_error(error)
        raise failure


def _open_channel(server: str, credentials: grpc.ChannelCredentials | None) -> grpc.aio.Channel:
    name, _, endpoint = server.rpartition("@")
    if credentials is None:
        return grpc.aio.insecure_channel(endpoint, options=_OPTIONS)
    name_options = (("grpc.ssl_target_name_override", name),) if name else ()
    return grpc.aio.secure_channel(endpoint, credentials, options=(*_OPTIONS, *name_options))


# Error types by the first digit of the error code.
_ERROR_TYPES: dict[int, type[PearwellError]] = {
    3: ConfigurationError,
    4: PlatformError,
    5: PeerError,
}


def _to_pearwell_error(error: grpc.aio.AioRpcError) -> PearwellError:
    metadata: Any = error.trailing_metadata() or ()
    code_text = str(dict(metadata).get(CODE_KEY, ""))
    detail = error.details() or ""
    if not code_text.isdecimal() or int(code_text) not in Code._value2member_map_:
        return PeerError(Code.PEER_UNREACHABLE, f"{error.code().name}: {detail}")
    code = Code(int(code_text))
    detail = detail.removeprefix(f"{code_text} {code.name}").removeprefix(": ")
    error_type = (
        ConflictError
        if code is Code.CONFIG_CONFLICT
        else _ERROR_TYPES.get(code // 100, PearwellError)
    )
    return error_type(code, detail)
