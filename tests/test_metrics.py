"""Tests of pearwell.metrics, on the endpoint of a running daemon."""

import json
import re

import aiohttp

from pearwell.daemon import Daemon
from pearwell.settings import Settings
from tests.addresses import loopback_address
from tests.test_entry import SETTINGS

ADDRESS = loopback_address()


async def test_the_endpoint_exports_metrics_of_every_component():
    content = {**SETTINGS, "address": ADDRESS, "stop_deadline_s": 0.1}
    settings = Settings.model_validate_json(json.dumps(content))
    daemon = Daemon(settings)
    await daemon.start()
    try:
        url = f"http://{ADDRESS}:{settings.metrics_port}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            page = await response.text()
    finally:
        await daemon.stop()
    values = dict(re.findall(r"^(pearwell_\w+)(?:{.*})? (\S+)$", page, re.MULTILINE))
    assert float(values["pearwell_members"]) == 1
    assert float(values["pearwell_view_lease_lapsed"]) == 0
    for name in ("flow_records", "peer_links", "targets_probed", "placements_unsaved"):
        assert f"pearwell_{name}" in values
