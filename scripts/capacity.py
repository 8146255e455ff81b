"""Works out docs/CAPACITY.md from the measured slopes in docs/capacity-slopes.jsonl."""

import json
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs" / "capacity-slopes.jsonl"
PAGE = ROOT / "docs" / "CAPACITY.md"

SECONDS_PER_DAY = 86_400.0
MEGABYTE = 1e6
MICROSECONDS_PER_SECOND = 1e6


@dataclass(frozen=True, slots=True)
class Size:
    """The size that the letter asks for, and what is assumed where it is silent.

    Attributes:
        targets_per_group: Targets of a group in a zone, as intake has today.
        packets_per_flow_s: Packets from the caller a second, on a flow in steady state.
        change_share: Share of buckets that move when one target of a group changes.
        changing_groups: Groups of a zone with a change of targets under way at a time.
        flow_life_s: Mean life of a flow, which follows from open and new flows.
    """

    nodes: int = 2_600
    hosts: int = 15_000
    addresses: int = 10_000
    flows: int = 81_000_000
    new_flows_per_s: int = 190_000
    regions: int = 6
    zones: int = 15
    changes_per_day: int = 2_400
    failures_per_day: int = 72
    replacements_per_day: int = 5_100
    in_force_s: float = 3.0
    cpu_share: float = 0.033
    memory_mb: float = 128.0
    control_bytes_per_s: float = 25_000.0
    platform_writes_per_s: float = 300.0
    platform_reads_per_s: float = 2_000.0
    targets_per_group: int = 7
    packets_per_flow_s: float = 0.15

    @property
    def nodes_per_zone(self) -> float:
        """Instances of one availability zone."""
        return self.nodes / self.zones

    @property
    def groups_per_zone(self) -> float:
        """Groups with targets in one zone, if each address is served in one zone."""
        return self.addresses / self.zones

    @property
    def flow_life_s(self) -> float:
        """Mean life of a flow by Little's law."""
        return self.flows / self.new_flows_per_s

    @property
    def change_share(self) -> float:
        """Share of a group's buckets that move when one target joins or leaves."""
        return 1 / self.targets_per_group


Slopes = dict[str, float]


@dataclass(frozen=True, slots=True)
class Role:
    """What one role costs a node.

    Attributes:
        name: Name of the role.
        mechanism: What carries it.
        memory_mb: Memory in MB.
        bytes_per_s: Control bytes sent a second.
        cpu_share: Share of a core.
        note: What the figures stand for.
    """

    name: str
    mechanism: str
    memory_mb: float = 0.0
    bytes_per_s: float = 0.0
    cpu_share: float = 0.0
    note: str = ""


def read_slopes(path: Path = SLOPES) -> Slopes:
    """Reads the slopes that make bench-capacity printed."""
    rows = (json.loads(line) for line in path.read_text().splitlines() if line.strip())
    return {row["name"]: row["value"] for row in rows}
