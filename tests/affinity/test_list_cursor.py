"""Tests of pearwell.affinity.list_cursor."""

import pytest

from pearwell.affinity.list_cursor import MAX_CURSOR_CHARS, next_cursor
from pearwell.errors import Code, PlatformError

LONG = "n" * 1_000_000


@pytest.mark.parametrize(
    ("names", "after", "cursor"),
    [
        (["a", "b"], "", "b"),
        (["a", "b\n"], "", "a"),
        (["a", LONG], "", "a"),
        (["a", "n" * MAX_CURSOR_CHARS], "", "n" * MAX_CURSOR_CHARS),
        (["b\n"], "a", "b\n"),
        (["a", ""], "", "a"),
    ],
    ids=range(6),
)
def test_the_cursor_is_the_last_plain_name(names, after, cursor):
    assert next_cursor(names, after) == cursor


@pytest.mark.parametrize("ending", ["", "\n", "\U0010ffff", "é"])
def test_a_page_of_one_long_name_does_not_stop_the_list(ending):
    """A name of 1 MB in the path of a request was refused, and the list failed for good."""
    name = "i-" + LONG + ending
    cursor = next_cursor([name], "i")
    assert len(cursor) == MAX_CURSOR_CHARS
    assert "i" < name < cursor < "i-o"
    assert name.encode() < cursor.encode()


@pytest.mark.parametrize(("names", "after"), [([""], ""), (["a"], "a"), (["", ""], "a")])
def test_a_list_that_does_not_advance_has_a_code(names, after):
    with pytest.raises(PlatformError) as caught:
        next_cursor(names, after)
    assert caught.value.code is Code.PLATFORM_BAD_ANSWER
