"""Reads the growth table of the latest sweep in journal/: load of the platform's role by size."""

import json
import re
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Growth", "Row", "newest_sweep", "read_growth"]

JOURNAL = Path(__file__).resolve().parent.parent / "journal"

_ROW = re.compile(
    r"^(?P<name>\S.*?)\s{2,}(?P<cells>(?:[\d.]+ / [\d.]+\s+)+)"
    r"(?P<power>[\d.]+)\s+(?P<led>[\d.]+|-)$"
)
_CELL = re.compile(r"([\d.]+) / ([\d.]+)")
_TARGET_SIZE = re.compile(r"power\s+at (\d+|null)")


@dataclass(frozen=True, slots=True)
class Row:
    """One quantity by fleet size.

    Attributes:
        name: Name and unit of the quantity.
        middle: Value of the middle instance at each size.
        busiest: Value of the busiest instance, or the longest time, at each size.
        extrapolated: Extrapolation of busiest to the target size, which the sweep doesn't run; None
            if the deployment names no target size.
        power: Exponent of the power law by which busiest grows with the number of instances.
    """

    name: str
    middle: tuple[float, ...]
    busiest: tuple[float, ...]
    extrapolated: float | None
    power: float


@dataclass(frozen=True, slots=True)
class Growth:
    """Results of a sweep over fleet sizes, one run (day) per size.

    Attributes:
        entry: Id of the sweep's journal entry.
        site: Name of the site file.
        sizes: Number of instances of each run.
        targets: Number of targets of each run.
        served: Share of requests served in each run.
        worth: Worth of each run, the value G of its journal entry.
        target_size: Number of instances that extrapolated refers to; None if there is none.
        rows: Quantities by size.
    """

    entry: str
    site: str
    sizes: tuple[int, ...]
    targets: tuple[int, ...]
    served: tuple[float, ...]
    worth: tuple[float, ...]
    target_size: int | None
    rows: tuple[Row, ...]

    def row(self, name: str) -> Row:
        """Returns the row with the given name.

        Raises:
            KeyError: No row has this name.
        """
        return {row.name: row for row in self.rows}[name]


def newest_sweep(journal: Path = JOURNAL) -> Path:
    """Returns the path of the latest journal entry of a sweep.

    Raises:
        FileNotFoundError: The journal has no sweep.
    """
    for path in sorted(journal.glob("*.json"), reverse=True):
        if '"cmd":"sweep"' in path.read_text():
            return path
    raise FileNotFoundError(f"no entry of a sweep in {journal}")


def read_growth(path: Path) -> Growth:
    """Reads the journal entry of a sweep.

    Raises:
        ValueError: The entry has no growth table of the expected format.
    """
    entry = json.loads(path.read_text())
    digest = entry["digest"]
    target = _TARGET_SIZE.search(digest)
    rows = tuple(row for line in digest.splitlines() if (row := _read_row(line)) is not None)
    if target is None or not rows:
        raise ValueError(f"{path.name}: no growth table in the digest")
    days = entry["days"]
    return Growth(
        entry=entry["id"],
        site=entry["site"],
        sizes=tuple(day["balancers"] for day in days),
        targets=tuple(day["servers"] for day in days),
        served=tuple(day["served"] for day in days),
        worth=tuple(day["G"] for day in days),
        target_size=None if target[1] == "null" else int(target[1]),
        rows=rows,
    )


def _read_row(line: str) -> Row | None:
    match = _ROW.match(line.rstrip())
    if match is None:
        return None
    cells = _CELL.findall(match["cells"])
    middle = tuple(float(cell[0]) for cell in cells)
    busiest = tuple(float(cell[1]) for cell in cells)
    extrapolated = None if match["led"] == "-" else float(match["led"])
    return Row(match["name"], middle, busiest, extrapolated, float(match["power"]))
