"""Re-exports the virtual-time event loop that the benches use."""

from bench.virtual_time import VirtualTimeLoop, run

__all__ = ["VirtualTimeLoop", "run"]
