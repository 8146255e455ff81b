"""Translation between the messages of the admin schema and the internal data classes."""

from collections.abc import Mapping
from typing import Any

import grpc
from google.protobuf import json_format
from google.protobuf.message import Message as ProtoMessage
from xxhash import xxh3_128_hexdigest

from pearwell.configuration.audit import AuditRecord
from pearwell.configuration.document import Document
from pearwell.configuration.editor import WriteOutcome
from pearwell.configuration.in_force import MAX_LAGGING_NAMES, InForceReport
from pearwell.configuration.schema import (
    Spec,
    TargetModel,
    decode_spec,
    encode_spec,
    validate_model,
)
from pearwell.errors import Code, ConfigurationError
from pearwell.model.configuration import Configuration, Kind
from pearwell.model.group import GroupSpec, TargetSpec
from pearwell.model.membership import Member
from pearwell.model.placement import Placement
from pearwell.model.service import ServiceSpec
from pearwell.v1 import admin_pb2 as pb

__all__ = [
    "CODE_KEY",
    "CODE_NAME_KEY",
    "GRPC_STATUSES",
    "PROTO_KINDS",
    "code_metadata",
    "event_to_proto",
    "fingerprint",
    "group_from_proto",
    "group_response",
    "group_to_proto",
    "in_force_to_proto",
    "kind_from_proto",
    "kind_to_proto",
    "member_to_proto",
    "outcome_to_proto",
    "placement_to_proto",
    "record_to_proto",
    "service_from_proto",
    "service_response",
    "service_to_proto",
    "target_from_proto",
    "target_to_proto",
]

CODE_KEY = "pearwell-code"
CODE_NAME_KEY = "pearwell-code-name"

PROTO_KINDS: Mapping[Kind, pb.Kind] = {Kind.SERVICE: pb.KIND_SERVICE, Kind.GROUP: pb.KIND_GROUP}

_Status = grpc.StatusCode

# gRPC status by error code; other codes have FAILED_PRECONDITION.
GRPC_STATUSES: Mapping[Code, grpc.StatusCode] = {
    Code.CONFIG_INVALID: _Status.INVALID_ARGUMENT,
    Code.CONFIG_BAD_NAME: _Status.INVALID_ARGUMENT,
    Code.CONFIG_EMPTY_GROUP: _Status.INVALID_ARGUMENT,
    Code.CONFIG_WEIGHT_RANGE: _Status.INVALID_ARGUMENT,
    Code.CONFIG_TARGET_OVERLAP: _Status.INVALID_ARGUMENT,
    Code.CONFIG_NOT_FOUND: _Status.NOT_FOUND,
    Code.CONFIG_ALREADY_EXISTS: _Status.ALREADY_EXISTS,
    Code.CONFIG_CONFLICT: _Status.ABORTED,
    Code.CONFIG_NOT_IN_FORCE: _Status.DEADLINE_EXCEEDED,
    Code.PLATFORM_UNAVAILABLE: _Status.UNAVAILABLE,
    Code.PLATFORM_TIMEOUT: _Status.UNAVAILABLE,
    Code.PLATFORM_RETRY_BUDGET: _Status.UNAVAILABLE,
    Code.PLATFORM_BAD_ANSWER: _Status.INTERNAL,
    Code.PLATFORM_TOO_LARGE: _Status.RESOURCE_EXHAUSTED,
    Code.INVARIANT_VIOLATED: _Status.INTERNAL,
}


def code_metadata(code: Code) -> tuple[tuple[str, str], ...]:
    """Returns the trailing metadata with an error code and its name."""
    return (CODE_KEY, str(int(code))), (CODE_NAME_KEY, code.name)


def fingerprint(request: Any) -> str:
    """Returns a hash of a write request that distinguishes a retry from a reused key."""
    canonical = type(request)()
    canonical.CopyFrom(request)
    canonical.write.ClearField("wait_s")
    canonical.write.ClearField("expected_version")
    content = canonical.SerializeToString(deterministic=True)
    return xxh3_128_hexdigest(type(request).__name__.encode() + b"\0" + content)


def kind_from_proto(kind: int) -> Kind:
    """Converts a kind; raises CONFIG_INVALID if it is unspecified or unknown."""
    for known_kind, proto_kind in PROTO_KINDS.items():
        if proto_kind == kind:
            return known_kind
    raise ConfigurationError(Code.CONFIG_INVALID, "kind: is required")


def kind_to_proto(kind: Kind) -> pb.Kind:
    """Converts a kind to its schema enum value."""
    return PROTO_KINDS[kind]


def service_from_proto(service: pb.Service) -> ServiceSpec:
    """Converts and validates a service; raises ConfigurationError."""
    spec = decode_spec(Kind.SERVICE, _message_fields(service))
    assert isinstance(spec, ServiceSpec)
    return spec


def group_from_proto(group: pb.Group) -> GroupSpec:
    """Converts and validates a group; raises ConfigurationError."""
    spec = decode_spec(Kind.GROUP, _message_fields(group))
    assert isinstance(spec, GroupSpec)
    return spec


