"""Forwarding: decides on one inner packet at a time; free of I/O."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from xxhash import xxh3_64_intdigest

from pearwell.configuration import Configuration
from pearwell.errors import Code, PacketError
from pearwell.packet import lower_ttl, parse, service_key, steady_flow
from pearwell.reply import refusal
from pearwell.steering_table import SteeringTable
from pearwell.verdict import Action, Address, FlowEvent, Verdict

__all__ = ["Admit", "Decider", "Forwarder", "admit_all"]


class Decider(Protocol):
    """The part of pearwell.steering.Steering that forwarding asks."""

    def table(self, group: str) -> SteeringTable | None:
        """Returns the table of a group, or None while there is no placement."""

    def decide(
        self,
        table: SteeringTable,
        flow_hash: int,
        event: FlowEvent,
        *,
        from_peer: bool = False,
        has_payload: bool = False,
    ) -> Verdict:
        """Decides on a packet whose slot is None or which starts a flow."""


@dataclass(frozen=True, slots=True)
class _Route:
    """A service and the table of its group, None while there is no placement."""

    service: str
    table: SteeringTable | None


Admit = Callable[[str, bytes, int], Code]


def admit_all(service: str, flow_key: bytes, flow_hash: int) -> Code:
    """Admits every flow."""
    return Code.OK


class Forwarder:
    """Looks up the service of a packet and decides where it goes.

    Args:
        decider: Gives tables and verdicts.
        reply: Called with each reply to a caller.
        admit: Called for each flow start with service, flow key and flow hash.
    """

    def __init__(
        self, decider: Decider, reply: Callable[[bytes], None], admit: Admit = admit_all
    ) -> None:
        self._decider = decider
        self._reply = reply
        self._admit = admit
        self._services: dict[bytes, tuple[str, str]] = {}
        self._routes: dict[bytes, _Route] = {}
        self._tables: dict[bytes, SteeringTable] = {}
        self._forwarded = 0
        self._counts: Counter[tuple[Action, Code]] = Counter()

    @property
    def counts(self) -> Counter[tuple[Action, Code]]:
        """Packets by action and code since the start."""
        return self._counts + Counter({(Action.FORWARD, Code.OK): self._forwarded})

    def configure(self, configuration: Configuration) -> None:
        """Takes the services of a configuration."""
        self._services = {
            service_key(service.address, service.port, service.protocol): (
                service.name,
                service.group,
            )
            for service in configuration.services.values()
        }
        self.refresh()

    def refresh(self) -> None:
        """Reads the tables again after a change of configuration or placement."""
        self._routes = {
            key: _Route(service, self._decider.table(group))
            for key, (service, group) in self._services.items()
        }
        self._tables = {
            key: route.table for key, route in self._routes.items() if route.table is not None
        }

    def forward(self, buffer: bytearray, length: int, *, from_peer: bool = False) -> Address | None:
        """Decides on a packet and lowers its TTL.

        Args:
            buffer: Starts with the inner packet; changed in place if the packet is forwarded.
            length: Bytes of the packet.
            from_peer: Whether another instance passed it on.

        Returns:
            Where to send it, or None if it is dropped or refused.
        """
        flow_key = steady_flow(buffer, length)
        if flow_key is not None:
            table = self._tables.get(flow_key[4:8] + flow_key[10:])
            if table is not None:
                address = table.slots[xxh3_64_intdigest(flow_key, table.seed) & table.mask]
                if address is not None:
                    lower_ttl(buffer)
                    self._forwarded += 1
                    return address
        return self._forward_slowly(memoryview(buffer)[:length], from_peer)

    def count_drop(self, code: Code) -> None:
        """Counts a packet that is dropped outside of forward."""
        self._counts[Action.DROP, code] += 1

    def _forward_slowly(self, packet: memoryview, from_peer: bool) -> Address | None:
        try:
            verdict = self._decide(packet, from_peer)
            if verdict.address is not None:
                lower_ttl(packet)
        except PacketError as error:
            self.count_drop(error.code)
            return None
        self._counts[verdict.action, verdict.code] += 1
        return verdict.address

    def _decide(self, packet: memoryview, from_peer: bool) -> Verdict:
        flow_key, key, event, has_payload = parse(packet)
        route = self._routes.get(key)
        if route is None:
            raise PacketError(Code.PACKET_UNKNOWN_ADDRESS)
        table = route.table
        if table is None:
            raise PacketError(Code.PACKET_NO_TARGET)
        flow_hash = xxh3_64_intdigest(flow_key, table.seed)
        if event is FlowEvent.START and not from_peer:
            code = self._admit(route.service, flow_key, flow_hash)
            if code is not Code.OK:
                self._refuse(packet)
                return Verdict(Action.REFUSE, code=code)
        elif event is not FlowEvent.START:
            address = table.slots[flow_hash & table.mask]
            if address is not None:
                return Verdict(Action.FORWARD, address)
        verdict = self._decider.decide(
            table, flow_hash, event, from_peer=from_peer, has_payload=has_payload
        )
        if verdict.action is Action.REFUSE:
            self._refuse(packet)
        return verdict

    def _refuse(self, packet: memoryview) -> None:
        answer = refusal(bytes(packet))
        if answer is not None:
            self._reply(answer)
