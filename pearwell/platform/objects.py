"""Decodes objects of the platform's store into targets and routes."""

from collections.abc import Callable, Mapping
from socket import AF_INET, inet_aton, inet_pton

from pearwell.affinity.directory import Change, Directory
from pearwell.affinity.routes import DEFAULT_IDLE_S, Route, Routes, RouteTable
from pearwell.affinity.service import Service
from pearwell.affinity.target import NEVER, Target
from pearwell.errors import Code, PlatformError

# True for type checkers only, as in pearwell.affinity.sync.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from pearwell.platform.ignored_slots import IgnoredSlots

__all__ = [
    "ConfigHandler",
    "TargetHandler",
    "decode_routes",
    "decode_target",
    "describe",
    "is_number",
    "is_text",
    "object_name",
]

# The object config/main holds the latest configuration.
CONFIG_NAME = "main"

_DRAINING_BY_STATE = {"ready": False, "draining": True}

# Longest plausible latency objective or timeout of a route.
MAX_ROUTE_MS = 3_600_000
# Largest plausible number of slots or flows of a target, and of flow starts per second.
MAX_TARGET_COUNT = 1_000_000
# Longest name, service or zone of a target; log lines, metrics and hints hold them.
MAX_TEXT_CHARS = 256
MAX_PORT_DIGITS = 5
# Most digits of a target's identifier, which has 8 bytes.
MAX_ID_DIGITS = 16
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
# Longest part of an invalid value, and of an error, that is logged.
MAX_DETAIL_CHARS = 80
MAX_ERROR_CHARS = 200
# Most unusable entries of a list that are logged one by one.
MAX_LOGGED_ENTRIES = 10
MAX_PATH_CHARS = 1_000
# Largest magnitude of a number: JSON texts can hold some that floats can't.
MAX_NUMBER = 1 << 53

