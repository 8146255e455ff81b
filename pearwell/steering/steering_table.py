"""The lookup table of one group for the packet path."""

from pearwell.errors import Code
from pearwell.model.placement import Placement, TargetState
from pearwell.placement.bucket import moving_buckets
from pearwell.steering.verdict import Action, Address, Verdict

__all__ = ["SteeringTable"]


class SteeringTable:
    """The table of one group; every placement updates the same object.

    Attributes:
        group: Name of the group.
        placement: The applied placement.
        seed: Seed of the flow hash.
        mask: Number of buckets less one.
        slots: Address of the target that receives every packet of a bucket, or None where
            Steering.decide has to decide.
        verdicts: Verdicts by target index: forward, or refuse if the target is dead.
        names: Target name by address.
        moving: Buckets that aren't stable.
    """

    __slots__ = (
        "_enabled_slots",
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
        """Applies a placement of a higher generation."""
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
        self._enabled_slots = self._stable_slots()
        self.slots = self._enabled_slots

    def disable_slots(self) -> None:
        """Disables the slots, so that Steering.decide decides while the view is out of date."""
        self.slots = [None] * len(self._enabled_slots)

    def enable_slots(self) -> None:
        """Enables the slots of stable buckets again."""
        self.slots = self._enabled_slots

    def start_target(self, bucket: int) -> str:
        """Returns the name of the target of a bucket's new flows; empty if the target is dead."""
        return self.verdicts[self.placement.current[bucket]].target

    def _stable_slots(self) -> list[Address | None]:
        addresses = [verdict.address for verdict in self.verdicts]
        slots = [addresses[index] for index in self.placement.base]
        for bucket in self.moving:
            slots[bucket] = None
        return slots
