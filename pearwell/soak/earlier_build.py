"""An earlier build of the role, from the history of this repository, and when it is replaced."""

import random
import subprocess
import tarfile
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from pearwell.soak.processes import ROOT

__all__ = ["Replacement", "Rollout", "draw_replacements", "extract_build", "has_commit"]

# All that the role needs.
_PATHS = ("deploy", "pearwell")


class Rollout(StrEnum):
    """Order in which two builds replace each other, instance after instance."""

    FORWARD = "forward"
    BACK = "back"
    HALFWAY = "halfway"


@dataclass(frozen=True, slots=True)
class Replacement:
    """A planned restart of one instance.

    Attributes:
        at_s: Time since the start of the traffic in seconds.
        instance: Index of the instance.
        is_current: Whether it runs the current build from then on, otherwise the earlier one.
    """

    at_s: float
    instance: int
    is_current: bool


def draw_replacements(
    seed: int, rollout: Rollout, instances: int, length_s: float
) -> list[Replacement]:
    """Returns the replacements of a rollout in order of time.

    A rollout that stops halfway goes back from the instance at which it stopped.
    """
    rng = random.Random(f"replacements of {seed}")
    order = rng.sample(range(instances), instances)
    steps = [(index, rollout is not Rollout.BACK) for index in order]
    if rollout is Rollout.HALFWAY:
        steps = steps[: (instances + 1) // 2]
        steps += [(index, False) for index, _ in reversed(steps)]
    times = sorted(rng.uniform(0.0, length_s) for _ in steps)
    return [
        Replacement(at_s, index, is_current)
        for at_s, (index, is_current) in zip(times, steps, strict=True)
    ]


def has_commit(commit: str) -> bool:
    """Whether the history of the checkout holds a commit."""
    command = ["git", "cat-file", "-e", f"{commit}^{{commit}}"]
    return subprocess.run(command, cwd=ROOT, capture_output=True).returncode == 0


def extract_build(commit: str, directory: Path) -> Path:
    """Extracts the role's sources of a commit and returns the directory that holds them.

    Raises:
        subprocess.CalledProcessError: If the checkout has no such commit.
    """
    root = directory / f"build-{commit}"
    if not root.exists():
        archive = directory / f"build-{commit}.tar"
        command = ["git", "archive", f"--output={archive}", commit, *_PATHS]
        subprocess.run(command, cwd=ROOT, check=True, capture_output=True)
        with tarfile.open(archive) as tar:
            tar.extractall(root, filter="data")
    return root
