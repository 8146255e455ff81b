"""pearwellctl: command-line client for operators."""

import asyncio
import os
import sys
from collections.abc import Mapping, Sequence

from absl import flags

from pearwell.admin.client import AdminClient
from pearwell.cli.commands import COMMANDS, Command, UsageError
from pearwell.cli.options import OPTIONS, Options, credentials
from pearwell.cli.output import Output
from pearwell.errors import Code, PearwellError

__all__ = ["EXIT_CODES", "main", "run"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_CONFLICT = 4
EXIT_NOT_FOUND = 5
EXIT_PLATFORM = 6
EXIT_UNREACHABLE = 7
EXIT_NOT_IN_FORCE = 8
EXIT_INTERRUPTED = 130

# Exit statuses of single codes; every other code has the exit status of its category.
EXIT_CODES: Mapping[Code, int] = {
    Code.CONFIG_CONFLICT: EXIT_CONFLICT,
    Code.CONFIG_ALREADY_EXISTS: EXIT_CONFLICT,
    Code.CONFIG_NOT_FOUND: EXIT_NOT_FOUND,
    Code.CONFIG_NOT_IN_FORCE: EXIT_NOT_IN_FORCE,
}
_EXIT_BY_CATEGORY: Mapping[int, int] = {3: EXIT_REFUSED, 4: EXIT_PLATFORM, 5: EXIT_UNREACHABLE}


def main(argv: Sequence[str] | None = None) -> None:
    """Runs one command and exits with its status."""
    sys.exit(run(sys.argv if argv is None else argv))


def run(argv: Sequence[str]) -> int:
    """Runs one command.

    Args:
        argv: Program name, followed by flags and command words in any order.

    Returns:
        The exit status.
    """
    try:
        words = OPTIONS.parse(argv)
        command, arguments = _find_command(words)
    except (flags.Error, UsageError) as error:
        print(f"pearwellctl: {error}", file=sys.stderr)
        return EXIT_USAGE
    if command is None:
        print(_overview())
        return EXIT_OK if OPTIONS.help else EXIT_USAGE
    if OPTIONS.help:
        print(_command_help(command))
        return EXIT_OK
    return _run(command, arguments)


def _run(command: Command, arguments: Sequence[str]) -> int:
    try:
        return asyncio.run(_execute(command, arguments, OPTIONS))
    except UsageError as error:
        print(f"pearwellctl: {error}\n\n{_command_help(command)}", file=sys.stderr)
        return EXIT_USAGE
    except PearwellError as error:
        print(f"pearwellctl: {error}{_retry_hint(command, error)}", file=sys.stderr)
        return EXIT_CODES.get(error.code, _EXIT_BY_CATEGORY.get(error.code // 100, EXIT_FAILED))
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader, such as head, closed the pipe; the flush of stdout at exit goes to /dev/null.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_OK


def _retry_hint(command: Command, error: PearwellError) -> str:
    if not command.writes or _EXIT_BY_CATEGORY.get(error.code // 100) == EXIT_REFUSED:
        return ""
    return f"\nThe change may have been made. Retry it with --key={OPTIONS.write_key}"


async def _execute(command: Command, arguments: Sequence[str], options: Options) -> int:
    output = Output(options.output)
    async with AdminClient(options.server, credentials(options), options.timeout_s) as client:
        await command.handler(client, arguments, options, output)
    return EXIT_OK


def _find_command(words: Sequence[str]) -> tuple[Command | None, Sequence[str]]:
    if not words:
        return None, ()
    for length in (2, 1):
        command = COMMANDS.get(" ".join(words[:length]))
        if command is not None and len(words) >= length:
            return command, words[length:]
    if OPTIONS.help:
        return None, ()
    raise UsageError(f"unknown command {' '.join(words[:2])!r}; see pearwellctl --help")


def _overview() -> str:
    width = max(len(command.usage) for command in COMMANDS.values())
    lines = [f"  {command.usage:<{width}}  {command.summary}" for command in COMMANDS.values()]
    return "\n".join(["usage: pearwellctl COMMAND [FLAGS]", "", *lines, "", OPTIONS.describe()])


def _command_help(command: Command) -> str:
    lines = [f"usage: pearwellctl {command.usage} [FLAGS]", "", command.summary + ".", ""]
    lines += ["example:", f"  pearwellctl {command.example}", ""]
    return "\n".join([*lines, OPTIONS.describe()])


if __name__ == "__main__":
    main()
