"""Tests of the admin API: pearwell.admin.servicer, server, porcelain and the command line."""

import asyncio
import contextlib
import json
import random
from collections import deque
from dataclasses import replace

import grpc
import pytest
import structlog
from grpc_health.v1 import health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection_pb2, reflection_pb2_grpc

from pearwell.admin import porcelain
from pearwell.admin.client import AdminClient
from pearwell.admin.instance_state import InstanceState
from pearwell.admin.porcelain import WriteOptions
from pearwell.admin.server import AdminServer, AdminService
from pearwell.admin.servicer import AdminServicer
from pearwell.cli import ctl
from pearwell.cli.commands import COMMANDS
from pearwell.clock import MonotonicClock
from pearwell.configuration.editor import ConfigurationEditor
from pearwell.configuration.in_force import ZoneReport
from pearwell.errors import Code, PearwellError, SettingsError
from pearwell.kernel import Kernel
from pearwell.messages import ConfigurationChanged, PlacementChanged, ViewChanged
from pearwell.model.configuration import Configuration, Kind
from pearwell.model.group import GroupSpec, HealthCheck, TargetSpec
from pearwell.model.membership import Member, View
from pearwell.model.placement import Generation, Phase, PlacedTarget, Placement
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.object_store import Fault, MemoryObjectStore, RetryingObjectStore, RetryPolicy
from pearwell.tls import TlsCredentials
from tests.addresses import loopback_address
from tests.certificates import Authority

ADDRESS = loopback_address()
PORT = 20900
SERVER = f"{ADDRESS}:{PORT}"
TARGETS = tuple(TargetSpec(f"t{n}", f"10.0.0.{n}", "pnw-a") for n in range(1, 3))
GROUP = GroupSpec("g", TARGETS, HealthCheck(port=8080), seed=2**64 - 1)
SERVICE = ServiceSpec("s", "10.1.0.1", 443, TransportProtocol.TCP, "g", spill_zones=("pnw-b",))
POLICY = RetryPolicy(attempt_timeout_s=0.2, deadline_s=0.5, first_backoff_s=0.01)


class CatchingUpInForceSource:
    """An InForceSource with one lagging instance fewer in each report."""

    def __init__(self, lagging=()):
        self._lagging = list(lagging)
        self._size = max(3, len(self._lagging))

    async def zone_reports(self, kind, name, version):
        lagging = tuple(self._lagging)
        if self._lagging:
            self._lagging.pop()
        return [ZoneReport("pnw-a", self._size, self._size - len(lagging), lagging)]


@contextlib.asynccontextmanager
async def running_server(store=None, state=None, in_force=None, tls=None):
    store = store or MemoryObjectStore()
    platform = RetryingObjectStore(store, MonotonicClock(), random.Random(1), POLICY)
    editor = ConfigurationEditor(platform, random.Random(1), "pnw-a-1", lambda: 1.7e9)
    servicer = AdminServicer(editor, state or InstanceState("pnw-a-1"), in_force)
    server = AdminServer(servicer, ADDRESS, PORT, tls and tls.server_credentials())
    # The server's log lines are captured, since they would mix with the output of commands.
    with structlog.testing.capture_logs():
        await server.start()
        try:
            async with AdminClient([f"{ADDRESS}:20901", SERVER]) as client:
                yield store, client
        finally:
            await server.stop()


async def create_objects(client):
    group = await porcelain.create_group(client, GROUP, WriteOptions("ada"))
    return group, await porcelain.create_service(client, SERVICE, WriteOptions("ada"))


async def pearwellctl(*arguments):
    return await asyncio.to_thread(ctl.run, ["pearwellctl", *arguments, f"--server={SERVER}"])


