"""SYNs that arrive before an instance knows where new flows may go.

Load pattern: all instances lose power and start at once, and the configuration arrives long after
the targets because it fills a slow link. Clients retransmit a SYN after 200 ms and 600 ms only, so
one that is dropped just before the routes are known costs up to 400 ms.
"""

from pearwell.affinity.lifecycle import is_stale_backlog

__all__ = ["MAX_HELD", "HeldSyns"]

# SYNs held at a time; further ones are dropped, and their clients retransmit them.
MAX_HELD = 1024


class HeldSyns:
    """The latest transmission of each SYN received during the start, in order of arrival."""

    def __init__(self) -> None:
        self._held: dict[bytes, tuple[float, bytes]] = {}

    def add(self, flow: bytes, data: bytes, now: float) -> bool:
        """Holds a SYN; returns whether there was room for it.

        Args:
            flow: Key of the flow.
            data: The packet.
            now: Current time in seconds of the clock.
        """
        if flow not in self._held and len(self._held) >= MAX_HELD:
            return False
        self._held[flow] = now, data
        return True

    def discard(self, flow: bytes) -> None:
        """Drops the SYN of a flow that its client has ended or opened through another instance."""
        self._held.pop(flow, None)

    def take(self, now: float) -> list[bytes]:
        """Returns the held packets whose clients may still wait for an answer."""
        held, self._held = self._held, {}
        return [data for held_at, data in held.values() if not is_stale_backlog(now - held_at)]
