"""SYNs that arrive before an instance knows where new flows may go.

Load pattern: all instances lose power and start at once, and the configuration arrives long after
the targets because it fills a slow link. Clients retransmit a SYN after 200 ms and 600 ms only, so
one that is dropped just before the routes are known costs up to 400 ms.
"""

from pearwell.affinity.lifecycle import is_stale_syn

__all__ = ["MAX_HELD", "HeldSyns"]

# SYNs held at a time; further ones are dropped, and their clients retransmit them.
MAX_HELD = 1024


class HeldSyns:
    """The latest transmission of each SYN received during the start, in order of arrival."""

    def __init__(self) -> None:
        self._held: dict[bytes, tuple[float, int, bytes]] = {}

    def add(self, flow: bytes, data: bytes, earlier_syns: int, now: float) -> bool:
        """Holds a SYN; returns whether there was room for it.

        Args:
            flow: Key of the flow.
            data: The packet.
            earlier_syns: Number of the client's earlier transmissions of it.
            now: Current time in seconds of the clock.
        """
        if flow not in self._held and len(self._held) >= MAX_HELD:
            return False
        self._held[flow] = now, earlier_syns, data
        return True

    def discard(self, flow: bytes) -> None:
        """Drops the SYN of a flow that its client has ended or opened through another instance."""
        self._held.pop(flow, None)

    def take(self, now: float) -> list[bytes]:
        """Returns the held packets that their clients have neither sent again nor given up."""
        held, self._held = self._held, {}
        return [
            data
            for held_at, earlier_syns, data in held.values()
            if not is_stale_syn(earlier_syns, now - held_at)
        ]
