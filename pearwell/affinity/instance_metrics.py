"""Metrics of an instance."""

from pearwell.affinity.instance import Instance
from pearwell.text_metrics import Sample

__all__ = ["collect_samples"]


def collect_samples(instance: Instance, now: float) -> list[Sample]:
    """Returns the counters and gauges of an instance at a clock time in seconds."""
    found: list[Sample] = [
        ("decisions_total", "counter", {"decision": name}, count)
        for name, count in sorted(instance.director.counts.items())
    ]
    found += [
        ("configuration_version", "gauge", {}, instance.routes.version),
        ("configuration_age_seconds", "gauge", {}, round(now - instance.routes.applied_at, 3)),
        ("routes", "gauge", {}, len(instance.routes)),
        ("flows", "gauge", {}, len(instance.director.flows)),
        ("ready", "gauge", {}, instance.lifecycle.ready),
        (
            "store_good_seconds",
            "gauge",
            {},
            max(0.0, now - instance.target_scheduler.store_healthy_since),
        ),
    ]
    schedulers = {"config": instance.config_scheduler, "targets": instance.target_scheduler}
    if instance.evacuation_feed is not None:
        schedulers["evacuations"] = instance.evacuation_feed.scheduler
        choices = instance.director.placement.limited_choices
        found.append(("limited_choices_total", "counter", {}, choices))
        found += instance.evacuation_feed.samples(instance.directory)
    for kind, scheduler in schedulers.items():
        labels = {"kind": kind}
        found += [
            ("store_era", "gauge", labels, -1 if scheduler.era is None else scheduler.era),
            ("store_revision", "gauge", labels, (scheduler.position or (-1, -1))[1]),
            ("store_sync_age_seconds", "gauge", labels, round(now - scheduler.synced_at, 3)),
        ]
    if instance.shared_limits is not None:
        found += instance.shared_limits.samples(now)
    found += [
        ("queue_wait_seconds", "gauge", {"service": service}, round(wait_s, 4))
        for service, wait_s in instance.director.placement.admission.median_waits(now).items()
    ]
    found += [
        ("flows_overflowed_total", "counter", {"route": route, "service": service}, count)
        for (route, service), count in instance.director.placement.overflow_counts.items()
    ]
    for target in instance.directory:
        labels = {"service": target.service, "target": target.name}
        found += [
            ("target_open_flows", "gauge", labels, target.open_flows),
            ("target_requests_in_flight", "gauge", labels, target.in_flight),
            ("target_suspect", "gauge", labels, now < target.suspect_until),
        ]
        if target.counted_slots is not None:
            found.append(("target_slots", "gauge", labels, round(target.counted_slots, 2)))
    return found
