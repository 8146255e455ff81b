"""Tests of pearwell.soak.proxy."""

import asyncio
import contextlib

import pytest

from pearwell.soak.proxy import Link, Proxy
from tests.addresses import loopback_address

ECHO = (loopback_address(), 20801)
FRONT = (loopback_address(), 20802)


async def echo(reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(100):
            writer.write(data)
    writer.close()


@pytest.mark.parametrize(
    ("link", "outcome"),
    [
        (Link.OPEN, b"hello"),
        (Link.DELAYED, b"hello"),
        (Link.SILENT, "silence"),
        (Link.NO_ANSWERS, "silence"),
        (Link.RESET, "reset"),
    ],
)
async def test_link_states_forward_drop_or_reset(link, outcome):
    server = await asyncio.start_server(echo, *ECHO)
    proxy = Proxy()
    await proxy.start(FRONT, ECHO)
    try:
        reader, writer = await asyncio.open_connection(*FRONT)
        writer.write(b"ready")
        assert await reader.read(100) == b"ready"
        proxy.set_link(link)
        assert await _exchange(reader, writer) == outcome
        writer.close()
    finally:
        await proxy.stop()
        server.close()


async def test_connections_to_the_server_come_from_the_address_of_the_proxy():
    """Guards against store faults without effect.

    The store refuses clients by IP address; if the proxy doesn't connect from its own address, the
    store-refuses fault of the soak affects no instance.
    """
    clients = []

    async def record_client(reader, writer):
        clients.append(writer.get_extra_info("peername")[0])
        writer.close()

    server = await asyncio.start_server(record_client, *ECHO)
    proxies = [Proxy(), Proxy()]
    fronts = [(loopback_address(number), FRONT[1]) for number in (3, 4)]
    try:
        for proxy, front in zip(proxies, fronts, strict=True):
            await proxy.start(front, ECHO)
            reader, writer = await asyncio.open_connection(*front)
            with contextlib.suppress(OSError):
                await reader.read()
            writer.close()
        assert clients == [ip for ip, _ in fronts]
    finally:
        for proxy in proxies:
            await proxy.stop()
        server.close()


async def _exchange(reader, writer):
    try:
        writer.write(b"hello")
        async with asyncio.timeout(1.0):
            data = await reader.read(100)
    except TimeoutError:
        return "silence"
    except OSError:
        return "reset"
    return data or "reset"