async def test_objects_are_created_updated_and_deleted_conditionally():
    async with running_server() as (_, client):
        group, service = await create_objects(client)
        assert [t.name for t in group.group.targets] == ["t1", "t2"]
        moved = replace(SERVICE, port=444)
        write = WriteOptions("ada", expected_version=service.version)
        updated = await porcelain.update_service(client, moved, write)
        assert (updated.service.port, updated.version > service.version) == (444, True)
        with pytest.raises(PearwellError) as refused:
            await porcelain.update_service(client, moved, replace(write, key="other"))
        assert refused.value.code is Code.CONFIG_CONFLICT
        retried = await porcelain.update_service(client, moved, write)
        assert (retried.outcome.repeated, retried.version) == (True, updated.version)
        found = await porcelain.get_service(client, "s")
        assert (found.service, found.from_instance) == (updated.service, False)
        assert [s.service.name for s in await porcelain.list_services(client)] == ["s"]
        last = WriteOptions("ada", expected_version=updated.version)
        await porcelain.delete_service(client, "s", last)
        assert await porcelain.list_services(client) == []
        last = WriteOptions("ada", expected_version=group.version)
        await porcelain.delete_group(client, "g", last)
        audit = await porcelain.list_audit(client)
        assert [(e.name, e.action) for e in audit] == [
            ("s", "delete"),
            ("s", "update"),
            ("s", "create"),
            ("g", "delete"),
            ("g", "create"),
        ]
        assert list(audit[1].changes) == ["port: 443 -> 444"]
        refusals = await porcelain.list_audit(client, refused=True)
        assert [(e.code, e.version_after) for e in refusals] == [(303, 0)]


async def test_targets_are_put_drained_undrained_and_removed():
    async with running_server() as (_, client):
        await create_objects(client)
        spare = TargetSpec("t3", "10.0.0.3", "pnw-a", weight=50)
        added = await porcelain.put_target(client, "g", spare, WriteOptions("ada"))
        assert [t.name for t in added.group.targets] == ["t1", "t2", "t3"]
        drained = await porcelain.drain_target(client, "g", "t1", WriteOptions("ada"), 60.0)
        assert [t.intent for t in drained.group.targets] == [2, 1, 1]
        assert drained.group.targets[0].drain_deadline_s == 60.0
        undrained = await porcelain.undrain_target(client, "g", "t1", WriteOptions("ada"))
        assert [t.intent for t in undrained.group.targets] == [1, 1, 1]
        removed = await porcelain.remove_target(client, "g", "t1", WriteOptions("ada"))
        assert [t.name for t in removed.group.targets] == ["t2", "t3"]


async def test_a_request_that_waits_reports_what_is_in_force():
    async with running_server(in_force=CatchingUpInForceSource(["pnw-a-2", "pnw-a-3"])) as (
        _,
        client,
    ):
        made = await porcelain.create_group(client, GROUP, WriteOptions("ada", wait_s=5.0))
        assert made.outcome.in_force.everywhere
    async with running_server(
        in_force=CatchingUpInForceSource([f"pnw-a-{n}" for n in range(9)])
    ) as (_, client):
        made = await porcelain.create_group(client, GROUP, WriteOptions("ada", wait_s=0.2))
        assert not made.outcome.in_force.everywhere
        zone = made.outcome.in_force.zones[0]
        assert (zone.zone, zone.instances, zone.holding) == ("pnw-a", 9, 1)


async def test_reads_fall_back_to_the_instance_while_the_platform_is_down():
    applied = Configuration(
        {"s": SERVICE}, {"g": GROUP}, {(Kind.SERVICE, "s"): 7, (Kind.GROUP, "g"): 5}
    )
    async with running_server(state=InstanceState("pnw-a-1", configuration=applied)) as (
        store,
        client,
    ):
        store.faults.outage = True
        service = await porcelain.get_service(client, "s")
        assert (service.version, service.from_instance) == (7, True)
        assert [g.group.name for g in await porcelain.list_groups(client)] == ["g"]
        with pytest.raises(PearwellError) as refused:
            await porcelain.drain_target(client, "g", "t1", WriteOptions("ada"))
        assert refused.value.code is Code.PLATFORM_UNAVAILABLE
        store.faults.outage = False
        with pytest.raises(PearwellError) as refused:
            await porcelain.get_service(client, "s")
        assert refused.value.code is Code.CONFIG_NOT_FOUND


async def test_watch_streams_what_is_applied_and_then_changes():
    first = Configuration({}, {"g": GROUP}, {(Kind.GROUP, "g"): 1})
    state = InstanceState("pnw-a-1", configuration=first)
    async with running_server(state=state) as (_, client):
        events = porcelain.watch(client)
        seen = [await anext(events)]
        versions = {(Kind.GROUP, "g"): 1, (Kind.SERVICE, "s"): 2}
        state.apply(Configuration({"s": SERVICE}, {"g": GROUP}, versions))
        seen.append(await anext(events))
        state.apply(Configuration({}, {"g": GROUP}, versions | {(Kind.SERVICE, "s"): 3}))
        seen.append(await anext(events))
        await events.aclose()
        found = [(e.name, e.version, e.deleted, e.service.port) for e in seen]
        assert found == [("g", 1, False, 0), ("s", 2, False, 443), ("s", 3, True, 0)]


