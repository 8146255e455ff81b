"""The promises that a soak checks, from what clients, hosts and logs show."""

import re
from collections import Counter
from dataclasses import dataclass, field

from pearwell.standins.token_client import Outcome

__all__ = ["TIMELESS", "Checks", "Promise"]

_APPLIED = re.compile(r"event=configuration_applied .*version=(\d+) in_force=(\d+)")
_STARTED = re.compile(r"event=start ")
_FAILED = re.compile(r"event=task_failed|Traceback")


class Promise:
    """Names of the promises."""

    ONE_HOST = "one_host_per_flow"
    OWN_SERVICE = "own_service"
    OWN_ANSWER = "own_answer"
    NO_RESET = "no_reset_of_a_live_flow"
    DRAIN = "no_new_flow_on_a_leaving_host"
    VERSIONS = "versions_only_rise"
    NO_OWN_END = "no_process_ends_by_itself"
    RECOVERY = "all_clients_served_after_the_faults"


# Promises without a bound in time, which hold on a machine of any load.
TIMELESS = frozenset(
    {
        Promise.ONE_HOST,
        Promise.OWN_SERVICE,
        Promise.OWN_ANSWER,
        Promise.VERSIONS,
        Promise.NO_OWN_END,
    }
)


@dataclass(slots=True)
class Checks:
    """Counts what was seen and keeps violations.

    Attributes:
        outcomes: How requests ended, by status.
        violations: Promises that were broken, with what was seen.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[tuple[str, str]] = field(default_factory=list)
    _versions: dict[str, int] = field(default_factory=dict)

    def require(self, holds: bool, promise: str, seen: str) -> None:
        """Notes a violation unless the condition holds."""
        if not holds:
            self.violations.append((promise, seen))

    def take(
        self, text: str, outcome: Outcome, on: int, services: frozenset[str], undisturbed: bool
    ) -> None:
        """Checks the outcome of a request.

        Args:
            text: The request.
            outcome: How it ended.
            on: Host that the flow was on before; 0 for none.
            services: Services that some configuration allowed for the route.
            undisturbed: Whether nothing was done lately to the flow's host, or to any instance or
                the store, that would allow a reset.
        """
        self.outcomes[outcome.status] += 1
        if outcome.status == "ok":
            self.require(
                on in (0, outcome.host), Promise.ONE_HOST, f"{text}: {on}, then {outcome.host}"
            )
            self.require(
                outcome.service in services, Promise.OWN_SERVICE, f"{text}: {outcome.service}"
            )
            self.require(outcome.request == text, Promise.OWN_ANSWER, f"{text}: {outcome.request}")
        if outcome.status == "reset" and outcome.opened and on:
            self.require(not undisturbed, Promise.NO_RESET, f"{text}: on host {on}")

    def take_line(self, instance: str, line: str) -> None:
        """Checks a line that an instance logged."""
        if _STARTED.search(line):
            self._versions[instance] = -1
        self.require(not _FAILED.search(line), Promise.NO_OWN_END, f"{instance}: {line}")
        applied = _APPLIED.search(line)
        if applied:
            version = int(applied[2])
            before = self._versions.get(instance, -1)
            self.require(
                version > before, Promise.VERSIONS, f"{instance}: {version} after {before}"
            )
            self._versions[instance] = version
