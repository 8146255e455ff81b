"""Tests of pearwell.platform.packet_socket on loopback, with the clock of the director's tests."""

import socket

import pytest

from pearwell.affinity.token import NO_TOKEN
from pearwell.event_log import EventLog
from pearwell.histogram import Histogram
from pearwell.platform import packet_socket as module
from pearwell.platform.packet_socket import PacketSocket
from pearwell.reactor import Reactor, bind_socket
from pearwell.standins.token_packet import ACK, SYN, TokenPacket, flow_address
from tests.addresses import loopback_address
from tests.affinity.builders import DirectorHarness, target

PORT, HOST_PORT = 20826, 8000
IP, HOST_IP, CLIENT_IP = (loopback_address(number) for number in (11, 12, 13))
ROUTE = flow_address("198.18.0.1", 443)


@pytest.fixture
def host():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((HOST_IP, HOST_PORT))
        sock.settimeout(0.05)
        yield sock


@pytest.fixture
def packets():
    harness = DirectorHarness(target(1, ip=HOST_IP))
    reactor = Reactor(lambda: harness.now, lambda error: None)
    log = EventLog(lambda data: len(data), lambda: harness.now)
    times = Histogram("packet_seconds", ())
    sock = bind_socket(socket.SOCK_DGRAM, (IP, PORT))
    found = PacketSocket(reactor, sock, PORT, harness.director, log, times, lambda: None)
    found.start()
    yield found
    found.close()


def test_packets_queue_until_the_start(host, packets):
    """A pause during the start lost the packets of open flows that had queued."""
    packets._started = False
    send(40_001, SYN, 0)
    packets.catch_up(0.1)
    assert received(host) == []
    packets._started = True
    packets.catch_up(0.1)
    assert received(host) == [0]


def test_a_packet_that_fails_at_the_start_left_the_socket_unread(host, packets, monkeypatch):
    """The instance was ready and forwarded nothing."""

    def fail(data, now):
        raise KeyError(data)

    packets._reactor.remove_reader(packets._sock)
    with monkeypatch.context() as context, pytest.raises(KeyError):
        context.setattr(packets, "_handle", fail)
        send(40_002, SYN, 0)
        packets.start()
    send(40_003, SYN, 0)

    async def wait():
        await packets._reactor.sleep(0.0)
        packets._reactor.stop()

    packets._reactor.spawn(wait())
    packets._reactor.run()
    assert received(host) == [0]


def send(port, flags, ack):
    """Sends a client's packet to the instance; SYNs count their copies in `ack`."""
    local = flow_address(CLIENT_IP, port)
    token = NO_TOKEN if flags & SYN else target(1).token
    packet = TokenPacket(local, ROUTE, flags, 1000, ack, token)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(packet.encode(), (IP, PORT))


def received(host):
    """Returns the numbers of copies of the SYNs that reached the host."""
    found = []
    while True:
        try:
            found.append(TokenPacket.decode(host.recv(2048)[8:]).ack)
        except TimeoutError:
            return found


@pytest.mark.parametrize(
    ("waited_s", "forwarded"),
    [(0.1, [0, 1, 2]), (0.3, [1, 2]), (0.7, [2]), (0.9, []), (5.0, [])],
)
def test_only_syns_younger_than_the_next_transmission_are_forwarded(
    host, packets, waited_s, forwarded
):
    """An instance that woke forwarded SYNs of flows that had opened through another one."""
    for copy in range(3):
        send(40_000 + copy, SYN, copy)
    packets.catch_up(waited_s)
    assert received(host) == forwarded


@pytest.mark.parametrize(("waited_s", "count"), [(0.9, 1), (1.1, 0)])
def test_packets_of_open_flows_pass_for_a_second(host, packets, waited_s, count):
    send(40_001, SYN, 0)
    packets.catch_up(0.0)
    send(40_001, ACK, 501)
    packets.catch_up(waited_s)
    assert len(received(host)) == 1 + count


def test_catching_up_ends_under_a_steady_load(host, packets, monkeypatch):
    """Other sockets and timers are served although packets arrive as fast as they are handled."""
    monkeypatch.setattr(module, "MAX_BACKLOG_PACKETS", 10)
    for number in range(15):
        send(40_000 + number, SYN, 0)
    packets.catch_up(0.0)
    assert len(received(host)) == 10
