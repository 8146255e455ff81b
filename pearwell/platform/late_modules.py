"""Modules that a start doesn't need.

They are loaded once an instance is ready, as they may be out of reach when they are needed: without
a free descriptor, or after their files were replaced.
"""

__all__ = ["LATE_MODULES", "LOAD_INTERVAL_S"]

# Time between two modules in seconds, so that packets don't wait for all of them.
LOAD_INTERVAL_S = 0.2

LATE_MODULES = (
    "pearwell.platform.target_probes",
    "pearwell.affinity.unknown_flows",
    "pearwell.affinity.admission",
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