# Raised where a field of a configuration is missing, of another type or out of range.
_INVALID_CONFIGURATION = (
    AttributeError,
    KeyError,
    OSError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


class TargetHandler:
    """Applies the platform's target entries to a directory.

    Args:
        directory: The directory to update.
        trusts_listing: Whether the store has been available long enough for lapsed entries to
            reappear, so that an entry missing at the given time was removed.
        log: Logs an event's name and its fields.
    """

    kind = "servers"

    def __init__(
        self,
        directory: Directory,
        trusts_listing: Callable[[float], bool],
        log: Callable[..., None],
    ) -> None:
        self._directory = directory
        self._trusts_listing = trusts_listing
        self._log = log
        self._ignored_slots: IgnoredSlots | None = None
        # Unusable entries of the latest list or event.
        self._unusable = 0

    def name_of(self, item: object) -> str:
        """Returns an object's name; "" if it has none."""
        return object_name(item)

    def replace(self, items: Mapping[str, object], now: float) -> None:
        """Replaces all entries with those given by name; skips entries that can't be decoded."""
        self._unusable = 0
        found = [self._decode(item, now) for item in items.values()]
        targets = [target for target in found if target is not None]
        if self._unusable > MAX_LOGGED_ENTRIES:
            self._log("entries_unusable", code=int(Code.PLATFORM_BAD_ANSWER), count=self._unusable)
        self._log_changes(self._directory.replace(targets, now, self._trusts_listing(now)))

    def apply(self, name: str, item: object | None, now: float) -> None:
        """Applies one entry, or its removal if it is None."""
        self._unusable = 0
        target = None if item is None else self._decode(item, now)
        if target is None:
            self._log_changes(self._directory.remove(name, now, self._trusts_listing(now)))
        else:
            self._log_changes(self._directory.put(target, now, self._trusts_listing(now)))

    def shorten(self, item: object) -> object | None:
        """Returns what matters of a large entry; None if it may all matter."""
        # Imported only where an entry is large, to keep the start fast.
        from pearwell.platform.short_entry import shorten_entry

        return shorten_entry(item)

    def _decode(self, item: object, now: float) -> Target | None:
        try:
            target = decode_target(item, now)
        except PlatformError as error:
            self._unusable += 1
            if self._unusable <= MAX_LOGGED_ENTRIES:
                self._log("entry_unusable", code=int(error.code), detail=error.detail)
            return None
        if target.slots is None:
            if self._ignored_slots is None:
                # Imported with the first one, to keep the start fast.
                from pearwell.platform.ignored_slots import IgnoredSlots

                self._ignored_slots = IgnoredSlots(self._directory, self._log)
            self._ignored_slots.record(target, item)
        return target

    def _log_changes(self, changes: list[Change]) -> None:
        for event, target in changes:
            self._log(
                event,
                target=target.name,
                service=target.service,
                zone=target.zone,
                address=f"{target.address[0]}:{target.address[1]}",
                slots=target.slots or "-",
                born=target.started_ms,
                sequence=target.sequence,
            )


class ConfigHandler:
    """Applies the operator's configuration to a route table.

    Args:
        routes: The route table to update.
        log: Logs an event's name and its fields.
    """

    kind = "config"

    def __init__(self, routes: RouteTable, log: Callable[..., None]) -> None:
        self._routes = routes
        self._log = log

    def name_of(self, item: object) -> str:
        """Returns an object's name; "" if it has none."""
        return object_name(item)

    def replace(self, items: Mapping[str, object], now: float) -> None:
        """Applies all objects by name."""
        for name, item in items.items():
            self.apply(name, item, now)

    def shorten(self, item: object) -> object | None:
        """Returns what matters of a large object; None if it may all matter."""
        name = object_name(item)
        return None if name == CONFIG_NAME else {"meta": {"Name": name[:MAX_TEXT_CHARS]}}

    def apply(self, name: str, item: object | None, now: float) -> None:
        """Applies one object; a removed or invalid configuration leaves the version in force."""
        if name != CONFIG_NAME or item is None:
            return
        try:
            routes = decode_routes(item)
        except PlatformError as error:
            self._log("configuration_unusable", code=int(error.code), detail=error.detail)
            return
        applied = self._routes.apply(routes, now)
        invalid = invalid_goals(item)
        if applied and invalid:
            self._log("route_goals_ignored", count=len(invalid), first=invalid[0])
        invalid = invalid_service_limits(item) if applied else []
        if invalid:
            self._log(
                "service_limits_ignored",
                code=int(Code.PLATFORM_BAD_ANSWER),
                count=len(invalid),
                first=invalid[0],
            )
        self._log(
            "configuration_applied" if applied else "configuration_older",
            version=routes.version,
            in_force=self._routes.version,
            routes=len(self._routes),
        )


def object_name(item: object) -> str:
    """Returns the name of an object; "" if it has none."""
    meta = item.get("meta") if isinstance(item, Mapping) else None
    name = meta.get("Name") if isinstance(meta, Mapping) else None
    return name if isinstance(name, str) else ""


def decode_target(item: object, now: float) -> Target:
    """Returns the target that an entry describes.

    Args:
        item: The object as decoded from JSON.
        now: Current time in seconds of the clock.

    Raises:
        PlatformError: PLATFORM_BAD_ANSWER if the entry is invalid.
    """
    name = object_name(item)
    if not is_text(name):
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"invalid name {describe(name)}")
    spec = item.get("spec") if isinstance(item, Mapping) else None
    if not isinstance(spec, Mapping):
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"entry {name!r} has no spec")
    state = spec.get("State")
    if not isinstance(state, str) or state not in _DRAINING_BY_STATE:
        raise _invalid(name, "State", state)
    for key, is_valid in _TARGET_FIELDS:
        if not is_valid(spec.get(key)):
            raise _invalid(name, key, spec.get(key))
    # Remaining warm-up time as reported.
    warmup_left_ms = spec["WarmupLeftMs"]
    return Target(
        name=name,
        tag=_tag(name),
        service=_text(spec, "Service", name),
        address=_address(spec, name),
        zone=_text(spec, "Zone", name),
        started_ms=spec["born"],
        draining=_DRAINING_BY_STATE[state],
        warmup_ends_at=now + warmup_left_ms / 1000 if warmup_left_ms > 0 else NEVER,
        slots=_optional(spec, "Concurrency", _is_count),
        sequence=spec["Sequence"],
    )


