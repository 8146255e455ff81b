"""Schemes of the steering benchmark: pearwell and two baselines."""

import sys

from bench.steering_planner import GROUP, ZONE
from bench.steering_zone import SchemeFactory, Zone
from pearwell.agreement.transport import Transport
from pearwell.messages import Message
from pearwell.model.configuration import Configuration
from pearwell.model.membership import View
from pearwell.model.placement import Phase, Placement
from pearwell.model.service import ServiceSpec, TransportProtocol
from pearwell.steering.steering import Steering
from pearwell.steering.verdict import Action, FlowEvent, Verdict

__all__ = ["IDLE_TIMEOUT_S", "SCHEMES", "FlowTable", "Pearwell", "Stateless"]

IDLE_TIMEOUT_S = 8.0
# A 64-bit key is an int object of 36 bytes, which the allocator rounds up.
_KEY_BYTES = 48


class Pearwell:
    """The steering of pearwell."""

    def __init__(
        self,
        name: str,
        transport: Transport,
        zone: Zone,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self.steering = Steering(
            name,
            ZONE,
            transport,
            zone.clock,
            zone.rng,
            publish=lambda message: zone.planner.handle(message),
            invariants=zone.invariants,
        )
        service = ServiceSpec(
            "intake", "127.9.9.1", 443, TransportProtocol.TCP, GROUP, idle_timeout_s
        )
        self.steering.configure(Configuration({service.name: service}))

    @property
    def state_bytes(self) -> int:
        """Memory of the flow state in bytes."""
        return self.steering.state_bytes

    @property
    def records(self) -> int:
        """Number of flow records."""
        return self.steering.records

    @property
    def handed_over(self) -> bool:
        """Whether other instances serve all shards of this one."""
        return self.steering.shards_served == 0

    def decide(self, flow_hash: int, event: FlowEvent, from_peer: bool) -> Verdict:
        """Returns the verdict on a packet."""
        table = self.steering.table(GROUP)
        if table is None:
            return Verdict(Action.DROP)
        return self.steering.decide(table, flow_hash, event, from_peer=from_peer)

    def apply_placement(self, placement: Placement) -> None:
        """Applies a placement."""
        self.steering.apply_placement(placement)

    def apply_view(self, view: View) -> None:
        """Applies a view."""
        self.steering.apply_view(view)

    def renew_view(self, now: float) -> None:
        """Renews the view lease."""
        self.steering.renew_view(now)

    def handle(self, sender: str, message: Message) -> None:
        """Handles a message from a peer."""
        self.steering.handle(sender, message)

    def wake(self) -> None:
        """Checks the view lease before queued packets are processed."""
        self.steering.check_lease()

    def tick(self) -> None:
        """Runs periodic work."""
        self.steering.tick()


class Stateless:
    """Sends every packet to the current target of its bucket in the newest placement."""

    def __init__(self, name: str, transport: Transport, zone: Zone) -> None:
        self._placement: Placement | None = None

    @property
    def state_bytes(self) -> int:
        """Memory of the flow state in bytes."""
        return 0

    @property
    def records(self) -> int:
        """Number of flow records."""
        return 0

    @property
    def handed_over(self) -> bool:
        """Whether other instances serve all shards of this one."""
        return True

    def decide(self, flow_hash: int, event: FlowEvent, from_peer: bool) -> Verdict:
        """Returns the verdict on a packet."""
        placement = self._placement
        if placement is None:
            return Verdict(Action.DROP)
        index = placement.current[flow_hash & (len(placement.current) - 1)]
        target = placement.targets[index]
        return Verdict(Action.FORWARD, (target.address, target.port), target.name)

    def apply_placement(self, placement: Placement) -> None:
        """Applies a placement unless it is only prepared."""
        if placement.phase is not Phase.PREPARED:
            self._placement = placement

    def apply_view(self, view: View) -> None:
        """Ignores views."""

    def renew_view(self, now: float) -> None:
        """Ignores view renewals."""

    def handle(self, sender: str, message: Message) -> None:
        """Ignores messages."""

    def wake(self) -> None:
        """Does nothing."""

    def tick(self) -> None:
        """Does nothing."""


class FlowTable(Stateless):
    """Keeps the target of every flow seen at this instance; others use the newest placement."""

    def __init__(self, name: str, transport: Transport, zone: Zone) -> None:
        super().__init__(name, transport, zone)
        self._flows: dict[int, Verdict] = {}

    @property
    def state_bytes(self) -> int:
        """Memory of the flow state in bytes."""
        return sys.getsizeof(self._flows) + len(self._flows) * _KEY_BYTES

    @property
    def records(self) -> int:
        """Number of flow records."""
        return len(self._flows)

    def decide(self, flow_hash: int, event: FlowEvent, from_peer: bool) -> Verdict:
        """Returns the verdict on a packet."""
        verdict = self._flows.get(flow_hash)
        if verdict is None or event & FlowEvent.START:
            verdict = super().decide(flow_hash, event, from_peer)
            self._flows[flow_hash] = verdict
        if event & FlowEvent.END:
            self._flows.pop(flow_hash, None)
        return verdict


SCHEMES: dict[str, SchemeFactory] = {
    "stateless": Stateless,
    "flow_table": FlowTable,
    "pearwell": Pearwell,
}
