"""Settings of the daemon, read from a JSON file and validated before any service starts."""

import ipaddress
import json
from collections import Counter
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError, model_validator
from pydantic_core import PydanticCustomError

from pearwell.errors import Code, SettingsError

__all__ = ["Endpoint", "PeerSettings", "Settings", "TlsSettings", "load_settings"]

MAX_PORT = 65535
MAX_NAME_LENGTH = 63

_DUPLICATE_ADDRESS = "duplicate_address"


def _ip_address(value: str) -> str:
    try:
        return str(ipaddress.ip_address(value))
    except ValueError as error:
        raise PydanticCustomError("ip_address", "{reason}", {"reason": str(error)}) from error


IpAddress = Annotated[str, AfterValidator(_ip_address)]
Port = Annotated[int, Field(ge=1, le=MAX_PORT)]
Name = Annotated[
    str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$", max_length=MAX_NAME_LENGTH)
]


class _Model(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)


class Endpoint(_Model):
    """An IP address and a port."""

    address: IpAddress = Field(description="IPv4 or IPv6 address.")
    port: Port = Field(description="Port.")


class PeerSettings(_Model):
    """Another instance of the zone, contacted to join its membership."""

    instance: Name = Field(description="Instance id of the peer.")
    address: IpAddress = Field(description="IP address of the peer.")
    peer_port: Port = Field(description="UDP port for packets that peers forward.")
    control_port: Port = Field(description="gRPC port for messages between instances.")


class TlsSettings(_Model):
    """PEM files for mutual TLS with other instances and with operators."""

    certificate: str = Field(description="Certificate of this instance.")
    key: str = Field(description="Private key of the certificate.")
    authority: str = Field(
        description="Certificate of the CA that signs all instances' certificates."
    )


class Settings(_Model):
    """All settings of one instance."""

    instance: Name = Field(description="Unique instance id.")
    region: Name = Field(description="Region of the instance.")
    zone: Name = Field(description="Availability zone of the instance.")
    address: IpAddress = Field(description="IP address of the instance.")
    fabric_port: Port = Field(
        description="UDP port for encapsulated (IP-in-UDP) packets from the fabric."
    )
    peer_port: Port = Field(description="UDP port for packets that peers forward.")
    control_port: Port = Field(description="gRPC port for messages between instances.")
    admin_port: Port = Field(description="gRPC port of the admin API.")
    metrics_port: Port = Field(description="HTTP port of the metrics endpoint.")
    platform: Endpoint = Field(description="The platform's object API.")
    return_endpoint: Endpoint | None = Field(
        default=None,
        description="The fabric's encapsulation endpoint for replies to callers "
        "(TCP resets and ICMP errors); if unset, refused flows get no reply.",
    )
    peers: tuple[PeerSettings, ...] = Field(
        default=(), description="Instances contacted to join the zone; may include this instance."
    )
    tls: TlsSettings | None = Field(default=None, description="Mutual TLS files.")
    plaintext: bool = Field(
        default=False, description="Run without TLS; exactly one of tls and plaintext must be set."
    )
    stop_quiet_s: float = Field(
        default=1.5,
        gt=0,
        description="Seconds without a packet from the fabric before a leaving instance exits; "
        "must exceed the time that the fabric takes to apply the list of instances.",
    )
    stop_deadline_s: float = Field(
        default=15.0,
        gt=0,
        description="Seconds after which a graceful stop no longer waits for the fabric to stop "
        "sending and for the handover.",
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="Minimum level of logged events."
    )

    @model_validator(mode="after")
    def _check_addresses(self) -> "Settings":
        endpoints = [(self.address, port) for port in self._own_ports()]
        endpoints += [
            (peer.address, port)
            for peer in self.peers
            if peer.instance != self.instance
            for port in {peer.peer_port, peer.control_port}
        ]
        _reject_duplicates(f"{address}:{port}" for address, port in endpoints)
        _reject_duplicates(f"instance {peer.instance}" for peer in self.peers)
        return self

    @model_validator(mode="after")
    def _check_tls(self) -> "Settings":
        if (self.tls is not None) == self.plaintext:
            raise PydanticCustomError("tls", "exactly one of tls and plaintext must be set")
        return self

    def _own_ports(self) -> tuple[int, ...]:
        return (
            self.fabric_port,
            self.peer_port,
            self.control_port,
            self.admin_port,
            self.metrics_port,
        )


def load_settings(path: str | Path) -> Settings:
    """Reads and validates a settings file.

    Args:
        path: The JSON file.

    Returns:
        The settings.

    Raises:
        SettingsError: Codes 101 to 108; the detail names the key.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(Code.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    try:
        json.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError(Code.SETTINGS_NOT_JSON, f"{path}: {error}") from error
    try:
        return Settings.model_validate_json(text)
    except ValidationError as error:
        raise _settings_error(error) from error


def _reject_duplicates(names: Any) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise PydanticCustomError(
                _DUPLICATE_ADDRESS, "{name} is used more than once", {"name": name}
            )


_CODES_BY_ERROR_TYPE = {
    "extra_forbidden": Code.SETTINGS_UNKNOWN_KEY,
    "missing": Code.SETTINGS_MISSING_KEY,
    _DUPLICATE_ADDRESS: Code.SETTINGS_DUPLICATE_ADDRESS,
}
_TYPE_SUFFIXES = ("_type", "_parsing")


def _settings_error(error: ValidationError) -> SettingsError:
    first = error.errors(include_url=False)[0]
    error_type = first["type"]
    wrong_type = error_type.endswith(_TYPE_SUFFIXES)
    code = _CODES_BY_ERROR_TYPE.get(
        error_type, Code.SETTINGS_WRONG_TYPE if wrong_type else Code.SETTINGS_INVALID_VALUE
    )
    key = ".".join(str(part) for part in first["loc"]) or "settings"
    return SettingsError(code, f"{key}: {first['msg']}")
