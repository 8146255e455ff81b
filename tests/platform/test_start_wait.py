"""Tests of pearwell.platform.start_wait."""

import signal

import pytest

from pearwell.errors import Code, SettingsError
from pearwell.event_log import EventLog
from pearwell.platform import start_wait
from pearwell.platform.start_wait import REPORT_ATTEMPTS, wait_for_start, wait_for_stop

STARTED = object()


def attempts(monkeypatch, outcomes, stops=False):
    """Lets attempts end with errors or results in order, and returns the lines and the result."""
    error, *later = outcomes
    found = iter(later)

    def start(path):
        outcome = next(found)
        if isinstance(outcome, SettingsError):
            raise outcome
        return outcome

    lines = []

    def write(data):
        lines.extend(data.decode().splitlines())
        return len(data)

    monkeypatch.setattr(start_wait, "Startup", start)
    monkeypatch.setattr(start_wait, "wait_for_stop", lambda timeout_s: stops)
    return lines, wait_for_start("node.conf", error, EventLog(write, lambda: 0.0))


IN_USE = SettingsError(Code.SETTINGS_PORT_IN_USE, "UDP 127.0.0.1:1")
MISSING = SettingsError(Code.SETTINGS_MISSING_KEY, "Zone")


@pytest.mark.parametrize(
    ("outcomes", "codes"),
    [
        ([IN_USE, STARTED], [106]),
        ([IN_USE, IN_USE, STARTED], [106]),
        ([MISSING, IN_USE, STARTED], [108, 106]),
        ([IN_USE] * (REPORT_ATTEMPTS - 1) + [STARTED], [106]),
        ([IN_USE] * REPORT_ATTEMPTS + [STARTED], [106, 106]),
    ],
)
def test_each_reason_for_waiting_is_logged_once_in_a_while(outcomes, codes, monkeypatch):
    lines, result = attempts(monkeypatch, outcomes)
    assert result is STARTED
    assert len(lines) == len(codes)
    assert all(f"code={code}" in line for line, code in zip(lines, codes, strict=True))


def test_a_start_without_a_path_ends(monkeypatch):
    """It can't succeed, however long it waits."""
    monkeypatch.setattr(start_wait, "wait_for_stop", lambda timeout_s: True)
    with pytest.raises(SystemExit) as caught:
        wait_for_start("", MISSING, EventLog(len, lambda: 0.0))
    assert caught.value.code == 2


def test_a_request_to_stop_ends_the_wait(monkeypatch):
    assert attempts(monkeypatch, [IN_USE], stops=True)[1] is None


@pytest.mark.parametrize(
    ("number", "stops"),
    [(signal.SIGTERM, True), (signal.SIGINT, True), (signal.SIGHUP, False), (None, False)],
)
def test_a_signal_that_is_pending_decides(number, stops):
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    try:
        if number is not None:
            signal.raise_signal(number)
        assert wait_for_stop(0.01) == stops
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
