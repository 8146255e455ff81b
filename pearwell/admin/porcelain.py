"""Porcelain: one async function per operator command, for use in other programs.

Arguments are data classes and results are messages of the schema. Every write has an idempotency
key, which is generated if the caller gives none. Retry a failed write with the key of its first
attempt; the retry may go to any instance.
"""

import uuid
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from pearwell.admin.client import AdminClient
from pearwell.admin.codec import PROTO_KINDS, group_to_proto, service_to_proto, target_to_proto
from pearwell.model.configuration import Kind
from pearwell.model.group import GroupSpec, TargetSpec
from pearwell.model.service import ServiceSpec
from pearwell.v1 import admin_pb2 as pb

__all__ = [
    "AdminClient",
    "WriteOptions",
    "create_group",
    "create_service",
    "delete_group",
    "delete_service",
    "drain_target",
    "get_group",
    "get_in_force",
    "get_service",
    "get_status",
    "list_audit",
    "list_groups",
    "list_instances",
    "list_placements",
    "list_services",
    "put_target",
    "remove_target",
    "undrain_target",
    "update_group",
    "update_service",
    "watch",
]


@dataclass(frozen=True, slots=True)
class WriteOptions:
    """Options of a write.

    Attributes:
        actor: Author of the change.
        key: Idempotency key.
        expected_version: Version that the change is based on; 0 for a creation, and for any version
            in changes of targets.
        wait_s: Time in seconds to wait until the change is in force everywhere.
    """

    actor: str
    key: str = field(default_factory=lambda: uuid.uuid4().hex)
    expected_version: int = 0
    wait_s: float = 0.0

    def to_proto(self) -> pb.WriteOptions:
        """Converts the options to their schema message."""
        return pb.WriteOptions(
            idempotency_key=self.key,
            actor=self.actor,
            expected_version=self.expected_version,
            wait_s=self.wait_s,
        )


async def create_service(
    client: AdminClient, service: ServiceSpec, write: WriteOptions
) -> pb.ServiceResponse:
    """Creates a service."""
    request = pb.CreateServiceRequest(service=service_to_proto(service), write=write.to_proto())
    return await client.call("CreateService", request, write.wait_s)


async def get_service(client: AdminClient, name: str) -> pb.ServiceResponse:
    """Returns a service with its version."""
    return await client.call("GetService", pb.GetRequest(name=name))


async def list_services(client: AdminClient) -> list[pb.ServiceResponse]:
    """Returns all services, fetched in pages."""
    pages = [page async for page in _pages(client, "ListServices")]
    return [service for page in pages for service in page.services]


async def update_service(
    client: AdminClient, service: ServiceSpec, write: WriteOptions
) -> pb.ServiceResponse:
    """Replaces a service at the expected version."""
    request = pb.UpdateServiceRequest(service=service_to_proto(service), write=write.to_proto())
    return await client.call("UpdateService", request, write.wait_s)


async def delete_service(client: AdminClient, name: str, write: WriteOptions) -> pb.DeleteResponse:
    """Deletes a service at the expected version."""
    request = pb.DeleteRequest(name=name, write=write.to_proto())
    return await client.call("DeleteService", request, write.wait_s)


async def create_group(
    client: AdminClient, group: GroupSpec, write: WriteOptions
) -> pb.GroupResponse:
    """Creates a target group."""
    request = pb.CreateGroupRequest(group=group_to_proto(group), write=write.to_proto())
    return await client.call("CreateGroup", request, write.wait_s)


async def get_group(client: AdminClient, name: str) -> pb.GroupResponse:
    """Returns a target group with its version."""
    return await client.call("GetGroup", pb.GetRequest(name=name))


async def list_groups(client: AdminClient) -> list[pb.GroupResponse]:
    """Returns all target groups, fetched in pages."""
    pages = [page async for page in _pages(client, "ListGroups")]
    return [group for page in pages for group in page.groups]


