"""Overload benchmark: accepted flows and consistency of admission above its limit."""

import random
from collections.abc import Iterator
from typing import Any

from bench.balance_model import Profile
from pearwell.agreement.rendezvous import rank
from pearwell.clock import ManualClock
from pearwell.errors import Code
from pearwell.model.configuration import Configuration
from pearwell.model.group import GroupSpec, TargetSpec
from pearwell.model.service import FlowLimits, ServiceSpec, TransportProtocol
from pearwell.targets.admission import Admission

__all__ = ["measure_overload"]

LIMIT_PER_S = 900
LOADS = (1, 2, 5, 10)
WARM_UP_S = 3.0
MEASURED_S = 10.0
REPEATED_FRACTION = 0.1
REPEAT_AFTER_S = 1.0
BUCKETS = 1024


class Zone:
    """The admission controllers of one zone.

    Args:
        profile: Size of the service.
        seed: Seed of all random choices.
        by_owner: Whether the owner of the bucket decides, rather than the instance that
            received the packet.
    """

    def __init__(self, profile: Profile, seed: int, by_owner: bool) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self._names = [f"i{i}" for i in range(profile.instances)]
        self._owners = [rank(str(bucket), self._names, 1)[0] for bucket in range(BUCKETS)]
        self._by_owner = by_owner
        targets = tuple(TargetSpec(f"t{i}", f"10.0.0.{i}", "z") for i in range(profile.targets))
        limits = FlowLimits(new_flows_per_s=LIMIT_PER_S)
        service = ServiceSpec("s", "192.0.2.1", 80, TransportProtocol.TCP, "g", limits=limits)
        configuration = Configuration({"s": service}, {"g": GroupSpec("g", targets)})
        self._cores = {name: self._core(configuration) for name in self._names}
        self._targets = profile.targets

    def offer(self, flow: int) -> Code:
        """Sends a SYN through a random instance and returns the admission result."""
        name = self.rng.choice(self._names)
        if self._by_owner:
            name = self._owners[flow & (BUCKETS - 1)]
        return self._cores[name].admit("s", b"p", f"t{flow % self._targets}", flow)

    def _core(self, configuration: Configuration) -> Admission:
        core = Admission(self.clock, self.rng)
        core.set_live_instances(len(self._names))
        core.configure(configuration)
        return core


def measure_overload(profile: Profile, seed: int) -> Iterator[dict[str, Any]]:
    """Yields the results for each load, with admission at the owner and at any instance."""
    for by_owner in (True, False):
        base = 0.0
        for load in LOADS:
            figures = _measure(Zone(profile, seed, by_owner), LIMIT_PER_S * load)
            base = base or figures["accepted_per_s"]
            figures["accepted_of_1x"] = round(figures["accepted_per_s"] / base, 3)
            scheme = "owner decides" if by_owner else "any instance decides"
            yield {"measure": "overload", "scheme": scheme, "load": load} | figures


def _measure(zone: Zone, rate: float) -> dict[str, Any]:
    offered = accepted = repeated = changed = 0
    repeats: list[tuple[float, int, Code]] = []
    while zone.clock.now() < WARM_UP_S + MEASURED_S:
        zone.clock.advance(zone.rng.expovariate(rate))
        flow = zone.rng.getrandbits(64)
        answer = zone.offer(flow)
        if zone.clock.now() < WARM_UP_S:
            continue
        offered += 1
        accepted += answer is Code.OK
        if zone.rng.random() < REPEATED_FRACTION:
            repeats.append((zone.clock.now() + REPEAT_AFTER_S, flow, answer))
        while repeats and repeats[0][0] <= zone.clock.now():
            _, flow, answer = repeats.pop(0)
            repeated += 1
            changed += zone.offer(flow) is not answer
    return {
        "offered_per_s": round(offered / MEASURED_S, 1),
        "accepted_per_s": round(accepted / MEASURED_S, 1),
        "repeated_syns": repeated,
        "answers_changed": changed,
    }
