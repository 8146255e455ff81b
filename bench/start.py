"""CPU time from the start of the platform's role to the first packet that it forwards.

Measures an interpreter without a program in the same run for comparison. Prints one JSON line with
the minimum of several starts.
"""

import asyncio
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from absl import app, flags

from pearwell.soak.processes import ROOT
from pearwell.standins.object_server import ObjectServer
from pearwell.standins.token_packet import SYN, TokenPacket, flow_address

__all__ = ["main"]

_STARTS = flags.DEFINE_integer("starts", 10, "Number of starts of each program.", lower_bound=1)
_OCTET = flags.DEFINE_integer("octet", 95, "Second octet of the loopback addresses.")

PACKET_PORT, READY_PORT, STORE_PORT, HOST_PORT = 21000, 21001, 21003, 21004
RESEND_INTERVAL_S = 0.005
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _interpreter_s(arguments: list[str]) -> float:
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, *arguments], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def _cpu_time_s(pid: int) -> float:
    """Returns the CPU time of a process in seconds, from the scheduler's statistics."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


async def _role_start_s(directory: Path) -> float:
    """Starts the role and returns its CPU time when a target receives the first SYN."""
    ip, store_ip = f"127.{_OCTET.value}.1.1", f"127.{_OCTET.value}.0.1"
    store = ObjectServer()
    await store.start(store_ip, STORE_PORT)
    route = {"Name": "r", "Host": "198.18.0.1", "PathPrefix": "/443/", "Service": "s"}
    spec = {"Version": 1, "Routes": [route], "Services": [], "Limits": {}}
    await store.write("config", "main", spec)
    address = f"{store_ip}:{HOST_PORT}"
    entry = {
        "Service": "s",
        "Address": address,
        "Zone": "z",
        "Version": "v1",
        "Concurrency": 2,
        "State": "ready",
        "WarmupLeftMs": 0,
        "Sequence": 1,
        "born": 1,
    }
    await store.write("servers", "i-00000001", entry)
    host = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    host.bind((store_ip, HOST_PORT))
    host.setblocking(False)
    settings = {
        "NodeName": "e",
        "Zone": "z",
        "Ip": ip,
        "ListenAddrs.DatagramAddr": f"{ip}:{PACKET_PORT}",
        "ListenAddrs.Ready": f"{ip}:{READY_PORT}",
        "Bounds.ContactMs": 4000,
        "Bounds.DrainMs": 3000,
        "Bounds.GraceS": 6,
        "Bounds.ConfigApplyMs": 3000,
        "platform.Address": f"{store_ip}:{STORE_PORT}",
    }
    path = directory / "edge.conf"
    path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-S",
        "deploy/edge.py",
        cwd=ROOT,
        env={**os.environ, "PEARWELL_BOOT": str(path)},
        stdout=asyncio.subprocess.DEVNULL,
    )
    syn = TokenPacket(
        flow_address(f"127.{_OCTET.value}.3.1", 1024), flow_address("198.18.0.1", 443), SYN, 1, 0, 0
    )
    loop = asyncio.get_running_loop()
    first_packet = asyncio.ensure_future(loop.sock_recv(host, 2048))
    try:
        while not first_packet.done():
            host.sendto(syn.encode(), (ip, PACKET_PORT))
            await asyncio.wait([first_packet], timeout=RESEND_INTERVAL_S)
        return _cpu_time_s(process.pid)
    finally:
        process.kill()
        await process.wait()
        host.close()
        await store.stop()


def _build() -> None:
    """Runs the deployment's build step, so that no start compiles modules."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    subprocess.run(deploy["build"], shell=True, cwd=ROOT, check=True)


def _main(_: list[str]) -> None:
    _build()
    with tempfile.TemporaryDirectory() as directory:
        starts = range(_STARTS.value)
        role = min(asyncio.run(_role_start_s(Path(directory))) for _ in starts)
        interpreter = min(_interpreter_s(["-c", "pass"]) for _ in starts)
        without_site = min(_interpreter_s(["-S", "-c", "pass"]) for _ in starts)
    results = {
        "role_to_first_packet_s": round(role, 4),
        "bare_s": round(interpreter, 4),
        "bare_without_site_s": round(without_site, 4),
    }
    print(json.dumps(results))


def main() -> None:
    """Runs the benchmark."""
    app.run(_main)


if __name__ == "__main__":
    main()
