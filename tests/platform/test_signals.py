"""Tests of pearwell.platform.signals."""

import signal

import pytest

from pearwell.platform.signals import SIGNALS, watch_signals
from pearwell.reactor import Reactor


@pytest.fixture
def restored_handlers():
    before = {number: signal.getsignal(number) for number in SIGNALS}
    wakeup_fd = signal.set_wakeup_fd(-1)
    yield
    signal.set_wakeup_fd(wakeup_fd)
    for number, handler in before.items():
        signal.signal(number, handler)


def run(reactor):
    """Runs a reactor until it stops, for a bounded number of rounds."""
    rounds = iter(range(100))

    def count(now):
        if next(rounds, None) is None:
            reactor.stop()

    reactor.run(lambda: 0.0, count)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_reload_that_fails_dropped_the_request_to_stop(number, restored_handlers):
    failures, stops = [], []
    reactor = Reactor(lambda: 0.0, failures.append)

    def stop(received):
        stops.append(received)
        reactor.stop()

    def reload():
        raise KeyError("unforeseen")

    sockets = watch_signals(reactor, stop, reload)
    signal.raise_signal(signal.SIGHUP)
    signal.raise_signal(number)
    run(reactor)
    assert stops == [number]
    assert len(failures) == 1
    signal.set_wakeup_fd(-1)
    for sock in sockets:
        sock.close()


def test_signals_that_were_pending_are_handled(restored_handlers):
    reactor = Reactor(lambda: 0.0, lambda error: None)
    before = signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    reloads = []

    def reload():
        reloads.append(True)
        reactor.stop()

    try:
        signal.raise_signal(signal.SIGHUP)
        sockets = watch_signals(reactor, lambda number: None, reload)
        run(reactor)
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
    assert reloads == [True]
    signal.set_wakeup_fd(-1)
    for sock in sockets:
        sock.close()