def decode_routes(item: object) -> Routes:
    """Returns the routes of a configuration object.

    Raises:
        PlatformError: PLATFORM_BAD_ANSWER if the configuration is invalid.
    """
    try:
        spec = item["spec"]  # type: ignore[index]
        version = spec["Version"]
        routes = {}
        for route in spec["Routes"]:
            split = route.get("TrafficSplit")
            services = (
                tuple((_service(part), _weight(part)) for part in split)
                if split
                else ((_service(route), 1),)
            )
            # PathPrefix holds the port between slashes, Host an IP address.
            port = int(route["PathPrefix"].strip("/"))
            address = port.to_bytes(2, "big") + inet_aton(route["Host"])
            routes[address] = Route(
                _label(route),
                services,
                objective_s=_route_seconds(route, "TargetLatencyMs"),
                timeout_s=_route_seconds(route, "TimeoutMs"),
                priority=route["Priority"] if _is_priority(route.get("Priority")) else 0,
                repeatable=route.get("Type") != "non_idempotent",
            )
        idle_ms = spec.get("Limits", {}).get("IdleTimeoutMs")
    except _INVALID_CONFIGURATION as error:
        detail = f"invalid configuration: {error!r}"[:MAX_ERROR_CHARS]
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, detail) from error
    if not isinstance(version, int) or not is_number(version):
        raise PlatformError(
            Code.PLATFORM_BAD_ANSWER, f"invalid configuration version {describe(version)}"
        )
    idle_s = idle_ms / 1000 if is_number(idle_ms) and idle_ms > 0 else DEFAULT_IDLE_S
    return Routes(version, routes, idle_s, _decode_services(spec))


def invalid_goals(item: object) -> list[str]:
    """Returns the missing or implausible goals of the routes in a valid configuration object.

    A route without a latency objective is never refused, one without a timeout has no other limit
    than its objective, and one without a priority has the highest.
    """
    return [
        f"{_label(route)}.{key}={describe(route.get(key))}"
        for route in item["spec"]["Routes"]  # type: ignore[index]
        for key, is_valid in _ROUTE_GOALS
        if not is_valid(route.get(key))
    ]


def invalid_service_limits(item: object) -> list[str]:
    """Returns the implausible limits of the services in a valid configuration object.

    They don't apply, as if they were missing.
    """
    return [
        f"{_label(spec)}.{key}={describe(spec[key])}"
        for spec in _service_specs(item["spec"])  # type: ignore[index]
        for key, is_valid in _SERVICE_LIMITS
        if key in spec and not is_valid(spec[key])
    ]


def _service(entry: Mapping[str, object]) -> str:
    name = entry["Service"]
    if not isinstance(name, str):
        raise TypeError(f"service of type {type(name).__name__}")
    return name


def _weight(part: Mapping[str, object]) -> "Any":
    weight = part["Weight"]
    if not is_number(weight) or weight < 0:  # type: ignore[operator]
        raise ValueError(f"weight {describe(weight)}")
    return weight


def _label(entry: Mapping[str, object]) -> str:
    """Returns the name of a route or service for log lines; "" if it has none."""
    name = entry.get("Name", "")
    return name if isinstance(name, str) else describe(name)


def _service_specs(spec: Mapping[str, object]) -> list[Mapping[str, object]]:
    listed = spec.get("Services")
    entries = listed if isinstance(listed, list) else []
    return [entry for entry in entries if isinstance(entry, Mapping)]


def _decode_services(spec: Mapping[str, object]) -> dict[str, Service]:
    services = {}
    for entry in _service_specs(spec):
        name = entry.get("Name")
        if isinstance(name, str):
            services[name] = Service(
                name,
                max_flows=_optional(entry, "MaxConns", _is_count),
                # No limit is told as 0.
                warmup_starts_per_s=_optional(entry, "WarmupPerS", _is_rate) or None,
                health_path=_optional(entry, "HealthPath", _is_path),
            )
    return services


