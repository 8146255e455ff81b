"""The sockets that an instance can't serve without."""

import socket

from pearwell.platform.settings import InstanceSettings
from pearwell.reactor import bind_socket

__all__ = ["Listeners"]


class Listeners:
    """Bound sockets.

    Attributes:
        packets: UDP socket that routers send to; packets queue in it.
        ready: TCP socket of the readiness probe.
        control: TCP socket at which other instances call this one; None if it is no relay.
    """

    __slots__ = ("control", "packets", "ready")

    def __init__(
        self, packets: socket.socket, ready: socket.socket, control: socket.socket | None
    ) -> None:
        self.packets = packets
        self.ready = ready
        self.control = control

    @classmethod
    def bind(cls, settings: InstanceSettings) -> "Listeners":
        """Binds all sockets, or none.

        Raises:
            SettingsError: If an address can't be bound; see bind_socket().
        """
        wanted = [(socket.SOCK_DGRAM, settings.packets), (socket.SOCK_STREAM, settings.ready)]
        if settings.is_relay and settings.control is not None:
            wanted.append((socket.SOCK_STREAM, settings.control))
        bound: list[socket.socket] = []
        try:
            for kind, address in wanted:
                bound.append(bind_socket(kind, address))
        except Exception:
            for sock in bound:
                sock.close()
            raise
        packets, ready, *control = bound
        return cls(packets, ready, control[0] if control else None)
