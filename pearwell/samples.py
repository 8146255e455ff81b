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

__all__ = ["InstanceParts", "Sample", "collect"]


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
class InstanceParts:
    """The components of an instance that export metrics."""

    packets: PacketPath
    steering: Steering
    peers: Peers
    membership: MembershipService
    configuration: ConfigurationService
    placement: PlacementService
    prober: Prober
    platform: PlatformClient


def collect(parts: InstanceParts) -> Iterator[Sample]:
    """Yields all samples of an instance."""
    for (action, code), count in parts.packets.counts.items():
        labels = {"action": action.name.lower(), "code": code.name}
        yield Sample("packets_total", count, labels)
    yield from _steering(parts.steering)
    yield from _peers(parts.peers)
    yield Sample("members", len(parts.membership.swim.view.members))
    yield Sample("pauses_total", parts.membership.swim.pauses)
    yield Sample("configuration_objects", len(parts.configuration.configuration.versions))
    yield Sample("configuration_rejected_total", parts.configuration.rejected)
    yield Sample("relay", parts.configuration.is_relay)
    yield Sample("platform_reachable", parts.configuration.platform_reachable)
    for operation, count in parts.platform.calls.items():
        yield Sample("platform_calls_total", count, {"operation": operation})
    yield Sample("placements_written_total", parts.placement.written)
    yield Sample("placements_unsaved", parts.placement.unsaved)
    yield Sample("targets_probed", len(parts.prober.probed))
    yield Sample("targets_distrusted", parts.prober.distrusted)


def _steering(steering: Steering) -> Iterator[Sample]:
    for event, count in steering.counts.items():
        yield Sample("steering_events_total", count, {"event": event.value})
    for invariant, count in steering.invariants.violations.items():
        yield Sample("invariant_violations_total", count, {"invariant": invariant.value})
    yield Sample("flow_records", steering.records)
    yield Sample("flow_record_bytes", steering.state_bytes)
    yield Sample("shards_served", steering.shards_served)
    yield Sample("view_lease_lapsed", steering.lapsed)


def _peers(peers: Peers) -> Iterator[Sample]:
    yield Sample("peer_links", peers.links)
    yield Sample("peer_messages_sent_total", peers.messages_sent)
    yield Sample("peer_bytes_sent_total", peers.bytes_sent)
    for code, count in peers.dropped.items():
        yield Sample("peer_messages_dropped_total", count, {"code": code.name})
