"""Cursor of a list of several pages."""

from collections.abc import Sequence

from pearwell.errors import Code, PlatformError

__all__ = ["next_cursor"]

# Longest cursor: a longer name of another writer doesn't fit into a URL.
MAX_CURSOR_CHARS = 256
# Sorts behind all names that go on differently.
_LAST_CHARACTER = "\U0010ffff"


def next_cursor(names: Sequence[str], after: str) -> str:
    """Returns the name after which the next page of a list starts.

    It is the last one in the page that is short plain text: the store may order others differently.
    Entries behind it are listed again. If there is no such name, it is the last one, of which a
    long one is cut so that all names with this start are behind the cursor.

    Args:
        names: Names of the entries of the latest page, in order; "" for none.
        after: Cursor of that page.

    Raises:
        PlatformError: PLATFORM_BAD_ANSWER if the list doesn't advance.
    """
    plain = (name for name in reversed(names) if len(name) <= MAX_CURSOR_CHARS)
    cursor = next((name for name in plain if name and name.isprintable()), names[-1])
    if len(cursor) > MAX_CURSOR_CHARS:
        cursor = cursor[: MAX_CURSOR_CHARS - 1] + _LAST_CHARACTER
    if cursor in ("", after):
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"list does not advance after {after!r}")
    return cursor
