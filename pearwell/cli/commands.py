"""Command table and command handlers of pearwellctl."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pearwell.admin import porcelain
from pearwell.admin.client import AdminClient
from pearwell.admin.codec import group_from_proto, service_from_proto
from pearwell.admin.porcelain import Write
from pearwell.cli import rows
from pearwell.cli.options import Options
from pearwell.cli.output import Output
from pearwell.configuration.schema import TargetModel, from_document, to_document, validated
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
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _take(words, "NAME")
    spec = _service({"name": name}, options)
    _print_service(output, await porcelain.create_service(client, spec, _write(options)))


async def _get_service(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _take(words, "NAME")
    _print_service(output, await porcelain.get_service(client, name))


async def _list_services(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    _take(words)
    found = await porcelain.list_services(client)
    output.table(found, [rows.service(each) for each in found], "no services")


async def _update_service(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _take(words, "NAME")
    found = await porcelain.get_service(client, name)
    present = to_document(Kind.SERVICE, service_from_proto(found.service))
    write = _write(options, found.version)
    _print_service(
        output, await porcelain.update_service(client, _service(present, options), write)
    )


async def _delete_service(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _take(words, "NAME")
    version = await _version(porcelain.get_service(client, name))
    answer = await porcelain.delete_service(client, name, _write(options, version))
    _print_deleted(output, name, answer)


async def _create_group(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _take(words, "NAME")
    spec = _group({"name": name, "targets": []}, options)
    _print_group(output, await porcelain.create_group(client, spec, _write(options)))


async def _get_group(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _take(words, "NAME")
    _print_group(output, await porcelain.get_group(client, name))


async def _list_groups(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    _take(words)
    found = await porcelain.list_groups(client)
    output.table(found, [rows.group(each) for each in found], "no groups")


async def _update_group(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _take(words, "NAME")
    found = await porcelain.get_group(client, name)
    present = to_document(Kind.GROUP, group_from_proto(found.group))
    write = _write(options, found.version)
    _print_group(output, await porcelain.update_group(client, _group(present, options), write))


async def _delete_group(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    (name,) = _take(words, "NAME")
    version = await _version(porcelain.get_group(client, name))
    answer = await porcelain.delete_group(client, name, _write(options, version))
    _print_deleted(output, name, answer)


async def _put_target(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    group, name = _take(words, "GROUP", "TARGET")
    target = _target({"name": name} | options.given(*_TARGET_FLAGS))
    answer = await porcelain.put_target(client, group, target, _write(options))
    _print_group(output, answer)


async def _list_targets(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    (group,) = _take(words, "GROUP")
    targets = (await porcelain.get_group(client, group)).group.targets
    output.table(targets, [rows.target(each) for each in targets], "no targets")


async def _remove_target(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    group, name = _take(words, "GROUP", "TARGET")
    _print_group(output, await porcelain.remove_target(client, group, name, _write(options)))


async def _drain_target(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    group, name = _take(words, "GROUP", "TARGET")
    answer = await porcelain.drain_target(client, group, name, _write(options), options.deadline_s)
    _print_group(output, answer)


async def _undrain_target(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    group, name = _take(words, "GROUP", "TARGET")
    _print_group(output, await porcelain.undrain_target(client, group, name, _write(options)))


async def _list_instances(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    _take(words)
    answer = await porcelain.list_instances(client)
    found = [rows.instance(answer.zone, each) for each in answer.instances]
    output.table(answer.instances, found, f"{answer.answered_by} sees no members")


async def _list_placements(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    group = words[0] if words else ""
    found = await porcelain.list_placements(client, group)
    lines = [line for each in found for line in rows.placement(each)]
    output.table(found, lines, "no placements")


async def _get_status(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    _take(words)
    answer = await porcelain.get_status(client)
    output.message(answer, rows.status(answer))


async def _get_in_force(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    kind, name, version = _take(words, "KIND", "NAME", "VERSION")
    if not version.isdecimal():
        raise UsageError("VERSION must be a number")
    report = await porcelain.get_in_force(client, _kind(kind), name, int(version), options.wait_s)
    output.table([report], rows.in_force(report), "no zone reports")
    if not report.everywhere:
        raise ConfigurationError(Code.CONFIG_NOT_IN_FORCE, f"{kind} {name} version {version}")


async def _list_audit(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    kind, name = _take(words, "KIND", "NAME") if words else ("", "")
    entries = await porcelain.list_audit(
        client, _kind(kind) if kind else None, name, options.refused
    )
    output.table(entries, [rows.audit(each) for each in entries], "no entries")


async def _watch(
    client: AdminClient, words: Sequence[str], options: Options, output: Output
) -> None:
    _take(words)
    async for event in porcelain.watch(client, options.changes_only):
        output.line(event, rows.event(event))


async def _version(reading: Awaitable[pb.ServiceResponse | pb.GroupResponse]) -> int:
    # A deleted object has version 0, so that a retried deletion still returns its first outcome.
    try:
        return (await reading).version
    except ConfigurationError as error:
        if error.code is not Code.CONFIG_NOT_FOUND:
            raise
        return 0


def _take(words: Sequence[str], *names: str) -> Sequence[str]:
    if len(words) != len(names):
        wanted = " ".join(names) or "no arguments"
        raise UsageError(f"expected {wanted}, not {' '.join(words) or 'none'}")
    return words


def _kind(name: str) -> Kind:
    if name not in tuple(Kind):
        raise UsageError(f"KIND must be {' or '.join(Kind)}")
    return Kind(name)


def _write(options: Options, version: int = 0) -> Write:
    expected = options.expected_version if options.expected_version is not None else version
    return Write(options.actor, options.write_key, expected, options.wait_s)


def _service(present: dict[str, Any], options: Options) -> ServiceSpec:
    document = present | options.given(*_SERVICE_FLAGS)
    document["limits"] = present.get("limits", {}) | _pairs(options.limit or ())
    spec = from_document(Kind.SERVICE, document)
    assert isinstance(spec, ServiceSpec)
    return spec


def _group(present: dict[str, Any], options: Options) -> GroupSpec:
    document = present | options.given("seed")
    document["health"] = present.get("health", {}) | _pairs(options.health or ())
    if options.target:
        document["targets"] = [_pairs(text.split(",")) for text in options.target]
    spec = from_document(Kind.GROUP, document)
    assert isinstance(spec, GroupSpec)
    return spec


def _target(document: Mapping[str, Any]) -> TargetSpec:
    return validated(TargetModel, "target", document).to_spec()


def _pairs(texts: Sequence[str]) -> dict[str, str]:
    pairs = [text.partition("=") for text in texts]
    if any(not separator for _, separator, _ in pairs):
        raise UsageError(f"expected name=value, not {','.join(texts)!r}")
    return {name: value for name, _, value in pairs}


def _print_service(output: Output, answer: pb.ServiceResponse) -> None:
    output.message(answer, rows.service(answer) | rows.outcome(answer))
    _check_in_force(answer.outcome)


def _print_group(output: Output, answer: pb.GroupResponse) -> None:
    output.message(answer, rows.group(answer) | rows.outcome(answer))
    _check_in_force(answer.outcome)


def _print_deleted(output: Output, name: str, answer: pb.DeleteResponse) -> None:
    output.message(answer, {"deleted": name, "version": answer.outcome.version})
    _check_in_force(answer.outcome)


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
    story = explain_flow(lines, options.flow)
    if not story:
        raise ConfigurationError(Code.CONFIG_NOT_FOUND, f"no line of the flow {options.flow}")
    print("\n".join(story))


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


def _words(command: Command) -> str:
    return " ".join(word for word in command.usage.split() if word.islower())


COMMANDS: Mapping[str, Command] = {_words(command): command for command in _TABLE}