async def update_group(
    client: AdminClient, group: GroupSpec, write: WriteOptions
) -> pb.GroupResponse:
    """Replaces a target group at the expected version."""
    request = pb.UpdateGroupRequest(group=group_to_proto(group), write=write.to_proto())
    return await client.call("UpdateGroup", request, write.wait_s)


async def delete_group(client: AdminClient, name: str, write: WriteOptions) -> pb.DeleteResponse:
    """Deletes a target group at the expected version."""
    request = pb.DeleteRequest(name=name, write=write.to_proto())
    return await client.call("DeleteGroup", request, write.wait_s)


async def put_target(
    client: AdminClient, group: str, target: TargetSpec, write: WriteOptions
) -> pb.GroupResponse:
    """Adds a target to a group, or replaces the target of that name."""
    request = pb.PutTargetRequest(
        group=group, target=target_to_proto(target), write=write.to_proto()
    )
    return await client.call("PutTarget", request, write.wait_s)


async def remove_target(
    client: AdminClient, group: str, target: str, write: WriteOptions
) -> pb.GroupResponse:
    """Removes a target from a group."""
    request = pb.TargetRequest(group=group, target=target, write=write.to_proto())
    return await client.call("RemoveTarget", request, write.wait_s)


async def drain_target(
    client: AdminClient, group: str, target: str, write: WriteOptions, deadline_s: float = 0.0
) -> pb.GroupResponse:
    """Stops new flows to a target; it keeps its flows until they end or the deadline passes."""
    request = pb.DrainTargetRequest(
        group=group, target=target, deadline_s=deadline_s, write=write.to_proto()
    )
    return await client.call("DrainTarget", request, write.wait_s)


async def undrain_target(
    client: AdminClient, group: str, target: str, write: WriteOptions
) -> pb.GroupResponse:
    """Returns a draining target to service, so that it gets new flows again."""
    request = pb.TargetRequest(group=group, target=target, write=write.to_proto())
    return await client.call("UndrainTarget", request, write.wait_s)


async def list_instances(client: AdminClient) -> pb.ListInstancesResponse:
    """Returns the members of the zone of the responding instance."""
    return await client.call("ListInstances", pb.ListInstancesRequest())


async def list_placements(client: AdminClient, group: str = "") -> list[pb.Placement]:
    """Returns the placements of one or all groups in the zone of the responding instance."""
    request = pb.ListPlacementsRequest(group=group)
    return list((await client.call("ListPlacements", request)).placements)


async def get_in_force(
    client: AdminClient, kind: Kind, name: str, version: int, wait_s: float = 0.0
) -> pb.InForce:
    """Returns which instances hold a version; waits up to wait_s seconds until all do."""
    request = pb.GetInForceRequest(
        kind=PROTO_KINDS[kind], name=name, version=version, wait_s=wait_s
    )
    return await client.call("GetInForce", request, wait_s)


async def get_status(client: AdminClient) -> pb.GetStatusResponse:
    """Returns the status of the responding instance."""
    return await client.call("GetStatus", pb.GetStatusRequest())


async def list_audit(
    client: AdminClient, kind: Kind | None = None, name: str = "", refused: bool = False
) -> list[pb.AuditEntry]:
    """Returns the audit trail of one or all objects, or the changes that an instance refused."""
    request = pb.ListAuditRequest(name=name, refused=refused)
    if kind is not None:
        request.kind = PROTO_KINDS[kind]
    entries: list[pb.AuditEntry] = []
    while True:
        page = await client.call("ListAudit", request)
        entries.extend(page.entries)
        if not page.next_page_token:
            return entries
        request.page_token = page.next_page_token


def watch(client: AdminClient, changes_only: bool = False) -> AsyncIterator[pb.ConfigurationEvent]:
    """Streams the configuration that the responding instance applies."""
    return client.stream("Watch", pb.WatchRequest(changes_only=changes_only))


async def _pages(client: AdminClient, method: str) -> AsyncIterator[Any]:
    request = pb.ListRequest()
    while True:
        page = await client.call(method, request)
        yield page
        if not page.next_page_token:
            return
        request.page_token = page.next_page_token
