"""Forwarding decision for one inner packet at a time, without I/O."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from xxhash import xxh3_64_intdigest

from pearwell.errors import Code, PacketError
from pearwell.model.configuration import Configuration
from pearwell.steering.flow_meter import FlowMeter
from pearwell.steering.packet import (
    caller_prefix,
    decrement_ttl,
    parse,
    service_key,
    try_fast_parse,
)
from pearwell.steering.reply import build_refusal
from pearwell.steering.steering_table import SteeringTable
from pearwell.steering.verdict import Action, Address, FlowEvent, Verdict

__all__ = ["Decider", "Forwarder", "Limits"]

# Membership in a tuple is tested by identity first, so most packets need no hash of a flag.
_MID_FLOW_EVENTS = (FlowEvent.NONE, FlowEvent.DATAGRAM)
_EVENTS_WITHOUT_END = (FlowEvent.START, *_MID_FLOW_EVENTS)


class Decider(Protocol):
    """The part of pearwell.steering.steering.Steering that forwarding uses."""

    def table(self, group: str) -> SteeringTable | None:
        """Returns the table of a group, or None if it has no placement yet."""

    def decide(
        self,
        table: SteeringTable,
        flow_hash: int,
        event: FlowEvent,
        *,
        from_peer: bool = False,
        has_payload: bool = False,
    ) -> Verdict:
        """Decides on a packet that starts or ends a flow, or whose slot is None."""

    def pass_to_owner(self, flow_hash: int) -> Verdict | None:
        """Returns the verdict that passes a SYN to its owner, or None to decide locally."""


class Limits(Protocol):
    """The part of pearwell.targets.admission.Admission that forwarding uses."""

    def limited(self, service: str) -> bool:
        """Returns whether the owners decide on the new flows of a service."""

    def admit(self, service: str, caller_prefix: bytes, target: str, flow_hash: int) -> Code:
        """Returns OK, or the code of the limit that refuses a new flow."""

    def ended(self, service: str, target: str) -> None:
        """Counts the end of a flow."""


@dataclass(frozen=True, slots=True)
class _Route:
    """A service and the table of its group; None if the group has no placement yet."""

    service: str
    table: SteeringTable | None


class Forwarder:
    """Looks up the service of a packet and decides where it goes.

    Args:
        decider: Provides tables and verdicts.
        limits: Admits new flows.
        meter: Counts new and ended flows.
        reply: Called with each reply to a caller.
    """

    def __init__(
        self,
        decider: Decider,
        limits: Limits,
        meter: FlowMeter,
        reply: Callable[[bytes], None],
    ) -> None:
        self._decider = decider
        self._limits = limits
        self._meter = meter
        self._reply = reply
        self._services: dict[bytes, tuple[str, str]] = {}
        self._routes: dict[bytes, _Route] = {}
        self._tables: dict[bytes, SteeringTable] = {}
        self._forwarded = 0
        self._counts: Counter[tuple[Action, Code]] = Counter()

    @property
    def counts(self) -> Counter[tuple[Action, Code]]:
        """Packets by action and code since the process started."""
        return self._counts + Counter({(Action.FORWARD, Code.OK): self._forwarded})

    def configure(self, configuration: Configuration) -> None:
        """Applies the services of a configuration."""
        self._services = {
            service_key(service.address, service.port, service.protocol): (
                service.name,
                service.group,
            )
            for service in configuration.services.values()
        }
        self.refresh()

    def refresh(self) -> None:
        """Looks the tables up again after a change of configuration or placement."""
        self._routes = {
            key: _Route(service, self._decider.table(group))
            for key, (service, group) in self._services.items()
        }
        self._tables = {
            key: route.table for key, route in self._routes.items() if route.table is not None
        }

    def forward(self, buffer: bytearray, length: int, *, from_peer: bool = False) -> Address | None:
        """Decides on a packet and decrements its TTL.

        Args:
            buffer: Starts with the inner packet; changed in place if the packet is forwarded.
            length: Bytes of the packet.
            from_peer: Whether it came from another instance.

        Returns:
            The address to send it to, or None if it is dropped or refused.
        """
        keys = try_fast_parse(buffer, length)
        if keys is not None:
            table = self._tables.get(keys[1])
            if table is not None:
                address = table.slots[xxh3_64_intdigest(keys[0], table.seed) & table.mask]
                if address is not None:
                    decrement_ttl(buffer)
                    self._forwarded += 1
                    return address
        return self._forward_slow_path(memoryview(buffer)[:length], from_peer)

    def count_drop(self, code: Code) -> None:
        """Counts a packet that is dropped outside forward()."""
        self._counts[Action.DROP, code] += 1

    def _forward_slow_path(self, packet: memoryview, from_peer: bool) -> Address | None:
        try:
            verdict = self._decide(packet, from_peer)
            if verdict.address is not None:
                decrement_ttl(packet)
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
        if event in _MID_FLOW_EVENTS:
            address = table.slots[flow_hash & table.mask]
            if address is not None:
                return Verdict(Action.FORWARD, address)
        if event is FlowEvent.START:
            verdict = self._decide_start(route.service, table, flow_key, flow_hash, from_peer)
        else:
            verdict = self._decider.decide(
                table, flow_hash, event, from_peer=from_peer, has_payload=has_payload
            )
        if verdict.target and event not in _EVENTS_WITHOUT_END:
            self._count_end(route.service, table.group, verdict.target, flow_hash)
        if verdict.action is Action.REFUSE:
            self._refuse(packet)
        return verdict

    def _decide_start(
        self,
        service: str,
        table: SteeringTable,
        flow_key: bytes,
        flow_hash: int,
        from_peer: bool,
    ) -> Verdict:
        """Decides on a SYN; the owner of its bucket does so if the service is limited."""
        limited = self._limits.limited(service)
        if limited and not from_peer:
            passed = self._decider.pass_to_owner(flow_hash)
            if passed is not None:
                return passed
        if limited:
            target = table.start_target(flow_hash & table.mask)
            code = self._limits.admit(service, caller_prefix(flow_key), target, flow_hash)
            if code is not Code.OK:
                return Verdict(Action.REFUSE, code=code)
        verdict = self._decider.decide(table, flow_hash, FlowEvent.START, from_peer=from_peer)
        if verdict.target:
            self._meter.count_start(table.group, verdict.target, flow_hash)
        return verdict

    def _count_end(self, service: str, group: str, target: str, flow_hash: int) -> None:
        if self._meter.count_end(group, target, flow_hash):
            self._limits.ended(service, target)

    def _refuse(self, packet: memoryview) -> None:
        reply = build_refusal(bytes(packet))
        if reply is not None:
            self._reply(reply)
