"""Tests of pearwell.steering.replication."""

import pytest

from pearwell.clock import ManualClock
from pearwell.messages.steering import DeleteFlows, Replicate, ReplicateAck
from pearwell.steering.record import SHARDS, FlowRecords, RecordFlag, target_tag, unpack
from pearwell.steering.replication import DELETE_FLOWS_INTERVAL_S, RESEND_INTERVAL_S, Replicator

RESEND_AFTER_S = RESEND_INTERVAL_S + 0.1
FLOW = 0x1234_5678_9ABC_DEF0


class ReplicatorHarness:
    """A replicator with its records and the messages it sent."""

    def __init__(self):
        self.clock = ManualClock(10.0)
        self.sent = []
        self.stored = []
        self.target_known = True
        self.served = set(range(SHARDS))
        self.replicator = Replicator(
            self, self.clock, self.store, lambda message: True, lambda shard: shard in self.served
        )
        self.records = FlowRecords("g")
        self.put(FLOW, "t0")

    def send(self, to, message):
        self.sent.append((to, message))

    def store(self, records, replacing):
        self.stored.append(replacing)
        return self.target_known

    def put(self, flow, target, flags=RecordFlag.NONE):
        self.records.put(flow, self.records.intern(target_tag("g", target)), flags)

    def tick(self, seconds):
        self.clock.advance(seconds)
        self.sent.clear()
        self.replicator.tick()
        return [message for _, message in self.sent]


def test_the_current_record_is_resent_until_acknowledged():
    harness = ReplicatorHarness()
    harness.replicator.replicate("b", harness.records, FLOW)
    assert [to for to, _ in harness.sent] == ["b"]
    assert harness.replicator.pending_since(FLOW) == 10.0
    harness.put(FLOW, "t1")
    (resent,) = harness.tick(RESEND_AFTER_S)
    assert [tag for _, tag, _ in unpack(resent.records)] == [target_tag("g", "t1")]
    harness.replicator.handle("b", ReplicateAck((resent.sequence,)))
    assert harness.replicator.pending_since(FLOW) is None
    assert harness.tick(RESEND_AFTER_S) == []


@pytest.mark.parametrize("cause", ["granted", "lapsed", "peer left"])
def test_an_instance_that_stopped_serving_resends_nothing(cause):
    harness = ReplicatorHarness()
    harness.replicator.replicate("b", harness.records, FLOW)
    if cause == "granted":
        harness.served.clear()
    elif cause == "lapsed":
        harness.replicator.discard_pending()
    else:
        harness.replicator.remove_peer("b")
    assert harness.tick(RESEND_AFTER_S) == []
    assert harness.replicator.pending_since(FLOW) is None


def test_a_late_message_replaces_nothing_and_an_unknown_target_is_not_acknowledged():
    harness = ReplicatorHarness()
    for sequence, target_known in [(2, True), (1, True), (3, False)]:
        harness.target_known = target_known
        harness.replicator.handle("p", Replicate(sequence, b""))
    assert harness.stored == [True, False, True]
    (acknowledged,) = harness.tick(0.1)
    assert acknowledged.sequences == (2, 1)


@pytest.mark.parametrize(("after", "expected"), [(4, [FLOW]), (5, [FLOW]), (3, [])])
def test_ended_flows_are_removed_unless_a_later_record_arrived(after, expected):
    harness = ReplicatorHarness()
    removed = []
    harness.replicator.set_remove_copy(lambda group, flow: removed.append(flow))
    harness.replicator.handle("p", Replicate(4, b""))
    harness.replicator.handle("p", DeleteFlows(after, "g", FLOW.to_bytes(8, "little")))
    assert removed == expected


def test_a_snapshot_omits_learned_flows_and_ended_flows_are_batched():
    harness = ReplicatorHarness()
    learned = FLOW + SHARDS
    harness.put(learned, "t0", RecordFlag.LEARNED)
    harness.replicator.queue_snapshot("b", harness.records, FLOW % SHARDS)
    harness.replicator.queue_ended("b", "g", 7)
    harness.replicator.queue_ended("b", "g", 8)
    replicate, delete_flows = harness.tick(DELETE_FLOWS_INTERVAL_S)
    assert [flow for flow, _, _ in unpack(replicate.records)] == [FLOW]
    assert len(delete_flows.flows) == 16
