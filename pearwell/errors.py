"""Errors with numbered codes; docs/errors.md lists every code."""

from enum import IntEnum

__all__ = [
    "AdmissionError",
    "Code",
    "ConfigurationError",
    "ConflictError",
    "InvariantError",
    "PacketError",
    "PearwellError",
    "PeerError",
    "PlatformError",
    "SettingsError",
]


class Code(IntEnum):
    """Result codes: 1xx settings, 2xx packets, 3xx configuration, 4xx platform, 5xx peers,
    6xx admission, 7xx targets, 8xx flows routed by token, 9xx invariants."""

    OK = 0

    SETTINGS_UNREADABLE = 101
    SETTINGS_NOT_JSON = 102
    SETTINGS_UNKNOWN_KEY = 103
    SETTINGS_WRONG_TYPE = 104
    SETTINGS_DUPLICATE_ADDRESS = 105
    SETTINGS_PORT_IN_USE = 106
    SETTINGS_INVALID_VALUE = 107
    SETTINGS_MISSING_KEY = 108

    PACKET_TRUNCATED = 201
    PACKET_BAD_VERSION = 202
    PACKET_BAD_HEADER = 203
    PACKET_FRAGMENT = 204
    PACKET_UNSUPPORTED_PROTOCOL = 205
    PACKET_UNKNOWN_ADDRESS = 206
    PACKET_TTL_EXPIRED = 207
    PACKET_UNKNOWN_PEER = 208
    PACKET_NO_TARGET = 209
    PACKET_SEND_FAILED = 210

    CONFIG_INVALID = 301
    CONFIG_NOT_FOUND = 302
    CONFIG_CONFLICT = 303
    CONFIG_ALREADY_EXISTS = 304
    CONFIG_ADDRESS_OVERLAP = 305
    CONFIG_UNKNOWN_GROUP = 306
    CONFIG_EMPTY_GROUP = 307
    CONFIG_WEIGHT_RANGE = 308
    CONFIG_GROUP_IN_USE = 309
    CONFIG_NOT_IN_FORCE = 310
    CONFIG_KEY_REUSED = 311
    CONFIG_BAD_NAME = 312
    CONFIG_TARGET_OVERLAP = 313

    PLATFORM_UNAVAILABLE = 401
    PLATFORM_TIMEOUT = 402
    PLATFORM_CONFLICT = 403
    PLATFORM_NOT_FOUND = 404
    PLATFORM_WATCH_EXPIRED = 405
    PLATFORM_BAD_ANSWER = 406
    PLATFORM_ALREADY_EXISTS = 407
    PLATFORM_RETRY_BUDGET = 408
    PLATFORM_TOO_LARGE = 409
    PLATFORM_INTERRUPTED = 410

    PEER_UNREACHABLE = 501
    PEER_BAD_MESSAGE = 502
    PEER_UNKNOWN = 503
    PEER_UNAUTHENTICATED = 504
    PEER_QUEUE_FULL = 505

    REFUSED_SERVICE_RATE = 601
    REFUSED_SERVICE_OPEN_FLOWS = 602
    REFUSED_PREFIX_RATE = 603
    REFUSED_TARGET_RATE = 604
    REFUSED_TARGET_OPEN_FLOWS = 605
    REFUSED_NO_TARGET = 606
    REFUSED_SERVICE_DISABLED = 607

    TARGET_DEAD = 701
    TARGET_DEADLINE = 702
    TARGET_BAD_REPORT = 703

    FLOW_NO_ROUTE = 801
    FLOW_NO_TARGET = 802
    FLOW_TARGET_GONE = 803
    FLOW_UNKNOWN_TOKEN = 804
    FLOW_UNSETTLED = 805
    FLOW_OVERLOAD = 806
    FLOW_WITHHELD = 807
    FLOW_HELD = 808

    INVARIANT_VIOLATED = 901


class PearwellError(Exception):
    """Base class of all errors that pearwell raises.

    Args:
        code: The numbered result code.
        detail: Human-readable description of the error.
    """

    def __init__(self, code: Code, detail: str = "") -> None:
        super().__init__(f"{int(code)} {code.name}: {detail}" if detail else code.name)
        self.code = code
        self.detail = detail


class SettingsError(PearwellError):
    """The settings file of a process is unusable (1xx)."""


class PacketError(PearwellError):
    """A packet can't be forwarded (2xx)."""


class ConfigurationError(PearwellError):
    """A configuration change is refused (3xx)."""


class ConflictError(ConfigurationError):
    """A conditional change conflicts with a concurrent one (3xx)."""


class PlatformError(PearwellError):
    """A call to the platform's object API failed (4xx)."""


class PeerError(PearwellError):
    """A message to or from another instance failed (5xx)."""


class AdmissionError(PearwellError):
    """A new flow is refused (6xx)."""


class InvariantError(PearwellError):
    """An invariant of the system is violated (9xx)."""
