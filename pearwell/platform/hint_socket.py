"""The socket for hints between instances that a target is gone."""

import socket
from collections.abc import Callable

from pearwell.affinity.hints import decode_hint, encode_hint
from pearwell.errors import SettingsError
from pearwell.event_log import EventLog
from pearwell.platform.settings import InstanceSettings
from pearwell.reactor import Reactor, bind_socket

# True for type checkers only, as in pearwell.affinity.sync.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from pearwell.affinity.relay_clients import RelayClients

__all__ = ["HintSocket"]

DATAGRAM_BYTES = 2_048


class HintSocket:
    """Sends hints to relays, and forwards them to its clients if this instance is a relay.

    Args:
        reactor: Event loop.
        ip: IP address of this instance.
        port: UDP port for hints, the same on all instances; None to disable hints.
        relays: IP addresses of the relays.
        log: Event log.
        on_hint: Called with the name of a target that another instance has found gone.
    """

    def __init__(
        self,
        reactor: Reactor,
        ip: str,
        port: int | None,
        relays: list[str],
        log: EventLog,
        on_hint: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._port = port or 0
        self._relays = [relay for relay in relays if relay != ip]
        self._is_relay = ip in relays
        self._log = log
        self._on_hint = on_hint
        # Created with the first use.
        self._relay_clients: RelayClients | None = None
        # Handles datagrams that aren't hints; returns False if they are malformed.
        self.on_other: Callable[[bytes], bool] = lambda data: False
        self._ip = ip
        self._sock: socket.socket | None = None
        self._unavailable = False

    @classmethod
    def from_settings(
        cls,
        reactor: Reactor,
        settings: InstanceSettings,
        log: EventLog,
        on_hint: Callable[[str], None],
    ) -> "HintSocket":
        """Returns the socket of an instance, which open() binds."""
        relays = [ip for ip, _ in settings.seeds]
        return cls(reactor, settings.ip, settings.peer_port, relays, log, on_hint)

    @property
    def is_relay(self) -> bool:
        """Whether this instance forwards to clients."""
        return self._is_relay

    @property
    def _clients(self) -> "RelayClients":
        if self._relay_clients is None:
            # Imported only by the few relays, to keep the start of the others fast.
            from pearwell.affinity.relay_clients import RelayClients

            self._relay_clients = RelayClients()
        return self._relay_clients

    def open(self) -> None:
        """Binds the socket if it isn't; called again every second, as its port may be in use."""
        if self._sock is not None or not self._port:
            return
        try:
            self._sock = bind_socket(socket.SOCK_DGRAM, (self._ip, self._port))
        except SettingsError as error:
            # Hints only save some requests; traffic does not depend on them.
            if not self._unavailable:
                self._log.event("hints_unavailable", code=int(error.code), detail=error.detail)
            self._unavailable = True
            return
        self._reactor.add_reader(self._sock, self._read)

    def record_call(self, ip: str) -> None:
        """Records a call of a client to this relay."""
        self._clients.record_call(ip, self._reactor.now())

    def count_clients(self, serving_since: float) -> int | None:
        """Returns the number of clients of this relay; see RelayClients.count()."""
        return self._clients.count(self._reactor.now(), serving_since)

    def send_hints(self, names: list[str]) -> None:
        """Sends hints about targets that this instance has found gone."""
        for name in names:
            self.send_datagram(encode_hint(name, True))
            if self._is_relay:
                self._forward(name)

    def send_datagram(self, data: bytes) -> None:
        """Sends a datagram to the relays."""
        self._send(data, self._relays)

    def forward_datagram(self, data: bytes) -> None:
        """Sends a datagram to the clients of this relay."""
        self._send(data, self._clients.active(self._reactor.now()))

    def _read(self) -> None:
        assert self._sock is not None
        try:
            data = self._sock.recv(DATAGRAM_BYTES)
        except OSError as error:
            self._log.flow("hint_lost", error=error)
            return
        hint = decode_hint(data)
        if hint is None:
            if not self.on_other(data):
                self._log.flow("hint_malformed", bytes=len(data))
            return
        name, forward = hint
        self._log.flow("target_hinted", target=name)
        if forward and self._is_relay:
            self._forward(name)
        self._on_hint(name)

    def _forward(self, name: str) -> None:
        now = self._reactor.now()
        if self._clients.should_forward(name, now):
            self.forward_datagram(encode_hint(name, False))

    def _send(self, data: bytes, ips: list[str]) -> None:
        if self._sock is None:
            return
        for ip in ips:
            try:
                self._sock.sendto(data, (ip, self._port))
            except OSError as error:
                # A lost hint only delays the detection at other instances.
                self._log.flow("hint_lost", to=ip, error=error)
