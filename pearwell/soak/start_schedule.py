"""Random schedule of the starts of instances and of the trouble around them, from a seed."""

import random
import signal
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from pearwell.soak.proxy import Link
from pearwell.soak.schedule import Fault, FaultKind

__all__ = [
    "Ending",
    "HeldPort",
    "Output",
    "SettingsFault",
    "SignalAt",
    "Start",
    "Trouble",
    "TroubleKind",
    "draw_starts",
    "draw_store_faults",
    "draw_troubles",
]

_Kind = TypeVar("_Kind", bound=StrEnum)


class Ending(StrEnum):
    """How the predecessor of a process ends."""

    KILLED = "killed"
    TERMINATED = "terminated"
    INTERRUPTED = "interrupted"
    # The successor starts while the predecessor still holds its addresses.
    DRAINING = "draining"
    FROZEN = "frozen"


class Output(StrEnum):
    """Standard output of a process."""

    READ = "read"
    CLOSED = "closed"
    FULL_PIPE = "full-pipe"
    READER_LEAVES = "reader-leaves"
    FULL_DEVICE = "full-device"


class SettingsFault(StrEnum):
    """State of the settings file when a process starts."""

    NONE = "none"
    MISSING = "missing"
    EMPTY = "empty"
    TRUNCATED = "truncated"
    PIECES = "pieces"


class HeldPort(StrEnum):
    """Port that a foreign socket holds when a process starts."""

    NONE = "none"
    PACKETS = "packets"
    READY = "ready"
    CONTROL = "control"
    HINTS = "hints"
    METRICS = "metrics"


class TroubleKind(StrEnum):
    """Kinds of trouble at a running process."""

    HANGUPS = "hangups"
    FREEZE = "freeze"
    PROCESSOR_SHARE = "processor-share"
    FEW_DESCRIPTORS = "few-descriptors"
    ODD_DATAGRAMS = "odd-datagrams"
    ODD_HTTP = "odd-http"
    IDLE_CONNECTIONS = "idle-connections"
    SETTINGS_REWRITTEN = "settings-rewritten"
    SETTINGS_BROKEN = "settings-broken"


@dataclass(frozen=True, slots=True)
class SignalAt:
    """A signal.

    Attributes:
        delay_s: Time since the start of the process in seconds.
        number: Its number.
    """

    delay_s: float
    number: signal.Signals


@dataclass(frozen=True, slots=True)
class Start:
    """A start of a process of an instance.

    Attributes:
        at_s: Earliest time since the start of the run in seconds.
        ending: How its predecessor ends.
        patience_s: Time in seconds after which a predecessor that still runs is killed.
        output: Its standard output.
        settings: State of the settings file.
        length: Share of the settings file that is left if it is truncated, 0 to 1.
        held_port: Port that a foreign socket holds.
        for_s: Time in seconds after which settings and port are as they should be.
        signals: Signals that it gets.
    """

    at_s: float
    ending: Ending
    patience_s: float
    output: Output
    settings: SettingsFault
    length: float
    held_port: HeldPort
    for_s: float
    signals: tuple[SignalAt, ...]

    def __str__(self) -> str:
        signals = " ".join(f"{item.number.name}@{item.delay_s:.3f}" for item in self.signals)
        return (
            f"predecessor {self.ending}, output {self.output}, settings {self.settings}, "
            f"port held {self.held_port} for {self.for_s:.2f} s, signals [{signals}]"
        )


@dataclass(frozen=True, slots=True)
class Trouble:
    """Trouble at the process that an instance runs then.

    Attributes:
        at_s: Time since the start of the run in seconds.
        kind: Its kind.
        for_s: Duration in seconds.
        variant: Seed of its details.
    """

    at_s: float
    kind: TroubleKind
    for_s: float
    variant: int


