"""Command line of the role, which has arguments only to check a settings file.

It uses argparse, as the role runs without site-packages and absl is not available there.
"""

import argparse

from pearwell.errors import SettingsError
from pearwell.platform.settings import PATH_VARIABLE, read_settings

__all__ = ["check_settings", "parse_arguments"]


def parse_arguments(default_path: str) -> str:
    """Returns the path of the settings file to check.

    Args:
        default_path: Path if the command line names none.

    Raises:
        SystemExit: If the arguments are invalid, or after printing the help.
    """
    parser = argparse.ArgumentParser(
        prog="edge.py",
        description=f"Runs an instance with the settings file that {PATH_VARIABLE} names.",
    )
    parser.add_argument(
        "--check_config",
        nargs="?",
        const=default_path,
        required=True,
        metavar="FILE",
        help=f"check a settings file, by default that of {PATH_VARIABLE}, and exit",
    )
    return parser.parse_args().check_config


def check_settings(default_path: str) -> int:
    """Checks the settings file that the arguments name, and returns the exit status.

    Args:
        default_path: Path if the command line names none.
    """
    path = parse_arguments(default_path)
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"event=settings_invalid code={int(error.code)} detail={error.detail!r}", flush=True)
        return 2
    print(f"{path}: instance {settings.instance} in zone {settings.zone}", flush=True)
    return 0
