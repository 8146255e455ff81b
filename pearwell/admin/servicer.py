"""gRPC servicer of the admin API, which operators and their tools call."""

import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeVar

import grpc
import structlog

from pearwell.admin import codec as codec
from pearwell.admin.instance_state import InstanceState
from pearwell.configuration import edits
from pearwell.configuration.audit import Action, AuditEntry, AuditRecord, RefusalLog
from pearwell.configuration.audit_reader import AuditPage, AuditReader
from pearwell.configuration.document import Document
from pearwell.configuration.editor import (
    MAX_PAGE_SIZE,
    ConfigurationEditor,
    WriteOutcome,
    WriteRequest,
)
from pearwell.configuration.edits import Edit
from pearwell.configuration.in_force import (
    EmptyInForceSource,
    InForceReport,
    InForceSource,
    wait_until_in_force,
)
from pearwell.configuration.reader import ConfigurationReader
from pearwell.errors import ConfigurationError, PearwellError
from pearwell.model.configuration import Kind
from pearwell.v1 import admin_pb2 as pb
from pearwell.v1 import admin_pb2_grpc

__all__ = ["AdminServicer"]

DEFAULT_PAGE_SIZE = 100
DEFAULT_AUDIT_PAGE_SIZE = 50

_ResponseT = TypeVar("_ResponseT")
_Context = grpc.aio.ServicerContext
_log = structlog.get_logger()


def _with_grpc_status(
    handler: Callable[["AdminServicer", Any, _Context], Awaitable[_ResponseT]],
) -> Callable[["AdminServicer", Any, _Context], Awaitable[_ResponseT]]:
    """Converts a PearwellError of a handler to a gRPC status with the error's code."""

    @functools.wraps(handler)
    async def wrapper(self: "AdminServicer", request: Any, context: _Context) -> _ResponseT:
        try:
            return await handler(self, request, context)
        except PearwellError as error:
            status = codec.GRPC_STATUSES.get(error.code, grpc.StatusCode.FAILED_PRECONDITION)
            await context.abort(status, str(error), codec.code_metadata(error.code))
            raise

    return wrapper


