"""Tests of pearwell.platform.target_probes."""

import errno
import socket
import time

import pytest

from pearwell.platform.target_probes import TargetProbes
from pearwell.reactor import Reactor
from tests.affinity.builders import target


class Health:
    """Records the results of probes."""

    def __init__(self):
        self.results = []

    def handle_slow_probe(self, probed, now):
        pass

    def handle_failed_probe(self, probed, error):
        self.results.append(getattr(error, "errno", None))

    def handle_probe_result(self, probed, answered, refused, now):
        self.results.append((answered, refused))

    def take_hints(self):
        return []


class Packets:
    def send_resets(self):
        pass


class Hints:
    def send_hints(self, names):
        pass


def probe(address):
    """Returns what a probe of an address results in."""

    def fail(error):
        raise error

    reactor, health = Reactor(time.monotonic, fail), Health()
    probed = target(1)
    probed.address = address

    async def run():
        await TargetProbes(reactor, health, Packets(), Hints()).probe(probed)
        reactor.stop()

    reactor.spawn(run())
    reactor.run()
    [result] = health.results
    return result


@pytest.mark.parametrize("listens", [True, False])
def test_a_connection_that_is_accepted_or_refused_tells(listens):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        if listens:
            sock.listen()
        assert probe(sock.getsockname()) == (listens, not listens)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL])
def test_a_probe_that_could_not_be_made_ended_the_process(number, monkeypatch):
    def fail(*_):
        raise OSError(number, "no resources")

    monkeypatch.setattr("pearwell.platform.target_probes.socket.socket", fail)
    assert probe(("127.0.0.1", 9)) == number


def test_a_target_whose_probe_failed_was_never_probed_again(monkeypatch):
    async def fail(*_):
        raise KeyError("unforeseen")

    monkeypatch.setattr("pearwell.platform.target_probes.connect", fail)
    health = Health()
    probing = TargetProbes(Reactor(time.monotonic, lambda error: None), health, Packets(), Hints())
    with pytest.raises(KeyError):
        probing.probe(target(1)).send(None)
    assert len(health.results) == 1


def test_an_unreachable_target_has_not_refused(monkeypatch):
    async def unreachable(*_):
        raise OSError(errno.EHOSTUNREACH, "no route to host")

    monkeypatch.setattr("pearwell.platform.target_probes.connect", unreachable)
    assert probe(("127.0.0.1", 9)) == (False, False)
