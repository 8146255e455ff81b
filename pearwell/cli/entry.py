"""pearwell-entry: runs the daemon of one instance.

pearwell-entry --settings instance.json
pearwell-entry --settings instance.json --check_config
"""

import asyncio
import signal
import sys
from collections.abc import Sequence

import aiomisc
import uvloop
from absl import app, flags

from pearwell.daemon import DaemonService
from pearwell.errors import SettingsError
from pearwell.logs import configure_logs
from pearwell.settings import Settings, load_settings

__all__ = ["EXIT_FAILED", "EXIT_SETTINGS", "main"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2

_SETTINGS = flags.DEFINE_string("settings", None, "JSON file with the settings.", required=True)
_CHECK_CONFIG = flags.DEFINE_bool(
    "check_config", False, "Validate the settings, print the result and exit."
)


def main() -> None:
    """Entry point of pearwell-entry."""
    app.run(_run)


def _run(argv: Sequence[str]) -> int:
    del argv
    try:
        settings = load_settings(_SETTINGS.value)
        if _CHECK_CONFIG.value:
            print(f"settings are valid: instance {settings.instance} in {settings.zone}")
            return 0
        configure_logs(settings.log_level, instance=settings.instance)
        uvloop.run(_serve(settings))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    return 0


async def _serve(settings: Settings) -> None:
    """Runs the daemon until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopping.set)
    daemon = DaemonService(settings=settings)
    async with aiomisc.entrypoint(daemon, log_config=False, catch_signals=()):
        await stopping.wait()


if __name__ == "__main__":
    main()
