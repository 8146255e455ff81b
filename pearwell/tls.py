"""Mutual TLS for gRPC, with certificates that can be replaced without closing connections."""

import ssl
from dataclasses import dataclass
from pathlib import Path

import grpc
import structlog

from pearwell.errors import Code, SettingsError
from pearwell.settings import TlsSettings

__all__ = ["TlsCredentials", "load_tls"]

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Material:
    """PEM certificate, key and CA certificate, with modification time and inode of each file."""

    certificate: bytes
    key: bytes
    authority: bytes
    file_versions: tuple[tuple[int, int], ...]


class TlsCredentials:
    """TLS credentials of one instance, reloaded from files that may be replaced at any time.

    Each new inbound or outbound connection uses the current files; established connections keep
    the credentials that they started with. While the files are unusable, for example halfway
    through a replacement, the latest usable contents stay in use.

    Args:
        settings: Paths of the files.

    Raises:
        SettingsError: SETTINGS_UNREADABLE if a file can't be read, SETTINGS_INVALID_VALUE if it
            isn't PEM or the key doesn't match the certificate.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._material = self._load()

    @property
    def material(self) -> tuple[bytes, bytes, bytes]:
        """The certificate, key and CA certificate in use."""
        return self._material.certificate, self._material.key, self._material.authority

    def server_credentials(self) -> grpc.ServerCredentials:
        """Returns server credentials that require a client certificate signed by the CA."""
        return grpc.dynamic_ssl_server_credentials(
            self._certificate_configuration(),
            self._changed_certificate_configuration,  # type: ignore[arg-type]  # None means unchanged
            require_client_authentication=True,
        )

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Returns credentials for a new channel."""
        self.reload()
        certificate, key, authority = self.material
        return grpc.ssl_channel_credentials(authority, key, certificate)

    def reload(self) -> bool:
        """Reloads the files if they changed; returns whether new credentials are in use."""
        try:
            if self._file_versions() == self._material.file_versions:
                return False
            self._material = self._load()
        except SettingsError as error:
            _log.warning("tls_reload_failed", code=error.code.name, detail=error.detail)
            return False
        _log.info("tls_reloaded", certificate=self._settings.certificate)
        return True

    def _changed_certificate_configuration(self) -> grpc.ServerCertificateConfiguration | None:
        return self._certificate_configuration() if self.reload() else None

    def _certificate_configuration(self) -> grpc.ServerCertificateConfiguration:
        certificate, key, authority = self.material
        return grpc.ssl_server_certificate_configuration([(key, certificate)], authority)

    def _paths(self) -> tuple[Path, Path, Path]:
        settings = self._settings
        return Path(settings.certificate), Path(settings.key), Path(settings.authority)

    def _file_versions(self) -> tuple[tuple[int, int], ...]:
        try:
            stats = [path.stat() for path in self._paths()]
        except OSError as error:
            raise SettingsError(Code.SETTINGS_UNREADABLE, f"TLS file: {error}") from error
        return tuple((stat.st_mtime_ns, stat.st_ino) for stat in stats)

    def _load(self) -> _Material:
        file_versions = self._file_versions()
        certificate_path, key_path, authority_path = self._paths()
        try:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(certificate_path, key_path)
            context.load_verify_locations(authority_path)
            contents = [path.read_bytes() for path in self._paths()]
        except ssl.SSLError as error:
            raise SettingsError(Code.SETTINGS_INVALID_VALUE, f"TLS file: {error}") from error
        except OSError as error:
            raise SettingsError(Code.SETTINGS_UNREADABLE, f"TLS file: {error}") from error
        return _Material(contents[0], contents[1], contents[2], file_versions)


def load_tls(settings: TlsSettings | None) -> TlsCredentials | None:
    """Returns the credentials of the settings, or None for plaintext.

    Raises:
        SettingsError: A file is unreadable or unusable.
    """
    return TlsCredentials(settings) if settings is not None else None
