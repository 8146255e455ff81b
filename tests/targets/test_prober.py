"""Tests of pearwell.targets.prober, against real HTTP targets."""

import asyncio
import random

import pytest
from aiohttp import web

from pearwell.clock import MonotonicClock
from pearwell.kernel import Kernel
from pearwell.messages import ConfigurationChanged, TargetStateChanged
from pearwell.messages.local import EntryAdopted
from pearwell.messages.targets import LoadReported
from pearwell.model.configuration import Configuration
from pearwell.model.group import GroupSpec, HealthCheck, TargetSpec
from pearwell.model.placement import TargetState
from pearwell.targets.prober import Prober
from tests.addresses import loopback_address

PORT = 21180
CHECK = HealthCheck(port=PORT, interval_s=0.05, timeout_s=1.0, failures=2, successes=2)


class InMemoryStore:
    """In-memory gossip store of a zone with one instance."""

    def __init__(self, kernel):
        self.kernel = kernel
        self.entries = {}

    def get(self, key):
        return self.entries.get(key)

    def put(self, entry):
        self.entries[entry.key] = entry
        self.kernel.publish(EntryAdopted(entry))
        return True


class QueueService:
    """Service that queues the messages delivered to it."""

    accepts = (TargetStateChanged,)

    def __init__(self, name):
        self.name = name
        self.messages = asyncio.Queue()

    async def start(self, kernel):
        pass

    async def stop(self):
        pass

    def deliver(self, message):
        self.messages.put_nowait(message)


async def serve(address, status):
    async def healthz(request):
        return web.Response(status=status["code"])

    async def load(request):
        return web.json_response({"slots": 3, "in_use": 1, "open_flows": 42})

    app = web.Application()
    app.router.add_get("/healthz", healthz)
    app.router.add_get("/load", load)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, address, PORT).start()
    return runner


@pytest.mark.parametrize("code", [503, 200])
async def test_prober_publishes_target_states_and_load_reports(code):
    statuses = [{"code": 200} for _ in range(3)]
    addresses = [loopback_address(i) for i in range(3)]
    runners = [await serve(a, s) for a, s in zip(addresses, statuses, strict=True)]
    targets = tuple(TargetSpec(f"t{i}", a, "a") for i, a in enumerate(addresses))
    kernel = Kernel()
    states, balancer = QueueService("states"), QueueService("balancer")
    prober = Prober("i0", "a", MonotonicClock(), random.Random(1), InMemoryStore(kernel))
    for service in (states, balancer, prober):
        kernel.add(service)
    await kernel.start()
    try:
        kernel.publish(
            ConfigurationChanged(Configuration(groups={"g": GroupSpec("g", targets, CHECK)}))
        )
        while True:
            report = await asyncio.wait_for(balancer.messages.get(), 30.0)
            if isinstance(report, LoadReported) and report.target == "t2":
                break
        assert report.report.open_flows == 42
        assert len(prober.probed) == 3
        statuses[0]["code"] = 503
        first = await asyncio.wait_for(states.messages.get(), 30.0)
        assert first == TargetStateChanged("g", "t0", TargetState.SUSPECT)
        statuses[0]["code"] = code
        if code == 200:
            second = await asyncio.wait_for(states.messages.get(), 30.0)
            assert second == TargetStateChanged("g", "t0", TargetState.WORKING)
        kernel.publish(ConfigurationChanged(Configuration()))
        while prober.probed:
            await asyncio.sleep(0.01)
    finally:
        await kernel.stop()
        for runner in runners:
            await runner.cleanup()
