"""Signal handling: the reactor reads the signal numbers from a socket.

deploy/edge.py blocks the signals in its first lines, as they would end a process that doesn't
handle them yet. They stay pending until the process waits for them or handles them.
"""

import signal
import socket
from collections.abc import Callable

from pearwell.reactor import Reactor

__all__ = ["SIGNALS", "STOP_SIGNALS", "watch_signals"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


def watch_signals(
    reactor: Reactor, on_stop: Callable[[int], None], on_hangup: Callable[[], None]
) -> tuple[socket.socket, socket.socket]:
    """Registers callbacks for signals.

    Args:
        reactor: Event loop.
        on_stop: Called with the number of a signal that requests a stop.
        on_hangup: Called when the settings file is to be reloaded.

    Returns:
        The sockets that carry the signal numbers.
    """
    inner, outer = socket.socketpair()
    inner.setblocking(False)
    outer.setblocking(False)

    def read() -> None:
        # A request to stop first: a reload may fail.
        for number in sorted({*inner.recv(64)}, reverse=True):
            if number == signal.SIGHUP:
                on_hangup()
            else:
                on_stop(number)

    signal.set_wakeup_fd(outer.fileno(), warn_on_full_buffer=False)
    for number in SIGNALS:
        # The reference keeps the sockets open until the interpreter removes the handlers.
        signal.signal(number, lambda *_: outer and inner)
    reactor.add_reader(inner, read)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    return inner, outer
