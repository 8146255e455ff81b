"""What an instance starts with: its settings and the sockets that it can't serve without."""

import os

from pearwell.platform.listeners import Listeners
from pearwell.platform.settings import InstanceSettings, read_settings

__all__ = ["Startup", "modified_at"]


class Startup:
    """What an instance starts with.

    Attributes:
        settings: Settings that the platform provides.
        listeners: Sockets bound to the addresses in the settings.
        modified_at: Modification time of the settings file, in Unix seconds, when it was read.
    """

    __slots__ = ("listeners", "modified_at", "settings")

    def __init__(
        self, settings: InstanceSettings, listeners: Listeners, modified_at: float
    ) -> None:
        self.settings = settings
        self.listeners = listeners
        self.modified_at = modified_at

    @classmethod
    def attempt(cls, path: str) -> "Startup":
        """Reads a settings file and binds the addresses in it.

        Raises:
            SettingsError: If the file is invalid or an address can't be bound.
        """
        at = modified_at(path)
        settings = read_settings(path)
        return cls(settings, Listeners.bind(settings), at)


def modified_at(path: str) -> float:
    """Returns the modification time of a file in Unix seconds; 0 if it is missing."""
    try:
        return os.stat(path).st_mtime
    except OSError:
        # Reading a missing file reports it.
        return 0.0
