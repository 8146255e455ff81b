"""The lookup table of one group as the packet path reads it."""

from pearwell.errors import Code
from pearwell.model.placement import Placement, TargetState
from pearwell.placement.bucket import moving_buckets
from pearwell.steering.verdict import Action, Address, Verdict

__all__ = ["SteeringTable"]


class SteeringTable:
    """The table of one group; the same object is updated by every placement.

    Attributes:
        group: Name of the group.
        placement: The placement in force here.
        seed: Seed of the flow hash.
        mask: Number of buckets less one.
        slots: Address of the target that takes every packet of a bucket, or None where the
            packet has to go through Steering.decide.
        verdicts: Verdict to forward to a target, by target index; to refuse for a dead one.
        names: Target name by address.
        moving: Buckets that aren't stable.
    """

    __slots__ = (
        "_open_slots",
        "group",
        "mask",
        "moving",
        "names",
        "placement",
        "seed",
        "slots",
        "verdicts",
    )

    def __init__(self, placement: Placement) -> None:
        self.update(placement)

    def update(self, placement: Placement) -> None:
        """Takes over a placement of a higher generation."""
        self.group = placement.group
        self.placement = placement
        self.seed = placement.seed
        self.mask = len(placement.base) - 1
        self.names = {(target.address, target.port): target.name for target in placement.targets}
        self.verdicts = tuple(
            (
                Verdict(Action.REFUSE, code=Code.TARGET_DEAD)
                if target.state is TargetState.DEAD
                else Verdict(Action.FORWARD, (target.address, target.port), target.name)
            )
            for target in placement.targets
        )
        self.moving = moving_buckets(placement)
        self._open_slots = self._stable_slots()
        self.slots = self._open_slots

    def close(self) -> None:
        """Sends every packet through Steering.decide, while the view is out of date."""
        self.slots = [None] * len(self._open_slots)

    def open(self) -> None:
        """Lets packets of stable buckets pass without Steering.decide again."""
        self.slots = self._open_slots

    def start_target(self, bucket: int) -> str:
        """Returns the target name of new flows of a bucket; empty if it takes none."""
        return self.verdicts[self.placement.current[bucket]].target

    def _stable_slots(self) -> list[Address | None]:
        addresses = [verdict.address for verdict in self.verdicts]
        slots = [addresses[index] for index in self.placement.base]
        for bucket in self.moving:
            slots[bucket] = None
        return slots
