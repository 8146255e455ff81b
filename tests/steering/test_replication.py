"""Tests of pearwell.steering.replication."""

import pytest

from pearwell.clock import ManualClock
from pearwell.messages.steering import Forget, Replicate, ReplicateAck
from pearwell.steering.record import SHARDS, FlowRecords, RecordFlag, target_tag, unpack
from pearwell.steering.replication import FORGET_INTERVAL_S, RESEND_S, Replicator

REPEATED_S = RESEND_S + 0.1
FLOW = 0x1234_5678_9ABC_DEF0


class Primary:
    """A replicator with its records and the messages it sent."""

    def __init__(self):
        self.clock = ManualClock(10.0)
        self.sent = []
        self.stored = []
        self.known = True
        self.served = set(range(SHARDS))
        self.replicator = Replicator(
            self, self.clock, self.store, lambda mark: True, lambda shard: shard in self.served
        )
        self.records = FlowRecords("g")
        self.put(FLOW, "t0")

    def send(self, to, message):
        self.sent.append((to, message))

    def store(self, records, replacing):
        self.stored.append(replacing)
        return self.known

    def put(self, flow, target, flags=RecordFlag.NONE):
        self.records.put(flow, self.records.intern(target_tag("g", target)), flags)

    def tick(self, seconds):
        self.clock.advance(seconds)
        self.sent.clear()
        self.replicator.tick()
        return [message for _, message in self.sent]


def test_a_record_is_sent_at_once_and_again_as_it_is_then_until_acknowledged():
    primary = Primary()
    primary.replicator.replicate("b", primary.records, FLOW)
    assert [to for to, _ in primary.sent] == ["b"]
    assert primary.replicator.pending_since(FLOW) == 10.0
    primary.put(FLOW, "t1")
    (again,) = primary.tick(REPEATED_S)
    assert [tag for _, tag, _ in unpack(again.records)] == [target_tag("g", "t1")]
    primary.replicator.handle("b", ReplicateAck((again.sequence,)))
    assert primary.replicator.pending_since(FLOW) is None
    assert primary.tick(REPEATED_S) == []


@pytest.mark.parametrize("loss", ["granted", "lapsed", "peer left"])
def test_nothing_is_repeated_by_one_that_decides_no_more(loss):
    primary = Primary()
    primary.replicator.replicate("b", primary.records, FLOW)
    if loss == "granted":
        primary.served.clear()
    elif loss == "lapsed":
        primary.replicator.abandon()
    else:
        primary.replicator.drop("b")
    assert primary.tick(REPEATED_S) == []
    assert primary.replicator.pending_since(FLOW) is None


def test_a_late_message_may_not_replace_and_an_unknown_target_is_not_acknowledged():
    primary = Primary()
    for sequence, known in [(2, True), (1, True), (3, False)]:
        primary.known = known
        primary.replicator.handle("p", Replicate(sequence, b""))
    assert primary.stored == [True, False, True]
    (acknowledged,) = primary.tick(0.1)
    assert acknowledged.sequences == (2, 1)


@pytest.mark.parametrize(("after", "forgotten"), [(4, [FLOW]), (5, [FLOW]), (3, [])])
def test_ended_flows_are_forgotten_unless_a_later_record_arrived(after, forgotten):
    primary = Primary()
    found = []
    primary.replicator.on_forget(lambda group, flow: found.append(flow))
    primary.replicator.handle("p", Replicate(4, b""))
    primary.replicator.handle("p", Forget(after, "g", FLOW.to_bytes(8, "little")))
    assert found == forgotten


def test_a_snapshot_leaves_learned_flows_out_and_ended_flows_go_in_batches():
    primary = Primary()
    learned = FLOW + SHARDS
    primary.put(learned, "t0", RecordFlag.LEARNED)
    primary.replicator.snapshot("b", primary.records, FLOW % SHARDS)
    primary.replicator.ended("b", "g", 7)
    primary.replicator.ended("b", "g", 8)
    replicate, forget = primary.tick(FORGET_INTERVAL_S)
    assert [flow for flow, _, _ in unpack(replicate.records)] == [FLOW]
    assert len(forget.flows) == 16
