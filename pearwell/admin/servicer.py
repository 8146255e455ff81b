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

_T = TypeVar("_T")
_Context = grpc.aio.ServicerContext
_log = structlog.get_logger()


def _coded(
    handler: Callable[["AdminServicer", Any, _Context], Awaitable[_T]],
) -> Callable[["AdminServicer", Any, _Context], Awaitable[_T]]:
    """Converts a PearwellError of a handler to a gRPC status with the error's code."""

    @functools.wraps(handler)
    async def coded(self: "AdminServicer", request: Any, context: _Context) -> _T:
        try:
            return await handler(self, request, context)
        except PearwellError as error:
            status = codec.STATUSES.get(error.code, grpc.StatusCode.FAILED_PRECONDITION)
            await context.abort(status, str(error), codec.code_metadata(error.code))
            raise

    return coded


class AdminServicer(admin_pb2_grpc.AdminServiceServicer):
    """Serves AdminService.

    Args:
        editor: Reads and changes the configuration in the platform.
        state: State of the instance.
        in_force: Source of reports on the versions that instances hold.
        written: Called with each object that this instance has written.
    """

    def __init__(
        self,
        editor: ConfigurationEditor,
        state: InstanceState,
        in_force: InForceSource | None = None,
        written: Callable[[Document], None] = lambda document: None,
    ) -> None:
        self._editor = editor
        self._state = state
        self._in_force = in_force or EmptyInForceSource()
        self._written = written
        self._refusals = RefusalLog()
        self._audit = AuditReader(editor, self._refusals)
        self._reader = ConfigurationReader(editor, lambda: state.configuration)

    @_coded
    async def CreateService(
        self, request: pb.CreateServiceRequest, context: _Context
    ) -> pb.ServiceResponse:
        """Creates a service."""
        spec = codec.service_from_proto(request.service)
        order = _order(request, context, Kind.SERVICE, spec.name, Action.CREATE)
        return await self._write_service(request, order, edits.create(spec))

    @_coded
    async def GetService(self, request: pb.GetRequest, context: _Context) -> pb.ServiceResponse:
        """Returns a service."""
        found = await self._reader.get(Kind.SERVICE, request.name)
        return codec.service_response(found.documents[0], from_instance=found.from_instance)

    @_coded
    async def ListServices(
        self, request: pb.ListRequest, context: _Context
    ) -> pb.ListServicesResponse:
        """Returns a page of services."""
        found = await self._reader.page(Kind.SERVICE, _page_size(request), request.page_token)
        local = found.from_instance
        items = [codec.service_response(each, from_instance=local) for each in found.documents]
        return pb.ListServicesResponse(services=items, next_page_token=found.next_token)

    @_coded
    async def UpdateService(
        self, request: pb.UpdateServiceRequest, context: _Context
    ) -> pb.ServiceResponse:
        """Replaces a service."""
        spec = codec.service_from_proto(request.service)
        order = _order(request, context, Kind.SERVICE, spec.name, Action.UPDATE)
        return await self._write_service(request, order, edits.update(spec))

    @_coded
    async def DeleteService(
        self, request: pb.DeleteRequest, context: _Context
    ) -> pb.DeleteResponse:
        """Deletes a service."""
        return await self._delete(request, context, Kind.SERVICE)

    @_coded
    async def CreateGroup(
        self, request: pb.CreateGroupRequest, context: _Context
    ) -> pb.GroupResponse:
        """Creates a target group."""
        spec = codec.group_from_proto(request.group)
        order = _order(request, context, Kind.GROUP, spec.name, Action.CREATE)
        return await self._write_group(request, order, edits.create(spec))

    @_coded
    async def GetGroup(self, request: pb.GetRequest, context: _Context) -> pb.GroupResponse:
        """Returns a target group."""
        found = await self._reader.get(Kind.GROUP, request.name)
        return codec.group_response(found.documents[0], from_instance=found.from_instance)

    @_coded
    async def ListGroups(self, request: pb.ListRequest, context: _Context) -> pb.ListGroupsResponse:
        """Returns a page of target groups."""
        found = await self._reader.page(Kind.GROUP, _page_size(request), request.page_token)
        local = found.from_instance
        items = [codec.group_response(each, from_instance=local) for each in found.documents]
        return pb.ListGroupsResponse(groups=items, next_page_token=found.next_token)

    @_coded
    async def UpdateGroup(
        self, request: pb.UpdateGroupRequest, context: _Context
    ) -> pb.GroupResponse:
        """Replaces a target group."""
        spec = codec.group_from_proto(request.group)
        order = _order(request, context, Kind.GROUP, spec.name, Action.UPDATE)
        return await self._write_group(request, order, edits.update(spec))

    @_coded
    async def DeleteGroup(self, request: pb.DeleteRequest, context: _Context) -> pb.DeleteResponse:
        """Deletes a target group that no service uses."""
        return await self._delete(request, context, Kind.GROUP)

    @_coded
    async def PutTarget(self, request: pb.PutTargetRequest, context: _Context) -> pb.GroupResponse:
        """Adds or replaces a target."""
        edit = edits.put_target(request.group, codec.target_from_proto(request.target))
        return await self._edit_targets(request, context, Action.PUT_TARGET, edit)

    @_coded
    async def RemoveTarget(self, request: pb.TargetRequest, context: _Context) -> pb.GroupResponse:
        """Removes a target from its group."""
        edit = edits.remove_target(request.group, request.target)
        return await self._edit_targets(request, context, Action.REMOVE_TARGET, edit)

    @_coded
    async def DrainTarget(
        self, request: pb.DrainTargetRequest, context: _Context
    ) -> pb.GroupResponse:
        """Stops new flows to a target."""
        edit = edits.drain_target(request.group, request.target, request.deadline_s)
        return await self._edit_targets(request, context, Action.DRAIN_TARGET, edit)

    @_coded
    async def UndrainTarget(self, request: pb.TargetRequest, context: _Context) -> pb.GroupResponse:
        """Returns a draining target to service, so that it gets new flows again."""
        edit = edits.undrain_target(request.group, request.target)
        return await self._edit_targets(request, context, Action.UNDRAIN_TARGET, edit)

    @_coded
    async def ListInstances(
        self, request: pb.ListInstancesRequest, context: _Context
    ) -> pb.ListInstancesResponse:
        """Returns the members of the zone as this instance sees them."""
        members = [codec.member_to_proto(member) for member in self._state.view.members]
        return pb.ListInstancesResponse(
            zone=self._state.zone, answered_by=self._state.instance, instances=members
        )

    @_coded
    async def ListPlacements(
        self, request: pb.ListPlacementsRequest, context: _Context
    ) -> pb.ListPlacementsResponse:
        """Returns the placements that this instance applies."""
        placements = self._state.placements
        groups = [request.group] if request.group else sorted(placements)
        found = [codec.placement_to_proto(placements[g]) for g in groups if g in placements]
        return pb.ListPlacementsResponse(placements=found)

    @_coded
    async def GetInForce(self, request: pb.GetInForceRequest, context: _Context) -> pb.InForce:
        """Returns which instances hold a version."""
        kind = codec.kind_from_proto(request.kind)
        report = await self._wait(kind, request.name, request.version, request.wait_s)
        return codec.in_force_to_proto(report)

    @_coded
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

    @_coded
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
        """Streams the applied configuration; a slow reader gets only the latest of each object."""
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
        self, request: Any, order: WriteRequest, edit: Edit
    ) -> pb.ServiceResponse:
        outcome, report = await self._write(request, order, edit)
        made = codec.outcome_to_proto(outcome, report)
        return codec.service_response(outcome.document, outcome=made)

    async def _write_group(self, request: Any, order: WriteRequest, edit: Edit) -> pb.GroupResponse:
        outcome, report = await self._write(request, order, edit)
        made = codec.outcome_to_proto(outcome, report)
        return codec.group_response(outcome.document, outcome=made)

    async def _delete(
        self, request: pb.DeleteRequest, context: _Context, kind: Kind
    ) -> pb.DeleteResponse:
        order = _order(request, context, kind, request.name, Action.DELETE)
        outcome, report = await self._write(request, order, edits.remove(request.name))
        return pb.DeleteResponse(outcome=codec.outcome_to_proto(outcome, report))

    async def _edit_targets(
        self, request: Any, context: _Context, action: Action, edit: Edit
    ) -> pb.GroupResponse:
        order = _order(request, context, Kind.GROUP, request.group, action)
        return await self._write_group(request, order, edit)

    async def _write(
        self, request: Any, order: WriteRequest, edit: Edit
    ) -> tuple[WriteOutcome, InForceReport | None]:
        try:
            outcome = await self._editor.write(order, edit)
        except ConfigurationError as error:
            self._record_refusal(order, error)
            raise
        if not outcome.repeated:
            self._written(outcome.document)
        _log.info("configuration_changed", **_labels(order), version=outcome.version)
        if not request.write.wait_s:
            return outcome, None
        wait_s = request.write.wait_s
        return outcome, await self._wait(order.kind, order.name, outcome.version, wait_s)

    async def _wait(self, kind: Kind, name: str, version: int, wait_s: float) -> InForceReport:
        return await wait_until_in_force(self._in_force, kind, name, version, wait_s)

    def _record_refusal(self, order: WriteRequest, error: ConfigurationError) -> None:
        _log.warning("change_refused", **_labels(order), code=int(error.code), detail=error.detail)
        entry = AuditEntry(
            key=order.key,
            fingerprint=order.fingerprint,
            action=order.action,
            actor=order.actor,
            identity=order.identity,
            instance=self._state.instance,
            at=self._editor.wall_time(),
            changes=(error.detail,),
            version_before=order.expected_version or 0,
        )
        self._refusals.add(AuditRecord(order.kind, order.name, entry, 0, error.code))

    async def _audit_page(self, request: pb.ListAuditRequest) -> AuditPage:
        size = min(request.page_size or DEFAULT_AUDIT_PAGE_SIZE, MAX_PAGE_SIZE)
        if request.refused:
            return self._audit.read_refused(size, request.page_token)
        if request.name:
            return await self._audit.read_object(codec.kind_from_proto(request.kind), request.name)
        return await self._audit.read_all(size, request.page_token)


def _page_size(request: pb.ListRequest) -> int:
    return min(request.page_size or DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)


def _order(request: Any, context: _Context, kind: Kind, name: str, action: Action) -> WriteRequest:
    write = request.write
    exact = action in (Action.UPDATE, Action.DELETE)
    return WriteRequest(
        kind=kind,
        name=name,
        action=action,
        key=write.idempotency_key,
        fingerprint=codec.fingerprint(request),
        actor=write.actor,
        identity=_identity(context),
        expected_version=write.expected_version if exact else write.expected_version or None,
    )


def _identity(context: _Context) -> str:
    names = context.auth_context().get("x509_common_name", ())
    return next((name.decode(errors="replace") for name in names), "")


def _labels(order: WriteRequest) -> dict[str, str]:
    return {
        "kind": order.kind,
        "object": order.name,
        "action": order.action,
        "actor": order.actor,
        "identity": order.identity,
        "idempotency_key": order.key,
    }
