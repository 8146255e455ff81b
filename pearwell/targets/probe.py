"""Single probes of a target's health endpoint, load endpoint and encapsulation port."""

import asyncio
import errno
import socket

import aiohttp
from yarl import URL

from pearwell.model.group import HealthCheck, TargetSpec
from pearwell.model.load_report import LoadReport, LoadReportError, parse_load_report
from pearwell.targets.probe_history import ProbeOutcome

__all__ = ["fetch_load", "probe_health"]

MAX_LOAD_BYTES = 65_536
PORT_CHECK_WAIT_S = 0.05
# Decapsulators drop packets whose first nibble isn't an IP version.
_INVALID_PACKET = b"\0"


async def probe_health(
    session: aiohttp.ClientSession, target: TargetSpec, check: HealthCheck
) -> ProbeOutcome:
    """Probes the health endpoint of a target once.

    Args:
        session: Client session that doesn't reuse connections.
        target: The target.
        check: Port, path and timeout.

    Returns:
        The outcome; faults of the target never raise an exception.
    """
    try:
        async with session.get(
            _url(target, check.port, check.path), timeout=_timeout(check), allow_redirects=False
        ) as response:
            return ProbeOutcome.OK if response.status == 200 else ProbeOutcome.FAILING
    except aiohttp.ConnectionTimeoutError:
        return ProbeOutcome.NO_CONNECTION
    except TimeoutError:
        return ProbeOutcome.NO_RESPONSE
    except aiohttp.ClientConnectorError as error:
        if error.os_error.errno != errno.ECONNREFUSED:
            return ProbeOutcome.NO_CONNECTION
        closed = await _is_port_closed(target.address, target.port)
        return ProbeOutcome.PORTS_CLOSED if closed else ProbeOutcome.REFUSED
    except (aiohttp.ClientError, OSError, ValueError):
        return ProbeOutcome.FAILING


async def fetch_load(
    session: aiohttp.ClientSession, target: TargetSpec, check: HealthCheck
) -> LoadReport | None:
    """Fetches the load report of a target, or None if it is unavailable or invalid."""
    try:
        async with session.get(
            _url(target, check.port, check.load_path),
            timeout=_timeout(check),
            allow_redirects=False,
        ) as response:
            if response.status != 200:
                return None
            return parse_load_report(await response.content.read(MAX_LOAD_BYTES))
    except (aiohttp.ClientError, OSError, LoadReportError, ValueError):
        return None


async def _is_port_closed(address: str, port: int) -> bool:
    """Whether the host responds to a datagram to a UDP port with ICMP port unreachable."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        try:
            sock.connect((address, port))
            sock.send(_INVALID_PACKET)
            await asyncio.sleep(PORT_CHECK_WAIT_S)
            sock.recv(1)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
    return False


def _url(target: TargetSpec, port: int, path: str) -> URL:
    return URL.build(scheme="http", host=target.address, port=port, path=path)


def _timeout(check: HealthCheck) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=2 * check.timeout_s, sock_connect=check.timeout_s, sock_read=check.timeout_s
    )