def target_from_proto(target: pb.Target) -> TargetSpec:
    """Converts and validates a target; raises ConfigurationError."""
    return validate_model(TargetModel, "target", _message_fields(target)).to_spec()


def service_to_proto(spec: ServiceSpec) -> pb.Service:
    """Converts a service to its schema message."""
    fields = encode_spec(Kind.SERVICE, spec)
    fields["protocol"] = f"TRANSPORT_PROTOCOL_{fields['protocol'].upper()}"
    fields["preference"] = f"PREFERENCE_{fields['preference'].upper()}"
    return json_format.ParseDict(fields, pb.Service())


def group_to_proto(spec: GroupSpec) -> pb.Group:
    """Converts a group to its schema message."""
    fields = encode_spec(Kind.GROUP, spec)
    fields["targets"] = [_target_fields(target) for target in fields["targets"]]
    return json_format.ParseDict(fields, pb.Group())


def target_to_proto(spec: TargetSpec) -> pb.Target:
    """Converts a target to its schema message."""
    fields = TargetModel.model_validate(spec).model_dump(mode="json")
    return json_format.ParseDict(_target_fields(fields), pb.Target())


def service_response(document: Document, **fields: Any) -> pb.ServiceResponse:
    """Returns a response with a service, which is unset if it was deleted."""
    service = _spec_to_proto(document.spec, ServiceSpec)
    return pb.ServiceResponse(service=service, version=document.version, **fields)


def group_response(document: Document, **fields: Any) -> pb.GroupResponse:
    """Returns a response with a group, which is unset if it was deleted."""
    group = _spec_to_proto(document.spec, GroupSpec)
    return pb.GroupResponse(group=group, version=document.version, **fields)


def outcome_to_proto(outcome: WriteOutcome, report: InForceReport | None) -> pb.WriteOutcome:
    """Converts the outcome of a write to its schema message."""
    in_force = None if report is None else in_force_to_proto(report)
    return pb.WriteOutcome(version=outcome.version, repeated=outcome.repeated, in_force=in_force)


def in_force_to_proto(report: InForceReport) -> pb.InForce:
    """Converts a report to its schema message; truncates lagging to MAX_LAGGING_NAMES."""
    zones = [
        pb.ZoneInForce(
            zone=zone.zone,
            instances=zone.instances,
            holding=zone.holding,
            lagging=zone.lagging[:MAX_LAGGING_NAMES],
            age_s=zone.age_s,
        )
        for zone in report.zones
    ]
    return pb.InForce(version=report.version, everywhere=report.everywhere, zones=zones)


def event_to_proto(configuration: Configuration, kind: Kind, name: str) -> pb.ConfigurationEvent:
    """Returns a watch event with the applied state of an object."""
    spec = configuration.find(kind, name)
    return pb.ConfigurationEvent(
        kind=PROTO_KINDS[kind],
        name=name,
        version=configuration.versions[kind, name],
        deleted=spec is None,
        service=_spec_to_proto(spec, ServiceSpec),
        group=_spec_to_proto(spec, GroupSpec),
    )


def member_to_proto(member: Member) -> pb.Instance:
    """Converts a member to its schema message."""
    return pb.Instance(
        instance=member.instance,
        address=member.address,
        state=member.state.name.lower(),
        incarnation=member.incarnation,
    )


def placement_to_proto(placement: Placement) -> pb.Placement:
    """Returns the summary of a placement as a schema message."""
    counts = [0] * len(placement.targets)
    for index in placement.current:
        counts[index] += 1
    targets = [
        pb.PlacedTarget(
            name=target.name,
            address=target.address,
            state=target.state.name.lower(),
            weight=target.weight,
            buckets=count,
        )
        for target, count in zip(placement.targets, counts, strict=True)
    ]
    tables = zip(placement.base, placement.current, placement.upcoming, strict=True)
    return pb.Placement(
        group=placement.group,
        zone=placement.zone,
        generation=placement.generation.counter,
        written_by=placement.generation.instance,
        phase=placement.phase.name.lower(),
        targets=targets,
        buckets=len(placement.current),
        moving_buckets=sum(not base == current == upcoming for base, current, upcoming in tables),
    )


def record_to_proto(record: AuditRecord) -> pb.AuditEntry:
    """Converts an audit record to its schema message."""
    entry = record.entry
    return pb.AuditEntry(
        kind=PROTO_KINDS[record.kind],
        name=record.name,
        at=entry.at,
        actor=entry.actor,
        identity=entry.identity,
        instance=entry.instance,
        action=entry.action,
        changes=entry.changes,
        version_before=entry.version_before,
        version_after=record.version_after,
        idempotency_key=entry.key,
        code=record.code,
    )


def _target_fields(fields: dict[str, Any]) -> dict[str, Any]:
    return fields | {"intent": f"TARGET_INTENT_{fields['intent'].upper()}"}


def _message_fields(message: ProtoMessage) -> dict[str, Any]:
    return json_format.MessageToDict(message, preserving_proto_field_name=True)


def _spec_to_proto(spec: Spec | None, spec_type: type[Spec]) -> Any:
    if not isinstance(spec, spec_type):
        return None
    return service_to_proto(spec) if isinstance(spec, ServiceSpec) else group_to_proto(spec)
