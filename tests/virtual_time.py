"""An event loop in virtual time, as the benches use it."""

from bench.virtual_time import VirtualTimeLoop, run

__all__ = ["VirtualTimeLoop", "run"]
