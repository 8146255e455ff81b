"""Waits at the start of an instance until its settings are valid and its addresses are free.

Both may be wrong for a moment: the platform is writing the settings, a predecessor still holds the
addresses. A process that ended for it would be started, and end, again and again.
"""

import signal

from pearwell.errors import SettingsError
from pearwell.event_log import EventLog
from pearwell.platform.signals import SIGNALS, STOP_SIGNALS
from pearwell.platform.startup import Startup

__all__ = ["wait_for_start", "wait_for_stop"]

RETRY_INTERVAL_S = 0.1
# Number of attempts after which the reason for waiting is logged again.
REPORT_ATTEMPTS = 50


def wait_for_start(path: str, error: SettingsError, log: EventLog) -> Startup | None:
    """Repeats the start of an instance until it succeeds.

    Args:
        path: Path of the settings file.
        error: Why the first attempt failed.
        log: Event log.

    Returns:
        What the instance starts with; None if the process is to stop first.

    Raises:
        SystemExit: With status 2 if there is no path.
    """
    if not path:
        # No attempt can succeed, as the environment of a process doesn't change.
        log.event("start_failed", code=int(error.code), detail="no path of a settings file")
        log.flush()
        raise SystemExit(2)
    attempts, reported = 1, ""
    while True:
        if str(error) != reported or attempts % REPORT_ATTEMPTS == 0:
            reported = str(error)
            log.event("start_waiting", code=int(error.code), detail=error.detail, attempts=attempts)
            log.flush()
        if wait_for_stop(RETRY_INTERVAL_S):
            return None
        try:
            return Startup(path)
        except SettingsError as failure:
            error = failure
        attempts += 1


def wait_for_stop(timeout_s: float) -> bool:
    """Waits for a signal during the start, while signals are blocked.

    Returns:
        Whether the process is to stop. False at once if the settings have changed, else after the
        timeout in seconds.
    """
    received = signal.sigtimedwait(SIGNALS, timeout_s)
    return received is not None and received.si_signo in STOP_SIGNALS
