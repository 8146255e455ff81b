"""Flags of pearwellctl, separate from the global absl flags so that the CLI can be embedded."""

import getpass
import uuid
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import grpc
from absl import flags

from pearwell.errors import Code, SettingsError

__all__ = ["OPTIONS", "Options", "credentials"]

DEFAULT_TIMEOUT_S = 15.0


class Options:
    """The parsed flags as attributes."""

    def __init__(self) -> None:
        self._generated_key = ""
        self._flag_values = flags.FlagValues()
        self._flag_values.set_gnu_getopt(True)
        _define_connection_flags(self._flag_values)
        _define_write_flags(self._flag_values)
        _define_object_flags(self._flag_values)

    @property
    def write_key(self) -> str:
        """The idempotency key of this command line; generated if --key is not set."""
        return self._flag_values.key or self._generated_key

    def parse(self, argv: Sequence[str]) -> list[str]:
        """Parses a command line and returns its arguments without the flags.

        Raises:
            flags.Error: A flag is unknown or its value is invalid.
        """
        self._flag_values.unparse_flags()
        for name in self._flag_values:
            self._flag_values[name].unparse()
        self._generated_key = uuid.uuid4().hex
        return list(self._flag_values(list(argv)))[1:]

    def given(self, *names: str) -> dict[str, Any]:
        """Returns the values of the named flags that the command line sets."""
        return {
            name: self._flag_values[name].value for name in names if self._flag_values[name].present
        }

    def describe(self) -> str:
        """Returns a description of all flags."""
        lines = [
            f"  --{name}: {self._flag_values[name].help}" for name in sorted(self._flag_values)
        ]
        return "\n".join(["flags:", *lines])

    def __getattr__(self, name: str) -> Any:
        return getattr(self._flag_values, name)


def _define_connection_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_boolean("help", False, "Shows usage and an example.", flag_values=values)
    flags.DEFINE_list(
        "server",
        ["127.0.0.1:8443"],
        "Instances as address:port or name@address:port, tried in this order.",
        flag_values=values,
    )
    flags.DEFINE_enum("output", "table", ["table", "json"], "Output format.", flag_values=values)
    flags.DEFINE_float(
        "timeout_s", DEFAULT_TIMEOUT_S, "Timeout of a call in seconds.", flag_values=values
    )
    flags.DEFINE_string(
        "tls_authority", None, "PEM file of the CA certificate.", flag_values=values
    )
    flags.DEFINE_string(
        "tls_certificate", None, "PEM file of the client certificate.", flag_values=values
    )
    flags.DEFINE_string(
        "tls_key", None, "PEM file of the client's private key.", flag_values=values
    )


def _define_write_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "actor", getpass.getuser(), "Name of the operator in the audit log.", flag_values=values
    )
    flags.DEFINE_string(
        "key", None, "Idempotency key; to retry a failed change, pass its key.", flag_values=values
    )
    flags.DEFINE_integer(
        "expected_version", None, "Version that the change is based on.", 0, flag_values=values
    )
    flags.DEFINE_float(
        "wait_s",
        0.0,
        "Seconds to wait until the change is in force everywhere.",
        0.0,
        flag_values=values,
    )


def _define_object_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string("address", None, "Address of a service or target.", flag_values=values)
    flags.DEFINE_integer("port", None, "Port of a service or target.", flag_values=values)
    flags.DEFINE_string("protocol", None, "Transport: tcp or udp.", flag_values=values)
    flags.DEFINE_string("group", None, "Target group of a service.", flag_values=values)
    flags.DEFINE_float(
        "idle_timeout_s", None, "Idle timeout of a flow in seconds.", flag_values=values
    )
    flags.DEFINE_float(
        "learning_time_s", None, "Learning time for UDP flows in seconds.", flag_values=values
    )
    flags.DEFINE_string(
        "preference",
        None,
        "Priority: unbroken (keep flows unbroken) or even (balance the load).",
        flag_values=values,
    )
    flags.DEFINE_list("spill_zones", None, "Zones to spill over to.", flag_values=values)
    flags.DEFINE_multi_string(
        "limit", None, "Admission limit, such as new_flows_per_s=500.", flag_values=values
    )
    flags.DEFINE_multi_string(
        "target", None, "Target as name=..,address=..,zone=..,weight=..", flag_values=values
    )
    flags.DEFINE_multi_string(
        "health", None, "Health check setting, such as port=8080.", flag_values=values
    )
    flags.DEFINE_integer("seed", None, "Seed of a group's flow hash.", flag_values=values)
    flags.DEFINE_string("zone", None, "Availability zone of a target.", flag_values=values)
    flags.DEFINE_integer("weight", None, "Weight of a target.", flag_values=values)
    flags.DEFINE_integer(
        "slots", None, "Number of requests that a target serves concurrently.", flag_values=values
    )
    flags.DEFINE_float(
        "deadline_s", 0.0, "Seconds that a draining target keeps its flows.", flag_values=values
    )
    flags.DEFINE_string("flow", None, "Client address of a flow as ADDR:PORT.", flag_values=values)
    flags.DEFINE_boolean("refused", False, "Lists refused changes.", flag_values=values)
    flags.DEFINE_boolean(
        "changes_only", False, "Omits the current configuration.", flag_values=values
    )


def credentials(options: Options) -> grpc.ChannelCredentials | None:
    """Returns the TLS credentials from the flags, or None for plaintext.

    Raises:
        SettingsError: SETTINGS_UNREADABLE if a file can't be read.
    """
    if options.tls_authority is None:
        return None
    paths = (options.tls_authority, options.tls_key, options.tls_certificate)
    authority, key, certificate = (_read_file(path) for path in paths)
    return grpc.ssl_channel_credentials(authority, key, certificate)


def _read_file(path: str | None) -> bytes | None:
    try:
        return None if path is None else Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(Code.SETTINGS_UNREADABLE, f"{path}: {error}") from error


OPTIONS = Options()
