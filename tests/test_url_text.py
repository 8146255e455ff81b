"""Tests of pearwell.url_text."""

import pytest

from pearwell.url_text import quote


@pytest.mark.parametrize(
    ("text", "quoted"),
    [
        ("intake-0000000000000031", "intake-0000000000000031"),
        ("a b&c=d#%", "a%20b%26c%3Dd%23%25"),
        ("\u00e9", "%C3%A9"),
        # As decoded from the bytes FF FE, and what no bytes are decoded to.
        ("\udcff\udcfe", "%FF%FE"),
        ("\ud800", "%ED%A0%80"),
        ("", ""),
    ],
)
def test_any_text_can_be_quoted(text, quoted):
    """Text that couldn't be encoded ended the process."""
    assert quote(text) == quoted
