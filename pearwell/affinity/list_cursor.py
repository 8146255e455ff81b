"""Cursor of a list of several pages."""

from collections.abc import Sequence

from pearwell.errors import Code, PlatformError

__all__ = ["next_cursor"]


def next_cursor(names: Sequence[str], after: str) -> str:
    """Returns the name after which the next page of a list starts.

    It is the last one in the page that is plain text: the store may order others differently.
    Entries behind it are listed again.

    Args:
        names: Names of the entries of the latest page, in order; "" for none.
        after: Cursor of that page.

    Raises:
        PlatformError: PLATFORM_BAD_ANSWER if the list doesn't advance.
    """
    cursor = next((name for name in reversed(names) if name and name.isprintable()), names[-1])
    if cursor in ("", after):
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"list does not advance after {after!r}")
    return cursor
