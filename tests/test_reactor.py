"""Tests of pearwell.reactor."""

import errno
import socket
import time
from itertools import pairwise

import pytest

from pearwell.errors import Code, SettingsError
from pearwell.reactor import (
    MAX_WAIT_S,
    MIN_PAUSE_S,
    RESTART_DELAY_S,
    Reactor,
    Trigger,
    bind_socket,
    boot_time,
)


class SteppingClock:
    """A clock that advances by a millisecond with each reading."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        self.time += 0.001
        return self.time


@pytest.fixture
def reactor():
    def fail(error):
        raise error

    return Reactor(SteppingClock().now, fail)


def pair():
    one, other = socket.socketpair()
    one.setblocking(False)
    return one, other


def test_sleeps_end_in_order(reactor):
    ended = []

    async def sleeper(seconds):
        await reactor.sleep(seconds)
        ended.append(seconds)
        if len(ended) == 3:
            reactor.stop()

    for seconds in (0.03, 0.01, 0.02):
        reactor.spawn(sleeper(seconds))
    reactor.run()
    assert ended == [0.01, 0.02, 0.03]


@pytest.mark.parametrize(("sends", "expected"), [(True, True), (False, False)])
def test_a_wait_ends_on_readiness_or_timeout(reactor, sends, expected):
    one, other = pair()
    seen = []

    async def reader():
        seen.append(await reactor.readable(one, 0.05))
        seen.append(await reactor.writable(one, 0.05))
        reactor.stop()

    reactor.spawn(reader())
    if sends:
        other.send(b"x")
    reactor.run()
    assert seen == [expected, True]


def test_a_trigger_resumes_waiting_coroutines(reactor):
    trigger, seen = Trigger(reactor), []

    async def waiter(timeout_s):
        seen.append(await trigger.wait(timeout_s))

    async def firer():
        await reactor.sleep(0.05)
        trigger.fire()
        trigger.fire()
        reactor.stop()

    reactor.spawn(waiter(0.01))
    reactor.spawn(waiter(5.0))
    reactor.spawn(firer())
    reactor.run()
    assert seen == [False, True]


def test_readers_run_before_due_work(reactor):
    one, other = pair()
    order = []

    def read():
        order.append(one.recv(10))

    reactor.add_reader(one, read)
    other.send(b"packet")

    def due(now):
        order.append("due")
        reactor.stop()

    reactor.run(lambda: 0.0, due)
    assert order == [b"packet", "due"]


def test_an_exception_of_a_task_is_reported():
    seen = []
    reactor = Reactor(SteppingClock().now, seen.append)

    async def broken():
        raise ValueError("broken")

    reactor.spawn(broken())
    assert [str(error) for error in seen] == ["broken"]


@pytest.mark.parametrize("place", ["reader", "due", "pause", "coroutine"])
def test_an_exception_of_a_callback_ended_the_loop(place):
    """All others go on."""
    seen, rounds = [], []

    def fail_at(here):
        if here == place:
            raise ValueError(here)

    reactor = Reactor(SteppingClock().now, seen.append, lambda pause_s: fail_at("pause"))
    one, other = pair()

    def read():
        one.recv(10)
        fail_at("reader")

    def due(now):
        fail_at("due")

    async def task():
        fail_at("coroutine")
        await reactor.sleep(0.01)

    async def last():
        for _ in range(3):
            await reactor.sleep(0.01)
            rounds.append(place)
        reactor.stop()

    reactor.add_reader(one, read)
    other.send(b"packet")
    reactor.spawn(task())
    reactor.spawn(last())
    reactor._polled_at = -60.0
    reactor.run(lambda: 0.0, due)
    assert len(rounds) == 3
    assert {str(error) for error in seen} == {place}


def test_a_coroutine_that_is_kept_running_starts_again_after_a_failure(reactor):
    starts, seen = [], []
    reactor._on_error = seen.append

    async def task():
        starts.append(reactor.now())
        await reactor.sleep(0.01)
        if len(starts) < 3:
            raise ValueError("broken")
        reactor.stop()

    reactor.keep_running(task)
    reactor.run()
    gaps = [after - before for before, after in pairwise(starts)]
    assert len(seen) == 2
    assert min(gaps) >= RESTART_DELAY_S


@pytest.mark.parametrize("makes_unwatchable", ["closed", "watched"])
def test_a_socket_that_cannot_be_watched_fails_in_its_coroutine(reactor, makes_unwatchable):
    """It ended the loop; the coroutine can close what it holds."""
    one, _ = pair()
    ended = []

    async def waiter():
        await reactor.readable(one, 0.02)

    async def failing():
        try:
            await reactor.readable(one, 0.01)
        except (OSError, ValueError):
            ended.append(makes_unwatchable)
        await reactor.sleep(0.05)
        reactor.stop()

    if makes_unwatchable == "closed":
        one.close()
    else:
        reactor.spawn(waiter())
    reactor.spawn(failing())
    reactor.run()
    assert ended == [makes_unwatchable]


def test_a_removed_reader_is_not_called(reactor):
    one, other = pair()
    reactor.add_reader(one, lambda: pytest.fail("called"))
    reactor.remove_reader(one)
    other.send(b"packet")

    async def wait():
        await reactor.sleep(0.01)
        reactor.stop()

    reactor.spawn(wait())
    reactor.run()
    assert one.recv(10) == b"packet"


def test_closing_a_socket_does_not_affect_its_coroutine(reactor):
    one, _ = pair()
    seen = []

    async def closer():
        await reactor.readable(one, 0.01)
        one.close()
        seen.append(await reactor.sleep(0.01))
        reactor.stop()

    reactor.spawn(closer())
    reactor.run()
    assert seen == [False]


def test_a_pause_of_the_process_is_reported_before_sockets_are_read():
    order = []
    # Clock readings: for the sleeper's deadline, before the first poll, and 5 s later after it.
    readings = [0.0, 0.0, 5.0]
    reactor = Reactor(
        lambda: readings.pop(0) if len(readings) > 1 else readings[0],
        order.append,
        on_pause=lambda late_s: order.append(round(late_s)),
    )
    one, other = pair()
    reactor.add_reader(one, lambda: (order.append(one.recv(9)), reactor.stop()))

    async def sleeper():
        await reactor.sleep(0.01)

    other.send(b"packet")
    reactor.spawn(sleeper())
    reactor.run()
    assert order == [5, b"packet"]


class FakePoll:
    """An epoll object whose polls take given times on a clock; stops the reactor with the last."""

    def __init__(self, reactor, clock, polls):
        self.reactor, self.clock, self.polls, self.timeouts = reactor, clock, polls, []

    def poll(self, timeout):
        self.timeouts.append(timeout)
        self.clock[0] += self.polls.pop(0)
        if not self.polls:
            self.reactor.stop()
        return []


@pytest.mark.parametrize(
    ("waited_s", "paused"),
    [(0.0, False), (MAX_WAIT_S, False), (MIN_PAUSE_S - 0.01, False), (MIN_PAUSE_S + 0.01, True)],
)
@pytest.mark.parametrize("timer_s", [0.01, 0.09, 60.0, None])
def test_a_pause_is_noticed_whenever_the_next_timer_is_due(waited_s, paused, timer_s):
    """A freeze that was shorter than the wait for the next timer let stale SYNs pass."""
    clock, pauses = [0.0], []
    reactor = Reactor(lambda: clock[0], lambda error: None, pauses.append)
    fake = reactor._epoll = FakePoll(reactor, clock, [0.0, waited_s])
    if timer_s is not None:
        reactor.spawn(sleep_once(reactor, timer_s))
    reactor.run()
    assert bool(pauses) == paused
    assert all(timeout <= MAX_WAIT_S for timeout in fake.timeouts)


def test_a_pause_between_two_polls_is_noticed():
    """What arrived while callbacks stood still is read after a poll that doesn't wait."""
    clock, pauses = [0.0], []
    reactor = Reactor(lambda: clock[0], lambda error: None, pauses.append)
    reactor._epoll = FakePoll(reactor, clock, [0.0, 0.0, 0.0])
    due = iter((None, None, None, 0.0, None, None, None, None))
    reactor.run(lambda: next(due, None), lambda now: clock.__setitem__(0, clock[0] + 5.0))
    assert pauses == [5.0]


