"""Balancing of one group: its weights and silent targets, from the zone's flow counts."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pearwell.clock import Clock
from pearwell.messages.targets import FlowCounts
from pearwell.model.configuration import Configuration
from pearwell.model.group import TargetSpec
from pearwell.model.load_report import LoadReport
from pearwell.model.service import Preference
from pearwell.targets.silence import SilenceDetector
from pearwell.targets.weights import POLICIES, WeightController, WeightPolicy

__all__ = ["Decisions", "GroupBalancer", "policy_of"]

OPEN_FLOWS_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class Decisions:
    """Changes in a group since the last decision.

    Attributes:
        weights: Weights of all working targets, or None if unchanged.
        silence_holds: Remaining hold time in seconds by target that became silent, 0 for one
            that no longer is.
        open_flows: Open flows by target when a report is due, else None.
    """

    weights: dict[str, int] | None = None
    silence_holds: dict[str, float] = field(default_factory=dict)
    open_flows: dict[str, int] | None = None


def policy_of(configuration: Configuration, group: str) -> WeightPolicy:
    """Returns the weight policy of a group; EVEN applies if any of its services prefers it."""
    services = (s for s in configuration.services.values() if s.group == group)
    even = any(service.preference is Preference.EVEN for service in services)
    return POLICIES[Preference.EVEN if even else Preference.UNBROKEN]


class GroupBalancer:
    """Balances one group on behalf of the zone; does no I/O.

    Args:
        clock: Source of monotonic time.
        policy: How weights respond to load.
    """

    def __init__(self, clock: Clock, policy: WeightPolicy) -> None:
        self._clock = clock
        self._weights = WeightController(clock, policy)
        self._detectors: dict[str, SilenceDetector] = {}
        self._silent: set[str] = set()
        self._open_flows_due = clock.now()

    def configure(self, targets: Iterable[TargetSpec], policy: WeightPolicy) -> None:
        """Applies configuration.

        Args:
            targets: The zone's targets of the group, working or not.
            policy: How weights respond to load.
        """
        self._weights.set_policy(policy)
        existing = self._detectors
        self._detectors = {
            target.name: existing.get(target.name) or SilenceDetector(self._clock)
            for target in targets
        }

    def set_working_targets(self, working: Iterable[TargetSpec]) -> None:
        """Sets the targets that accept new flows."""
        self._weights.set_targets(working)

    def adopt_weights(self, weights: Iterable[tuple[str, int]]) -> None:
        """Continues from the weights in force when this instance acquires the group."""
        self._weights.adopt(dict(weights))

    def record_report(self, target: str, report: LoadReport) -> None:
        """Records the load report of a target."""
        self._weights.record_report(target, report)

    def record_counts(self, counts: Iterable[FlowCounts]) -> None:
        """Records the flow counts of an instance."""
        for count in counts:
            self._weights.record_flows(count.target, count.started, count.ended)
            detector = self._detectors.get(count.target)
            if detector is not None:
                detector.record_syns(count.syns)

    def decide(self) -> Decisions:
        """Returns the changes since the last call."""
        silent = {name for name, detector in self._detectors.items() if detector.silent}
        changed = silent ^ self._silent
        self._silent = silent
        detectors = ((n, self._detectors.get(n)) for n in sorted(changed))
        silence_holds = {n: detector.hold_s for n, detector in detectors if detector is not None}
        return Decisions(self._weights.adjust(), silence_holds, self._due_open_flows())

    def _due_open_flows(self) -> dict[str, int] | None:
        now = self._clock.now()
        if now < self._open_flows_due:
            return None
        self._open_flows_due = now + OPEN_FLOWS_INTERVAL_S
        return dict(self._weights.open_flows) or None
