"""Invariants of steering: violations are counted in production and raised in tests."""

from collections import Counter
from enum import StrEnum

import structlog

from pearwell.errors import Code, InvariantError
from pearwell.model.placement import Placement
from pearwell.placement.bucket import classify, is_legal_transition

__all__ = ["Invariant", "Invariants"]

# Base, current and upcoming target index of a bucket, and whether the bucket is a returned one.
_BucketEntry = tuple[int, int, int, bool]

_log = structlog.get_logger(__name__)


class Invariant(StrEnum):
    """A property that holds at all times."""

    ONE_TARGET_PER_FLOW = "one_target_per_flow"
    TARGET_OF_OWN_SERVICE = "target_of_own_service"
    NO_PACKET_TWICE = "no_packet_twice"
    RECORD_KEPT = "record_kept"
    BASE_PROVEN = "base_proven"
    BUCKET_TRANSITION = "bucket_transition"


class Invariants:
    """Checks invariants and counts violations.

    Args:
        raising: Whether a violation raises InvariantError; set in tests.
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
            InvariantError: The condition doesn't hold and violations raise.
        """
        if holds:
            return
        self._violations[invariant] += 1
        _log.error("invariant_violated", invariant=invariant.value, detail=detail)
        if self._raising:
            raise InvariantError(Code.INVARIANT_VIOLATED, f"{invariant.value}: {detail}")

    def check_transitions(self, before: Placement, after: Placement) -> None:
        """Checks the transition of every bucket if the placements are consecutive."""
        consecutive = after.generation.counter == before.generation.counter + 1
        if not consecutive or len(before.base) != len(after.base):
            return
        for old, new in _transitions(before, after):
            old_state, new_state = classify(*old), classify(*new)
            self.require(
                is_legal_transition(old_state, new_state),
                Invariant.BUCKET_TRANSITION,
                f"group {after.group}: {old_state.name} to {new_state.name}",
            )
            self._check_base(before, after, old, new[0])

    def _check_base(
        self, before: Placement, after: Placement, old: _BucketEntry, base: int
    ) -> None:
        """Checks that a bucket's base target changes only to its current target."""
        known = [before.targets[index].name for index in old[:2]]
        self.require(
            after.targets[base].name in known,
            Invariant.BASE_PROVEN,
            f"group {after.group}: base {known[0]}, new flows on {known[1]}, "
            f"then base {after.targets[base].name}",
        )


def _transitions(before: Placement, after: Placement) -> set[tuple[_BucketEntry, _BucketEntry]]:
    """Returns the distinct transitions of all buckets."""
    tables = enumerate(
        zip(
            zip(before.base, before.current, before.upcoming, strict=True),
            zip(after.base, after.current, after.upcoming, strict=True),
            strict=True,
        )
    )
    return {
        ((*old, bucket in before.returned), (*new, bucket in after.returned))
        for bucket, (old, new) in tables
    }
