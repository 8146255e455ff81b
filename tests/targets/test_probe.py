"""Tests of pearwell.targets.probe, against real sockets."""

import asyncio
import contextlib
import socket

import aiohttp
import pytest
from aiohttp import web

from pearwell.model.group import HealthCheck, TargetSpec
from pearwell.model.load_report import LoadReport
from pearwell.targets.probe import fetch_load, probe_health
from pearwell.targets.probe_history import ProbeOutcome
from tests.addresses import loopback_address

ADDRESS = loopback_address()
CHECK = HealthCheck(port=21080, timeout_s=0.2)
TARGET = TargetSpec("t", ADDRESS, "z", port=21081)


@contextlib.asynccontextmanager
async def serving(handler):
    app = web.Application()
    app.router.add_get("/{path}", handler)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, ADDRESS, CHECK.port).start()
    try:
        yield
    finally:
        await runner.cleanup()


@contextlib.contextmanager
def encapsulation_port(open_port):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    if open_port:
        sock.bind((ADDRESS, TARGET.port))
    try:
        yield
    finally:
        sock.close()


@contextlib.contextmanager
def full_backlog():
    """Fills the backlog of a listening socket, so that the kernel drops further SYNs."""
    listener = socket.create_server((ADDRESS, CHECK.port), backlog=0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex((ADDRESS, CHECK.port))
    try:
        yield
    finally:
        for sock in (listener, *fillers):
            sock.close()


async def probe():
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await probe_health(session, TARGET, CHECK)


async def load():
    async with aiohttp.ClientSession() as session:
        return await fetch_load(session, TARGET, CHECK)


async def hang(request):
    await asyncio.sleep(5.0)
    return web.Response()


async def close_connection(request):
    request.transport.close()
    return web.Response()


@pytest.mark.parametrize(
    ("handler", "expected"),
    [
        (lambda request: web.Response(), ProbeOutcome.OK),
        (lambda request: web.Response(status=503), ProbeOutcome.FAILING),
        (lambda request: web.Response(status=302, headers={"Location": "/"}), ProbeOutcome.FAILING),
        (close_connection, ProbeOutcome.FAILING),
        (hang, ProbeOutcome.NO_RESPONSE),
    ],
)
async def test_outcome_of_a_host_that_accepts_connections(handler, expected):
    async def respond(request):
        result = handler(request)
        return await result if asyncio.iscoroutine(result) else result

    async with serving(respond):
        assert await probe() is expected


@pytest.mark.parametrize(
    ("open_port", "expected"), [(True, ProbeOutcome.REFUSED), (False, ProbeOutcome.PORTS_CLOSED)]
)
async def test_closed_health_port(open_port, expected):
    with encapsulation_port(open_port):
        assert await probe() is expected


async def test_no_connection():
    with full_backlog():
        assert await probe() is ProbeOutcome.NO_CONNECTION


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, b'{"slots": 3, "in_use": 1.0, "open_flows": 7}', LoadReport(7, 1.0, 3)),
        (200, b"not JSON", None),
        (200, b"{" + b" " * 100_000 + b"}", None),
        (500, b'{"open_flows": 7}', None),
    ],
)
async def test_load_report(status, body, expected):
    async def respond(request):
        return web.Response(status=status, body=body)

    async with serving(respond):
        assert await load() == expected


async def test_no_load_report_from_a_closed_port():
    assert await load() is None
