"""Command table and command handlers of pearwellctl."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pearwell.admin import porcelain
from pearwell.admin.client import AdminClient
from pearwell.admin.codec import group_from_proto, service_from_proto
from pearwell.admin.porcelain import WriteOptions
from pearwell.cli import rows
from pearwell.cli.options import Options
from pearwell.cli.output import Output
from pearwell.configuration.schema import TargetModel, decode_spec, encode_spec, validate_model
from pearwell.errors import Code, ConfigurationError, SettingsError
from pearwell.explanation import explain_flow, parse_log
from pearwell.model.configuration import Kind
from pearwell.model.group import GroupSpec, TargetSpec
from pearwell.model.service import ServiceSpec
from pearwell.v1 import admin_pb2 as pb

__all__ = ["COMMANDS", "Command", "UsageError"]

Handler = Callable[[AdminClient, Sequence[str], Options, Output], Awaitable[None]]

_SERVICE_FLAGS = (
    "address",
    "port",
    "protocol",
    "group",
    "idle_timeout_s",
    "learning_time_s",
    "preference",
    "spill_zones",
)
_TARGET_FLAGS = ("address", "zone", "port", "weight", "slots")


class UsageError(Exception):
    """The command line is invalid."""


@dataclass(frozen=True, slots=True)
class Command:
    """One command of pearwellctl.

    Attributes:
        usage: Command words in lower case, followed by the arguments.
        summary: One-line description.
        example: Example command line without the program name.
        handler: Function that runs the command.
    """

    usage: str
    summary: str
    example: str
    handler: Handler

    @property
    def writes(self) -> bool:
        """Whether the command changes the configuration."""
        return self.handler.__name__.split("_")[1] not in ("get", "list", "watch")


async def _create_service(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _expect_arguments(arguments, "NAME")
    spec = _service_spec({"name": name}, options)
    _print_service(output, await porcelain.create_service(client, spec, _write_options(options)))


async def _get_service(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _expect_arguments(arguments, "NAME")
    _print_service(output, await porcelain.get_service(client, name))


async def _list_services(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    _expect_arguments(arguments)
    responses = await porcelain.list_services(client)
    output.table(responses, [rows.service(response) for response in responses], "no services")


async def _update_service(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _expect_arguments(arguments, "NAME")
    response = await porcelain.get_service(client, name)
    current = encode_spec(Kind.SERVICE, service_from_proto(response.service))
    write = _write_options(options, response.version)
    _print_service(
        output, await porcelain.update_service(client, _service_spec(current, options), write)
    )


async def _delete_service(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _expect_arguments(arguments, "NAME")
    version = await _current_version(porcelain.get_service(client, name))
    response = await porcelain.delete_service(client, name, _write_options(options, version))
    _print_deletion(output, name, response)


async def _create_group(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _expect_arguments(arguments, "NAME")
    spec = _group_spec({"name": name, "targets": []}, options)
    _print_group(output, await porcelain.create_group(client, spec, _write_options(options)))


async def _get_group(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _expect_arguments(arguments, "NAME")
    _print_group(output, await porcelain.get_group(client, name))


async def _list_groups(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    _expect_arguments(arguments)
    responses = await porcelain.list_groups(client)
    output.table(responses, [rows.group(response) for response in responses], "no groups")


async def _update_group(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _expect_arguments(arguments, "NAME")
    response = await porcelain.get_group(client, name)
    current = encode_spec(Kind.GROUP, group_from_proto(response.group))
    write = _write_options(options, response.version)
    _print_group(output, await porcelain.update_group(client, _group_spec(current, options), write))


async def _delete_group(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _expect_arguments(arguments, "NAME")
    version = await _current_version(porcelain.get_group(client, name))
    response = await porcelain.delete_group(client, name, _write_options(options, version))
    _print_deletion(output, name, response)


async def _put_target(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    group, name = _expect_arguments(arguments, "GROUP", "TARGET")
    target = _target_spec({"name": name} | options.given(*_TARGET_FLAGS))
    response = await porcelain.put_target(client, group, target, _write_options(options))
    _print_group(output, response)


async def _list_targets(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    (group,) = _expect_arguments(arguments, "GROUP")
    targets = (await porcelain.get_group(client, group)).group.targets
    output.table(targets, [rows.target(message) for message in targets], "no targets")


async def _remove_target(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    group, name = _expect_arguments(arguments, "GROUP", "TARGET")
    _print_group(
        output, await porcelain.remove_target(client, group, name, _write_options(options))
    )


async def _drain_target(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    group, name = _expect_arguments(arguments, "GROUP", "TARGET")
    response = await porcelain.drain_target(
        client, group, name, _write_options(options), options.deadline_s
    )
    _print_group(output, response)


async def _undrain_target(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    group, name = _expect_arguments(arguments, "GROUP", "TARGET")
    _print_group(
        output, await porcelain.undrain_target(client, group, name, _write_options(options))
    )


async def _list_instances(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    _expect_arguments(arguments)
    response = await porcelain.list_instances(client)
    instance_rows = [rows.instance(response.zone, member) for member in response.instances]
    output.table(response.instances, instance_rows, f"{response.answered_by} sees no members")


async def _list_placements(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    group = arguments[0] if arguments else ""
    placements = await porcelain.list_placements(client, group)
    table_rows = [row for message in placements for row in rows.placement(message)]
    output.table(placements, table_rows, "no placements")


async def _get_status(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    _expect_arguments(arguments)
    response = await porcelain.get_status(client)
    output.message(response, rows.status(response))


async def _get_in_force(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    kind, name, version = _expect_arguments(arguments, "KIND", "NAME", "VERSION")
    if not version.isdecimal():
        raise UsageError("VERSION must be a number")
    report = await porcelain.get_in_force(
        client, _parse_kind(kind), name, int(version), options.wait_s
    )
    output.table([report], rows.in_force(report), "no zone reports")
    if not report.everywhere:
        raise ConfigurationError(Code.CONFIG_NOT_IN_FORCE, f"{kind} {name} version {version}")


async def _list_audit(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    kind, name = _expect_arguments(arguments, "KIND", "NAME") if arguments else ("", "")
    entries = await porcelain.list_audit(
        client, _parse_kind(kind) if kind else None, name, options.refused
    )
    output.table(entries, [rows.audit(entry) for entry in entries], "no entries")


async def _watch(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    _expect_arguments(arguments)
    async for event in porcelain.watch(client, options.changes_only):
        output.line(event, rows.event(event))


async def _current_version(read: Awaitable[pb.ServiceResponse | pb.GroupResponse]) -> int:
    # A deleted object has version 0, so that a retried deletion still returns its first outcome.
    try:
        return (await read).version
    except ConfigurationError as error:
        if error.code is not Code.CONFIG_NOT_FOUND:
            raise
        return 0


def _expect_arguments(arguments: Sequence[str], *names: str) -> Sequence[str]:
    if len(arguments) != len(names):
        expected = " ".join(names) or "no arguments"
        raise UsageError(f"expected {expected}, not {' '.join(arguments) or 'none'}")
    return arguments


def _parse_kind(name: str) -> Kind:
    if name not in tuple(Kind):
        raise UsageError(f"KIND must be {' or '.join(Kind)}")
    return Kind(name)


def _write_options(options: Options, version: int = 0) -> WriteOptions:
    expected = options.expected_version if options.expected_version is not None else version
    return WriteOptions(options.actor, options.write_key, expected, options.wait_s)


def _service_spec(current: dict[str, Any], options: Options) -> ServiceSpec:
    document = current | options.given(*_SERVICE_FLAGS)
    document["limits"] = current.get("limits", {}) | _parse_pairs(options.limit or ())
    spec = decode_spec(Kind.SERVICE, document)
    assert isinstance(spec, ServiceSpec)
    return spec


def _group_spec(current: dict[str, Any], options: Options) -> GroupSpec:
    document = current | options.given("seed")
    document["health"] = current.get("health", {}) | _parse_pairs(options.health or ())
    if options.target:
        document["targets"] = [_parse_pairs(text.split(",")) for text in options.target]
    spec = decode_spec(Kind.GROUP, document)
    assert isinstance(spec, GroupSpec)
    return spec


def _target_spec(document: Mapping[str, Any]) -> TargetSpec:
    return validate_model(TargetModel, "target", document).to_spec()


def _parse_pairs(texts: Sequence[str]) -> dict[str, str]:
    pairs = [text.partition("=") for text in texts]
    if any(not separator for _, separator, _ in pairs):
        raise UsageError(f"expected name=value, not {','.join(texts)!r}")
    return {name: value for name, _, value in pairs}


def _print_service(output: Output, response: pb.ServiceResponse) -> None:
    output.message(response, rows.service(response) | rows.outcome(response))
    _check_in_force(response.outcome)


def _print_group(output: Output, response: pb.GroupResponse) -> None:
    output.message(response, rows.group(response) | rows.outcome(response))
    _check_in_force(response.outcome)


def _print_deletion(output: Output, name: str, response: pb.DeleteResponse) -> None:
    output.message(response, {"deleted": name, "version": response.outcome.version})
    _check_in_force(response.outcome)


def _check_in_force(outcome: pb.WriteOutcome) -> None:
    if outcome.HasField("in_force") and not outcome.in_force.everywhere:
        raise ConfigurationError(Code.CONFIG_NOT_IN_FORCE, f"version {outcome.version}")


async def _explain(
    client: AdminClient, arguments: Sequence[str], options: Options, output: Output
) -> None:
    if not arguments or not options.flow:
        raise UsageError("explain needs files and --flow=ADDR:PORT")
    lines = []
    for name in arguments:
        try:
            text = Path(name).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise SettingsError(Code.SETTINGS_UNREADABLE, f"{name}: {error}") from error
        lines += parse_log(text.splitlines())
    explanation = explain_flow(lines, options.flow)
    if not explanation:
        raise ConfigurationError(Code.CONFIG_NOT_FOUND, f"no log line of the flow {options.flow}")
    print("\n".join(explanation))


_TABLE = (
    Command(
        "service create NAME",
        "Creates a service",
        "service create intake --address=10.1.0.1 --port=443 --protocol=tcp --group=intake-hosts",
        _create_service,
    ),
    Command("service get NAME", "Shows a service", "service get intake", _get_service),
    Command("service list", "Lists all services", "service list --output=json", _list_services),
    Command(
        "service update NAME",
        "Changes the given fields of a service",
        "service update intake --limit=new_flows_per_s=500 --wait_s=5",
        _update_service,
    ),
    Command(
        "service delete NAME",
        "Deletes a service",
        "service delete intake --expected_version=17",
        _delete_service,
    ),
    Command(
        "group create NAME",
        "Creates a target group",
        "group create intake-hosts --target=name=t1,address=10.0.0.1,zone=pnw-a --health=port=8080",
        _create_group,
    ),
    Command("group get NAME", "Shows a target group", "group get intake-hosts", _get_group),
    Command("group list", "Lists all target groups", "group list", _list_groups),
    Command(
        "group update NAME",
        "Changes the given fields of a target group",
        "group update intake-hosts --health=interval_s=2",
        _update_group,
    ),
    Command(
        "group delete NAME",
        "Deletes a target group that no service uses",
        "group delete intake-hosts",
        _delete_group,
    ),
    Command(
        "target put GROUP TARGET",
        "Adds a target to a group or replaces it",
        "target put intake-hosts t8 --address=10.0.0.8 --zone=pnw-a --weight=100 --wait_s=5",
        _put_target,
    ),
    Command(
        "target list GROUP",
        "Lists the targets of a group",
        "target list intake-hosts",
        _list_targets,
    ),
    Command(
        "target drain GROUP TARGET",
        "Stops new flows to a target; open flows continue",
        "target drain intake-hosts t1 --deadline_s=3600 --wait_s=5",
        _drain_target,
    ),
    Command(
        "target undrain GROUP TARGET",
        "Lets a draining target receive new flows again",
        "target undrain intake-hosts t1",
        _undrain_target,
    ),
    Command(
        "target remove GROUP TARGET",
        "Removes a target from its group; drain it first",
        "target remove intake-hosts t1",
        _remove_target,
    ),
    Command(
        "instance list",
        "Lists the members of the zone as one instance sees them",
        "instance list --server=10.2.0.1:8443",
        _list_instances,
    ),
    Command(
        "placement list [GROUP]",
        "Lists the placements that one instance applies",
        "placement list intake-hosts",
        _list_placements,
    ),
    Command(
        "status in-force KIND NAME VERSION",
        "Shows which instances have applied a version",
        "status in-force group intake-hosts 18 --wait_s=5",
        _get_in_force,
    ),
    Command("status", "Shows the state of one instance", "status --output=json", _get_status),
    Command(
        "audit list [KIND NAME]",
        "Lists the changes of one object or of all",
        "audit list service intake",
        _list_audit,
    ),
    Command(
        "watch",
        "Prints the configuration that one instance applies, and each change",
        "watch --changes_only",
        _watch,
    ),
    Command(
        "explain FILE...",
        "Explains what happened to a flow, from the logs of the platform's role",
        "explain edge-1.log edge-2.log --flow=100.64.0.7:40001",
        _explain,
    ),
)


def _command_words(command: Command) -> str:
    return " ".join(word for word in command.usage.split() if word.islower())


COMMANDS: Mapping[str, Command] = {_command_words(command): command for command in _TABLE}
