"""Reads the platform's settings file: lines of the form a.b=value."""

from collections.abc import Mapping
from socket import AF_INET, AF_INET6, inet_pton

from pearwell.errors import Code, SettingsError

__all__ = ["PATH_VARIABLE", "InstanceSettings", "parse_settings", "read_settings"]

# Environment variable that holds the path of the settings file.
PATH_VARIABLE = "PEARWELL_BOOT"

MAX_PORT_DIGITS = 5

Address = tuple[str, int]


class InstanceSettings:
    """Settings that the platform provides to an instance.

    Attributes:
        instance: Name of the instance.
        zone: Availability zone of the instance.
        ip: IP address of the instance.
        packets: Address that receives packets; clients receive on the same port number.
        ready: Address of the readiness probe.
        control: Address at which other instances call this one; None if there is none.
        peer_port: UDP port for hints between instances, the first of the internal ports; None if
            there is none.
        seeds: Addresses of the relays, at most three; they may be down.
        store: Address of the store.
        drain_s: Time limit in seconds until a draining target must get no new flows.
        config_s: Time limit in seconds until a configuration must be in force.
        contact_s: Time in seconds after an outage of the store until these limits apply again.
        grace_s: Time in seconds between the request to stop and the forced termination.
        heartbeat_s: Time in seconds between two heartbeats of a target; None if it isn't told.
        evacuate_s: Time limit in seconds until targets of an evacuated zone must get no new flows;
            None if zones are never evacuated.
        warmup_overage: Factor by which the starts of flows on a cold target may exceed its rate.
        warmup_slack: Number of starts per second by which they may exceed it besides.
        ignored: Invalid settings that an instance can do without, as KEY=VALUE.
    """

    __slots__ = (
        "config_s",
        "contact_s",
        "control",
        "drain_s",
        "evacuate_s",
        "grace_s",
        "heartbeat_s",
        "ignored",
        "instance",
        "ip",
        "packets",
        "peer_port",
        "ready",
        "seeds",
        "store",
        "warmup_overage",
        "warmup_slack",
        "zone",
    )

    @property
    def is_relay(self) -> bool:
        """Whether other instances call this one for the objects of the store."""
        return self.control is not None and self.control in self.seeds

    def __init__(self, fields: Mapping[str, str]) -> None:
        self.instance = _text(fields, "NodeName")
        self.zone = _text(fields, "Zone")
        self.ip = _parse_ip("Ip", _text(fields, "Ip"))
        self.packets = _address(fields, "ListenAddrs.DatagramAddr")
        self.ready = _address(fields, "ListenAddrs.Ready")
        self.control = (
            _address(fields, "ListenAddrs.Control") if "ListenAddrs.Control" in fields else None
        )
        first_port = fields.get("InternalPorts", "").partition(",")[0]
        self.peer_port = _parse_port(first_port)
        is_invalid = first_port != "" and self.peer_port is None
        self.ignored = (f"InternalPorts={first_port[:20]}",) if is_invalid else ()
        self.seeds = tuple(
            _parse_address("Seeds", seed) for seed in fields.get("Seeds", "").split(",") if seed
        )
        self.store = _address(fields, "platform.Address")
        self.drain_s = _number(fields, "Bounds.DrainMs") / 1000
        self.config_s = _number(fields, "Bounds.ConfigApplyMs") / 1000
        self.contact_s = _number(fields, "Bounds.ContactMs") / 1000
        self.grace_s = _number(fields, "Bounds.GraceS")
        heartbeat_ms = _optional_number(fields, "HeartbeatMs")
        self.heartbeat_s = heartbeat_ms / 1000 if heartbeat_ms else None
        evacuate_ms = _optional_number(fields, "Bounds.EvacuateMs")
        self.evacuate_s = None if evacuate_ms is None else evacuate_ms / 1000
        self.warmup_overage = _optional_number(fields, "Bounds.WarmupOverage") or 1.0
        self.warmup_slack = _optional_number(fields, "Bounds.WarmupSlack") or 0.0


def read_settings(path: str) -> InstanceSettings:
    """Reads a settings file.

    Raises:
        SettingsError: SETTINGS_UNREADABLE, SETTINGS_MISSING_KEY or SETTINGS_INVALID_VALUE.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(Code.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    return parse_settings(text)


def parse_settings(text: str) -> InstanceSettings:
    """Parses the text of a settings file; ignores unknown keys.

    Raises:
        SettingsError: SETTINGS_MISSING_KEY or SETTINGS_INVALID_VALUE.
    """
    fields = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            fields[key.strip()] = value.strip()
    return InstanceSettings(fields)


def _text(fields: Mapping[str, str], key: str) -> str:
    value = fields.get(key, "")
    if not value:
        raise SettingsError(Code.SETTINGS_MISSING_KEY, key)
    return value


def _number(fields: Mapping[str, str], key: str) -> float:
    value = _text(fields, key)
    try:
        number = float(value)
    except ValueError as error:
        raise SettingsError(Code.SETTINGS_INVALID_VALUE, f"{key}={value}") from error
    if not 0 <= number < float("inf"):
        raise SettingsError(Code.SETTINGS_INVALID_VALUE, f"{key}={value}")
    return number


def _optional_number(fields: Mapping[str, str], key: str) -> float | None:
    return _number(fields, key) if fields.get(key) else None


def _address(fields: Mapping[str, str], key: str) -> Address:
    return _parse_address(key, _text(fields, key))


def _parse_address(key: str, value: str) -> Address:
    ip, _, digits = value.strip().rpartition(":")
    port = _parse_port(digits)
    if port is None:
        raise SettingsError(Code.SETTINGS_INVALID_VALUE, f"{key}={value}")
    return _parse_ip(key, ip), port


def _parse_ip(key: str, ip: str) -> str:
    try:
        inet_pton(AF_INET6 if ":" in ip else AF_INET, ip)
    except (OSError, ValueError) as error:
        raise SettingsError(Code.SETTINGS_INVALID_VALUE, f"{key}={ip}") from error
    return ip


def _parse_port(digits: str) -> int | None:
    """Returns a port; None if the text is no valid one."""
    if not digits.isdecimal() or len(digits) > MAX_PORT_DIGITS:
        return None
    port = int(digits)
    return port if 0 < port < 1 << 16 else None
