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
    ("clock", "errors", "event_log", "failure_log", "histogram", "logs", "v1"),
    (
        "explanation",
        "http_message",
        "model",
        "object_store",
        "reactor",
        "settings",
        "shutdown",
        "text_metrics",
        "url_text",
    ),
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
LAYER_INDEXES = {name: index for index, layer in enumerate(LAYERS) for name in layer}


def _part(path: Path) -> str:
    """Returns the package or module directly under pearwell that a file belongs to."""
    return path.relative_to(PACKAGE).parts[0].removesuffix(".py")


def _imported_parts(path: Path) -> Iterator[str]:
    """Yields the parts of pearwell that a file imports, including imports inside functions."""
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom):
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            parts = name.split(".")
            if parts[0] == "pearwell" and len(parts) > 1 and parts[1] in LAYER_INDEXES:
                yield parts[1]


def _source_files() -> list[Path]:
    return sorted(p for p in PACKAGE.rglob("*.py") if p != PACKAGE / "__init__.py")


def test_every_part_has_a_layer():
    assert {_part(path) for path in _source_files()} == set(LAYER_INDEXES)


@pytest.mark.parametrize("path", _source_files(), ids=lambda path: str(path.relative_to(PACKAGE)))
def test_parts_import_only_from_lower_layers(path):
    part = _part(path)
    assert not {
        name
        for name in _imported_parts(path)
        if name != part and LAYER_INDEXES[name] >= LAYER_INDEXES[part]
    }


def test_no_part_is_in_two_layers():
    names = sorted(name for layer in LAYERS for name in layer)
    assert all(one != other for one, other in pairwise(names))
