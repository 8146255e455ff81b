"""Temporary stateless tables, until placement and steering are wired in."""

from dataclasses import dataclass

from pearwell.configuration import Configuration
from pearwell.forwarding import Table
from pearwell.group import GroupSpec
from pearwell.verdict import Action, Address, FlowEvent, Verdict

__all__ = ["StaticDecider"]

BUCKETS = 1024


@dataclass(slots=True)
class StaticTable:
    """A table whose buckets go round the targets."""

    group: str
    seed: int
    mask: int
    slots: list[Address | None]


class StaticDecider:
    """Decides by table only."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._tables: dict[str, Table] = {}

    def configure(self, configuration: Configuration) -> None:
        """Builds the tables of a configuration."""
        self._tables = {group.name: self._build(group) for group in configuration.groups.values()}

    def table(self, group: str) -> Table | None:
        """Returns the table of a group."""
        return self._tables.get(group)

    def decide(
        self,
        table: Table,
        flow_hash: int,
        event: FlowEvent,
        *,
        from_peer: bool = False,
        has_payload: bool = False,
    ) -> Verdict:
        """Looks the bucket up."""
        return Verdict(Action.FORWARD, table.slots[flow_hash & table.mask])

    def _build(self, group: GroupSpec) -> StaticTable:
        targets = sorted(
            (target.address, target.port) for target in group.targets if target.zone == self._zone
        )
        slots: list[Address | None] = [targets[i % len(targets)] for i in range(BUCKETS)]
        return StaticTable(group.name, group.seed, BUCKETS - 1, slots)
