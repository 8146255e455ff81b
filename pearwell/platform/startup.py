"""What an instance can't start without: its settings and bound sockets."""

import os
import socket

from pearwell.platform.settings import read_settings
from pearwell.reactor import bind_socket

__all__ = ["Startup", "modified_at"]


class Startup:
    """What an instance starts with.

    Attributes:
        modified_at: Modification time of the settings file, in Unix seconds, when it was read.
        settings: Settings that the platform provides.
        packets: UDP socket that routers send to; packets queue in it.
        ready: TCP socket of the readiness probe.
        control: TCP socket at which other instances call this one; None if it is no relay.

    Args:
        path: Path of the settings file.

    Raises:
        SettingsError: If the file is invalid, or an address can't be bound; none is bound then.
    """

    __slots__ = ("control", "modified_at", "packets", "ready", "settings")

    def __init__(self, path: str) -> None:
        self.modified_at = modified_at(path)
        self.settings = settings = read_settings(path)
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
        self.packets, self.ready = bound[:2]
        self.control = bound[2] if len(bound) > 2 else None


def modified_at(path: str) -> float:
    """Returns the modification time of a file in Unix seconds; 0 if it is missing."""
    try:
        return os.stat(path).st_mtime
    except OSError:
        # Reading a missing file reports it.
        return 0.0
