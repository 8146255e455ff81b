"""Tests of pearwell.platform.startup."""

import socket

import pytest

from pearwell.errors import Code, SettingsError
from pearwell.platform.startup import Startup, modified_at
from pearwell.reactor import bind_socket
from tests.addresses import loopback_address
from tests.platform.settings_text import settings_text

IP = loopback_address(6)
PACKETS, READY, CONTROL = ((IP, port) for port in (20851, 20852, 20853))


def write_settings(directory, seeds=f"{IP}:20853"):
    """Writes a settings file and returns its path."""
    path = directory / "node.conf"
    path.write_text(
        settings_text(
            Ip=IP,
            ListenAddrs__DatagramAddr=f"{IP}:20851",
            ListenAddrs__Ready=f"{IP}:20852",
            ListenAddrs__Control=f"{IP}:20853",
            Seeds=seeds,
        )
    )
    return str(path)


@pytest.mark.parametrize(("seeds", "is_relay"), [(f"{IP}:20853", True), ("127.0.0.1:1", False)])
def test_only_a_relay_has_a_control_socket(seeds, is_relay, tmp_path):
    path = write_settings(tmp_path, seeds)
    found = Startup(path)
    addresses = [found.packets.getsockname(), found.ready.getsockname()]
    assert addresses == [PACKETS, READY]
    assert found.modified_at == modified_at(path) > 0
    assert (found.control is not None) == is_relay
    for sock in (found.packets, found.ready, found.control):
        if sock is not None:
            sock.close()


@pytest.mark.parametrize(
    ("kind", "address"),
    [
        (socket.SOCK_DGRAM, PACKETS),
        (socket.SOCK_STREAM, READY),
        (socket.SOCK_STREAM, CONTROL),
    ],
)
def test_no_socket_stays_bound_if_one_address_is_in_use(kind, address, tmp_path):
    """Routers would send packets to an instance that doesn't start."""
    path = write_settings(tmp_path)
    with bind_socket(kind, address) as held:
        if kind == socket.SOCK_STREAM:
            held.listen()
        with pytest.raises(SettingsError) as caught:
            Startup(path)
    assert caught.value.code is Code.SETTINGS_PORT_IN_USE
    found = Startup(path)
    for sock in (found.packets, found.ready, found.control):
        sock.close()
