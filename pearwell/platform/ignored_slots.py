"""Log of implausible numbers of slots, which are ignored while the rest of the entry holds."""

from collections.abc import Callable, Mapping

from pearwell.affinity.directory import Directory
from pearwell.affinity.target import Target
from pearwell.errors import Code
from pearwell.platform.objects import describe

# True for type checkers only, as in pearwell.affinity.sync.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

__all__ = ["IgnoredSlots"]


class IgnoredSlots:
    """Logs ignored slots once for each incarnation of a target.

    Args:
        directory: Targets.
        log: Logs an event's name and its fields.
    """

    def __init__(self, directory: Directory, log: Callable[..., None]) -> None:
        self._directory = directory
        self._log = log
        # Starts of the incarnations whose slots were logged, by name.
        self._logged: dict[str, float] = {}

    def record(self, target: Target, item: "Any") -> None:
        """Records the entry of a target without usable slots."""
        spec: Mapping[str, object] = item["spec"]
        if self._logged.get(target.name) == target.started_ms:
            return
        for name in [*self._logged]:
            if self._directory.find_by_name(name) is None:
                del self._logged[name]
        self._logged[target.name] = target.started_ms
        self._log(
            "target_slots_ignored",
            target=target.name,
            code=int(Code.PLATFORM_BAD_ANSWER),
            detail=f"Concurrency={describe(spec['Concurrency'])}",
        )
