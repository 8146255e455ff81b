"""Health of all groups that a zone uses, from the entries gossiped by its instances."""

import contextlib
from collections.abc import Iterator, Mapping

import msgspec

from pearwell.agreement.rendezvous import rank
from pearwell.clock import Clock
from pearwell.messages.gossip import Entry
from pearwell.messages.targets import SilenceVerdict, TargetVerdict
from pearwell.model.configuration import Configuration
from pearwell.model.group import HealthCheck, TargetSpec
from pearwell.model.membership import MemberState, View
from pearwell.model.placement import TargetState
from pearwell.targets.health import PROBERS_PER_TARGET, GroupHealth

__all__ = [
    "Assignment",
    "ZoneHealth",
    "live_instances",
    "silence_key",
    "spill_zones_of",
    "verdict_key",
]

_VERDICT_DOMAIN = "verdict"
_SILENCE_DOMAIN = "silence"
_VERDICT_DECODER = msgspec.msgpack.Decoder(TargetVerdict)
_SILENCE_DECODER = msgspec.msgpack.Decoder(SilenceVerdict)

Assignment = tuple[str, str]
"""Group and target names of a target that an instance probes."""


def live_instances(view: View) -> tuple[str, ...]:
    """Returns the members that may be assigned work, which excludes leaving and dead ones."""
    live_states = (MemberState.ALIVE, MemberState.SUSPECT)
    return tuple(member.instance for member in view.members if member.state in live_states)


def verdict_key(group: str, target: str, prober: str) -> str:
    """Returns the gossip key of a prober's verdict."""
    return f"{_VERDICT_DOMAIN}/{group}/{target}/{prober}"


def silence_key(group: str, target: str) -> str:
    """Returns the gossip key of the passive health check's verdict on a target."""
    return f"{_SILENCE_DOMAIN}/{group}/{target}"


def spill_zones_of(configuration: Configuration, group: str) -> tuple[str, ...]:
    """Returns the zones that any service of a group may spill over to, in order."""
    services = (s for s in configuration.services.values() if s.group == group)
    zones = dict.fromkeys(zone for service in services for zone in service.spill_zones)
    return tuple(zones)


class ZoneHealth:
    """Assigns targets to probers and combines their verdicts; does no I/O.

    Args:
        instance: ID of this instance.
        zone: Availability zone of this instance.
        clock: Source of monotonic time.
    """

    def __init__(self, instance: str, zone: str, clock: Clock) -> None:
        self._instance = instance
        self._zone = zone
        self._clock = clock
        self._instances: tuple[str, ...] = (instance,)
        self._targets: dict[Assignment, TargetSpec] = {}
        self._checks: dict[str, HealthCheck] = {}
        self._health: dict[tuple[str, str], GroupHealth] = {}
        self._pending_entries: dict[str, Entry] = {}

    @property
    def assignments(self) -> Mapping[Assignment, tuple[TargetSpec, HealthCheck]]:
        """Targets that this instance probes, with their health check settings."""
        return {
            key: (spec, self._checks[key[0]])
            for key, spec in self._targets.items()
            if self._checks[key[0]].port and self._instance in self._probers(key)
        }

    @property
    def distrusted(self) -> int:
        """Number of targets that stay in use despite failed probes."""
        return sum(len(health.distrusted) for health in self._health.values())

    def state_of(self, group: str, target: str) -> TargetState:
        """Returns the evaluated state of a target; working if it is unknown."""
        spec = self._targets.get((group, target))
        health = self._health.get((group, spec.zone)) if spec else None
        states = health.states if health else {}
        return states.get(target, TargetState.WORKING)

    def configure(self, configuration: Configuration) -> None:
        """Applies the groups of a configuration."""
        previous, self._health = self._health, {}
        self._targets = {}
        self._checks = {}
        for name, group in configuration.groups.items():
            spill_zones = spill_zones_of(configuration, name)
            self._checks[name] = group.health
            for zone in (self._zone, *spill_zones):
                targets = [target for target in group.targets if target.zone == zone]
                may_spill = bool(spill_zones) and zone == self._zone
                health = previous.get((name, zone)) or GroupHealth(self._clock, may_spill)
                health.set_targets(targets)
                self._health[name, zone] = health
                self._targets |= {(name, target.name): target for target in targets}
        self._assign_probers()
        self._apply_pending_entries()

    def set_instances(self, instances: tuple[str, ...]) -> None:
        """Sets the live instances of the zone, among which probing is divided."""
        self._instances = instances or (self._instance,)
        self._assign_probers()

    def apply_entry(self, entry: Entry) -> None:
        """Applies a gossiped verdict; other entries are ignored."""
        domain, _, path = entry.key.partition("/")
        names = path.split("/")
        if domain == _VERDICT_DOMAIN and len(names) == 3:
            self._apply_verdict(entry, *names)
        elif domain == _SILENCE_DOMAIN and len(names) == 2:
            self._apply_silence(entry, *names)

    def evaluate(self) -> Iterator[tuple[str, str, TargetState]]:
        """Evaluates all targets and yields group, target and state of those that changed."""
        for (group, _), health in self._health.items():
            for target, state in health.evaluate().items():
                yield group, target, state

    def _apply_verdict(self, entry: Entry, group: str, target: str, prober: str) -> None:
        spec = self._targets.get((group, target))
        if spec is None:
            self._pending_entries[entry.key] = entry
            return
        with contextlib.suppress(msgspec.DecodeError):
            verdict = _VERDICT_DECODER.decode(entry.payload)
            self._health[group, spec.zone].record_verdict(target, prober, verdict.state)

    def _apply_silence(self, entry: Entry, group: str, target: str) -> None:
        spec = self._targets.get((group, target))
        if spec is None:
            return
        with contextlib.suppress(msgspec.DecodeError):
            verdict = _SILENCE_DECODER.decode(entry.payload)
            self._health[group, spec.zone].record_silence(target, verdict.hold_s)

    def _apply_pending_entries(self) -> None:
        """Applies verdicts that arrived before the configuration that contains their target."""
        pending, self._pending_entries = self._pending_entries, {}
        for entry in pending.values():
            group, target = entry.key.split("/")[1:3]
            if (group, target) in self._targets:
                self.apply_entry(entry)

    def _assign_probers(self) -> None:
        for (group, target), spec in self._targets.items():
            self._health[group, spec.zone].set_probers(target, self._probers((group, target)))

    def _probers(self, key: Assignment) -> tuple[str, ...]:
        return rank(f"probe/{key[0]}/{key[1]}", self._instances, PROBERS_PER_TARGET)
