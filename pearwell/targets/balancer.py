"""Balancer service: sets the target weights of the groups that this instance owns.

Rendezvous hashing assigns each group to one instance of the zone. That instance receives the load
reports of the probers and the flow counts of all instances, and gossips the resulting weights, so
it doesn't need to know which instance writes the placement.
"""

from collections import defaultdict

import msgspec
import structlog

from pearwell.agreement.entry_store import EntryStore, put_next_version
from pearwell.agreement.rendezvous import rank
from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.kernel import QueuedService
from pearwell.messages import (
    ConfigurationChanged,
    FlowsMetered,
    Message,
    PeerMessage,
    SynsSampled,
    TargetStateChanged,
    ViewChanged,
    WeightsChanged,
)
from pearwell.messages.gossip import Entry
from pearwell.messages.local import EntryAdopted
from pearwell.messages.targets import (
    FlowCounts,
    FlowsCounted,
    GroupLoad,
    GroupWeights,
    LoadReported,
    OpenFlowsReported,
    SilenceVerdict,
)
from pearwell.model.configuration import Configuration
from pearwell.model.group import TargetIntent, TargetSpec
from pearwell.model.placement import TargetState
from pearwell.model.service import ServiceSpec
from pearwell.model.syn_sample import sample_syns
from pearwell.targets.group_balancer import Decisions, GroupBalancer, policy_of
from pearwell.targets.zone_health import live_instances, silence_key

__all__ = ["Balancer"]

DECIDE_INTERVAL_S = 1.0
COUNTS_INTERVAL_S = 2.0

_WEIGHTS_DOMAIN = "weights"
_LOAD_DOMAIN = "load"
_WEIGHTS_DECODER = msgspec.msgpack.Decoder(GroupWeights)
_LOAD_DECODER = msgspec.msgpack.Decoder(GroupLoad)

_log = structlog.get_logger()