async def test_the_kernel_service_shows_views_and_placements_and_refuses_a_port_in_use():
    kernel = Kernel()
    state = InstanceState("pnw-a-1", zone="pnw-a")
    editor = ConfigurationEditor(MemoryObjectStore(), random.Random(1), "pnw-a-1")
    kernel.add(AdminService(editor, state, ADDRESS, PORT))
    await kernel.start()
    members = (Member("pnw-a-1", ADDRESS, 1, 2), Member("pnw-a-2", "127.20.0.3", 1, 2))
    targets = (PlacedTarget("t1", "10.0.0.1", 6080, 100), PlacedTarget("t2", "10.0.0.2", 6080, 50))
    kernel.publish(ViewChanged(View(members, 1)))
    tables = ((0, 0, 1), (0, 1, 1), (0, 1, 1))
    generation = Generation(4, "pnw-a-2")
    kernel.publish(
        PlacementChanged(Placement("g", "pnw-a", generation, Phase.ACTIVE, targets, *tables))
    )
    kernel.publish(ConfigurationChanged(Configuration({}, {"g": GROUP}, {(Kind.GROUP, "g"): 9})))
    await asyncio.sleep(0)
    try:
        async with AdminClient([SERVER]) as client:
            zone = await porcelain.list_instances(client)
            assert [m.instance for m in zone.instances] == ["pnw-a-1", "pnw-a-2"]
            (placement,) = await porcelain.list_placements(client)
            assert [t.buckets for t in placement.targets] == [1, 2]
            assert (placement.phase, placement.moving_buckets) == ("active", 1)
            status = await porcelain.get_status(client)
            assert (status.groups, status.applied_version, status.instances) == (1, 9, 2)
        with pytest.raises(SettingsError) as refused:
            await AdminService(editor, state, ADDRESS, PORT).start(Kernel())
        assert refused.value.code is Code.SETTINGS_PORT_IN_USE
    finally:
        await kernel.stop()


async def test_mutual_tls_identifies_the_operator_and_rejects_others(tmp_path, capsys):
    authority = Authority(tmp_path)
    instance, ada = authority.issue("pnw-a-1"), authority.issue("ada")
    untrusted = Authority(tmp_path).issue("mallory")
    arguments = ("group", "create", "g", *GROUP_FLAGS, f"--server=pnw-a-1@{SERVER}")
    async with running_server(tls=TlsCredentials(instance)) as (store, _):
        assert await asyncio.to_thread(ctl.run, ["pearwellctl", *arguments]) == 7
        for key_pair in (untrusted, untrusted.model_copy(update={"authority": ada.authority})):
            given = ["pearwellctl", *arguments, *tls_flags(key_pair)]
            assert await asyncio.to_thread(ctl.run, given) == 7
        assert store.version == 0
        assert await asyncio.to_thread(ctl.run, ["pearwellctl", *arguments, *tls_flags(ada)]) == 0
        (stored,) = (await store.list("group")).items
        assert stored.value["audit"][0]["identity"] == "ada"
        unnamed = ["pearwellctl", "status", f"--server={SERVER}", *tls_flags(ada)]
        assert await asyncio.to_thread(ctl.run, unnamed) == 7


def tls_flags(settings):
    return [
        f"--tls_authority={settings.authority}",
        f"--tls_certificate={settings.certificate}",
        f"--tls_key={settings.key}",
    ]


async def test_health_and_reflection_are_served():
    async with running_server(), grpc.aio.insecure_channel(SERVER) as channel:
        request = health_pb2.HealthCheckRequest(service="pearwell.v1.AdminService")
        response = await health_pb2_grpc.HealthStub(channel).Check(request)
        assert response.status == health_pb2.HealthCheckResponse.SERVING
        reflection_request = reflection_pb2.ServerReflectionRequest(list_services="")
        stub = reflection_pb2_grpc.ServerReflectionStub(channel)
        async for found in stub.ServerReflectionInfo(iter([reflection_request])):
            names = [each.name for each in found.list_services_response.service]
        assert "pearwell.v1.AdminService" in names


GROUP_FLAGS = ("--target=name=t1,address=10.0.0.1,zone=pnw-a", "--health=port=8080")
SERVICE_FLAGS = ("--address=10.1.0.1", "--port=443", "--protocol=tcp", "--group=g")
SETUP = [("group create g", GROUP_FLAGS), ("service create s", SERVICE_FLAGS)]


