"""Mutual TLS credentials for gRPC, from the files that the settings name."""

from pathlib import Path

import grpc

from pearwell.errors import Code, SettingsError
from pearwell.settings import TlsSettings

__all__ = ["TlsCredentials", "load_tls"]


class TlsCredentials:
    """The files of an instance, read once.

    Args:
        certificate: Certificate of the instance, as PEM.
        key: Its private key, as PEM.
        authority: Certificate of the authority, as PEM.
    """

    def __init__(self, certificate: bytes, key: bytes, authority: bytes) -> None:
        self._certificate = certificate
        self._key = key
        self._authority = authority

    def server(self) -> grpc.ServerCredentials:
        """Returns credentials of a server that accepts clients of the authority only."""
        pairs = [(self._key, self._certificate)]
        return grpc.ssl_server_credentials(pairs, self._authority, require_client_auth=True)

    def channel(self) -> grpc.ChannelCredentials:
        """Returns credentials of a client towards servers of the authority."""
        return grpc.ssl_channel_credentials(self._authority, self._key, self._certificate)


def load_tls(settings: TlsSettings | None) -> TlsCredentials | None:
    """Reads the files that the settings name; returns None for plaintext.

    Raises:
        SettingsError: SETTINGS_UNREADABLE if a file can't be read.
    """
    if settings is None:
        return None
    return TlsCredentials(*map(_read, (settings.certificate, settings.key, settings.authority)))


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(Code.SETTINGS_UNREADABLE, f"{path}: {error.strerror}") from error
