"""Forwarding: decides on one inner packet at a time; free of I/O."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from xxhash import xxh3_64_intdigest

from pearwell.configuration import Configuration
from pearwell.errors import Code, PacketError
from pearwell.packet import lower_ttl, parse, service_key
from pearwell.reply import refusal
from pearwell.verdict import Action, Address, FlowEvent, Verdict

__all__ = ["Admit", "Decider", "Forwarder", "Route", "Table", "admit_all"]


class Table(Protocol):
    """The lookup table of one group, as pearwell.steering.SteeringTable.

    Attributes:
        group: Name of the group.
        seed: Seed of the flow hash.
        mask: Number of buckets less one.
        slots: Target address per bucket; None where Decider.decide has to be asked.
    """

    group: str
    seed: int
    mask: int
    slots: list[Address | None]


class Decider(Protocol):
    """The part of pearwell.steering.Steering that forwarding asks."""

    def table(self, group: str) -> Table | None:
        """Returns the table of a group, or None while there is no placement."""

    def decide(
        self,
        table: Table,
        flow_hash: int,
        event: FlowEvent,
        *,
        from_peer: bool = False,
        has_payload: bool = False,
    ) -> Verdict:
        """Decides on a packet whose slot is None or which starts a flow."""


@dataclass(slots=True)
class Route:
    """A service and the table of its group.

    Attributes:
        service: Name of the service.
        table: Table of its group; None while there is no placement.
    """

    service: str
    table: Table | None


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
        self._routes: dict[bytes, Route] = {}
        self._counts: Counter[tuple[Action, Code]] = Counter()

    @property
    def counts(self) -> Counter[tuple[Action, Code]]:
        """Packets by action and code since the start."""
        return self._counts

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
            key: Route(service, self._decider.table(group))
            for key, (service, group) in self._services.items()
        }

    def forward(self, packet: bytearray | memoryview, *, from_peer: bool = False) -> Address | None:
        """Decides on a packet and lowers its TTL.

        Args:
            packet: The inner packet; changed in place if it is forwarded.
            from_peer: Whether another instance passed it on.

        Returns:
            Where to send it, or None if it is dropped or refused.
        """
        try:
            address, verdict = self._decide(packet, from_peer)
            if address is not None:
                lower_ttl(packet)
        except PacketError as error:
            self._counts[Action.DROP, error.code] += 1
            return None
        self._counts[verdict] += 1
        return address

    def count_failed_send(self) -> None:
        """Counts a packet that the operating system refused to send."""
        self._counts[Action.DROP, Code.PACKET_SEND_FAILED] += 1

    def _decide(
        self, packet: bytearray | memoryview, from_peer: bool
    ) -> tuple[Address | None, tuple[Action, Code]]:
        flow_key, key, event, has_payload = parse(packet)
        route = self._routes.get(key)
        if route is None:
            raise PacketError(Code.PACKET_UNKNOWN_ADDRESS)
        table = route.table
        if table is None:
            raise PacketError(Code.PACKET_NO_TARGET)
        flow_hash = xxh3_64_intdigest(flow_key, table.seed)
        starts = event & FlowEvent.START
        if not starts:
            address = table.slots[flow_hash & table.mask]
            if address is not None:
                return address, _FORWARDED
        elif not from_peer:
            code = self._admit(route.service, flow_key, flow_hash)
            if code is not Code.OK:
                self._refuse(packet)
                return None, (Action.REFUSE, code)
        verdict = self._decider.decide(
            table, flow_hash, event, from_peer=from_peer, has_payload=has_payload
        )
        if verdict.action is Action.REFUSE:
            self._refuse(packet)
        return verdict.address, (verdict.action, verdict.code)

    def _refuse(self, packet: bytearray | memoryview) -> None:
        answer = refusal(bytes(packet))
        if answer is not None:
            self._reply(answer)


_FORWARDED = (Action.FORWARD, Code.OK)
