"""Reads configuration objects from the platform, or locally while the platform is unreachable."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pearwell.configuration.document import Document
from pearwell.configuration.editor import ConfigurationEditor
from pearwell.errors import Code, ConfigurationError, PlatformError
from pearwell.model.configuration import Configuration, Kind

__all__ = ["ConfigurationReader", "ReadResult"]

# Time limit of a read from the platform before it falls back to the instance.
READ_TIMEOUT_S = 1.5

_UNREACHABLE_CODES = frozenset(
    {Code.PLATFORM_UNAVAILABLE, Code.PLATFORM_TIMEOUT, Code.PLATFORM_RETRY_BUDGET}
)


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Existing objects in order of name.

    Attributes:
        documents: The objects; without audit entries if they come from the instance.
        next_token: Start of the next page; empty on the last page.
        from_instance: Whether the platform is unreachable, so that the objects are those that the
            instance applies.
    """

    documents: tuple[Document, ...]
    next_token: str = ""
    from_instance: bool = False


class ConfigurationReader:
    """Reads objects for operators.

    Args:
        editor: Reads the platform.
        applied: Returns the configuration that the instance applies.
    """

    def __init__(self, editor: ConfigurationEditor, applied: Callable[[], Configuration]) -> None:
        self._editor = editor
        self._applied = applied

    async def get(self, kind: Kind, name: str) -> ReadResult:
        """Returns one object.

        Raises:
            ConfigurationError: CONFIG_NOT_FOUND.
            PlatformError: The platform returned an unexpected error or response.
        """

        async def from_platform() -> ReadResult:
            return ReadResult((await self._editor.read(kind, name),))

        result = await _read_with_fallback(
            from_platform, lambda: ReadResult((self._local_document(kind, name),), "", True)
        )
        if result.documents[0].spec is None:
            raise ConfigurationError(Code.CONFIG_NOT_FOUND, f"{kind} {name}")
        return result

    async def page(self, kind: Kind, size: int, token: str) -> ReadResult:
        """Returns a page of objects, which may be shorter than size since it omits deleted objects.

        Raises:
            PlatformError: The platform returned an unexpected error or response.
        """

        async def from_platform() -> ReadResult:
            page = await self._editor.page(kind, size, token)
            return ReadResult(_without_deleted(page.documents), page.next_token)

        return await _read_with_fallback(from_platform, lambda: self._local_page(kind, size, token))

    def _local_document(self, kind: Kind, name: str) -> Document:
        applied = self._applied()
        return Document(kind, name, applied.versions.get((kind, name), 0), applied.find(kind, name))

    def _local_page(self, kind: Kind, size: int, token: str) -> ReadResult:
        names = sorted(n for k, n in self._applied().versions if k is kind and n > token)
        page = names[:size]
        documents = _without_deleted(tuple(self._local_document(kind, name) for name in page))
        return ReadResult(documents, page[-1] if len(page) < len(names) else "", True)


def _without_deleted(documents: tuple[Document, ...]) -> tuple[Document, ...]:
    return tuple(document for document in documents if document.spec is not None)


async def _read_with_fallback(
    from_platform: Callable[[], Awaitable[ReadResult]], from_instance: Callable[[], ReadResult]
) -> ReadResult:
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await from_platform()
    except TimeoutError:
        return from_instance()
    except PlatformError as error:
        if error.code not in _UNREACHABLE_CODES:
            raise
        return from_instance()
