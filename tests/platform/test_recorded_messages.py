"""Tests of messages that an earlier build (17f925e) sent; both run side by side in a rollout.

The bytes are recorded. A message may get further fields; what is here has to be understood.
"""

import json
from zlib import decompress

import pytest

from pearwell.affinity.cache import ObjectCache
from pearwell.affinity.failing_targets import FAILING, RECOVERED, decode_notice, encode_notice
from pearwell.affinity.hints import decode_hint, encode_hint
from pearwell.affinity.relay import Relay
from pearwell.affinity.token import token_of
from pearwell.errors import PlatformError
from pearwell.http_message import MessageReader, encode_message
from pearwell.platform.edge import RELAY_HEADERS
from pearwell.platform.store import _decode
from tests.affinity.fakes import FakeWait, run

RELAY_BODY = bytes.fromhex(
    "7801ab564a2d4bcd2b2956b25288ae56f24fca4a4d2e01b2ab9572534b12c10cbfc4dc542043293731334fa956"
    "4741a9b82035192c13965a549c999f07649b008583f24b4b52c1e6c4d6d6d6c602455c8b40261801598ec5fe69"
    "40a63990e99e9f9f120c641beb99027951f97960c30bf2ca7513956a010729293e"
)
RELAY_BODY_WITH_CALLERS = bytes.fromhex(
    "78011dcc310bc2400c86e1bf5232aba05604371171b350c141e9106b844a2f29bd5387e3febb5f6f7bf205de48"
    "f2150d9e76c53d52f5784b1be0484e02679cd909408e3ba5342bc80fd2e6cf5546df99c225e6da3e4172a74929"
    "35588ee35458417b5fbdc02d78327b5ee0f56283eb669ae383fee64c180edcf7c84ecd65fa038f8f2d53"
)
EVENTS = [{"Object": {"meta": {"Name": "main"}, "spec": {"Version": 4, "Routes": []}}}]


@pytest.mark.parametrize(
    ("datagram", "decode", "message"),
    [
        (b"pearwell-hint-1 1 i-0000002a", decode_hint, ("i-0000002a", True)),
        (b"pearwell-hint-1 0 i-0000002a", decode_hint, ("i-0000002a", False)),
        (
            b"pearwell-notice-1 failing 1 i-0000002a",
            decode_notice,
            ((FAILING, "i-0000002a"), True),
        ),
        (
            b"pearwell-notice-1 recovered 0 i-0000002a",
            decode_notice,
            ((RECOVERED, "i-0000002a"), False),
        ),
        # Of builds to come, and of none.
        (b"pearwell-notice-1 paused 1 i-0000002a", decode_notice, None),
        (b"pearwell-notice-2 failing 1 i-0000002a", decode_notice, None),
        (b"pearwell-load-1 i-0000002a 7", decode_hint, None),
        (b"\x00\xff" * 40, decode_hint, None),
        (b"\x00\xff" * 40, decode_notice, None),
    ],
)
def test_datagrams_are_understood_or_ignored(datagram, decode, message):
    assert decode(datagram) == message
    if message is not None:
        encode = {decode_hint: encode_hint, decode_notice: encode_notice}[decode]
        assert encode(*message) == datagram


@pytest.mark.parametrize(
    ("name", "token"), [("i-0000002a", 0x36B673B2), ("h-5fc4ef4bf0", 0xD4471933)]
)
def test_tokens_never_change(name, token):
    """Packets of open flows carry the token that another build chose."""
    assert token_of(name) == token


def received(body):
    message = MessageReader().feed(encode_message("HTTP/1.1 200 OK", RELAY_HEADERS, body))
    return _decode(message, "events")


@pytest.mark.parametrize(("body", "callers"), [(RELAY_BODY, None), (RELAY_BODY_WITH_CALLERS, 41)])
def test_the_response_of_an_earlier_relay_is_understood(body, callers):
    response = received(body)
    assert (response.items, response.position) == (EVENTS, (2, 7))
    assert (response.healthy_s, response.zone, response.callers) == (3.5, "pnw-a", callers)


@pytest.mark.parametrize(
    "body", [b"", b"{}", RELAY_BODY[:60], RELAY_BODY[:-20] + b"x" * 20], ids=len
)
def test_a_broken_response_is_an_error_with_a_code(body):
    with pytest.raises(PlatformError):
        received(body)


class NoWait:
    def wait(self, timeout_s):
        return FakeWait(False)


@pytest.mark.parametrize(
    ("path", "status", "count"),
    [
        ("/objects/config?Watch=5&WaitMs=0&Era=2", 200, 1),
        # Fields of builds to come are ignored.
        ("/objects/config?Watch=5&WaitMs=0&Era=2&Depth=3", 200, 1),
        # Before eras were told.
        ("/objects/config?Watch=5&WaitMs=0", 410, 0),
        # A kind that only another build follows.
        ("/objects/quotas?Watch=5&WaitMs=0&Era=2", 404, 0),
        ("/snapshots/config", 404, 0),
    ],
)
def test_a_relay_answers_the_calls_of_other_builds(path, status, count):
    cache = ObjectCache()
    cache.reset((2, 5), 0.0)
    cache.append_events(EVENTS, (2, 7), 0.0)
    relay = Relay("pnw-a", {"config": cache}, lambda: -3.0, NoWait(), lambda: 0.5, lambda: None)
    answered, body, _ = run(relay.respond(path))
    assert answered == status
    if count:
        assert json.loads(decompress(body)) == json.loads(decompress(RELAY_BODY))
