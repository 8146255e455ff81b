"""Converts protobuf messages to rows of pearwellctl's tables."""

from datetime import UTC, datetime
from typing import Any

from pearwell.errors import Code
from pearwell.v1 import admin_pb2 as pb

__all__ = [
    "audit",
    "event",
    "group",
    "in_force",
    "instance",
    "outcome",
    "placement",
    "service",
    "status",
    "target",
]


def service(answer: pb.ServiceResponse) -> dict[str, Any]:
    """Returns the row of a service."""
    found = answer.service
    return {
        "name": found.name,
        "address": found.address,
        "port": found.port,
        "protocol": _short(pb.TransportProtocol.Name(found.protocol)),
        "group": found.group,
        "preference": _short(pb.Preference.Name(found.preference)),
        "version": answer.version,
        "source": _source(answer),
    }


def group(answer: pb.GroupResponse) -> dict[str, Any]:
    """Returns the row of a target group."""
    targets = answer.group.targets
    leaving = [t.name for t in targets if t.intent == pb.TARGET_INTENT_LEAVING]
    return {
        "name": answer.group.name,
        "targets": len(targets),
        "leaving": leaving,
        "health_port": answer.group.health.port,
        "version": answer.version,
        "source": _source(answer),
    }


def target(found: pb.Target) -> dict[str, Any]:
    """Returns the row of a target."""
    return {
        "name": found.name,
        "address": found.address,
        "port": found.port,
        "zone": found.zone,
        "weight": found.weight,
        "slots": found.slots,
        "intent": _short(pb.TargetIntent.Name(found.intent)),
        "drain_deadline_s": found.drain_deadline_s,
    }


def outcome(answer: pb.ServiceResponse | pb.GroupResponse) -> dict[str, Any]:
    """Returns the outcome of a write, or nothing for the response to a read."""
    if not answer.HasField("outcome"):
        return {}
    made = answer.outcome
    row: dict[str, Any] = {"repeated": made.repeated}
    if made.HasField("in_force"):
        zones = made.in_force.zones
        row["in_force"] = [f"{z.zone} {z.holding}/{z.instances}" for z in zones]
    return row


def instance(zone: str, found: pb.Instance) -> dict[str, Any]:
    """Returns the row of a member of the zone."""
    return {
        "instance": found.instance,
        "zone": zone,
        "address": found.address,
        "state": found.state,
        "incarnation": found.incarnation,
    }


def placement(found: pb.Placement) -> list[dict[str, Any]]:
    """Returns the rows of a placement, one for each target."""
    return [
        {
            "group": found.group,
            "generation": found.generation,
            "phase": found.phase,
            "moving": f"{found.moving_buckets}/{found.buckets}",
            "target": placed.name,
            "state": placed.state,
            "weight": placed.weight,
            "buckets": placed.buckets,
        }
        for placed in found.targets
    ]


def in_force(report: pb.InForce) -> list[dict[str, Any]]:
    """Returns the rows of an in-force report, one for each zone."""
    return [
        {
            "zone": zone.zone,
            "holding": f"{zone.holding}/{zone.instances}",
            "lagging": list(zone.lagging),
            "report_age_s": round(zone.age_s, 1),
        }
        for zone in report.zones
    ]


def status(answer: pb.GetStatusResponse) -> dict[str, Any]:
    """Returns the row of an instance's status."""
    calls = answer.platform_calls
    return {
        "instance": answer.instance,
        "region": answer.region,
        "zone": answer.zone,
        "services": answer.services,
        "groups": answer.groups,
        "applied_version": answer.applied_version,
        "relay": answer.relay,
        "platform_reachable": answer.platform_reachable,
        "instances": answer.instances,
        "platform_calls": [f"{name}={calls[name]}" for name in sorted(calls)],
    }


def audit(entry: pb.AuditEntry) -> dict[str, Any]:
    """Returns the row of an audit entry."""
    return {
        "when": datetime.fromtimestamp(entry.at, UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
        "actor": entry.identity or entry.actor,
        "action": entry.action,
        "object": f"{_short(pb.Kind.Name(entry.kind))}/{entry.name}",
        "versions": f"{entry.version_before} -> {entry.version_after}",
        "outcome": Code(entry.code).name.lower(),
        "changes": "; ".join(entry.changes),
    }


def event(found: pb.ConfigurationEvent) -> str:
    """Returns the line for an event of a watch."""
    kind = _short(pb.Kind.Name(found.kind))
    state = "deleted" if found.deleted else "applied"
    return f"{kind} {found.name} version={found.version} {state}"


def _source(answer: pb.ServiceResponse | pb.GroupResponse) -> str:
    return "instance" if answer.from_instance else "platform"


def _short(name: str) -> str:
    return name.rsplit("_", 1)[-1].lower()
