"""Generates the gRPC code from proto/, or checks that the committed code is up to date."""

import sys
import tempfile
from importlib import resources
from pathlib import Path

from grpc_tools import protoc

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "proto"


def generate(output: Path) -> list[Path]:
    """Generates code for all schema files into a directory; returns the generated files."""
    sources = sorted(str(path) for path in SCHEMA.rglob("*.proto"))
    well_known = str(resources.files("grpc_tools") / "_proto")
    flags = [f"--{kind}_out={output}" for kind in ("python", "pyi", "grpc_python")]
    status = protoc.main(["protoc", f"-I{SCHEMA}", f"-I{well_known}", *flags, *sources])
    if status:
        raise SystemExit(status)
    return sorted(output.rglob("*_pb2*.py*"))


def check() -> int:
    """Compares newly generated code with the committed code; returns an exit status."""
    with tempfile.TemporaryDirectory() as scratch:
        output = Path(scratch)
        stale = [
            path.relative_to(output)
            for path in generate(output)
            if _read(ROOT / path.relative_to(output)) != path.read_bytes()
        ]
    for path in stale:
        print(f"generated code is out of date: {path}; run make generate")
    return 1 if stale else 0


def _read(path: Path) -> bytes:
    return path.read_bytes() if path.exists() else b""


if __name__ == "__main__":
    if "--check" in sys.argv:
        sys.exit(check())
    generate(ROOT)
