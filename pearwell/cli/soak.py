"""pearwell-soak: runs the soak test for a range of seeds and reports violated guarantees."""

import asyncio
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

from absl import app, flags

from pearwell.soak.earlier_build import Rollout, extract_build
from pearwell.soak.schedule import draw_faults
from pearwell.soak.soak_harness import SoakOptions, run_soak
from pearwell.soak.start_schedule import draw_starts, draw_store_faults, draw_troubles
from pearwell.soak.start_soak import run_start_soak

__all__ = ["main"]

# Violations that are printed of a seed.
MAX_SHOWN = 100
_SEED = flags.DEFINE_integer("seed", 1, "First seed.")
_SEEDS = flags.DEFINE_integer(
    "seeds", 1, "Number of consecutive seeds, run one after another.", lower_bound=1
)
_LENGTH_S = flags.DEFINE_float("length_s", 20.0, "Seconds with faults in each run.")
_INSTANCES = flags.DEFINE_integer("instances", 4, "Number of instances.", 1, 60)
_HOSTS = flags.DEFINE_integer("hosts", 3, "Number of hosts of each service.", 2, 60)
_CLIENTS = flags.DEFINE_integer("clients", 12, "Number of clients.", 1, 200)
_OCTET = flags.DEFINE_integer("octet", 90, "Second octet of all loopback addresses.", 1, 250)
_DIRECTORY = flags.DEFINE_string("directory", "", "Directory for logs; a temporary one by default.")
_BESIDE = flags.DEFINE_string(
    "beside", "", "Commit of an earlier build, which the current one replaces while it runs."
)
_ROLLOUT = flags.DEFINE_enum_class(
    "rollout", Rollout.FORWARD, Rollout, "Order of replacements with --beside."
)
_STARTS = flags.DEFINE_bool("starts", False, "Soak starts and stops of the role instead.")
_SHOW_FAULTS = flags.DEFINE_bool("show", False, "Print the fault schedule of each seed.")


def _main(_: list[str]) -> None:
    directory = Path(_DIRECTORY.value or tempfile.mkdtemp(prefix="pearwell-soak-"))
    directory.mkdir(parents=True, exist_ok=True)
    beside = extract_build(_BESIDE.value, directory) if _BESIDE.value else None
    run = run_start_soak if _STARTS.value else run_soak
    failed_seeds = 0
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        seed_directory = directory / f"seed-{seed}"
        seed_directory.mkdir(parents=True, exist_ok=True)
        if _SHOW_FAULTS.value:
            draw = _draw_starts if _STARTS.value else draw_faults
            for item in draw(seed, _LENGTH_S.value):
                print(f"seed={seed} {item}", flush=True)
        checker = asyncio.run(
            run(
                SoakOptions(
                    seed,
                    _LENGTH_S.value,
                    _INSTANCES.value,
                    _HOSTS.value,
                    _CLIENTS.value,
                    _OCTET.value,
                    seed_directory,
                    beside,
                    _ROLLOUT.value,
                )
            )
        )
        failed_seeds += bool(checker.violations)
        outcomes = " ".join(
            f"{name.replace(' ', '_')}={count}" for name, count in sorted(checker.outcomes.items())
        )
        print(f"seed={seed} violations={len(checker.violations)} {outcomes}", flush=True)
        for guarantee, violation in checker.violations[:MAX_SHOWN]:
            print(f"seed={seed} broken={guarantee} seen={violation!r}", flush=True)
    print(f"seeds={_SEEDS.value} broken={failed_seeds} logs={directory}")
    sys.exit(bool(failed_seeds))


def _draw_starts(seed: int, length_s: float) -> Iterator[object]:
    yield from draw_store_faults(seed, length_s)
    for index in range(_INSTANCES.value):
        starts = draw_starts(seed, index, length_s, _INSTANCES.value)
        for item in [*starts, *draw_troubles(seed, index, length_s)]:
            yield f"edge-{index} {item!r}"


def main() -> None:
    """Entry point of pearwell-soak."""
    app.run(_main)


if __name__ == "__main__":
    main()
