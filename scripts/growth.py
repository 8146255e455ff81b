"""Reads how the role on the users' platform grows from the newest sweep in journal/."""

import json
import re
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Growth", "Row", "newest_sweep", "read_growth"]

JOURNAL = Path(__file__).resolve().parent.parent / "journal"

_ROW = re.compile(
    r"^(?P<name>\S.*?)\s{2,}(?P<cells>(?:[\d.]+ / [\d.]+\s+)+)"
    r"(?P<power>[\d.]+)\s+(?P<led>[\d.]+)$"
)
_CELL = re.compile(r"([\d.]+) / ([\d.]+)")
_TARGET = re.compile(r"power\s+at (\d+)")


@dataclass(frozen=True, slots=True)
class Row:
    """One figure by size of the fleet.

    Attributes:
        name: What was measured, with its unit.
        middle: The middle machine's figure at each size.
        busiest: The busiest machine's, or the longest time, at each size.
        led_to: Where the growth of the busiest leads at the target size; not played.
        power: The busiest grows as the number of machines to this power.
    """

    name: str
    middle: tuple[float, ...]
    busiest: tuple[float, ...]
    led_to: float
    power: float


@dataclass(frozen=True, slots=True)
class Growth:
    """A sweep.

    Attributes:
        entry: Id of its entry in the journal.
        site: Name of the site file.
        sizes: Instances of the fleet at each day.
        targets: Targets at each day.
        served: Share of the requests that were served at each day.
        worth: What each day was worth.
        target_size: Instances at which led_to looks.
        rows: Figures by size.
    """

    entry: str
    site: str
    sizes: tuple[int, ...]
    targets: tuple[int, ...]
    served: tuple[float, ...]
    worth: tuple[float, ...]
    target_size: int
    rows: tuple[Row, ...]

    def row(self, name: str) -> Row:
        """Returns the row of a name.

        Raises:
            KeyError: If there is none.
        """
        return {row.name: row for row in self.rows}[name]


def newest_sweep(journal: Path = JOURNAL) -> Path:
    """Returns the newest entry of a sweep.

    Raises:
        FileNotFoundError: If there is none.
    """
    for path in sorted(journal.glob("*.json"), reverse=True):
        if '"cmd":"sweep"' in path.read_text():
            return path
    raise FileNotFoundError(f"no sweep in {journal}")


def read_growth(path: Path) -> Growth:
    """Reads a sweep's entry.

    Raises:
        ValueError: If its table isn't in the known form.
    """
    entry = json.loads(path.read_text())
    digest = entry["digest"]
    target = _TARGET.search(digest)
    rows = tuple(row for line in digest.splitlines() if (row := _read_row(line)) is not None)
    if target is None or not rows:
        raise ValueError(f"{path.name}: no table of growth")
    days = entry["days"]
    return Growth(
        entry=entry["id"],
        site=entry["site"],
        sizes=tuple(day["balancers"] for day in days),
        targets=tuple(day["servers"] for day in days),
        served=tuple(day["served"] for day in days),
        worth=tuple(day["G"] for day in days),
        target_size=int(target[1]),
        rows=rows,
    )


def _read_row(line: str) -> Row | None:
    match = _ROW.match(line.rstrip())
    if match is None:
        return None
    cells = _CELL.findall(match["cells"])
    middle = tuple(float(cell[0]) for cell in cells)
    busiest = tuple(float(cell[1]) for cell in cells)
    return Row(match["name"], middle, busiest, float(match["led"]), float(match["power"]))
