"""Decodes objects of the platform's store into evacuations of availability zones."""

from collections.abc import Callable, Mapping

from pearwell.affinity.evacuations import Evacuations
from pearwell.errors import Code
from pearwell.platform.objects import MAX_NUMBER, MAX_TEXT_CHARS, describe, object_name

__all__ = ["EvacuationHandler"]


class EvacuationHandler:
    """Applies the operator's evacuations.

    An object evacuates the zone that it is named after until it is removed, whatever it holds.

    Args:
        evacuations: The evacuations to update.
        trusts_listing: Whether the store has been healthy long enough for lost objects to be
            written again, so that one missing at the given time was removed.
        log: Logs an event's name and its fields.
    """

    kind = "evacuations"

    def __init__(
        self,
        evacuations: Evacuations,
        trusts_listing: Callable[[float], bool],
        log: Callable[..., None],
    ) -> None:
        self._evacuations = evacuations
        self._trusts_listing = trusts_listing
        self._log = log

    def name_of(self, item: object) -> str:
        """Returns an object's name; "" if it has none."""
        return object_name(item)

    def replace(self, items: Mapping[str, object], now: float) -> None:
        """Replaces all evacuations with those given by name; ignores objects without a zone's."""
        revisions = {name: _revision(item) for name, item in items.items() if _is_zone(name)}
        unusable = [name for name in items if not _is_zone(name)]
        if unusable:
            self._log_unusable(unusable[0], len(unusable))
        self._evacuations.replace(revisions, now, self._trusts_listing(now))

    def apply(self, name: str, item: object | None, now: float) -> None:
        """Applies one object, or its removal if it is None."""
        if not _is_zone(name):
            self._log_unusable(name)
        elif item is None:
            self._evacuations.end(name, now, self._trusts_listing(now))
        else:
            self._evacuations.begin(name, _revision(item), now)

    def shorten(self, item: object) -> object | None:
        """Returns what matters of a large object; None if it may all matter."""
        name = object_name(item)[: MAX_TEXT_CHARS + 1]
        return {"meta": {"Name": name, "Revision": _revision(item)}}

    def _log_unusable(self, name: str, count: int = 1) -> None:
        self._log(
            "evacuation_unusable",
            code=int(Code.PLATFORM_BAD_ANSWER),
            detail=f"{count} without the name of a zone: {describe(name)}",
        )


def _is_zone(name: str) -> bool:
    return 0 < len(name) <= MAX_TEXT_CHARS


def _revision(item: object) -> int:
    """Returns the revision of an object, which is logged; -1 if it is unreadable."""
    meta = item.get("meta") if isinstance(item, Mapping) else None
    revision = meta.get("Revision") if isinstance(meta, Mapping) else None
    if not isinstance(revision, int) or not 0 <= revision <= MAX_NUMBER:
        return -1
    return revision
