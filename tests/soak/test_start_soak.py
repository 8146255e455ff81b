"""A short seeded soak of starts and stops; pearwell-soak --starts runs longer ones."""

import asyncio
import os

from pearwell.soak.checks import UNTIMED_GUARANTEES
from pearwell.soak.options import SoakOptions
from pearwell.soak.start_soak import run_start_soak

# Each test process uses its own addresses, apart from those of test_soak.py.
OCTET = 40 + (os.getpid() + 100) % 200
# Seed 8: a number of 5,000 digits in a call ended a relay. Seed 35: processes ended that lacked a
# descriptor for a module while they started. Both: SIGHUP ended processes that were about to stop.
SEEDS = (8, 35)


async def run_untimed(seed, octet, directory):
    """Returns the violated guarantees of a seed, and its number of starts."""
    options = SoakOptions(
        seed, length_s=4.0, instances=3, hosts=2, clients=2, octet=octet, directory=directory
    )
    directory.mkdir()
    checker = await run_start_soak(options)
    violated = [violation for violation in checker.violations if violation[0] in UNTIMED_GUARANTEES]
    return violated, checker.outcomes["starts"]


async def test_no_process_ends_unless_asked_to(tmp_path):
    runs = [
        run_untimed(seed, OCTET + index, tmp_path / str(seed)) for index, seed in enumerate(SEEDS)
    ]
    for violated, starts in await asyncio.gather(*runs):
        assert violated == []
        assert starts > 3