@pytest.mark.parametrize(
    ("arguments", "options", "status", "text"),
    [
        ("service get s", (), 0, "443"),
        ("service list", (), 0, "10.1.0.1"),
        ("service update s", ("--limit=new_flows_per_s=5",), 0, "s"),
        ("service update s", ("--expected_version=1",), 4, "303 CONFIG_CONFLICT"),
        ("service update s", ("--group=none",), 3, "306 CONFIG_UNKNOWN_GROUP"),
        ("service create t", SERVICE_FLAGS, 3, "305 CONFIG_ADDRESS_OVERLAP"),
        ("service create s", SERVICE_FLAGS, 4, "304 CONFIG_ALREADY_EXISTS"),
        ("service get none", (), 5, "302 CONFIG_NOT_FOUND"),
        ("service delete s", (), 0, "deleted"),
        ("group get g", (), 0, "8080"),
        ("group list", (), 0, "g"),
        ("group update g", ("--seed=9",), 0, "g"),
        ("group delete g", (), 3, "309 CONFIG_GROUP_IN_USE"),
        ("target put g t2", ("--address=10.0.0.2", "--zone=pnw-a"), 0, "2"),
        ("target put g t2", ("--address=10.0.0.2", "--zone=pnw-a", "--weight=0"), 3, "308"),
        ("target drain g t1", (), 0, "t1"),
        ("target undrain g t1", (), 0, "g"),
        ("target remove g t1", (), 3, "307 CONFIG_EMPTY_GROUP"),
        ("target list g", (), 0, "serving"),
        ("instance list", (), 0, "pnw-a-1 sees no members"),
        ("placement list", (), 0, "no placements"),
        ("status", (), 0, "applied_version"),
        ("status in-force group g 1", (), 0, "3/3"),
        ("audit list", (), 0, "create"),
        ("audit list service s", (), 0, "(none) -> 443"),
        ("nonsense", (), 2, "unknown command"),
        ("service get", (), 2, "service get intake"),
        ("service get s", ("--nonsense",), 2, "nonsense"),
        ("service get s", (f"--server={ADDRESS}:20901",), 7, "501 PEER_UNREACHABLE"),
    ],
)
async def test_each_command_has_output_and_an_exit_status(arguments, options, status, text, capsys):
    async with running_server(in_force=CatchingUpInForceSource()):
        for setup, flags in SETUP:
            assert await pearwellctl(*setup.split(), *flags) == 0
        capsys.readouterr()
        given = [*arguments.split(), f"--server={SERVER}", *options]
        found = await asyncio.to_thread(ctl.run, ["pearwellctl", *given])
        printed = capsys.readouterr()
        assert (found, text in printed.out + printed.err) == (status, True), printed


async def test_json_output_is_one_document(capsys):
    async with running_server(in_force=CatchingUpInForceSource()):
        for setup, flags in SETUP:
            await pearwellctl(*setup.split(), *flags, "--output=json")
        lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        assert [line["outcome"]["repeated"] for line in lines] == [False, False]
        await pearwellctl("service", "list", "--output=json")
        (service,) = json.loads(capsys.readouterr().out)
        assert service["service"]["protocol"] == "TRANSPORT_PROTOCOL_TCP"


async def test_a_failed_command_prints_the_key_for_its_retry(capsys):
    async with running_server() as (store, client):
        await create_objects(client)
        store.faults.plan = deque([Fault.NONE, Fault.LOST_ANSWER, *[Fault.OUTAGE] * 30])
        drain = ("target", "drain", "g", "t1")
        assert await pearwellctl(*drain) == 6
        key = capsys.readouterr().err.rsplit("--key=", 1)[1].strip()
        store.faults.plan.clear()
        assert await pearwellctl(*drain, f"--key={key}") == 0
        assert "repeated     yes" in capsys.readouterr().out
        first, _ = await porcelain.list_audit(client, Kind.GROUP, "g")
        assert first.idempotency_key == key


def test_help_shows_an_example_for_each_command(capsys):
    for name, command in COMMANDS.items():
        assert ctl.run(["pearwellctl", *name.split(), "--help"]) == 0
        assert f"pearwellctl {command.example}" in capsys.readouterr().out
        assert command.example.startswith(name)
    assert ctl.run(["pearwellctl", "--help"]) == 0
    assert ctl.run(["pearwellctl"]) == 2
