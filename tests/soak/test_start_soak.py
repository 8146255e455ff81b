"""A short seeded soak of starts and stops; pearwell-soak --starts runs longer ones."""

import asyncio
import os
import resource
import sys

import pytest

from pearwell.platform.settings import PATH_VARIABLE
from pearwell.soak.checks import UNTIMED_GUARANTEES
from pearwell.soak.options import SoakOptions
from pearwell.soak.processes import ROLE_ARGUMENTS, ROOT
from pearwell.soak.start_soak import run_start_soak
from tests.platform.role_process import settings

# Each test process uses its own addresses, one range for each seed.
OCTET = 40 + 2 * os.getpid() % 200
# In 4 s these draw most kinds of starts and trouble, but take no descriptors away: whether a
# process lacks one depends on the moment. The test with few descriptors doesn't.
SEEDS = (7, 52)
# Time in which a start ends if it does, on a busy machine.
START_S = 10.0


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


@pytest.mark.parametrize("limit", [8, 10])
async def test_a_start_with_few_descriptors_ended_the_process(limit, tmp_path):
    """Seeds 8, 35, 50, 101, 105 and 405 of the soak of starts show it, too."""
    path = tmp_path / "node.conf"
    path.write_text(settings())
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *ROLE_ARGUMENTS,
        cwd=ROOT,
        env={**os.environ, PATH_VARIABLE: str(path)},
        stdout=asyncio.subprocess.DEVNULL,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard_limit)),
    )
    try:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(process.wait(), START_S)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
