"""Tests of pearwell.affinity.hints."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearwell.affinity.hints import (
    CLIENT_TIMEOUT_S,
    DUPLICATE_WINDOW_S,
    RelayClients,
    decode_hint,
    encode_hint,
)


@pytest.mark.parametrize("forward", [True, False])
def test_a_hint_is_read_as_it_was_written(forward):
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
def test_what_is_no_hint(data):
    assert decode_hint(data) is None


@given(st.binary(max_size=200))
def test_any_datagram_is_a_hint_or_none(data):
    assert decode_hint(data) is None or data.startswith(b"pearwell-hint-1 ")


def test_only_those_who_asked_lately_are_told():
    clients = RelayClients()
    clients.record_call("10.0.0.1", 0.0)
    clients.record_call("10.0.0.2", 5.0)
    assert clients.active(CLIENT_TIMEOUT_S) == ["10.0.0.1", "10.0.0.2"]
    assert clients.active(CLIENT_TIMEOUT_S + 1) == ["10.0.0.2"]


def test_a_target_that_many_instances_report_is_told_of_once():
    clients = RelayClients()
    assert [clients.should_forward("i-1", at / 10) for at in range(10)] == [True] + [False] * 9
    assert clients.should_forward("i-2", 0.5)
    assert clients.should_forward("i-1", DUPLICATE_WINDOW_S + 0.1)