class Balancer(QueuedService):
    """The service "balancer".

    Args:
        instance: ID of this instance.
        zone: Availability zone of this instance.
        clock: Source of monotonic time.
        store: Gossips weights in the zone.
        transport: Sends flow counts and load reports to the owner of a group.
    """

    name = "balancer"
    accepts: tuple[type[Message], ...] = (
        ConfigurationChanged,
        EntryAdopted,
        FlowsMetered,
        PeerMessage,
        SynsSampled,
        TargetStateChanged,
        ViewChanged,
    )
    interval_s = DECIDE_INTERVAL_S

    def __init__(
        self, instance: str, zone: str, clock: Clock, store: EntryStore, transport: Transport
    ) -> None:
        super().__init__()
        self._instance = instance
        self._zone = zone
        self._clock = clock
        self._store = store
        self._transport = transport
        self._configuration = Configuration()
        self._instances: tuple[str, ...] = (instance,)
        self._states: dict[tuple[str, str], TargetState] = {}
        self._group_balancers: dict[str, GroupBalancer] = {}
        self._counts: dict[str, dict[str, FlowCounts]] = defaultdict(dict)
        self._counts_due = clock.now()

    @property
    def owned_groups(self) -> tuple[str, ...]:
        """Names of the groups that this instance owns."""
        return tuple(self._group_balancers)

    async def handle(self, message: Message) -> None:
        """Handles configuration and membership changes, target states, flow counts and load."""
        match message:
            case ConfigurationChanged(configuration=configuration):
                self._configuration = configuration
                self._update_owned_groups()
            case ViewChanged(view=view):
                self._instances = live_instances(view) or (self._instance,)
                self._update_owned_groups()
            case TargetStateChanged(group=group, target=target, state=state):
                self._states[group, target] = state
                self._update_working_targets(group)
            case FlowsMetered(group=group, started=started, ended=ended):
                self._count_flows(group, dict(started), dict(ended))
            case SynsSampled(group=group, target=target, flow_hashes=flow_hashes):
                self._add_counts(group, FlowCounts(target, syns=flow_hashes))
            case LoadReported(group=group):
                self._send(group, message)
            case PeerMessage(message=content):
                self._apply_message(content)
            case EntryAdopted(entry=entry):
                self._apply_entry(entry)

    async def tick(self) -> None:
        """Sends flow counts and updates the groups that this instance owns."""
        now = self._clock.now()
        if now >= self._counts_due:
            self._counts_due = now + COUNTS_INTERVAL_S
            self._send_counts()
        for group, group_balancer in self._group_balancers.items():
            self._publish_decisions(group, group_balancer.decide())

    def _update_owned_groups(self) -> None:
        """Acquires and releases groups after a change and applies their configuration."""
        owned = {name for name in self._configuration.groups if self._owns(name)}
        for group in self._group_balancers.keys() - owned:
            del self._group_balancers[group]
        known = {(g.name, t.name) for g in self._configuration.groups.values() for t in g.targets}
        self._states = {key: state for key, state in self._states.items() if key in known}
        for group in sorted(owned):
            policy = policy_of(self._configuration, group)
            group_balancer = self._group_balancers.get(group)
            if group_balancer is None:
                group_balancer = self._group_balancers[group] = GroupBalancer(self._clock, policy)
                self._update_working_targets(group)
                self._adopt_weights(group, group_balancer)
            group_balancer.configure(self._zone_targets(group), policy)
            self._update_working_targets(group)

    def _owns(self, group: str) -> bool:
        return self._owner(group) == self._instance

    def _owner(self, group: str) -> str:
        return rank(f"balance/{group}", self._instances, 1)[0]

    def _adopt_weights(self, group: str, group_balancer: GroupBalancer) -> None:
        entry = self._store.get(f"{_WEIGHTS_DOMAIN}/{group}")
        weights = _decode_weights(entry) if entry is not None else None
        if weights is not None:
            group_balancer.adopt_weights(weights.weights)

    def _zone_targets(self, group: str) -> list[TargetSpec]:
        spec = self._configuration.groups.get(group)
        return [t for t in spec.targets if t.zone == self._zone] if spec else []

    def _update_working_targets(self, group: str) -> None:
        group_balancer = self._group_balancers.get(group)
        if group_balancer is None:
            return
        group_balancer.set_working_targets(
            target
            for target in self._zone_targets(group)
            if target.intent is TargetIntent.SERVING
            and self._states.get((group, target.name), TargetState.WORKING) is TargetState.WORKING
        )

    def _services(self, group: str) -> list[ServiceSpec]:
        return [s for s in self._configuration.services.values() if s.group == group]

    def _count_flows(self, group: str, started: dict[str, int], ended: dict[str, int]) -> None:
        for target in started.keys() | ended.keys():
            counts = FlowCounts(target, started.get(target, 0), ended.get(target, 0))
            self._add_counts(group, counts)

    def _add_counts(self, group: str, counts: FlowCounts) -> None:
        previous = self._counts[group].get(counts.target, FlowCounts(counts.target))
        self._counts[group][counts.target] = FlowCounts(
            counts.target,
            previous.started + counts.started,
            previous.ended + counts.ended,
            sample_syns((*previous.syns, *counts.syns)),
        )

    def _send_counts(self) -> None:
        counted, self._counts = self._counts, defaultdict(dict)
        for group, counts in counted.items():
            if counts and group in self._configuration.groups:
                self._send(group, FlowsCounted(group, tuple(counts.values())))

    def _send(self, group: str, message: Message) -> None:
        owner = self._owner(group)
        if owner == self._instance:
            self._apply_message(message)
        else:
            self._transport.send(owner, message)

    def _apply_message(self, message: Message) -> None:
        match message:
            case LoadReported(group=group, target=target, report=report):
                if group in self._group_balancers:
                    self._group_balancers[group].record_report(target, report)
            case FlowsCounted(group=group, counts=counts):
                if group in self._group_balancers:
                    self._group_balancers[group].record_counts(counts)

    def _apply_entry(self, entry: Entry) -> None:
        domain, _, group = entry.key.partition("/")
        if domain == _WEIGHTS_DOMAIN:
            weights = _decode_weights(entry)
            if weights is not None:
                self.kernel.publish(WeightsChanged(group, weights.weights))
        elif domain == _LOAD_DOMAIN:
            load = _decode_load(entry)
            if load is not None:
                self.kernel.publish(OpenFlowsReported(group, load.open_flows))

    def _publish_decisions(self, group: str, decisions: Decisions) -> None:
        for target, hold_s in decisions.silence_holds.items():
            event = "target_silent" if hold_s else "target_tried_again"
            _log.warning(event, group=group, target=target, hold_s=round(hold_s, 1))
            self._put(silence_key(group, target), SilenceVerdict(hold_s))
        if decisions.weights is not None:
            weights = tuple(sorted(decisions.weights.items()))
            _log.info("weights_changed", group=group, weights=dict(weights))
            self._put(f"{_WEIGHTS_DOMAIN}/{group}", GroupWeights(weights))
        if decisions.open_flows is not None and self._limits_open_flows(group):
            load = GroupLoad(tuple(sorted(decisions.open_flows.items())))
            self._put(f"{_LOAD_DOMAIN}/{group}", load)

    def _limits_open_flows(self, group: str) -> bool:
        limits = [service.limits for service in self._services(group)]
        return any(limit.open_flows or limit.target_open_flows for limit in limits)

    def _put(self, key: str, value: msgspec.Struct) -> None:
        put_next_version(self._store, key, self._instance, value)


def _decode_weights(entry: Entry) -> GroupWeights | None:
    try:
        return _WEIGHTS_DECODER.decode(entry.payload)
    except msgspec.DecodeError:
        return None


def _decode_load(entry: Entry) -> GroupLoad | None:
    try:
        return _LOAD_DECODER.decode(entry.payload)
    except msgspec.DecodeError:
        return None
