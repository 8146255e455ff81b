"""Steering benchmark: prints one JSON line per scheme."""

import argparse
import json
import logging
import time
from collections.abc import Callable
from functools import partial

import structlog

from bench.steering_schemes import SCHEMES
from bench.steering_zone import FlowPlan, Zone
from pearwell.steering.verdict import FlowEvent

__all__ = ["CHANGES", "main", "measure"]

CHANGE_AT_S = 10.0
LAST_START_S = 40.0
END_S = 70.0
TAIL_S = 5.0
REPLACEMENTS = 5
REPLACEMENT_INTERVAL_S = 5.0
PAUSE_S = 30.0
TIMED_DECISIONS = 100_000

Change = Callable[[Zone], None]


def _add_target(zone: Zone) -> None:
    names = list(zone.planner.desired_targets)
    zone.planner.set_targets(*names, f"t{len(names):02}")


def _remove_target(zone: Zone) -> None:
    names = list(zone.planner.desired_targets)
    zone.planner.set_targets(*names[:-1])


def _replace_instance(zone: Zone) -> None:
    oldest = next(instance.name for instance in zone.live if instance.in_fabric)
    zone.join()
    zone.stop(oldest)


def _replace_instances(zone: Zone) -> None:
    for number in range(REPLACEMENTS):
        when = zone.now + number * REPLACEMENT_INTERVAL_S
        zone.call_at(when, partial(_replace_instance, zone))


def _make_mixed_changes(zone: Zone) -> None:
    _add_target(zone)
    _replace_instances(zone)
    zone.call_at(zone.now + 2.0, lambda: zone.planner.set_weight("t01", 50))
    zone.call_at(zone.now + 4.0, partial(_remove_target, zone))
    zone.call_at(zone.now + 9.0, partial(_add_target, zone))


def _crash_instances(zone: Zone) -> None:
    _add_target(zone)
    names = [instance.name for instance in zone.live]
    zone.call_at(zone.now + 3.0, lambda: zone.crash(names[0]))
    zone.call_at(zone.now + 14.0, lambda: zone.crash(names[1]))


def _pause_instances(zone: Zone) -> None:
    _add_target(zone)
    names = [instance.name for instance in zone.live]
    zone.call_at(zone.now + 1.0, lambda: zone.pause(names[0], PAUSE_S))
    zone.call_at(zone.now + 16.0, lambda: zone.pause(names[1], PAUSE_S))


CHANGES: dict[str, Change] = {
    "none": lambda zone: None,
    "target-join": _add_target,
    "target-leave": _remove_target,
    "instance-replace": _replace_instances,
    "mixed": _make_mixed_changes,
    "crash": _crash_instances,
    "pause": _pause_instances,
}


def measure(scheme: str, arguments: argparse.Namespace) -> dict[str, object]:
    """Measures one scheme during a change.

    Args:
        scheme: Name of the scheme.
        arguments: Parsed command line.

    Returns:
        The results by name.
    """
    zone = Zone(
        arguments.seed,
        arguments.instances,
        arguments.targets,
        SCHEMES[scheme],
        view_lag_s=arguments.lag,
    )
    zone.open_flows(
        arguments.flows,
        FlowPlan(last_s=LAST_START_S, max_life_s=arguments.life, interval_s=arguments.interval),
    )
    zone.run_until(CHANGE_AT_S)
    sent_before = sum(zone.network.bytes_sent.values())
    zone.call_at(CHANGE_AT_S, lambda: CHANGES[arguments.change](zone))
    zone.run_until(LAST_START_S)
    control_bytes_per_s = (sum(zone.network.bytes_sent.values()) - sent_before) / (
        LAST_START_S - CHANGE_AT_S
    )
    zone.run_until(END_S - TAIL_S)
    passed_before = zone.passed_to_peer
    zone.run_until(END_S)
    return {
        "scheme": scheme,
        "flows": len(zone.flows),
        "broken": zone.broken,
        "misrouted": zone.misrouted,
        "detour_ratio": round(zone.passed_to_peer / max(zone.packets, 1), 4),
        "detours_in_last_5_s": zone.passed_to_peer - passed_before,
        "state_bytes_peak": zone.state_bytes_peak,
        "bytes_per_record": round(zone.bytes_per_record, 1),
        "control_bytes_per_s": round(control_bytes_per_s / arguments.instances),
        "new_flows_per_s": round(arguments.flows / LAST_START_S / arguments.instances, 1),
        "decision_us": decision_time(zone),
        "violations": sum(zone.invariants.violations.values()),
    }


def decision_time(zone: Zone) -> float:
    """Returns the mean time of a decision in microseconds, with the final placement."""
    scheme = zone.live[0].scheme
    hashes = [zone.rng.getrandbits(64) for _ in range(TIMED_DECISIONS)]
    started = time.perf_counter()
    for flow_hash in hashes:
        scheme.decide(flow_hash, FlowEvent.NONE, False)
    return round((time.perf_counter() - started) / TIMED_DECISIONS * 1e6, 2)


def main() -> None:
    """Parses the command line and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=18)
    parser.add_argument("--targets", type=int, default=7)
    parser.add_argument("--flows", type=int, default=30_000)
    parser.add_argument("--change", choices=CHANGES, default="mixed")
    parser.add_argument(
        "--lag", type=float, default=0.8, help="maximum propagation delay of views in seconds"
    )
    parser.add_argument(
        "--life", type=float, default=12.0, help="maximum lifetime of a flow in seconds"
    )
    parser.add_argument(
        "--interval", type=float, default=2.0, help="mean seconds between packets of a flow"
    )
    parser.add_argument("--scheme", choices=SCHEMES, action="append")
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    for scheme in arguments.scheme or SCHEMES:
        print(json.dumps(measure(scheme, arguments)), flush=True)


if __name__ == "__main__":
    main()
