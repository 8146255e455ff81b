"""Runs the role as a child process."""

import asyncio
import os
import sys

import aiohttp

from pearwell.soak.processes import ROOT
from tests.addresses import loopback_address
from tests.platform.settings_text import settings_text

PACKET_PORT, READY_PORT, CONTROL_PORT, STORE_PORT = 20821, 20822, 20823, 20824
# Timeout that allows for delays on a busy machine.
EVENT_TIMEOUT_S = 60.0
IP = loopback_address(1)
STORE_IP = loopback_address(2)
CLIENT_IP = loopback_address(3)


def settings(**changes):
    return settings_text(
        **{
            "Ip": IP,
            "ListenAddrs__DatagramAddr": f"{IP}:{PACKET_PORT}",
            "ListenAddrs__Ready": f"{IP}:{READY_PORT}",
            "ListenAddrs__Control": f"{IP}:{CONTROL_PORT}",
            "Seeds": f"{IP}:{CONTROL_PORT}",
            # Lets the role stop without a delay.
            "Bounds__GraceS": "1",
            "platform__Address": f"{STORE_IP}:{STORE_PORT}",
            **changes,
        }
    )


class RoleProcess:
    """The role as a child process, with its log."""

    def __init__(self, path, *arguments, root=ROOT):
        self._path = path
        self._arguments = arguments
        self._root = root
        self.lines = []

    @staticmethod
    def command():
        return sys.executable, "-S", "deploy/edge.py"

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(
            *self.command(),
            *self._arguments,
            cwd=self._root,
            env={**os.environ, "PEARWELL_BOOT": str(self._path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def logged(self, event):
        """Reads the log up to an event; returns its line, or "" at the end of the log."""
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while line := (await self.process.stdout.readline()).decode():
                self.lines.append(line)
                if f"event={event} " in line:
                    return line
        return ""

    async def logged_all(self, *events):
        """Reads the log up to the last of some events, in any order; returns their lines."""
        found = {}
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while len(found) < len(events):
                line = (await self.process.stdout.readline()).decode()
                assert line, f"the log ends after {sorted(found)}"
                self.lines.append(line)
                found.update((event, line) for event in events if f"event={event} " in line)
        return [found[event] for event in events]


async def get(port, path, ip=IP):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{ip}:{port}{path}") as response,
    ):
        return response.status, await response.text()
