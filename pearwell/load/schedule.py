"""Schedules: timed events of an experiment."""

import random
from enum import StrEnum
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from pearwell.errors import Code, SettingsError

__all__ = ["Event", "EventKind", "load_schedule", "periodic_schedule"]


class EventKind(StrEnum):
    """Kinds of events that an experiment can execute."""

    TARGET_DRAIN = "target-drain"
    TARGET_UNDRAIN = "target-undrain"
    TARGET_JOIN = "target-join"
    TARGET_CRASH = "target-crash"
    TARGET_SILENCE = "target-silence"
    INSTANCE_JOIN = "instance-join"
    INSTANCE_STOP = "instance-stop"
    INSTANCE_CRASH = "instance-crash"
    INSTANCE_PAUSE = "instance-pause"
    INSTANCE_REPLACE = "instance-replace"
    PLATFORM_OUTAGE = "platform-outage"
    PLATFORM_LOST_ANSWERS = "platform-lost-answers"
    CONFIGURATION_CHANGE = "configuration-change"


class Event(BaseModel):
    """One event of a schedule.

    Attributes:
        at_s: Seconds since the start of the run.
        kind: Kind of the event.
        subject: Instance, target or service that it affects; chosen at random if empty.
        duration_s: Duration of a pause or an outage in seconds.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    at_s: float = Field(ge=0)
    kind: EventKind
    subject: str = ""
    duration_s: float = Field(default=5.0, gt=0, le=600)


_EVENTS = TypeAdapter(list[Event])


def load_schedule(path: Path) -> tuple[Event, ...]:
    """Reads a schedule from a JSON file.

    Args:
        path: JSON file with a list of events.

    Returns:
        The events sorted by time.

    Raises:
        SettingsError: The file can't be read or an event is invalid.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError(Code.SETTINGS_UNREADABLE, str(error)) from error
    try:
        events = _EVENTS.validate_json(text)
    except ValidationError as error:
        first_error = error.errors()[0]
        location = ".".join(str(part) for part in first_error["loc"])
        raise SettingsError(
            Code.SETTINGS_INVALID_VALUE, f"{location}: {first_error['msg']}"
        ) from error
    return tuple(sorted(events, key=lambda event: event.at_s))


def periodic_schedule(
    interval_s: float, duration_s: float, kinds: tuple[EventKind, ...], rng: random.Random
) -> tuple[Event, ...]:
    """Creates a schedule with one event of a random kind at a fixed interval.

    Args:
        interval_s: Time between two events in seconds; the first event is after one interval.
        duration_s: Length of the run in seconds; no event is in its last interval.
        kinds: Kinds to choose from; each is used once before any is repeated.
        rng: Random number generator that chooses the kinds.
    """
    events: list[Event] = []
    remaining: list[EventKind] = []
    at_s = interval_s
    while at_s < duration_s - interval_s:
        remaining = remaining or rng.sample(kinds, len(kinds))
        events.append(Event(at_s=at_s, kind=remaining.pop()))
        at_s += interval_s
    return tuple(events)
