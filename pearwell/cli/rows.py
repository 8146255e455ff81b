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


def service(response: pb.ServiceResponse) -> dict[str, Any]:
    """Returns the row of a service."""
    message = response.service
    return {
        "name": message.name,
        "address": message.address,
        "port": message.port,
        "protocol": _short_enum_name(pb.TransportProtocol.Name(message.protocol)),
        "group": message.group,
        "preference": _short_enum_name(pb.Preference.Name(message.preference)),
        "version": response.version,
        "source": _source(response),
    }


def group(response: pb.GroupResponse) -> dict[str, Any]:
    """Returns the row of a target group."""
    targets = response.group.targets
    leaving = [t.name for t in targets if t.intent == pb.TARGET_INTENT_LEAVING]
    return {
        "name": response.group.name,
        "targets": len(targets),
        "leaving": leaving,
        "health_port": response.group.health.port,
        "version": response.version,
        "source": _source(response),
    }


def target(message: pb.Target) -> dict[str, Any]:
    """Returns the row of a target."""
    return {
        "name": message.name,
        "address": message.address,
        "port": message.port,
        "zone": message.zone,
        "weight": message.weight,
        "slots": message.slots,
        "intent": _short_enum_name(pb.TargetIntent.Name(message.intent)),
        "drain_deadline_s": message.drain_deadline_s,
    }


def outcome(response: pb.ServiceResponse | pb.GroupResponse) -> dict[str, Any]:
    """Returns the outcome of a write, or nothing for the response to a read."""
    if not response.HasField("outcome"):
        return {}
    write_outcome = response.outcome
    row: dict[str, Any] = {"repeated": write_outcome.repeated}
    if write_outcome.HasField("in_force"):
        zones = write_outcome.in_force.zones
        row["in_force"] = [f"{z.zone} {z.holding}/{z.instances}" for z in zones]
    return row


def instance(zone: str, message: pb.Instance) -> dict[str, Any]:
    """Returns the row of a member of the zone."""
    return {
        "instance": message.instance,
        "zone": zone,
        "address": message.address,
        "state": message.state,
        "incarnation": message.incarnation,
    }


def placement(message: pb.Placement) -> list[dict[str, Any]]:
    """Returns the rows of a placement, one for each target."""
    return [
        {
            "group": message.group,
            "generation": message.generation,
            "phase": message.phase,
            "moving": f"{message.moving_buckets}/{message.buckets}",
            "target": placed.name,
            "state": placed.state,
            "weight": placed.weight,
            "buckets": placed.buckets,
        }
        for placed in message.targets
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


def status(response: pb.GetStatusResponse) -> dict[str, Any]:
    """Returns the row of an instance's status."""
    calls = response.platform_calls
    return {
        "instance": response.instance,
        "region": response.region,
        "zone": response.zone,
        "services": response.services,
        "groups": response.groups,
        "applied_version": response.applied_version,
        "relay": response.relay,
        "platform_reachable": response.platform_reachable,
        "instances": response.instances,
        "platform_calls": [f"{name}={calls[name]}" for name in sorted(calls)],
    }


def audit(entry: pb.AuditEntry) -> dict[str, Any]:
    """Returns the row of an audit entry."""
    return {
        "when": datetime.fromtimestamp(entry.at, UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
        "actor": entry.identity or entry.actor,
        "action": entry.action,
        "object": f"{_short_enum_name(pb.Kind.Name(entry.kind))}/{entry.name}",
        "versions": f"{entry.version_before} -> {entry.version_after}",
        "outcome": Code(entry.code).name.lower(),
        "changes": "; ".join(entry.changes),
    }


def event(message: pb.ConfigurationEvent) -> str:
    """Returns the line for an event of a watch."""
    kind = _short_enum_name(pb.Kind.Name(message.kind))
    state = "deleted" if message.deleted else "applied"
    return f"{kind} {message.name} version={message.version} {state}"


def _source(response: pb.ServiceResponse | pb.GroupResponse) -> str:
    return "instance" if response.from_instance else "platform"


def _short_enum_name(name: str) -> str:
    return name.rsplit("_", 1)[-1].lower()
