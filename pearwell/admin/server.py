"""Server of the admin API, with gRPC health and reflection, and its kernel service."""

from collections.abc import Callable
from typing import Any

import grpc
import structlog
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

from pearwell.admin.instance_state import InstanceState
from pearwell.admin.servicer import AdminServicer
from pearwell.configuration.document import Document
from pearwell.configuration.editor import ConfigurationEditor
from pearwell.configuration.in_force import InForceSource
from pearwell.errors import Code, SettingsError
from pearwell.kernel import Kernel, QueuedService
from pearwell.messages import ConfigurationChanged, Message, PlacementChanged, ViewChanged
from pearwell.v1 import admin_pb2, admin_pb2_grpc

__all__ = ["AdminServer", "AdminService"]

# Time that calls in progress have to end when the server stops.
STOP_GRACE_S = 2.0
MAX_CONCURRENT_CALLS = 200
# Size limit of requests and responses: room for the largest object that the platform accepts, as a
# schema message.
MAX_MESSAGE_BYTES = 8_000_000

_SERVICE_NAME = admin_pb2.DESCRIPTOR.services_by_name["AdminService"].full_name

_OPTIONS = (
    # Binding a port that is in use must fail instead of sharing the port.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", 30_000),
)

_log = structlog.get_logger()


class AdminServer:
    """gRPC server of the admin API.

    Args:
        servicer: Handles the calls.
        address: IP address to listen on.
        port: TCP port to listen on.
        credentials: TLS credentials; None listens in plaintext.
    """

    def __init__(
        self,
        servicer: AdminServicer,
        address: str,
        port: int,
        credentials: grpc.ServerCredentials | None = None,
    ) -> None:
        self._servicer = servicer
        self._endpoint = f"[{address}]:{port}" if ":" in address else f"{address}:{port}"
        self._credentials = credentials
        self._server: grpc.aio.Server | None = None
        self._health: Any = health.aio.HealthServicer()  # type: ignore[attr-defined]

    async def start(self) -> None:
        """Starts listening.

        Raises:
            SettingsError: SETTINGS_PORT_IN_USE if the port can't be bound.
        """
        server = grpc.aio.server(options=_OPTIONS, maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS)
        admin_pb2_grpc.add_AdminServiceServicer_to_server(self._servicer, server)
        health_pb2_grpc.add_HealthServicer_to_server(self._health, server)
        service_names = (_SERVICE_NAME, health.SERVICE_NAME, reflection.SERVICE_NAME)
        reflection.enable_server_reflection(service_names, server)
        self._bind(server)
        await server.start()
        await self._health.set(_SERVICE_NAME, health_pb2.HealthCheckResponse.SERVING)
        self._server = server
        _log.info("admin_listening", endpoint=self._endpoint, tls=self._credentials is not None)

    async def stop(self) -> None:
        """Refuses new calls and waits up to STOP_GRACE_S for those in progress."""
        if self._server is not None:
            await self._health.enter_graceful_shutdown()
            await self._server.stop(STOP_GRACE_S)
            self._server = None

    def _bind(self, server: grpc.aio.Server) -> None:
        try:
            if self._credentials is None:
                server.add_insecure_port(self._endpoint)
            else:
                server.add_secure_port(self._endpoint, self._credentials)
        except RuntimeError as error:
            raise SettingsError(Code.SETTINGS_PORT_IN_USE, self._endpoint) from error


class AdminService(QueuedService):
    """The kernel service "admin".

    Args:
        editor: Reads and changes the configuration in the platform.
        state: State that the API shows; this service updates it from messages.
        address: IP address to listen on.
        port: TCP port to listen on.
        in_force: Source of reports on the versions that instances hold.
        credentials: TLS credentials; None listens in plaintext.
        on_written: Called with each object that this instance has written.
    """

    name = "admin"
    accepts = (ConfigurationChanged, PlacementChanged, ViewChanged)

    def __init__(
        self,
        editor: ConfigurationEditor,
        state: InstanceState,
        address: str,
        port: int,
        in_force: InForceSource | None = None,
        credentials: grpc.ServerCredentials | None = None,
        on_written: Callable[[Document], None] = lambda document: None,
    ) -> None:
        super().__init__()
        self._state = state
        servicer = AdminServicer(editor, state, in_force, on_written)
        self._server = AdminServer(servicer, address, port, credentials)

    async def start(self, kernel: Kernel) -> None:
        """Starts listening."""
        await super().start(kernel)
        await self._server.start()

    async def stop(self) -> None:
        """Stops listening."""
        await self._server.stop()
        await super().stop()

    async def handle(self, message: Message) -> None:
        """Updates the state that the API shows."""
        match message:
            case ConfigurationChanged(configuration):
                self._state.apply(configuration)
            case ViewChanged(view):
                self._state.view = view
            case PlacementChanged(placement):
                self._state.placements[placement.group] = placement
