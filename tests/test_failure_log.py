"""Tests of pearwell.failure_log."""

import pytest

from pearwell.failure_log import MAX_CALLS, MAX_TEXT_CHARS, FailureLog


def fail(text, depth=0):
    if depth:
        fail(text, depth - 1)
    raise ValueError(text)


def failure(text="broken", depth=0):
    with pytest.raises(ValueError, match=text) as caught:
        fail(text, depth)
    return caught.value


def test_a_line_names_the_innermost_calls():
    lines = []
    FailureLog(lambda event, **fields: lines.append((event, fields))).record(failure(depth=9))
    [(event, fields)] = lines
    assert event == "task_failed"
    calls = fields["at"].split("<")
    assert len(calls) == MAX_CALLS
    assert all(call.startswith("test_failure_log.py:") for call in calls)
    assert fields["error"] == "ValueError('broken')"


def test_a_place_that_fails_again_and_again_is_logged_ever_more_rarely():
    counts = []
    log = FailureLog(lambda event, **fields: counts.append(fields["count"]))
    for _ in range(100):
        log.record(failure())
    assert counts == [1, 2, 4, 8, 16, 32, 64]
    log.record(failure(depth=1))
    assert counts[-1] == 1
    assert log.total == 101


def test_a_long_text_is_cut():
    texts = []
    log = FailureLog(lambda event, **fields: texts.append(fields["error"]))
    log.record(failure("x" * 1000))
    assert [len(text) for text in texts] == [MAX_TEXT_CHARS]


def test_an_exception_without_a_traceback_is_recorded():
    log = FailureLog(lambda event, **fields: None)
    log.record(ValueError("never raised"))
    assert log.total == 1