def test_handling_the_backlog_of_a_pause_is_no_further_pause():
    """A busy instance would else drop SYNs again and again."""
    clock, pauses = [0.0], []

    def handle_backlog(pause_s):
        pauses.append(pause_s)
        clock[0] += 0.5

    reactor = Reactor(lambda: clock[0], lambda error: None, handle_backlog)
    reactor._epoll = FakePoll(reactor, clock, [0.0, 1.0, 0.05, 0.1])
    reactor.run()
    assert pauses == [1.0]


def test_the_boot_time_counts_with_the_steady_clock():
    """A machine that is suspended stops the steady clock, but not this one."""
    assert boot_time() >= time.monotonic() - 0.001


async def sleep_once(reactor, seconds):
    await reactor.sleep(seconds)


@pytest.mark.parametrize("kind", [socket.SOCK_DGRAM, socket.SOCK_STREAM])
@pytest.mark.parametrize(
    ("ip", "code"),
    [
        ("127.0.0.1", Code.SETTINGS_PORT_IN_USE),
        ("192.0.2.1", Code.SETTINGS_INVALID_VALUE),
    ],
)
def test_bind_errors_have_a_code(kind, ip, code):
    with bind_socket(kind, ("127.0.0.1", 0)) as held:
        if kind == socket.SOCK_STREAM:
            held.listen()
        with pytest.raises(SettingsError) as caught:
            bind_socket(kind, (ip, held.getsockname()[1]))
    assert caught.value.code is code


@pytest.mark.parametrize("port", [-1, 65_536, 77_200])
def test_a_port_out_of_range_has_a_code(port):
    with pytest.raises(SettingsError) as caught:
        bind_socket(socket.SOCK_DGRAM, ("127.0.0.1", port))
    assert caught.value.code is Code.SETTINGS_INVALID_VALUE


def test_a_socket_without_a_free_descriptor_has_a_code(monkeypatch):
    def fail(*_):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr("pearwell.reactor.socket.socket", fail)
    with pytest.raises(SettingsError) as caught:
        bind_socket(socket.SOCK_DGRAM, ("127.0.0.1", 0))
    assert caught.value.code is Code.SETTINGS_INVALID_VALUE
