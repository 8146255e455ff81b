"""Steering: decides where each packet goes, at one instance."""

import random
from collections.abc import Callable

from pearwell.clock import Clock
from pearwell.configuration import Configuration
from pearwell.membership import View
from pearwell.messages import Message
from pearwell.placement import Placement
from pearwell.steering_table import SteeringTable
from pearwell.transport import Transport
from pearwell.verdict import Action, FlowEvent, Verdict

__all__ = ["Steering", "SteeringTable"]

VIEW_LEASE_S = 1.0


class Steering:
    """The steering core of one instance.

    Args:
        instance: Own instance id.
        zone: Own availability zone.
        transport: Carries messages to other instances.
        clock: Source of time.
        rng: Source of randomness.
        view_lease_s: Seconds without news of the zone after which the view is out of date.
        publish: Takes messages for other services of the daemon.
    """

    def __init__(
        self,
        instance: str,
        zone: str,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        *,
        view_lease_s: float = VIEW_LEASE_S,
        publish: Callable[[Message], None],
    ) -> None:
        self._instance = instance
        self._zone = zone
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._view_lease_s = view_lease_s
        self._publish = publish
        self._tables: dict[str, SteeringTable] = {}

    def table(self, group: str) -> SteeringTable | None:
        """Returns the table of a group; the object stays the same while it is updated."""
        return self._tables.get(group)

    def decide(
        self,
        table: SteeringTable,
        flow_hash: int,
        event: FlowEvent,
        *,
        from_peer: bool = False,
        has_payload: bool = False,
    ) -> Verdict:
        """Decides on one packet.

        Args:
            table: Table of the packet's group.
            flow_hash: 64-bit hash of the flow key with the table's seed.
            event: What the packet says about its flow.
            from_peer: Whether it came from another instance.
            has_payload: Whether it carries data.
        """
        bucket = flow_hash & table.mask
        address = table.slots[bucket]
        if address is not None:
            return Verdict(Action.FORWARD, address, table.names[address])
        return table.verdicts[table.placement.base[bucket]]

    def check_lease(self) -> None:
        """Checks the view lease; called on each wake-up before any queued packet."""

    def configure(self, configuration: Configuration) -> None:
        """Takes over idle timeouts and learning times."""

    def apply_placement(self, placement: Placement) -> None:
        """Takes over a placement; one of no higher generation is ignored."""
        table = self._tables.get(placement.group)
        if table is None:
            self._tables[placement.group] = SteeringTable(placement)
        elif placement.generation > table.placement.generation:
            table.update(placement)

    def apply_view(self, view: View) -> None:
        """Takes over the members of the zone."""

    def renew_view(self, heard_at: float) -> None:
        """Renews the view lease from a time in seconds of the instance's clock."""

    def handle(self, sender: str, message: Message) -> None:
        """Handles a message of another instance."""

    def tick(self) -> None:
        """Does periodic work, a few times a second."""
