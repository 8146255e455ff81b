"""Works out docs/CAPACITY.md from the newest sweep and the slopes in docs/capacity-slopes.jsonl."""

import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from pearwell.targets.health import PROBERS_PER_TARGET
from scripts.growth import Growth, Row, newest_sweep, read_growth

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

GENERATIONS_PER_CHANGE = 4
OWNERS = 2
RELAYS = 3
RINGS = 4
WATCHED_KINDS = 3
# Pages of services, of groups and of the list of instances.
COLD_READS = 45
# Exponential lives: the last of some thousand flows ends after about so many mean lives.
TAIL_OF_LIVES = 8.0

# Limits of machines on the users' platform, from the pages of the deployments; 40 MB is our own.
LINK_KB_PER_S = 625
DESCRIPTORS = 1_535
MEMORY_MB = 40

HEADER = """# Capacity

Worked out by `scripts/capacity.py`: the role on the users' platform from the newest sweep in
`journal/`, `pearwell-entry` from the slopes in `docs/capacity-slopes.jsonl`. Run
`make capacity-page` after a sweep, or to measure the slopes again.
"""

PLATFORM_HEADER = """## The role on the users' platform

No rule was broken at any size. The middle instance grows with the targets that it lists; the
busiest ones are the relays, each of which serves a third of the fleet. What would have to change
beyond the sizes below: more than the three relays that the settings name, for example relays of a
zone that followers find through these. It isn't built.

Calls to the store come from the relays alone, about 4 a second in quiet times whatever the size:
three relays watch two kinds, each watch waits for 1.5 s, so that a change made while the store was
silent is in force 3 s after its return. 1 a second for each 30 instances is reached from 120
instances on.
"""

ENTRY_HEADER = """## pearwell-entry

What one node spends at the size that decides the design, from the slopes that `make bench-capacity`
measured on one machine. The budget of a node is 3.3% of a core, 128 MB and 25 KB a second of
control.
"""

FOOTER = """### Not measured

- Zones of 173 real processes: the cores' cost at that size is measured over an in-memory network,
  the daemon's on a zone of six over real sockets.
- Gossip of verdicts when many of 1,000 targets change state at once, and memory of the probers'
  connections.
- The platform itself: the stand-in answers from memory.
- Regions that lose each other: a zone needs no other region to serve; its configuration waits for
  the platform.
"""


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


def roles(size: Size, slopes: Slopes) -> list[Role]:
    """Works out what each role costs one node."""
    return [
        _process(slopes),
        _packet_path(size, slopes),
        _owner(size, slopes),
        _membership(slopes),
        _configuration(size, slopes),
        _placement(size, slopes),
        _prober(size, slopes),
        _admin(size, slopes),
    ]


def _process(slopes: Slopes) -> Role:
    note = "interpreter, libraries and connections of an idle daemon in a zone of six"
    return Role("process", "one process a node", slopes["idle_memory"] / MEGABYTE, note=note)


def _packet_path(size: Size, slopes: Slopes) -> Role:
    starts = size.new_flows_per_s / size.nodes
    cpu = starts * slopes["admit_start"] / MICROSECONDS_PER_SECOND
    note = f"{starts:.0f} flow starts a second pass admission; no state per flow on stable buckets"
    return Role("packet path", "stateless tables, admission of starts", cpu_share=cpu, note=note)


def _owner(size: Size, slopes: Slopes) -> Role:
    starts = _moving_starts(size)
    flows = _moving_flows(size)
    memory = flows * slopes["record_memory"] * OWNERS / MEGABYTE
    wire = starts * slopes["record_wire"]
    cpu = starts * OWNERS * slopes["decide_moving_start"] / MICROSECONDS_PER_SECOND
    note = (
        f"{starts:.1f} recorded starts a second and {flows:.0f} flows on moving buckets, "
        f"{_changing_groups(size):.1f} groups of a zone with a change under way"
    )
    mechanism = "records at two owners of a moving bucket"
    return Role("owner", mechanism, memory, wire, cpu, note)


def _membership(slopes: Slopes) -> Role:
    quiet = "quiet_{}_at_173".format
    growth = slopes[quiet("cpu")] - slopes["quiet_cpu_at_20"]
    note = (
        f"an idle daemon of a zone of six, with the growth of the cores from 20 to 173 instances; "
        f"{slopes[quiet('messages')]:.1f} messages a second of membership and gossip"
    )
    return Role(
        "membership, gossip, leases, timers",
        "SWIM and anti-entropy along four rings",
        slopes["control_memory_at_173"] / MEGABYTE,
        slopes["idle_bytes"],
        slopes["idle_cpu"] + max(growth, 0.0),
        note,
    )


