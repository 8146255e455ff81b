"""Object store interface: versioned objects with conditional updates and watches."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

import msgspec

from pearwell.errors import Code, PlatformError

__all__ = [
    "MAX_VALUE_BYTES",
    "PAGE_SIZE",
    "ObjectList",
    "ObjectStore",
    "StoredObject",
    "Value",
    "WatchEvent",
    "WatchEventType",
    "check_size",
    "collect_pages",
    "compose_version",
    "copy_value",
    "split_version",
]

# Maximum size of an encoded value that the platform accepts.
MAX_VALUE_BYTES = 1_000_000
# Objects per page when all objects are listed.
PAGE_SIZE = 100

# Bits of a version that hold the platform's revision; those above hold its era.
_REVISION_BITS = 40

Value = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as stored by the platform.

    Attributes:
        kind: Kind in lower case, such as "service".
        name: Unique name within the kind.
        version: Platform version of its latest write; versions increase across all kinds, also
            when the platform is restored from a copy (see compose_version()).
        value: The JSON value.
    """

    kind: str
    name: str
    version: int
    value: Value


@dataclass(frozen=True, slots=True)
class ObjectList:
    """A list of objects of one kind, or a page of it.

    Attributes:
        items: The objects in order of name.
        version: Platform version that the list reflects, to start a watch from.
        next_token: Token that requests the next page; empty on the last page.
    """

    items: tuple[StoredObject, ...]
    version: int
    next_token: str = ""


class WatchEventType(StrEnum):
    """Types of watch events."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One event of a watch.

    Attributes:
        type: Type of the event.
        stored: The object after the event; in a bookmark, only the version is meaningful.
    """

    type: WatchEventType
    stored: StoredObject


class ObjectStore(Protocol):
    """The platform's object API.

    Every method may raise PlatformError. After PLATFORM_UNAVAILABLE or PLATFORM_TIMEOUT, it is
    unknown whether a write took effect.
    """

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object; raises PLATFORM_NOT_FOUND if there is none."""

    async def list(self, kind: str, *, limit: int = 0, token: str = "") -> ObjectList:
        """Returns the objects of a kind.

        Args:
            kind: Kind in lower case.
            limit: Maximum number of objects in the page; 0 for all objects.
            token: next_token of the previous page.
        """

    async def create(self, kind: str, name: str, value: Value) -> StoredObject:
        """Creates an object; raises PLATFORM_ALREADY_EXISTS if there is one."""

    async def update(
        self, kind: str, name: str, value: Value, expected_version: int
    ) -> StoredObject:
        """Replaces an object; raises PLATFORM_CONFLICT unless it has the expected version."""

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Removes an object; raises PLATFORM_CONFLICT unless it has the expected version."""

    def watch(self, kind: str, version: int) -> AsyncIterator[WatchEvent]:
        """Yields the events after a version until the platform ends the watch.

        Raises:
            PlatformError: PLATFORM_WATCH_EXPIRED if the version is too old to resume from.
        """


async def collect_pages(page: Callable[[str], Awaitable[ObjectList]]) -> ObjectList:
    """Fetches and concatenates all pages of a list.

    Args:
        page: Fetches the page for a token; the token of the first page is empty.

    Returns:
        All objects with the lowest version of any page, so that a watch from it misses no event.

    Raises:
        PlatformError: PLATFORM_UNAVAILABLE if the platform was restored between two pages.
    """
    found = await page("")
    items, version = list(found.items), found.version
    while found.next_token:
        found = await page(found.next_token)
        if split_version(found.version)[0] != split_version(version)[0]:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "restored between two pages of a list")
        items.extend(found.items)
        version = min(version, found.version)
    return ObjectList(tuple(items), version)


def compose_version(era: int, revision: int) -> int:
    """Returns the version for a revision of the platform in an era.

    A platform that is restored from a copy issues revisions again, so they increase only within an
    era, which it raises with each restore. Versions increase across eras.
    """
    return era << _REVISION_BITS | revision


def split_version(version: int) -> tuple[int, int]:
    """Returns era and revision of a version."""
    return version >> _REVISION_BITS, version & ((1 << _REVISION_BITS) - 1)


def copy_value(value: Value) -> dict[str, Any]:
    """Returns a deep copy of a JSON value."""
    return msgspec.json.decode(msgspec.json.encode(value))


def check_size(kind: str, name: str, value: Value) -> None:
    """Raises PLATFORM_TOO_LARGE if a value exceeds MAX_VALUE_BYTES when encoded."""
    size = len(msgspec.json.encode(value))
    if size > MAX_VALUE_BYTES:
        raise PlatformError(Code.PLATFORM_TOO_LARGE, f"{kind}/{name} takes {size} bytes")
