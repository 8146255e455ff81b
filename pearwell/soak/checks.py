"""Guarantees that a soak checks against the outcomes of requests and the logs of processes."""

import re
from collections import Counter
from dataclasses import dataclass, field

from pearwell.standins.token_client import Outcome

__all__ = ["TIMELESS", "Checks", "Promise"]

_APPLIED = re.compile(r"event=configuration_applied .*version=(\d+) in_force=(\d+)")
_STARTED = re.compile(r"event=start ")
_FAILED = re.compile(r"event=task_failed|Traceback")


class Promise:
    """Names of the guarantees."""

    ONE_HOST = "one_host_per_flow"
    OWN_SERVICE = "own_service"
    OWN_ANSWER = "own_answer"
    NO_RESET = "no_reset_of_a_live_flow"
    DRAIN = "no_new_flow_on_a_leaving_host"
    VERSIONS = "versions_only_rise"
    NO_OWN_END = "no_process_ends_by_itself"
    RECOVERY = "all_clients_served_after_the_faults"


# Guarantees without a time limit, which hold on a machine under any load.
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
    """Counts outcomes and records violations.

    Attributes:
        outcomes: Number of requests by the status of their outcome.
        violations: Violated guarantees, each with a description of the violation.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[tuple[str, str]] = field(default_factory=list)
    _versions: dict[str, int] = field(default_factory=dict)

    def require(self, holds: bool, promise: str, seen: str) -> None:
        """Records a violation unless the condition holds."""
        if not holds:
            self.violations.append((promise, seen))

    def take(
        self, text: str, outcome: Outcome, on: int, services: frozenset[str], undisturbed: bool
    ) -> None:
        """Checks the outcome of a request.

        Args:
            text: Text of the request.
            outcome: Outcome of the request.
            on: Host of the flow before the request; 0 for none.
            services: Services that some configuration allows for the route.
            undisturbed: Whether no recent fault of the flow's host, an instance or the store allows
                a reset.
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
        """Checks a log line of an instance."""
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
