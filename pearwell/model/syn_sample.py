"""SYN samples, in which a group's balancer detects retransmissions."""

from collections.abc import Iterable

__all__ = ["MAX_SAMPLED_SYNS", "sample_syns"]

# The balancer sends counts every 2 s, so a sample costs 20 bytes per second and target, out of the
# 25 KB of control traffic that an instance may send.
MAX_SAMPLED_SYNS = 8
# Samples keep 32 bits of each flow hash, enough to distinguish the flows of a few seconds.
_HASH_MASK = 0xFFFFFFFF


def sample_syns(flow_hashes: Iterable[int]) -> tuple[int, ...]:
    """Returns the smallest flow hashes in ascending order, including duplicates.

    All instances select by the same rule, so their samples contain the same flows.
    """
    return tuple(sorted(flow_hash & _HASH_MASK for flow_hash in flow_hashes)[:MAX_SAMPLED_SYNS])
