"""Guarantees that a soak checks against the outcomes of requests and the logs of processes."""

import re
from collections import Counter
from dataclasses import dataclass, field

from pearwell.standins.token_client import Outcome

__all__ = ["UNTIMED_GUARANTEES", "Checker", "Guarantee"]

_APPLIED = re.compile(r"event=configuration_applied .*version=(\d+) in_force=(\d+)")
_STARTED = re.compile(r"event=start ")
_FAILED = re.compile(r"event=task_failed|Traceback")


class Guarantee:
    """Names of the guarantees."""

    ONE_HOST = "one_host_per_flow"
    OWN_SERVICE = "own_service"
    OWN_RESPONSE = "own_answer"
    NO_RESET = "no_reset_of_a_live_flow"
    DRAIN = "no_new_flow_on_a_leaving_host"
    EVACUATION = "no_new_flow_in_an_evacuated_zone"
    WARMUP = "few_new_flows_on_a_cold_host"
    VERSIONS = "versions_only_rise"
    NO_UNEXPECTED_EXIT = "no_process_ends_by_itself"
    CONFIGURATION = "latest_configuration_in_force"
    RECOVERY = "all_clients_served_after_the_faults"
    READINESS = "all_instances_ready_after_the_trouble"
    STOP = "a_stopped_process_ends_within_the_grace_time"


# Guarantees without a time limit, which hold on a machine under any load.
UNTIMED_GUARANTEES = frozenset(
    {
        Guarantee.ONE_HOST,
        Guarantee.OWN_SERVICE,
        Guarantee.OWN_RESPONSE,
        Guarantee.VERSIONS,
        Guarantee.NO_UNEXPECTED_EXIT,
    }
)


@dataclass(slots=True)
class Checker:
    """Counts outcomes and records violations.

    Attributes:
        outcomes: Number of outcomes by status.
        violations: Violated guarantees, each with a description of the violation.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[tuple[str, str]] = field(default_factory=list)
    _versions: dict[str, int] = field(default_factory=dict)

    def require(self, condition: bool, guarantee: str, description: str) -> None:
        """Records a violation unless the condition holds."""
        if not condition:
            self.violations.append((guarantee, description))

    def check_outcome(
        self,
        text: str,
        outcome: Outcome,
        flow_host: int,
        services: frozenset[str],
        unaffected: bool,
    ) -> None:
        """Checks the outcome of a request.

        Args:
            text: Text of the request.
            outcome: Outcome of the request.
            flow_host: Host of the flow before the request; 0 for none.
            services: Services that some configuration allows for the route.
            unaffected: Whether no recent fault of the flow's host, an instance or the store allows
                a reset.
        """
        self.outcomes[outcome.status] += 1
        if outcome.status == "ok":
            self.require(
                flow_host in (0, outcome.host),
                Guarantee.ONE_HOST,
                f"{text}: {flow_host}, then {outcome.host}",
            )
            self.require(
                outcome.service in services, Guarantee.OWN_SERVICE, f"{text}: {outcome.service}"
            )
            self.require(
                outcome.request == text, Guarantee.OWN_RESPONSE, f"{text}: {outcome.request}"
            )
        if outcome.status == "reset" and outcome.opened and flow_host:
            self.require(not unaffected, Guarantee.NO_RESET, f"{text}: on host {flow_host}")

    def outdated(self, version: int) -> list[str]:
        """Returns the instances at which a version of the configuration is not in force."""
        return [name for name, applied in sorted(self._versions.items()) if applied != version]

    def check_log_line(self, instance: str, line: str) -> None:
        """Checks a log line of an instance."""
        if _STARTED.search(line):
            self._versions[instance] = -1
        self.require(not _FAILED.search(line), Guarantee.NO_UNEXPECTED_EXIT, f"{instance}: {line}")
        applied = _APPLIED.search(line)
        if applied:
            version = int(applied[2])
            previous = self._versions.get(instance, -1)
            self.require(
                version > previous, Guarantee.VERSIONS, f"{instance}: {version} after {previous}"
            )
            self._versions[instance] = version
