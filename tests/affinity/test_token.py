"""Tests of pearwell.affinity.token."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearwell.affinity.token import NO_TOKEN, rendezvous_score, token_of


@given(st.text(max_size=40))
def test_token_has_32_bits_and_is_never_that_of_a_syn(name):
    assert NO_TOKEN < token_of(name) < 1 << 32
    assert token_of(name) == token_of(name)


@pytest.mark.parametrize("choices", [2, 3, 5, 7, 12])
def test_choices_win_equal_shares_of_keys(choices):
    """CRC-32 alone assigned half of the keys to one of three choices."""
    tags = [number.to_bytes(8, "big") for number in range(1, choices + 1)]
    keys = [number.to_bytes(12, "big") for number in range(600 * choices)]
    wins = [max(tags, key=lambda tag: rendezvous_score(key, tag)) for key in keys]
    for tag in tags:
        # Five standard deviations of 600 wins are 122.
        assert abs(wins.count(tag) - 600) <= 122