# Relative frequencies; what isn't named is drawn once.
_ENDINGS = {Ending.KILLED: 4, Ending.DRAINING: 2, Ending.FROZEN: 2}
_OUTPUTS = {Output.READ: 6}
_SETTINGS = {SettingsFault.NONE: 6}
_HELD_PORTS = {HeldPort.NONE: 8}
_SIGNALS = {signal.SIGHUP: 8, signal.SIGTERM: 1, signal.SIGINT: 1, signal.SIGKILL: 1}
_STORE_FAULTS = (
    FaultKind.STORE_DOWN,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_REFUSES,
)
# Numbers of signals of a start, drawn with equal frequency.
_SIGNAL_COUNTS = (0, 0, 1, 1, 2, 4, 12)
MAX_SIGNAL_DELAY_S = 0.6
MIN_DURATION_S, MAX_DURATION_S = 0.1, 2.5
# Time between two starts of an instance; with more instances than these it is longer, so that the
# processor time of all starts stays bearable.
MAX_GAP_S, FREQUENT_INSTANCES = 2.0, 10
# Longer than the grace time in the settings, in which a process ends by itself; and how often.
FULL_PATIENCE_S, FULL_PATIENCE_SHARE = 10.0, 0.1
STORE_FAULT_GAP_S = 2.0


def draw_starts(seed: int, instance: int, length_s: float, instances: int = 1) -> list[Start]:
    """Returns the starts of an instance in order of time; the first one has no predecessor.

    Args:
        seed: Seed of the run.
        instance: Index of the instance.
        length_s: Duration of the run in seconds.
        instances: Number of instances of the run.
    """
    rng = random.Random(f"starts of {seed} at {instance}")
    starts = []
    max_gap_s = MAX_GAP_S * max(1.0, instances / FREQUENT_INSTANCES)
    for at_s in _draw_times(rng, length_s, max_gap_s):
        is_patient = rng.random() < FULL_PATIENCE_SHARE
        starts.append(
            Start(
                at_s,
                _draw(rng, Ending, _ENDINGS),
                FULL_PATIENCE_S if is_patient else rng.uniform(0.0, MAX_DURATION_S),
                _draw(rng, Output, _OUTPUTS),
                _draw(rng, SettingsFault, _SETTINGS),
                rng.random(),
                _draw(rng, HeldPort, _HELD_PORTS),
                rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
                _draw_signals(rng),
            )
        )
    return starts


def draw_troubles(seed: int, instance: int, length_s: float) -> list[Trouble]:
    """Returns the trouble at an instance in order of time."""
    rng = random.Random(f"troubles of {seed} at {instance}")
    return [
        Trouble(
            at_s,
            rng.choice([*TroubleKind]),
            rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
            rng.randrange(1 << 16),
        )
        for at_s in _draw_times(rng, length_s, MAX_GAP_S)
    ]


def draw_store_faults(seed: int, length_s: float) -> list[Fault]:
    """Returns the faults of the store in order of time; some overlap."""
    rng = random.Random(f"store faults of {seed}")
    faults = []
    at_s = rng.uniform(0.0, STORE_FAULT_GAP_S)
    while at_s < length_s:
        for_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        kind, subject = rng.choice(_STORE_FAULTS), rng.randrange(1 << 16)
        faults.append(Fault(at_s, kind, subject, for_s, Link.OPEN))
        at_s += rng.uniform(0.0, 2 * STORE_FAULT_GAP_S)
    return faults


def _draw_times(rng: random.Random, length_s: float, max_gap_s: float) -> Iterator[float]:
    at_s = rng.uniform(0.0, MIN_DURATION_S)
    while at_s < length_s:
        yield at_s
        at_s += rng.uniform(0.0, max_gap_s)


def _draw(rng: random.Random, kinds: type[_Kind], weights: dict[_Kind, int]) -> _Kind:
    members = [*kinds]
    [member] = rng.choices(members, [weights.get(kind, 1) for kind in members])
    return member


def _draw_signals(rng: random.Random) -> tuple[SignalAt, ...]:
    count = rng.choice(_SIGNAL_COUNTS)
    delays_s = sorted(rng.uniform(0.0, MAX_SIGNAL_DELAY_S) for _ in range(count))
    numbers = rng.choices([*_SIGNALS], [*_SIGNALS.values()], k=count)
    return tuple(map(SignalAt, delays_s, numbers))
