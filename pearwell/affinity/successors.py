"""Flows whose target turns out to be a later incarnation than this instance knew.

An instance may learn late that a target has restarted: it listed an entry from before the restart,
or heard nothing of the store. Flows that were opened since are on the later incarnation, under the
same name and address. Resetting them would break flows of a target that lives.
"""

from pearwell.affinity.flow_table import Flow

__all__ = ["follow_successors"]


def follow_successors(flows: list[Flow]) -> list[Flow]:
    """Assigns flows to the later incarnations that they are on; returns the others.

    Args:
        flows: Flows whose targets are gone.
    """
    return [flow for flow in flows if not _follows(flow)]


def _follows(flow: Flow) -> bool:
    seen_at = max(flow.responded_at, flow.syn_sent_at)
    while flow.target.gone:
        successor = flow.target.successor
        if successor is None or seen_at <= successor.running_since:
            return False
        previous, awaiting_response = flow.target, flow.awaiting_response
        flow.tried = [successor if target is previous else target for target in flow.tried]
        flow.reassign(successor)
        if awaiting_response:
            flow.awaiting_response = True
            successor.in_flight += 1
    return True
