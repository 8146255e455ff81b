"""Health of targets from unanswered SYNs, retransmitted data, probes and hints.

A suspect target has left SYNs unanswered and gets new flows only if no other target can. An
unresponsive one has not responded to anything for UNRESPONSIVE_S, and is gone if a probe fails too.
"""

from collections.abc import Callable

from pearwell.affinity.directory import Directory
from pearwell.affinity.flow_table import Flow
from pearwell.affinity.target import Target

__all__ = ["PROBE_INTERVAL_S", "SUSPECT_S", "UNRESPONSIVE_S", "TargetHealth"]

# Time for which a target with unanswered SYNs gets a new flow only if no other target that the flow
# hasn't tried can; doubles with each unanswered SYN, the first included.
SUSPECT_S = 0.5
MAX_SUSPECT_S = 4.0
# Time without a response after which retransmitted data triggers a probe of the target; clients
# retransmit after 200 ms.
UNRESPONSIVE_S = 0.18
# Time after which a connection attempt counts as unanswered for the SYNs that wait for its result;
# a live target accepts within milliseconds.
UNREACHABLE_S = 0.03
# Minimum time between two probes of one target that hasn't responded since the first.
PROBE_INTERVAL_S = 1.0


class TargetHealth:
    """Tracks which targets respond, and requests probes of those that don't.

    Args:
        directory: Targets.
        log: Logs an event's name and its fields.
        count: Counts an event by name.
    """

    def __init__(
        self, directory: Directory, log: Callable[..., None], count: Callable[[str], None]
    ) -> None:
        self._directory = directory
        self._log = log
        self._count = count
        self._probes: list[Target] = []
        self._hints: list[str] = []
        # Targets that responded just before a hint.
        self._postponed: list[Target] = []

    @property
    def has_probes(self) -> bool:
        """Whether there are targets to probe."""
        return bool(self._probes)

    def take_probes(self) -> list[Target]:
        """Returns the targets to probe with a connection attempt; each is returned once."""
        probes, self._probes = self._probes, []
        return probes

    def take_hints(self) -> list[str]:
        """Returns the names of targets that seem or are gone, to be sent to other instances."""
        hints, self._hints = self._hints, []
        return hints

    def handle_hint(self, name: str, now: float) -> None:
        """Handles another instance's hint that a target is gone; probes it if it has flows."""
        target = self._directory.find_by_name(name)
        if target is None:
            return
        target.reported_gone = target.doubted = True
        if target.gone or not target.open_flows:
            return
        if now - target.last_response_at >= UNRESPONSIVE_S:
            self._probe(target, now)
        else:
            self._postponed.append(target)

    def is_unreachable(self, target: Target, now: float) -> bool:
        """Whether a target leaves a connection attempt unanswered, or did the last one.

        It may be down, or the path to it, and is thus unlikely to have a flow whose SYN it left
        unanswered as well.
        """
        if target.probing:
            return now - target.probe_started_at >= UNREACHABLE_S
        answered_at = max(target.last_response_at, target.probe_answered_at)
        return target.probed_at > answered_at

    def handle_slow_probe(self, target: Target, now: float) -> None:
        """Handles a connection attempt that is unanswered for longer than a live target takes.

        The other instances are notified now, so that their probes and this one end together.
        """
        if target.gone or now - target.last_response_at < UNRESPONSIVE_S:
            return
        self._report(target)

    def handle_probe_result(
        self, target: Target, answered: bool, refused: bool, now: float
    ) -> None:
        """Handles the result of a connection attempt to a target's address.

        A refused connection means that the target's process has ended. A timeout, together with no
        response on the target's flows, means that the target or the path to it is down; its flows
        cannot continue in either case.
        """
        target.probing = False
        target.probed_at = now
        unresponsive = now - target.last_response_at >= UNRESPONSIVE_S
        self._log(
            "target_probed",
            target=target.name,
            answered=answered,
            refused=refused,
            silent=unresponsive,
        )
        if answered:
            target.reported_gone = False
            target.probe_answered_at = now
            self._restore(target)
        if answered or not unresponsive or target.gone:
            return
        target.doubted = True
        self._directory.mark_gone(target)
        self._mark_suspect(target, now)
        self._count("target_found_gone")
        self._report(target)

    def handle_failed_probe(self, target: Target, error: Exception) -> None:
        """Handles a connection attempt that failed here, which tells nothing of the target."""
        target.probing = False
        self._count("target_probe_failed")
        self._log("target_probe_failed", target=target.name, error=error)

    def record_response(self, target: Target, now: float) -> None:
        """Records a packet of an open flow that shows that its target responds."""
        target.record_response(now)
        self._restore(target)

    def record_unanswered_syn(self, flow: Flow, now: float) -> None:
        """Counts an unanswered SYN, unless the target has responded to others since."""
        target = flow.target
        if target.last_response_at >= flow.syn_sent_at:
            return
        target.unanswered_syns += 1
        self._mark_suspect(target, now)
        self._count("syn_unanswered")
        self._log(
            "syn_unanswered",
            flow=flow.key,
            target=target.name,
            strikes=target.unanswered_syns,
            life_age=round(now - target.last_response_at, 3) if target.last_response_at > 0 else -1,
        )
        self._probe(target, now)

    def record_retransmitted_data(self, flow: Flow, now: float) -> None:
        """Records data that a client sent again; probes the target if it is unresponsive."""
        self._count("data_sent_again")
        responded_at = max(flow.target.last_response_at, flow.sent_at)
        if flow.awaiting_response and now - responded_at >= UNRESPONSIVE_S:
            self._probe(flow.target, now)

    def tick(self, now: float) -> None:
        """Probes listed targets that were found gone, and those silent since a hint.

        Called every second.
        """
        for target in self._directory:
            if target.gone:
                self._probe(target, now)
        postponed, self._postponed = self._postponed, []
        for target in postponed:
            if target.reported_gone and not target.gone and target.open_flows:
                self._probe(target, now)

    def _restore(self, target: Target) -> None:
        """Ends the state gone of a listed target, which has responded."""
        if not target.gone or not target.listed:
            return
        target.gone = False
        self._log("target_back", target=target.name)

    def _report(self, target: Target) -> None:
        if not target.reported_gone:
            target.reported_gone = True
            self._hints.append(target.name)

    def _probe(self, target: Target, now: float) -> None:
        responded_since = target.last_response_at >= target.probed_at
        if not target.probing and (responded_since or now - target.probed_at >= PROBE_INTERVAL_S):
            target.probing = True
            target.probe_started_at = now
            self._probes.append(target)

    def _mark_suspect(self, target: Target, now: float) -> None:
        hold = min(MAX_SUSPECT_S, SUSPECT_S * 2 ** min(target.unanswered_syns, 4))
        target.suspect_until = now + hold
