"""Tests that the role does not import the daemon's slow libraries."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
# Maximum number of modules loaded beyond those of a bare interpreter: sockets, json, enum, re and
# about two dozen of the role. A restarted instance forwards nothing during imports.
MAX_MODULES = 75
HEAVY = (
    "asyncio",
    "dataclasses",
    "grpc",
    "inspect",
    "logging",
    "msgspec",
    "pydantic",
    "ssl",
    "structlog",
    "typing",
    "uvloop",
)


@pytest.fixture(scope="module")
def loaded_modules():
    code = (
        "import sys; bare = set(sys.modules); import pearwell.platform.edge;"
        "print('\\n'.join(sorted(set(sys.modules) - bare)))"
    )
    done = subprocess.run(
        [sys.executable, "-S", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return done.stdout.split()


@pytest.mark.parametrize("name", HEAVY)
def test_a_heavy_module_is_not_imported(loaded_modules, name):
    assert name not in loaded_modules


def test_the_role_loads_few_modules(loaded_modules):
    assert len(loaded_modules) <= MAX_MODULES, loaded_modules
