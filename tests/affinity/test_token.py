"""Tests of pearwell.affinity.token."""

from hypothesis import given
from hypothesis import strategies as st

from pearwell.affinity.token import NO_TOKEN, token_of


@given(st.text(max_size=40))
def test_token_is_32_bits_and_never_that_of_a_first_packet(name):
    assert NO_TOKEN < token_of(name) < 1 << 32
    assert token_of(name) == token_of(name)