def _optional(spec: Mapping[str, object], key: str, is_valid: Callable[[object], bool]) -> "Any":
    """Returns a value, or None if it is missing or invalid."""
    value = spec.get(key)
    return value if is_valid(value) else None


def _route_seconds(route: Mapping[str, object], key: str) -> float | None:
    value = route.get(key)
    return value / 1000 if _is_route_ms(value) else None  # type: ignore[operator]


def _is_route_ms(value: object) -> bool:
    return is_number(value) and 0 < value <= MAX_ROUTE_MS  # type: ignore[operator]


def _is_path(value: object) -> bool:
    if not isinstance(value, str) or not value.startswith("/") or len(value) > MAX_PATH_CHARS:
        return False
    return value.isascii() and value.isprintable() and " " not in value


def _is_priority(value: object) -> bool:
    return isinstance(value, int) and is_number(value) and value >= 0


def _is_count(value: object) -> bool:
    return _is_integer(value) and 0 < value <= MAX_TARGET_COUNT  # type: ignore[operator]


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and is_number(value)


def _is_natural(value: object) -> bool:
    return _is_integer(value) and value >= 0  # type: ignore[operator]


def _is_rate(value: object) -> bool:
    return is_number(value) and 0 <= value <= MAX_TARGET_COUNT  # type: ignore[operator]


def is_number(value: object) -> bool:
    """Whether a value is a number that a float can hold exactly if it is an integer."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return -MAX_NUMBER <= value <= MAX_NUMBER


def is_text(value: object) -> bool:
    """Whether a value is short text that can be encoded, logged and sent in a header."""
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_CHARS and value.isprintable()


_SERVICE_LIMITS = (
    ("MaxConns", _is_count),
    ("WarmupPerS", _is_rate),
    ("HealthPath", _is_path),
)
# What each target tells of itself besides its service, address, zone and state; an entry without it
# comes from another writer.
_TARGET_FIELDS = (
    ("Version", is_text),
    ("Concurrency", _is_integer),
    ("WarmupLeftMs", is_number),
    ("Sequence", _is_natural),
    ("born", _is_natural),
)
_ROUTE_GOALS = (
    ("TargetLatencyMs", _is_route_ms),
    ("TimeoutMs", _is_route_ms),
    ("Priority", _is_priority),
)


def _tag(name: str) -> bytes:
    digits = name.rpartition("-")[2]
    # int() also reads signs, underscores and prefixes. The tag 0 addresses any target.
    if _HEX_DIGITS.issuperset(digits) and 0 < len(digits) <= MAX_ID_DIGITS and int(digits, 16):
        return int(digits, 16).to_bytes(8, "big")
    raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"entry {name!r}: no hex identifier")


def _text(spec: Mapping[str, object], key: str, name: str) -> str:
    value = spec.get(key)
    if not is_text(value):
        raise _invalid(name, key, value)
    return value  # type: ignore[return-value]


def _address(spec: Mapping[str, object], name: str) -> tuple[str, int]:
    address = _text(spec, "Address", name)
    ip, _, port = address.rpartition(":")
    try:
        # Unlike inet_aton(), refuses text behind the address.
        inet_pton(AF_INET, ip)
    except (OSError, ValueError) as error:
        raise _invalid(name, "Address", address) from error
    # int() also reads spaces, signs, underscores and the digits of other scripts.
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    number = int(port) if is_number else 0
    if not 0 < number < 1 << 16:
        raise _invalid(name, "Address", address)
    return ip, number


def _invalid(name: str, key: str, value: object) -> PlatformError:
    return PlatformError(
        Code.PLATFORM_BAD_ANSWER, f"entry {name!r}: invalid {key} {describe(value)}"
    )


def describe(value: object) -> str:
    """Returns an invalid value as log lines show it; of lists and objects only the type."""
    is_scalar = value is None or isinstance(value, bool | float | int | str)
    return repr(value)[:MAX_DETAIL_CHARS] if is_scalar else type(value).__name__
