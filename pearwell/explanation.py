"""Timeline of one flow, from the logs of many instances of the platform's role."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from pearwell.errors import Code

__all__ = ["LogLine", "explain_flow", "parse_log"]

_LINE = re.compile(r"\bt=(?P<t>[\d.]+) event=(?P<event>\w+)(?P<rest>.*)$")
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
# Time in seconds before and after a flow's own lines for which state changes are included.
CONTEXT_S = 5.0
# Events that concern an instance as a whole, rather than one target.
_INSTANCE_EVENTS = frozenset(
    {
        "backlog_dropped",
        "configuration_applied",
        "evacuated_zone_isolated",
        "evacuated_zone_reconnected",
        "paused",
        "ready",
        "refusing_flows",
        "refusing_flows_end",
        "relay_lost",
        "relay_regained",
        "start",
        "stop",
        "stopping",
        "store_lost",
        "store_regained",
        "zone_evacuated",
        "zone_evacuation_missing",
        "zone_full",
        "zone_not_full",
        "zone_taken_back",
    }
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
        at: Time in seconds; Unix time if the log contains the start of its process, else the
            monotonic clock of the instance.
        instance: Name of the instance.
        event: Name of the event.
        fields: The other fields of the line.
    """

    at: float
    instance: str
    event: str
    fields: dict[str, str]

    def render(self, start: float) -> str:
        """Returns the line for display, with its time relative to a start time."""
        fields = dict(self.fields)
        code = fields.get("code", "")
        if code.isdecimal() and int(code) in {int(known) for known in Code}:
            fields["code"] = f"{code} {Code(int(code)).name}"
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        return f"{self.at - start:+9.3f}s  {self.instance}  {self.event}  {pairs}".rstrip()


def parse_log(lines: Iterable[str]) -> list[LogLine]:
    """Parses a log; ignores lines without an event and any prefix before the time of an event."""
    events: list[LogLine] = []
    # Each process has its own monotonic clock; its first line maps it to Unix time.
    offsets: dict[str, float] = {}
    for line in lines:
        match = _LINE.search(line.rstrip("\n"))
        if match is None:
            continue
        fields = {name: value.strip('"') for name, value in _FIELD.findall(match["rest"])}
        instance = fields.pop("instance", "-")
        monotonic_s = float(match["t"])
        if match["event"] == "start" and "unix" in fields:
            offsets[instance] = float(fields["unix"]) - monotonic_s
        at = monotonic_s + offsets.get(instance, 0.0)
        events.append(LogLine(at, instance, match["event"], fields))
    return events


def explain_flow(lines: Iterable[LogLine], client: str) -> list[str]:
    """Returns the lines that concern a flow, in order of time.

    Args:
        lines: Events of any number of instances.
        client: Address and port of the client as ADDR:PORT.
    """
    events = sorted(lines, key=lambda line: line.at)
    own = [line for line in events if line.fields.get("flow", "").startswith(client + ">")]
    if not own:
        return []
    first, last = own[0].at - CONTEXT_S, own[-1].at + CONTEXT_S
    instances = {line.instance for line in own}
    targets = {line.fields["target"] for line in own if line.fields.get("target", "-") != "-"}
    timeline = [
        line
        for line in events
        if line in own
        or (
            first <= line.at <= last
            and line.instance in instances
            and "flow" not in line.fields
            and (line.event in _INSTANCE_EVENTS or line.fields.get("target") in targets)
        )
    ]
    return [line.render(own[0].at) for line in timeline]
