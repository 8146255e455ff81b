"""Invariants of steering: counted in production, raised in tests."""

from collections import Counter
from enum import StrEnum

import structlog

from pearwell.bucket import reachable, state_of
from pearwell.errors import Code, InvariantError
from pearwell.placement import Placement

__all__ = ["Invariant", "Invariants"]

_log = structlog.get_logger(__name__)


class Invariant(StrEnum):
    """What must always hold."""

    ONE_TARGET_PER_FLOW = "one_target_per_flow"
    TARGET_OF_OWN_SERVICE = "target_of_own_service"
    NO_PACKET_TWICE = "no_packet_twice"
    RECORD_KEPT = "record_kept"
    BASE_PROVEN = "base_proven"
    BUCKET_TRANSITION = "bucket_transition"


class Invariants:
    """Checks invariants and counts violations.

    Args:
        raising: Whether a violation raises InvariantError, as tests want it.
    """

    def __init__(self, raising: bool = False) -> None:
        self._raising = raising
        self._violations: Counter[Invariant] = Counter()

    @property
    def violations(self) -> dict[Invariant, int]:
        """Number of violations by invariant."""
        return dict(self._violations)

    def require(self, holds: bool, invariant: Invariant, detail: str) -> None:
        """Counts a violation unless the condition holds.

        Raises:
            InvariantError: It doesn't hold and this object raises.
        """
        if holds:
            return
        self._violations[invariant] += 1
        _log.error("invariant_violated", invariant=invariant.value, detail=detail)
        if self._raising:
            raise InvariantError(Code.INVARIANT_VIOLATED, f"{invariant.value}: {detail}")

    def check_step(self, before: Placement, after: Placement, moving: frozenset[int]) -> None:
        """Checks the buckets' transitions between consecutive placements of one writer.

        Args:
            before: The earlier placement.
            after: The later one.
            moving: Buckets that aren't stable in either of them.
        """
        consecutive = after.generation.counter == before.generation.counter + 1
        if not consecutive or len(before.base) != len(after.base):
            return
        for bucket in sorted(_changed(before, after, moving)):
            old, new = state_of(before, bucket), state_of(after, bucket)
            self.require(
                reachable(old, new),
                Invariant.BUCKET_TRANSITION,
                f"group {after.group} bucket {bucket}: {old.name} to {new.name}",
            )
            self._check_base(before, after, bucket)

    def _check_base(self, before: Placement, after: Placement, bucket: int) -> None:
        """Checks that a base target changes only to the target of new flows."""
        old = before.targets[before.base[bucket]].name
        new = after.targets[after.base[bucket]].name
        current = before.targets[before.current[bucket]].name
        self.require(
            new in (old, current),
            Invariant.BASE_PROVEN,
            f"group {after.group} bucket {bucket}: base {old} to {new}, new flows on {current}",
        )


def _changed(before: Placement, after: Placement, moving: frozenset[int]) -> frozenset[int]:
    """Returns the buckets that may have another state or base target."""
    renumbered = [target.name for target in before.targets] != [
        target.name for target in after.targets[: len(before.targets)]
    ]
    if renumbered:
        return frozenset(range(len(after.base)))
    bases = enumerate(zip(before.base, after.base, strict=True))
    return moving.union(bucket for bucket, (old, new) in bases if old != new)
