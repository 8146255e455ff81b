"""Tests of pearwell.affinity.hints."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearwell.affinity.hints import FOLLOWER_S, REPEAT_S, Followers, decode_hint, encode_hint


@pytest.mark.parametrize("pass_on", [True, False])
def test_a_hint_is_read_as_it_was_written(pass_on):
    assert decode_hint(encode_hint("i-7f3a91c2", pass_on)) == ("i-7f3a91c2", pass_on)


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
    followers = Followers()
    followers.asked("10.0.0.1", 0.0)
    followers.asked("10.0.0.2", 5.0)
    assert followers.current(FOLLOWER_S) == ["10.0.0.1", "10.0.0.2"]
    assert followers.current(FOLLOWER_S + 1) == ["10.0.0.2"]


def test_a_target_that_many_instances_report_is_told_of_once():
    followers = Followers()
    assert [followers.is_news("i-1", at / 10) for at in range(10)] == [True] + [False] * 9
    assert followers.is_news("i-2", 0.5)
    assert followers.is_news("i-1", REPEAT_S + 0.1)
