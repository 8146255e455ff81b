"""Tests of pearwell.soak.role_process."""

import signal

import pytest

from pearwell.soak import role_process as module
from pearwell.soak.role_process import RoleProcess
from pearwell.soak.start_schedule import Output

ABORT = "import os, sys; print('last words', file=sys.stderr); sys.stderr.flush(); os.abort()"


@pytest.mark.parametrize("output", [Output.READ, Output.CLOSED, Output.FULL_PIPE])
async def test_the_log_of_a_process_that_ends_by_itself_is_reported(output, tmp_path, monkeypatch):
    """One aborted in CI, and its log was gone with the directory of the test."""
    monkeypatch.setattr(module, "ROLE_ARGUMENTS", ["-S", "-c", ABORT])
    log = tmp_path / "process.log"
    process = RoleProcess("p", tmp_path / "none", log, lambda *_: None, output, 0.0)
    await process.start()
    assert await process.wait(60.0)
    fault = process.exit_fault
    assert f"status {-signal.SIGABRT}, not []" in fault
    assert "last words" in fault and "Fatal Python error: Aborted" in fault
    assert process.unexpected_exits == 1 and "last words" in process.exit_report


async def test_the_end_of_a_process_that_was_asked_to_end_is_no_fault(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "ROLE_ARGUMENTS", ["-S", "-c", "import time; time.sleep(600)"])
    process = RoleProcess(
        "p", tmp_path / "none", tmp_path / "log", lambda *_: None, Output.READ, 0.0
    )
    await process.start()
    process.send(signal.SIGKILL)
    assert await process.wait(60.0)
    assert process.exit_fault == ""