class AdminServicer(admin_pb2_grpc.AdminServiceServicer):
    """Serves AdminService.

    Args:
        editor: Reads and changes the configuration in the platform.
        state: State of the instance.
        in_force: Source of reports on the versions that instances hold.
        on_written: Called with each object that this instance has written.
    """

    def __init__(
        self,
        editor: ConfigurationEditor,
        state: InstanceState,
        in_force: InForceSource | None = None,
        on_written: Callable[[Document], None] = lambda document: None,
    ) -> None:
        self._editor = editor
        self._state = state
        self._in_force = in_force or EmptyInForceSource()
        self._on_written = on_written
        self._refusals = RefusalLog()
        self._audit = AuditReader(editor, self._refusals)
        self._reader = ConfigurationReader(editor, lambda: state.configuration)

    @_with_grpc_status
    async def CreateService(
        self, request: pb.CreateServiceRequest, context: _Context
    ) -> pb.ServiceResponse:
        """Creates a service."""
        spec = codec.service_from_proto(request.service)
        write_request = _write_request(request, context, Kind.SERVICE, spec.name, Action.CREATE)
        return await self._write_service(request, write_request, edits.create(spec))

    @_with_grpc_status
    async def GetService(self, request: pb.GetRequest, context: _Context) -> pb.ServiceResponse:
        """Returns a service."""
        result = await self._reader.get(Kind.SERVICE, request.name)
        return codec.service_response(result.documents[0], from_instance=result.from_instance)

    @_with_grpc_status
    async def ListServices(
        self, request: pb.ListRequest, context: _Context
    ) -> pb.ListServicesResponse:
        """Returns a page of services."""
        result = await self._reader.page(Kind.SERVICE, _page_size(request), request.page_token)
        from_instance = result.from_instance
        items = [
            codec.service_response(document, from_instance=from_instance)
            for document in result.documents
        ]
        return pb.ListServicesResponse(services=items, next_page_token=result.next_token)

    @_with_grpc_status
    async def UpdateService(
        self, request: pb.UpdateServiceRequest, context: _Context
    ) -> pb.ServiceResponse:
        """Replaces a service."""
        spec = codec.service_from_proto(request.service)
        write_request = _write_request(request, context, Kind.SERVICE, spec.name, Action.UPDATE)
        return await self._write_service(request, write_request, edits.update(spec))

    @_with_grpc_status
    async def DeleteService(
        self, request: pb.DeleteRequest, context: _Context
    ) -> pb.DeleteResponse:
        """Deletes a service."""
        return await self._delete(request, context, Kind.SERVICE)

    @_with_grpc_status
    async def CreateGroup(
        self, request: pb.CreateGroupRequest, context: _Context
    ) -> pb.GroupResponse:
        """Creates a target group."""
        spec = codec.group_from_proto(request.group)
        write_request = _write_request(request, context, Kind.GROUP, spec.name, Action.CREATE)
        return await self._write_group(request, write_request, edits.create(spec))

    @_with_grpc_status
    async def GetGroup(self, request: pb.GetRequest, context: _Context) -> pb.GroupResponse:
        """Returns a target group."""
        result = await self._reader.get(Kind.GROUP, request.name)
        return codec.group_response(result.documents[0], from_instance=result.from_instance)

    @_with_grpc_status
    async def ListGroups(self, request: pb.ListRequest, context: _Context) -> pb.ListGroupsResponse:
        """Returns a page of target groups."""
        result = await self._reader.page(Kind.GROUP, _page_size(request), request.page_token)
        from_instance = result.from_instance
        items = [
            codec.group_response(document, from_instance=from_instance)
            for document in result.documents
        ]
        return pb.ListGroupsResponse(groups=items, next_page_token=result.next_token)

    @_with_grpc_status
    async def UpdateGroup(
        self, request: pb.UpdateGroupRequest, context: _Context
    ) -> pb.GroupResponse:
        """Replaces a target group."""
        spec = codec.group_from_proto(request.group)
        write_request = _write_request(request, context, Kind.GROUP, spec.name, Action.UPDATE)
        return await self._write_group(request, write_request, edits.update(spec))

    @_with_grpc_status
    async def DeleteGroup(self, request: pb.DeleteRequest, context: _Context) -> pb.DeleteResponse:
        """Deletes a target group that no service uses."""
        return await self._delete(request, context, Kind.GROUP)

    @_with_grpc_status
    async def PutTarget(self, request: pb.PutTargetRequest, context: _Context) -> pb.GroupResponse:
        """Adds or replaces a target."""
        edit = edits.put_target(request.group, codec.target_from_proto(request.target))
        return await self._edit_targets(request, context, Action.PUT_TARGET, edit)

    @_with_grpc_status
    async def RemoveTarget(self, request: pb.TargetRequest, context: _Context) -> pb.GroupResponse:
        """Removes a target from its group."""
        edit = edits.remove_target(request.group, request.target)
        return await self._edit_targets(request, context, Action.REMOVE_TARGET, edit)

    @_with_grpc_status
    async def DrainTarget(
        self, request: pb.DrainTargetRequest, context: _Context
    ) -> pb.GroupResponse:
        """Stops new flows to a target."""
        edit = edits.drain_target(request.group, request.target, request.deadline_s)
        return await self._edit_targets(request, context, Action.DRAIN_TARGET, edit)

    @_with_grpc_status
    async def UndrainTarget(self, request: pb.TargetRequest, context: _Context) -> pb.GroupResponse:
        """Returns a draining target to service, so that it gets new flows again."""
        edit = edits.undrain_target(request.group, request.target)
        return await self._edit_targets(request, context, Action.UNDRAIN_TARGET, edit)

    @_with_grpc_status
    async def ListInstances(
        self, request: pb.ListInstancesRequest, context: _Context
    ) -> pb.ListInstancesResponse:
        """Returns the members of the zone as this instance sees them."""
        members = [codec.member_to_proto(member) for member in self._state.view.members]
        return pb.ListInstancesResponse(
            zone=self._state.zone, answered_by=self._state.instance, instances=members
        )

    @_with_grpc_status
    async def ListPlacements(
        self, request: pb.ListPlacementsRequest, context: _Context
    ) -> pb.ListPlacementsResponse:
        """Returns the placements that this instance applies."""
        placements = self._state.placements
        groups = [request.group] if request.group else sorted(placements)
        result = [codec.placement_to_proto(placements[g]) for g in groups if g in placements]
        return pb.ListPlacementsResponse(placements=result)

    @_with_grpc_status
    async def GetInForce(self, request: pb.GetInForceRequest, context: _Context) -> pb.InForce:
        """Returns which instances hold a version."""
        kind = codec.kind_from_proto(request.kind)
        report = await self._wait_until_in_force(
            kind, request.name, request.version, request.wait_s
        )
        return codec.in_force_to_proto(report)

    @_with_grpc_status
    async def GetStatus(
        self, request: pb.GetStatusRequest, context: _Context
    ) -> pb.GetStatusResponse:
        """Returns the status of this instance."""
        state = self._state
        return pb.GetStatusResponse(
            instance=state.instance,
            region=state.region,
            zone=state.zone,
            services=len(state.configuration.services),
            groups=len(state.configuration.groups),
            applied_version=max(state.configuration.versions.values(), default=0),
            relay=state.is_relay(),
            platform_reachable=state.platform_reachable(),
            instances=len(state.view.members),
            platform_calls=state.platform_calls(),
        )

    @_with_grpc_status
    async def ListAudit(
        self, request: pb.ListAuditRequest, context: _Context
    ) -> pb.ListAuditResponse:
        """Returns a page of the audit trail."""
        page = await self._audit_page(request)
        entries = [codec.record_to_proto(record) for record in page.records]
        return pb.ListAuditResponse(entries=entries, next_page_token=page.next_token)

    async def Watch(
        self, request: pb.WatchRequest, context: _Context
    ) -> AsyncIterator[pb.ConfigurationEvent]:
        """Streams the applied configuration; a slow reader skips older versions."""
        state = self._state
        seen = dict(state.configuration.versions) if request.changes_only else {}
        while True:
            configuration = state.configuration
            for key, version in sorted(configuration.versions.items(), key=lambda item: item[1]):
                if version > seen.get(key, 0):
                    seen[key] = version
                    yield codec.event_to_proto(configuration, *key)
            if configuration is state.configuration:
                await state.wait_changed()

    async def _write_service(
        self, request: Any, write_request: WriteRequest, edit: Edit
    ) -> pb.ServiceResponse:
        outcome, report = await self._write(request, write_request, edit)
        outcome_message = codec.outcome_to_proto(outcome, report)
        return codec.service_response(outcome.document, outcome=outcome_message)

    async def _write_group(
        self, request: Any, write_request: WriteRequest, edit: Edit
    ) -> pb.GroupResponse:
        outcome, report = await self._write(request, write_request, edit)
        outcome_message = codec.outcome_to_proto(outcome, report)
        return codec.group_response(outcome.document, outcome=outcome_message)

    async def _delete(
        self, request: pb.DeleteRequest, context: _Context, kind: Kind
    ) -> pb.DeleteResponse:
        write_request = _write_request(request, context, kind, request.name, Action.DELETE)
        outcome, report = await self._write(request, write_request, edits.remove(request.name))
        return pb.DeleteResponse(outcome=codec.outcome_to_proto(outcome, report))

    async def _edit_targets(
        self, request: Any, context: _Context, action: Action, edit: Edit
    ) -> pb.GroupResponse:
        write_request = _write_request(request, context, Kind.GROUP, request.group, action)
        return await self._write_group(request, write_request, edit)

    async def _write(
        self, request: Any, write_request: WriteRequest, edit: Edit
    ) -> tuple[WriteOutcome, InForceReport | None]:
        try:
            outcome = await self._editor.write(write_request, edit)
        except ConfigurationError as error:
            self._record_refusal(write_request, error)
            raise
        if not outcome.repeated:
            self._on_written(outcome.document)
        _log.info("configuration_changed", **_log_fields(write_request), version=outcome.version)
        if not request.write.wait_s:
            return outcome, None
        wait_s = request.write.wait_s
        return outcome, await self._wait_until_in_force(
            write_request.kind, write_request.name, outcome.version, wait_s
        )

    async def _wait_until_in_force(
        self, kind: Kind, name: str, version: int, wait_s: float
    ) -> InForceReport:
        return await wait_until_in_force(self._in_force, kind, name, version, wait_s)

    def _record_refusal(self, write_request: WriteRequest, error: ConfigurationError) -> None:
        _log.warning(
            "change_refused",
            **_log_fields(write_request),
            code=int(error.code),
            detail=error.detail,
        )
        entry = AuditEntry(
            key=write_request.key,
            fingerprint=write_request.fingerprint,
            action=write_request.action,
            actor=write_request.actor,
            identity=write_request.identity,
            instance=self._state.instance,
            at=self._editor.wall_time(),
            changes=(error.detail,),
            version_before=write_request.expected_version or 0,
        )
        self._refusals.add(
            AuditRecord(write_request.kind, write_request.name, entry, 0, error.code)
        )

    async def _audit_page(self, request: pb.ListAuditRequest) -> AuditPage:
        size = min(request.page_size or DEFAULT_AUDIT_PAGE_SIZE, MAX_PAGE_SIZE)
        if request.refused:
            return self._audit.read_refused(size, request.page_token)
        if request.name:
            return await self._audit.read_object(codec.kind_from_proto(request.kind), request.name)
        return await self._audit.read_all(size, request.page_token)


def _page_size(request: pb.ListRequest) -> int:
    return min(request.page_size or DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)


def _write_request(
    request: Any, context: _Context, kind: Kind, name: str, action: Action
) -> WriteRequest:
    write = request.write
    version_required = action in (Action.UPDATE, Action.DELETE)
    return WriteRequest(
        kind=kind,
        name=name,
        action=action,
        key=write.idempotency_key,
        fingerprint=codec.fingerprint(request),
        actor=write.actor,
        identity=_identity(context),
        expected_version=(
            write.expected_version if version_required else write.expected_version or None
        ),
    )


def _identity(context: _Context) -> str:
    names = context.auth_context().get("x509_common_name", ())
    return next((name.decode(errors="replace") for name in names), "")


def _log_fields(write_request: WriteRequest) -> dict[str, str]:
    return {
        "kind": write_request.kind,
        "object": write_request.name,
        "action": write_request.action,
        "actor": write_request.actor,
        "identity": write_request.identity,
        "idempotency_key": write_request.key,
    }
