"""Samples of SYNs, from which a group's balancer tells repeats."""

from collections.abc import Iterable

__all__ = ["SAMPLED_SYNS", "sample_syns"]

# SYNs in a sample. The balancer's counts go out each 2 s: 20 bytes a second for a target, of the
# 25 KB of control that an instance may send.
SAMPLED_SYNS = 8
# Bits of a flow hash that a sample keeps; they tell the flows of some seconds apart.
_MASK = 0xFFFFFFFF


def sample_syns(flow_hashes: Iterable[int]) -> tuple[int, ...]:
    """Returns the smallest hashes in order, equal ones as often as they come.

    All instances choose alike, so that their samples are of the same flows.
    """
    return tuple(sorted(flow_hash & _MASK for flow_hash in flow_hashes)[:SAMPLED_SYNS])
