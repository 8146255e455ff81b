"""A short seeded soak with real processes; pearwell-soak runs longer ones."""

import os

import pytest

from pearwell.soak.checks import UNTIMED_GUARANTEES
from pearwell.soak.soak_harness import SoakOptions, run_soak

# Each test process uses its own addresses, so that concurrent test runs don't clash.
OCTET = 40 + os.getpid() % 200


@pytest.mark.parametrize("seed", [1, 8])
async def test_untimed_guarantees_hold(seed, tmp_path):
    options = SoakOptions(
        seed, length_s=4.0, instances=3, hosts=2, clients=4, octet=OCTET, directory=tmp_path
    )
    checker = await run_soak(options)
    violated = [violation for violation in checker.violations if violation[0] in UNTIMED_GUARANTEES]
    assert violated == []
    assert checker.outcomes["ok"] > 0
