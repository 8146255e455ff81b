"""Decodes objects of the platform's store into evacuations of availability zones."""

from collections.abc import Callable, Mapping

from pearwell.affinity.evacuations import Evacuations
from pearwell.errors import Code
from pearwell.platform.objects import describe, object_name

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
        """Replaces all evacuations with those given by name; ignores objects without a name."""
        revisions = {name: _revision(item) for name, item in items.items() if name}
        if "" in items:
            self._log_unusable(items[""])
        self._evacuations.replace(revisions, now, self._trusts_listing(now))

    def apply(self, name: str, item: object | None, now: float) -> None:
        """Applies one object, or its removal if it is None."""
        if not name:
            self._log_unusable(item)
        elif item is None:
            self._evacuations.end(name, now, self._trusts_listing(now))
        else:
            self._evacuations.begin(name, _revision(item), now)

    def _log_unusable(self, item: object) -> None:
        self._log(
            "evacuation_unusable",
            code=int(Code.PLATFORM_BAD_ANSWER),
            detail=f"object without a name: {describe(item)}",
        )


def _revision(item: object) -> int:
    """Returns the revision of an object, which is logged; -1 if it is unreadable."""
    meta = item.get("meta") if isinstance(item, Mapping) else None
    revision = meta.get("Revision") if isinstance(meta, Mapping) else None
    return revision if isinstance(revision, int) else -1
