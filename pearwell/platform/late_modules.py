"""Modules that a start doesn't need.

They are loaded once an instance is ready, as they may be out of reach when they are needed: without
a free descriptor, or after their files were replaced.
"""

from pearwell.event_log import EventLog
from pearwell.reactor import Reactor

__all__ = ["LATE_MODULES", "load_modules"]

# Time between two modules in seconds, so that packets don't wait for all of them.
LOAD_INTERVAL_S = 0.2

LATE_MODULES = (
    "pearwell.platform.target_probes",
    "pearwell.affinity.unknown_flows",
    "pearwell.affinity.outdated_entries",
    "pearwell.affinity.successors",
    "pearwell.affinity.large_events",
    "pearwell.platform.short_entry",
    "pearwell.platform.ignored_slots",
    "pearwell.affinity.admission",
    "pearwell.affinity.zone_queues",
    "pearwell.affinity.split_overflow",
    "pearwell.affinity.slot_ratios",
    "pearwell.affinity.list_cursor",
    "pearwell.url_text",
    "pearwell.platform.extreme_values",
    "pearwell.platform.target_checks",
    "pearwell.affinity.shared_limits",
    "pearwell.affinity.warmup",
    "pearwell.affinity.flow_limit_watch",
    "pearwell.affinity.flow_limit",
    "pearwell.affinity.relay_clients",
    "pearwell.platform.metrics_endpoint",
    "pearwell.platform.metrics_page",
    "pearwell.affinity.instance_metrics",
)


async def load_modules(reactor: Reactor, log: EventLog) -> None:
    """Loads the modules one after the other."""
    for name in LATE_MODULES:
        await reactor.sleep(LOAD_INTERVAL_S)
        __import__(name)
    log.event("modules_loaded", count=len(LATE_MODULES))
