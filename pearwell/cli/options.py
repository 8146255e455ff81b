"""Flags of pearwellctl, kept apart from the process-wide flags so that it can be embedded."""

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
    """The parsed flags, as attributes."""

    def __init__(self) -> None:
        self._key = ""
        self._values = flags.FlagValues()
        self._values.set_gnu_getopt(True)
        _define_connection(self._values)
        _define_write(self._values)
        _define_objects(self._values)

    @property
    def write_key(self) -> str:
        """The idempotency key of this command line, made up if none is given."""
        return self._values.key or self._key

    def parse(self, argv: Sequence[str]) -> list[str]:
        """Parses a command line and returns the words that are no flags.

        Raises:
            flags.Error: A flag is unknown or has a wrong value.
        """
        self._values.unparse_flags()
        for name in self._values:
            self._values[name].unparse()
        self._key = uuid.uuid4().hex
        return list(self._values(list(argv)))[1:]

    def given(self, *names: str) -> dict[str, Any]:
        """Returns the values of those flags that the command line sets."""
        return {name: self._values[name].value for name in names if self._values[name].present}

    def describe(self) -> str:
        """Returns a description of all flags."""
        lines = [f"  --{name}: {self._values[name].help}" for name in sorted(self._values)]
        return "\n".join(["flags:", *lines])

    def __getattr__(self, name: str) -> Any:
        return getattr(self._values, name)


def _define_connection(values: flags.FlagValues) -> None:
    flags.DEFINE_boolean("help", False, "Shows help and an example.", flag_values=values)
    flags.DEFINE_list(
        "server",
        ["127.0.0.1:8443"],
        "Instances as address:port or name@address:port, tried in order.",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "output", "table", ["table", "json"], "Form of the output.", flag_values=values
    )
    flags.DEFINE_float(
        "timeout_s", DEFAULT_TIMEOUT_S, "Seconds until a call is given up.", flag_values=values
    )
    flags.DEFINE_string("tls_authority", None, "PEM file of the authority.", flag_values=values)
    flags.DEFINE_string("tls_certificate", None, "PEM file of the own one.", flag_values=values)
    flags.DEFINE_string("tls_key", None, "PEM file of the private key.", flag_values=values)


def _define_write(values: flags.FlagValues) -> None:
    flags.DEFINE_string("actor", getpass.getuser(), "Who makes the change.", flag_values=values)
    flags.DEFINE_string(
        "key", None, "Idempotency key; to repeat a failed change, give its key.", flag_values=values
    )
    flags.DEFINE_integer(
        "expected_version", None, "Version that the change starts from.", 0, flag_values=values
    )
    flags.DEFINE_float(
        "wait_s",
        0.0,
        "Seconds to wait until the change is in force everywhere.",
        0.0,
        flag_values=values,
    )


def _define_objects(values: flags.FlagValues) -> None:
    flags.DEFINE_string("address", None, "Address of a service or target.", flag_values=values)
    flags.DEFINE_integer("port", None, "Port of a service or target.", flag_values=values)
    flags.DEFINE_string("protocol", None, "Transport: tcp or udp.", flag_values=values)
    flags.DEFINE_string("group", None, "Target group of a service.", flag_values=values)
    flags.DEFINE_float("idle_timeout_s", None, "Idle limit of a flow.", flag_values=values)
    flags.DEFINE_float("learning_time_s", None, "Learning time of UDP.", flag_values=values)
    flags.DEFINE_string("preference", None, "unbroken or even.", flag_values=values)
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
    flags.DEFINE_integer("slots", None, "Requests a target serves at once.", flag_values=values)
    flags.DEFINE_float(
        "deadline_s", 0.0, "Seconds that a draining target keeps flows.", flag_values=values
    )
    flags.DEFINE_string("flow", None, "Client of a flow, as ADDR:PORT.", flag_values=values)
    flags.DEFINE_boolean("refused", False, "Lists refused attempts.", flag_values=values)
    flags.DEFINE_boolean("changes_only", False, "Leaves out the present.", flag_values=values)


def credentials(options: Options) -> grpc.ChannelCredentials | None:
    """Returns the TLS credentials of the flags, or None for plaintext.

    Raises:
        SettingsError: SETTINGS_UNREADABLE if a file can't be read.
    """
    if options.tls_authority is None:
        return None
    paths = (options.tls_authority, options.tls_key, options.tls_certificate)
    authority, key, certificate = (_read(path) for path in paths)
    return grpc.ssl_channel_credentials(authority, key, certificate)


def _read(path: str | None) -> bytes | None:
    try:
        return None if path is None else Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(Code.SETTINGS_UNREADABLE, f"{path}: {error}") from error


OPTIONS = Options()
