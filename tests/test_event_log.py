"""Tests of pearwell.event_log."""

from pearwell.event_log import FLOW_LINE_BURST, MAX_PENDING_BYTES, EventLog


class Output:
    """A pipe with room for a given number of bytes."""

    def __init__(self, room):
        self.room = room
        self.data = b""

    def write(self, data):
        if not self.room:
            raise BlockingIOError
        taken = data[: self.room]
        self.room -= len(taken)
        self.data += taken
        return len(taken)


def make(room=1 << 30):
    output, clock = Output(room), [0.0]
    return EventLog(output.write, lambda: clock[0], instance="e-1"), output, clock


def test_a_line_quotes_and_escapes_its_fields():
    log, output, _ = make()
    log.event("store_lost", code=402, detail='no "answer"\nin time', kind="servers", empty="")
    log.flush()
    assert output.data.decode() == (
        "t=0.000 event=store_lost instance=e-1 code=402 "
        'detail="no \\"answer\\"\\nin time" kind=servers empty=""\n'
    )


def test_text_that_is_no_unicode_ends_no_process():
    """A lone surrogate in an entry of another writer ended all instances."""
    log, output, _ = make()
    log.event("target_listed", service="\udcff")
    log.flush()
    assert output.data.endswith(b"service=\\udcff\n")


def test_flow_keys_are_logged_as_addresses():
    log, output, _ = make()
    log.flow("flow_started", flow=bytes.fromhex("9c416440000701bbc6120001"))
    log.flush()
    assert b"flow=100.64.0.7:40001>198.18.0.1:443" in output.data


def test_flow_lines_are_rate_limited_and_dropped_lines_counted():
    log, output, clock = make()
    for _ in range(1000):
        log.flow("flow_started")
    log.event("ready")
    clock[0] += 1.0
    log.flow("flow_started")
    log.flush()
    lines = output.data.decode().splitlines()
    assert len(lines) == FLOW_LINE_BURST + 2
    assert lines[-2].endswith(f"left_out={1000 - int(FLOW_LINE_BURST)}")
    assert "left_out" not in lines[-1]


def test_a_stalled_reader_does_not_block_the_log():
    log, output, _ = make(room=100)
    for number in range(10_000):
        log.event("target_listed", number=number)
    assert len(output.data) == 100
    assert log.dropped_lines > 0
    output.room = 1 << 30
    log.flush()
    log.event("ready")
    log.flush()
    assert len(output.data) <= 100 + MAX_PENDING_BYTES + 200
    lines = output.data.decode().splitlines()
    assert " left_out=" in lines[-1]
    assert all(line.startswith("t=") for line in lines)
