"""Randomized steering runs: changes and faults in any order; prints one JSON line per seed."""

import argparse
import json
import logging
import random
import sys
from collections.abc import Callable

import structlog

from bench.steering_schemes import Pearwell
from bench.steering_zone import FlowPlan, Zone

__all__ = ["RandomRun", "main"]

INSTANCES = 6
TARGETS = 7
FIRST_CHANGE_S = 3.0
LAST_CHANGE_S = 60.0
END_S = 110.0
MIN_INSTANCES = 4
CHANGE_INTERVALS_S = (0.2, 1.0, 2.0, 3.0, 6.0, 12.0, 25.0)
FAULT_INTERVAL_RANGE_S = (7.0, 14.0)
LOST_FRACTION = 0.05
DUPLICATED_FRACTION = 0.05
DELAYED_FRACTION = 0.1


class RandomRun:
    """One zone with random changes and single faults.

    Args:
        seed: Seed of all random choices; odd seeds also lose, duplicate and delay messages.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed * 7919 + 1)
        self.zone = Zone(
            seed,
            INSTANCES,
            4,
            Pearwell,
            view_lag_s=self._rng.choice([0.1, 0.8]),
            delivery=self._message_delays if seed % 2 else None,
        )
        self._targets = [f"t{number:02}" for number in range(TARGETS)]
        plan = FlowPlan(
            last_s=LAST_CHANGE_S,
            max_life_s=self._rng.choice([6.0, 15.0]),
            interval_s=self._rng.choice([0.3, 1.0]),
        )
        self.zone.open_flows(800, plan)
        self._faults: dict[str, Callable[[str], None]] = {
            "stop": self._replace,
            "join": lambda name: self._join(),
            "crash": self.zone.crash,
            "pause": lambda name: self.zone.pause(name, self._rng.uniform(0.5, 3.0)),
            "long pause": lambda name: self.zone.pause(name, self._rng.uniform(5.0, 15.0)),
            "planner": lambda name: self.zone.planner.restart(),
            "target": lambda name: self._kill_target(),
        }
        self._schedule(self._change_targets, lambda: self._rng.choice(CHANGE_INTERVALS_S))
        self._schedule(self._inject_fault, lambda: self._rng.uniform(*FAULT_INTERVAL_RANGE_S))

    def run(self) -> dict[str, object]:
        """Runs to the end and returns the results by name."""
        self.zone.run_until(END_S)
        zone = self.zone
        return {
            "flows": len(zone.flows),
            "broken": zone.broken,
            "unfinished": sum(not flow.finished for flow in zone.flows),
            "violations": {str(k): v for k, v in zone.invariants.violations.items()},
            "records_left": sum(instance.scheme.records for instance in zone.live),
            "phase": zone.planner.placement.phase.name,
        }

    def _schedule(self, action: Callable[[], None], interval: Callable[[], float]) -> None:
        when = FIRST_CHANGE_S
        while when < LAST_CHANGE_S:
            self.zone.call_at(when, action)
            when += interval()

    def _change_targets(self) -> None:
        count = self._rng.randint(2, len(self._targets) - 1)
        self.zone.planner.set_targets(*sorted(self._rng.sample(self._targets, count)))

    def _inject_fault(self) -> None:
        healthy = [n.name for n in self.zone.live if n.in_fabric and not n.paused]
        fault = self._rng.choice(list(self._faults))
        if len(healthy) < MIN_INSTANCES:
            fault = "join"
        self._faults[fault](self._rng.choice(healthy))

    def _replace(self, name: str) -> None:
        self.zone.stop(name)
        self.zone.join()

    def _join(self) -> None:
        self.zone.join()

    def _kill_target(self) -> None:
        desired = [name for name in self.zone.planner.desired_targets if name in self._targets]
        if len(desired) > 2 and len(self._targets) > 4:
            self._targets.remove(desired[0])
            self.zone.kill_target(desired[0])

    def _message_delays(self, sender: str, to: str) -> tuple[float, ...]:
        draw = self._rng.random()
        if draw < LOST_FRACTION:
            return ()
        if draw < LOST_FRACTION + DUPLICATED_FRACTION:
            return (self._rng.uniform(0.001, 0.4),) * 2
        if draw < LOST_FRACTION + DUPLICATED_FRACTION + DELAYED_FRACTION:
            return (self._rng.uniform(0.01, 0.5),)
        return (self._rng.uniform(0.0005, 0.01),)


def main() -> None:
    """Parses the command line, runs the seeds and exits with 1 if any run fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--count", type=int, default=20, help="number of seeds")
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    failed_runs = 0
    for seed in range(arguments.first, arguments.first + arguments.count):
        results = RandomRun(seed).run()
        clean = not (results["broken"] or results["unfinished"] or results["violations"])
        settled = results["phase"] == "STABLE" and not results["records_left"]
        failed_runs += not (clean and settled)
        print(json.dumps({"seed": seed, **results}), flush=True)
    sys.exit(1 if failed_runs else 0)


if __name__ == "__main__":
    main()
