"""Tests of pearwell.http_server."""

import errno
import socket

import pytest

from pearwell.http_server import ACCEPT_PAUSE_S, HttpServer
from pearwell.reactor import Reactor, bind_socket


class Listener:
    """A listening socket that accepts nothing while the process has no free descriptor."""

    def __init__(self, sock, failures):
        self._sock, self._failures = sock, failures
        self.attempts = 0

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def accept(self):
        self.attempts += 1
        if self.attempts <= self._failures:
            raise OSError(errno.EMFILE, "too many open files")
        return self._sock.accept()


def serve(listener, polls):
    """Serves connections to a listener for a number of polls, ten in a pause."""
    clock = [0.0]
    reactor = Reactor(lambda: clock[0], lambda error: None)
    left = iter(range(polls))

    def advance(now):
        clock[0] += ACCEPT_PAUSE_S / 10
        if next(left, None) is None:
            reactor.stop()

    async def respond(path):
        return 200, b"", {}

    HttpServer(reactor, listener, respond, {})
    reactor.run(lambda: clock[0], advance)


@pytest.mark.parametrize(("polls", "attempts"), [(5, 1), (20, 2), (50, 5)])
def test_a_server_without_free_descriptors_kept_the_processor_busy(polls, attempts):
    """A connection that can't be accepted is reported by each poll."""
    with bind_socket(socket.SOCK_STREAM, ("127.0.0.1", 0)) as sock:
        listener = Listener(sock, failures=polls)
        with socket.create_connection(sock.getsockname()):
            serve(listener, polls)
    assert abs(listener.attempts - attempts) <= 1


def test_a_server_accepts_again_once_descriptors_are_free():
    with bind_socket(socket.SOCK_STREAM, ("127.0.0.1", 0)) as sock:
        listener = Listener(sock, failures=1)
        with socket.create_connection(sock.getsockname()) as client:
            client.send(b"GET / HTTP/1.1\r\n\r\n")
            serve(listener, 20)
            assert listener.attempts == 2
            client.settimeout(1.0)
            assert client.recv(100).startswith(b"HTTP/1.1 200")


def test_a_handler_that_fails_closes_its_connection_only():
    failures = []
    reactor = Reactor(lambda: 0.0, failures.append)
    served = []

    async def respond(path):
        served.append(path)
        if path == "/2":
            reactor.stop()
            return 200, b"", {}
        raise KeyError(path)

    sock = bind_socket(socket.SOCK_STREAM, ("127.0.0.1", 0))
    HttpServer(reactor, sock, respond, {})
    with (
        socket.create_connection(sock.getsockname()) as first,
        socket.create_connection(sock.getsockname()) as second,
    ):
        first.send(b"GET /1 HTTP/1.1\r\n\r\n")
        second.send(b"GET /2 HTTP/1.1\r\n\r\n")
        reactor.run()
        first.settimeout(1.0)
        assert first.recv(100) == b""
    assert sorted(served) == ["/1", "/2"]
    assert [type(error) for error in failures] == [KeyError]
    sock.close()
