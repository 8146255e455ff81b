"""Checks that each part of pearwell imports only from lower layers."""

import ast
from collections.abc import Iterator
from itertools import pairwise
from pathlib import Path

import pytest

import pearwell

PACKAGE = Path(pearwell.__file__).parent

# From bottom to top; parts of one layer don't import one another.
LAYERS = (
    ("clock", "errors", "event_log", "logs", "text_metrics", "v1"),
    ("explanation", "http_message", "model", "object_store", "reactor", "settings", "shutdown"),
    ("http_server", "messages", "tls"),
    ("affinity", "kernel"),
    ("agreement", "platform"),
    ("configuration", "targets"),
    ("admin", "placement"),
    ("steering",),
    ("samples",),
    ("metrics",),
    ("standins",),
    ("load", "soak"),
    ("daemon",),
    ("cli",),
)
HEIGHTS = {name: height for height, layer in enumerate(LAYERS) for name in layer}


def _part(path: Path) -> str:
    """Returns the package or module directly under pearwell that a file belongs to."""
    return path.relative_to(PACKAGE).parts[0].removesuffix(".py")


def _imported(path: Path) -> Iterator[str]:
    """Yields the parts of pearwell that a file imports, including imports inside functions."""
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom):
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            parts = name.split(".")
            if parts[0] == "pearwell" and len(parts) > 1 and parts[1] in HEIGHTS:
                yield parts[1]


def _files() -> list[Path]:
    return sorted(p for p in PACKAGE.rglob("*.py") if p != PACKAGE / "__init__.py")


def test_every_part_has_a_layer():
    assert {_part(path) for path in _files()} == set(HEIGHTS)


@pytest.mark.parametrize("path", _files(), ids=lambda path: str(path.relative_to(PACKAGE)))
def test_imports_point_downwards(path):
    own = _part(path)
    assert not {name for name in _imported(path) if name != own and HEIGHTS[name] >= HEIGHTS[own]}


def test_layers_name_each_part_once():
    names = sorted(name for layer in LAYERS for name in layer)
    assert all(one != other for one, other in pairwise(names))