def _configuration(size: Size, slopes: Slopes) -> Role:
    group = slopes["group_memory"] + size.targets_per_group * slopes["group_target_memory"]
    stored = slopes["service_stored"] + size.targets_per_group * slopes["group_target_stored"]
    memory = size.addresses * (slopes["service_memory"] + group + stored) / MEGABYTE
    changes = size.changes_per_day / SECONDS_PER_DAY
    cpu = changes * slopes["configuration_parse"] / MICROSECONDS_PER_SECOND
    note = f"every node holds all {size.addresses} services and their groups, in two forms"
    wire = changes * slopes["change_bytes_at_173"]
    return Role("configuration", "three relays a zone, gossip", memory, wire, cpu, note)


def _placement(size: Size, slopes: Slopes) -> Role:
    targets = size.groups_per_zone * size.targets_per_group
    memory = targets * (slopes["placement_target_memory"] + slopes["placement_target_wire"])
    changes = size.changes_per_day / size.zones / SECONDS_PER_DAY * GENERATIONS_PER_CHANGE
    apply = slopes["apply_placement_per_target"] * size.targets_per_group
    cpu = changes * apply / MICROSECONDS_PER_SECOND
    wire = changes * size.targets_per_group * slopes["placement_target_wire"] * RINGS
    note = f"{size.groups_per_zone:.0f} groups of {size.targets_per_group} targets in a zone"
    mechanism = "one object a group and zone, two-phase changes"
    return Role("placement", mechanism, memory / MEGABYTE, wire, cpu, note)


def _prober(size: Size, slopes: Slopes) -> Role:
    probes = size.hosts / size.zones * PROBERS_PER_TARGET / size.nodes_per_zone
    cpu = probes * slopes["probe_cpu"] / MICROSECONDS_PER_SECOND
    note = f"{probes:.1f} probes a second, each with its share of load reports"
    mechanism = "three probers a target by rendezvous"
    return Role("prober", mechanism, 0.0, probes * slopes["probe_bytes"], cpu, note)


def _admin(size: Size, slopes: Slopes) -> Role:
    writes = size.changes_per_day / SECONDS_PER_DAY / size.nodes
    cpu = writes * slopes["configuration_parse"] / MICROSECONDS_PER_SECOND
    note = "any instance serves any operator"
    return Role("admin", "conditional update with key and audit entry", cpu_share=cpu, note=note)


def _changing_groups(size: Size) -> float:
    """Groups of a zone with a change under way, by Little's law."""
    changes = size.changes_per_day / size.zones / SECONDS_PER_DAY
    return changes * size.flow_life_s * TAIL_OF_LIVES


def _moving_starts(size: Size) -> float:
    share = _changing_groups(size) / size.groups_per_zone * size.change_share
    return size.new_flows_per_s / size.nodes * min(share, 1.0)


def _moving_flows(size: Size) -> float:
    share = _changing_groups(size) / size.groups_per_zone * size.change_share
    return size.flows / size.nodes * min(share, 1.0)


def render(size: Size, slopes: Slopes, growth: Growth) -> str:
    """Returns the page."""
    costs = roles(size, slopes)
    parts = [
        HEADER,
        PLATFORM_HEADER,
        _growth_table(growth),
        _growth_limits(growth),
        ENTRY_HEADER,
        _table(("what", "size"), _size_rows(size)),
        "### Cost of each role on one node\n",
        _table(("role", "mechanism", "memory MB", "bytes/s", "% of a core"), _role_rows(costs)),
        "\n".join(f"- {role.name}: {role.note}." for role in costs) + "\n",
        _verdict(size, costs),
        "### Packets\n",
        _packets(size, slopes),
        "### Platform\n",
        _platform(size, slopes),
        "### Failures and replacements\n",
        _failures(size, slopes),
        FOOTER,
    ]
    return "\n".join(parts)


def _growth_table(growth: Growth) -> str:
    titles = ("middle / busiest or longest", *(f"{n:,} instances" for n in growth.sizes))
    rows = [
        ("targets", *(f"{n:,}" for n in growth.targets)),
        ("share of requests served", *(f"{share:.3f}" for share in growth.served)),
        ("worth", *(f"{worth:.3f}" for worth in growth.worth)),
    ]
    for row in growth.rows:
        cells = zip(row.middle, row.busiest, strict=True)
        rows.append((row.name, *(f"{middle:,g} / {busiest:,g}" for middle, busiest in cells)))
    return f"Sweep {growth.entry} of {growth.site}.\n\n{_table(titles, rows)}"


def _growth_limits(growth: Growth) -> str:
    limits = (
        ("edge: kB a second", LINK_KB_PER_S, "the link of 5 Mbit/s that some machines have"),
        ("edge: connections", DESCRIPTORS, "the descriptors of the smallest machines"),
        ("edge: memory MB", MEMORY_MB, "the memory that an instance is wanted to stay under"),
    )
    lines = [
        f"- {name}: {limit:,} ({what}) is reached by the busiest at about "
        f"{_size_at(growth, growth.row(name), limit):,.0f} instances."
        for name, limit, what in limits
    ]
    return "\n".join(lines) + "\n"


def _size_at(growth: Growth, row: Row, limit: float) -> float:
    """Returns the size of the fleet at which the busiest machine reaches a limit."""
    return growth.sizes[-1] * (limit / row.busiest[-1]) ** (1 / row.power)


