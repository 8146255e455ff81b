"""Tests of pearwell.soak.checks: a violation of each guarantee is detected."""

import pytest

from pearwell.soak.checks import Checker, Guarantee
from pearwell.standins.token_client import Outcome

OK = Outcome("ok", True, 3, "intake", "r")
APPLIED = "t=1.0 event=configuration_applied instance=e version={0} in_force={0} routes=2"


@pytest.mark.parametrize(
    ("outcome", "flow_host", "unaffected", "violated"),
    [
        (OK, 3, True, []),
        (OK, 0, True, []),
        (OK, 4, True, [Guarantee.ONE_HOST]),
        (Outcome("ok", True, 3, "tables", "r"), 3, True, [Guarantee.OWN_SERVICE]),
        (Outcome("ok", True, 3, "intake", "other"), 3, True, [Guarantee.OWN_RESPONSE]),
        (Outcome("reset", True, 3), 3, True, [Guarantee.NO_RESET]),
        (Outcome("reset", True, 3), 3, False, []),
        (Outcome("reset", False), 0, True, []),
        (Outcome("timeout", True, 3), 3, True, []),
    ],
)
def test_an_outcome_violates_the_expected_guarantees(outcome, flow_host, unaffected, violated):
    checker = Checker()
    checker.check_outcome("r", outcome, flow_host, frozenset({"intake"}), unaffected)
    assert [guarantee for guarantee, _ in checker.violations] == violated


def test_instances_without_the_latest_configuration_are_outdated():
    checker = Checker()
    checker.check_log_line("a", APPLIED.format(4))
    checker.check_log_line("b", APPLIED.format(3))
    checker.check_log_line("c", APPLIED.format(4))
    checker.check_log_line("c", "t=2.0 event=start instance=c")
    assert checker.outdated(4) == ["b", "c"]


@pytest.mark.parametrize(
    ("lines", "violated"),
    [
        ([APPLIED.format(1), APPLIED.format(4)], []),
        ([APPLIED.format(4), APPLIED.format(3)], [Guarantee.VERSIONS]),
        ([APPLIED.format(4), "t=2.0 event=start instance=e", APPLIED.format(3)], []),
        (["t=2.0 event=task_failed error=x"], [Guarantee.NO_UNEXPECTED_EXIT]),
        (["Traceback (most recent call last):"], [Guarantee.NO_UNEXPECTED_EXIT]),
    ],
)
def test_log_lines_violate_the_expected_guarantees(lines, violated):
    checker = Checker()
    for line in lines:
        checker.check_log_line("e", line)
    assert [guarantee for guarantee, _ in checker.violations] == violated
