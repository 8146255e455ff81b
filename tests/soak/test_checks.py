"""Tests of pearwell.soak.checks: a violation of each guarantee is detected."""

import pytest

from pearwell.soak.checks import Checks, Promise
from pearwell.standins.token_client import Outcome

OK = Outcome("ok", True, 3, "intake", "r")
APPLIED = "t=1.0 event=configuration_applied instance=e version={0} in_force={0} routes=2"


@pytest.mark.parametrize(
    ("outcome", "on", "undisturbed", "broken"),
    [
        (OK, 3, True, []),
        (OK, 0, True, []),
        (OK, 4, True, [Promise.ONE_HOST]),
        (Outcome("ok", True, 3, "tables", "r"), 3, True, [Promise.OWN_SERVICE]),
        (Outcome("ok", True, 3, "intake", "other"), 3, True, [Promise.OWN_ANSWER]),
        (Outcome("reset", True, 3), 3, True, [Promise.NO_RESET]),
        (Outcome("reset", True, 3), 3, False, []),
        (Outcome("reset", False), 0, True, []),
        (Outcome("timeout", True, 3), 3, True, []),
    ],
)
def test_outcomes(outcome, on, undisturbed, broken):
    checks = Checks()
    checks.take("r", outcome, on, frozenset({"intake"}), undisturbed)
    assert [promise for promise, _ in checks.violations] == broken


@pytest.mark.parametrize(
    ("lines", "broken"),
    [
        ([APPLIED.format(1), APPLIED.format(4)], []),
        ([APPLIED.format(4), APPLIED.format(3)], [Promise.VERSIONS]),
        ([APPLIED.format(4), "t=2.0 event=start instance=e", APPLIED.format(3)], []),
        (["t=2.0 event=task_failed error=x"], [Promise.NO_OWN_END]),
        (["Traceback (most recent call last):"], [Promise.NO_OWN_END]),
    ],
)
def test_lines_of_an_instance(lines, broken):
    checks = Checks()
    for line in lines:
        checks.take_line("e", line)
    assert [promise for promise, _ in checks.violations] == broken
