"""Tests of pearwell.platform.target_checks, with real sockets on the loopback interface."""

import socket
import time

import pytest

from pearwell.affinity.failing_targets import FAILING, RECOVERED, encode_notice
from pearwell.affinity.routes import Routes, RouteTable
from pearwell.affinity.service import Service
from pearwell.event_log import EventLog
from pearwell.http_server import HttpServer
from pearwell.platform.hint_socket import HintSocket
from pearwell.platform.target_checks import TargetChecks
from pearwell.reactor import Reactor, bind_socket
from tests.affinity.builders import target


class Decisions:
    """Stands for the decisions: one check is due; records what is reported."""

    watching = False

    def __init__(self, checked):
        self.checks = [checked]
        self.notices = []
        self.handled = []

    def take_checks(self, now):
        checks, self.checks = self.checks, []
        return checks

    def take_notices(self):
        notices, self.notices = self.notices, []
        return notices

    def take_released(self, now):
        return [b"packet"] if self.handled else []

    def handle_check(self, checked, serves, now):
        self.handled.append((checked.name, serves))

    def handle_notice(self, notice, now):
        self.handled.append(notice)


class Packets:
    """Stands for the packet socket; stops the reactor once packets are released."""

    def __init__(self, reactor):
        self.replayed = []
        self._reactor = reactor

    def replay(self, packets):
        self.replayed += packets
        if packets:
            self._reactor.stop()


def raise_error(error):
    raise error


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Setup:
    """Target checks on a reactor, with a target on the loopback interface."""

    def __init__(self, port, health_path="/health"):
        self.reactor = Reactor(time.monotonic, raise_error)
        checked = target(1)
        checked.address = ("127.0.0.1", port)
        routes = RouteTable()
        services = {"intake": Service("intake", health_path=health_path)}
        routes.apply(Routes(1, {}, services=services), 0.0)
        log = EventLog(lambda data: None, time.monotonic)
        self.hints = HintSocket(self.reactor, "127.0.0.1", None, [], log, lambda name: None)
        self.decisions = Decisions(checked)
        self.packets = Packets(self.reactor)
        self.checks = TargetChecks(
            self.reactor, self.decisions, routes, self.packets, self.hints, log
        )


@pytest.mark.parametrize(("status", "serves"), [(200, True), (503, False), (404, None)])
def test_the_status_of_a_health_check_decides(status, serves):
    port = free_port()
    setup = Setup(port)
    paths = []

    async def respond(path):
        paths.append(path)
        return status, b"", {}

    sock = bind_socket(socket.SOCK_STREAM, ("127.0.0.1", port))
    HttpServer(setup.reactor, sock, respond, {})
    setup.checks.run_due()
    setup.reactor.run()
    assert paths == ["/health"]
    assert setup.decisions.handled == [(target(1).name, serves)]
    assert setup.packets.replayed == [b"packet"]


def test_a_refused_health_check_tells_nothing():
    setup = Setup(free_port())
    setup.checks.run_due()
    setup.reactor.run()
    assert setup.decisions.handled == [(target(1).name, None)]


def test_a_service_without_a_health_check_is_not_checked():
    setup = Setup(free_port(), health_path=None)
    setup.checks.run_due()
    assert setup.decisions.handled == []


@pytest.mark.parametrize("kind", [FAILING, RECOVERED])
def test_a_notice_is_handled_and_other_datagrams_are_not(kind):
    setup = Setup(free_port())
    assert setup.hints.on_other(encode_notice((kind, "i-1"), False))
    assert setup.decisions.handled == [(kind, "i-1")]
    assert not setup.hints.on_other(b"pearwell-notice-1 x")