def _size_rows(size: Size) -> list[tuple[str, str]]:
    return [
        ("nodes in a zone", f"{size.nodes_per_zone:.0f}"),
        ("targets in a zone", f"{size.hosts / size.zones:.0f}"),
        ("addresses served in a zone", f"{size.groups_per_zone:.0f}"),
        ("open flows on a node", f"{size.flows / size.nodes:,.0f}"),
        ("new flows a second on a node", f"{size.new_flows_per_s / size.nodes:.0f}"),
        ("mean life of a flow", f"{size.flow_life_s:.0f} s"),
        ("configuration changes", f"one each {SECONDS_PER_DAY / size.changes_per_day:.0f} s"),
        ("assumed targets of a group in a zone", f"{size.targets_per_group}"),
        ("assumed packets a second of a flow", f"{size.packets_per_flow_s}"),
    ]


def _role_rows(costs: list[Role]) -> list[tuple[str, ...]]:
    rows = [_row(role) for role in costs]
    return [*rows, _row(_total(costs))]


def _total(costs: list[Role]) -> Role:
    return Role(
        "all roles",
        "",
        sum(role.memory_mb for role in costs),
        sum(role.bytes_per_s for role in costs),
        sum(role.cpu_share for role in costs),
    )


def _row(role: Role) -> tuple[str, ...]:
    cost = (f"{role.memory_mb:.1f}", f"{role.bytes_per_s:,.0f}", f"{100 * role.cpu_share:.2f}")
    return (role.name, role.mechanism, *cost)


def _verdict(size: Size, costs: list[Role]) -> str:
    total = _total(costs)
    budgets = [
        ("memory", total.memory_mb, size.memory_mb, "MB"),
        ("control traffic", total.bytes_per_s, size.control_bytes_per_s, "bytes/s"),
        ("processor", 100 * total.cpu_share, 100 * size.cpu_share, "% of a core"),
    ]
    lines = [
        f"- {name}: {used:,.1f} of {allowed:,.1f} {unit}, "
        f"{'within' if used <= allowed else 'over'} the budget."
        for name, used, allowed, unit in budgets
    ]
    name, used, allowed, _ = max(budgets, key=lambda budget: budget[1] / budget[2])
    first = f"The first thing that breaks is {name}, at {used / allowed:.0%} of its budget."
    return "\n".join([*lines, "", first, ""])


def _packets(size: Size, slopes: Slopes) -> str:
    rate = size.flows / size.nodes * size.packets_per_flow_s
    limit = slopes["packets_per_cpu_s"]
    return (
        f"A node forwards {rate:,.0f} packets a second; one core forwards {limit:,.0f}, so the "
        f"packet path takes {rate / limit:.1%} of a core. That isn't control, and scales with the "
        "packets of a flow.\n"
    )


def _platform(size: Size, slopes: Slopes) -> str:
    watches = RELAYS * size.zones * WATCHED_KINDS
    changes = size.changes_per_day / SECONDS_PER_DAY
    writes = changes * (1 + GENERATIONS_PER_CHANGE)
    lists = (size.replacements_per_day * 2 + size.failures_per_day) / SECONDS_PER_DAY
    quiet = slopes["quiet_platform_calls_at_173"] * size.zones
    cold = size.nodes_per_zone
    return (
        f"{watches} watches wait, whatever the number of instances. Changes write "
        f"{writes:.2f} objects a second and replacements {lists:.2f}, of "
        f"{size.platform_writes_per_s:.0f} allowed. {size.zones} quiet zones call it {quiet:.1f} "
        f"times a second, of {size.platform_reads_per_s:.0f} allowed. The slowest start is a zone "
        f"that comes back cold: {cold:.0f} instances register and list at once; one page of "
        f"objects each, {cold * COLD_READS:.0f} reads, takes "
        f"{cold * COLD_READS / size.platform_reads_per_s:.1f} s of the platform's whole rate.\n"
    )


def _failures(size: Size, slopes: Slopes) -> str:
    events = (size.failures_per_day + size.replacements_per_day) / size.zones
    return (
        f"A zone sees {events:.0f} failures and replacements a day, one each "
        f"{SECONDS_PER_DAY / events:.0f} s. Each changes the view once or twice and moves the "
        f"ownership of {OWNERS / size.nodes_per_zone:.1%} of the shards; placements stay, so no "
        "bucket moves. The longest time for a change to be in force at 173 instances was "
        f"{slopes['in_force_max_at_173']:.2f} s, of {size.in_force_s:.0f} s allowed.\n"
    )


def _table(titles: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    lines = [titles, tuple("---" for _ in titles), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def main() -> int:
    """Writes the page, or checks with --check that it is current; returns an exit status."""
    page = render(Size(), read_slopes(), read_growth(newest_sweep()))
    if "--check" in sys.argv:
        return 0 if PAGE.read_text() == page else 1
    PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
