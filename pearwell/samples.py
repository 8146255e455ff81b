"""Metric samples collected from the components of one instance."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from pearwell.agreement.membership_service import MembershipService
from pearwell.agreement.peers import Peers
from pearwell.configuration.service import ConfigurationService
from pearwell.object_store.platform_client import PlatformClient
from pearwell.placement.service import PlacementService
from pearwell.steering.packet_path import PacketPath
from pearwell.steering.steering import Steering
from pearwell.targets.prober import Prober

__all__ = ["InstanceComponents", "Sample", "collect_samples"]


@dataclass(frozen=True, slots=True)
class Sample:
    """One sample of a metric.

    Attributes:
        name: Name of the metric, without the common prefix.
        value: Current value.
        labels: Labels that distinguish samples of the same metric.
    """

    name: str
    value: float
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class InstanceComponents:
    """The components of an instance that export metrics."""

    packet_path: PacketPath
    steering: Steering
    peers: Peers
    membership: MembershipService
    configuration: ConfigurationService
    placement: PlacementService
    prober: Prober
    platform: PlatformClient


def collect_samples(components: InstanceComponents) -> Iterator[Sample]:
    """Yields all samples of an instance."""
    for (action, code), count in components.packet_path.counts.items():
        labels = {"action": action.name.lower(), "code": code.name}
        yield Sample("packets_total", count, labels)
    yield from _steering_samples(components.steering)
    yield from _peer_samples(components.peers)
    yield Sample("members", len(components.membership.swim.view.members))
    yield Sample("pauses_total", components.membership.swim.pauses)
    yield Sample("configuration_objects", len(components.configuration.configuration.versions))
    yield Sample("configuration_rejected_total", components.configuration.rejected)
    yield Sample("relay", components.configuration.is_relay)
    yield Sample("platform_reachable", components.configuration.platform_reachable)
    for operation, count in components.platform.calls.items():
        yield Sample("platform_calls_total", count, {"operation": operation})
    yield Sample("placements_written_total", components.placement.written)
    yield Sample("placements_unsaved", components.placement.unsaved)
    yield Sample("targets_probed", len(components.prober.probed))
    yield Sample("targets_distrusted", components.prober.distrusted)


def _steering_samples(steering: Steering) -> Iterator[Sample]:
    for event, count in steering.counts.items():
        yield Sample("steering_events_total", count, {"event": event.value})
    for invariant, count in steering.invariants.violations.items():
        yield Sample("invariant_violations_total", count, {"invariant": invariant.value})
    yield Sample("flow_records", steering.records)
    yield Sample("flow_record_bytes", steering.state_bytes)
    yield Sample("shards_served", steering.shards_served)
    yield Sample("view_lease_lapsed", steering.lapsed)


def _peer_samples(peers: Peers) -> Iterator[Sample]:
    yield Sample("peer_links", peers.links)
    yield Sample("peer_messages_sent_total", peers.messages_sent)
    yield Sample("peer_bytes_sent_total", peers.bytes_sent)
    for code, count in peers.dropped.items():
        yield Sample("peer_messages_dropped_total", count, {"code": code.name})
