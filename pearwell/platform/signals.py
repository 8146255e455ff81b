"""Signal handling: the reactor reads the signal numbers from a socket."""

import signal
import socket
from collections.abc import Callable

from pearwell.reactor import Reactor

__all__ = ["watch_signals"]


def watch_signals(
    reactor: Reactor, on_stop: Callable[[int], None], on_hangup: Callable[[], None]
) -> tuple[socket.socket, socket.socket]:
    """Registers callbacks for signals.

    Args:
        reactor: Event loop.
        on_stop: Called with the number of a signal that requests a stop.
        on_hangup: Called when the settings file is to be reloaded.

    Returns:
        The sockets that carry the signal numbers; the caller keeps them open.
    """
    inner, outer = socket.socketpair()
    inner.setblocking(False)
    outer.setblocking(False)

    def read() -> None:
        for number in inner.recv(64):
            if number == signal.SIGHUP:
                on_hangup()
            else:
                on_stop(number)

    signal.set_wakeup_fd(outer.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        signal.signal(number, lambda *_: None)
    reactor.add_reader(inner, read)
    return inner, outer
