"""Tests of pearwell.affinity.hints."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearwell.affinity.hints import decode_hint, encode_hint
from pearwell.affinity.relay_clients import CLIENT_TIMEOUT_S, DUPLICATE_WINDOW_S, RelayClients


@pytest.mark.parametrize("forward", [True, False])
def test_hint_round_trip(forward):
    assert decode_hint(encode_hint("i-7f3a91c2", forward)) == ("i-7f3a91c2", forward)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"pearwell-hint-1",
        b"pearwell-hint-1 1",
        b"pearwell-hint-1 1 ",
        b"pearwell-hint-1 1 a b",
        b"pearwell-hint-2 1 a",
        b"pearwell-hint-1 1 " + b"x" * 101,
        b"pearwell-hint-1 1 \xff",
    ],
)
def test_malformed_hints(data):
    assert decode_hint(data) is None


@given(st.binary(max_size=200))
def test_any_datagram_is_decoded_or_ignored(data):
    assert decode_hint(data) is None or data.startswith(b"pearwell-hint-1 ")


def test_only_recent_clients_are_active():
    clients = RelayClients()
    clients.record_call("10.0.0.1", 0.0)
    clients.record_call("10.0.0.2", 5.0)
    assert clients.active(CLIENT_TIMEOUT_S) == ["10.0.0.1", "10.0.0.2"]
    assert clients.active(CLIENT_TIMEOUT_S + 1) == ["10.0.0.2"]


def test_hints_about_one_target_are_forwarded_once():
    clients = RelayClients()
    assert [clients.should_forward("i-1", at / 10) for at in range(10)] == [True] + [False] * 9
    assert clients.should_forward("i-2", 0.5)
    assert clients.should_forward("i-1", DUPLICATE_WINDOW_S + 0.1)


@pytest.mark.parametrize(
    ("serving_since", "count"),
    [(0.0, 2), (90.0, 2), (90.1, None), (float("inf"), None)],
    ids=["long ago", "all have called", "some may not have called", "never"],
)
def test_the_clients_of_a_relay_are_counted(serving_since, count):
    clients = RelayClients()
    for ip, at in (("10.0.0.1", 80.0), ("10.0.0.2", 95.0), ("10.0.0.3", 99.0), ("10.0.0.3", 100.0)):
        clients.record_call(ip, at)
    assert clients.count(100.0, serving_since) == count
