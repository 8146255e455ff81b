"""Tests of pearwell.steering.flow_meter."""

import random

import pytest

from pearwell.clock import ManualClock
from pearwell.messages import FlowsMetered, SynsSampled
from pearwell.model.syn_sample import MAX_SAMPLED_SYNS
from pearwell.steering.flow_meter import FlowMeter


@pytest.mark.parametrize("syns", [1, 2, 4])
def test_a_retransmitted_syn_is_not_a_start(syns):
    meter = FlowMeter(ManualClock())
    for _ in range(syns):
        meter.count_start("intake", "one", 7)
    assert meter.take_messages() == [
        FlowsMetered("intake", (("one", 1),), ()),
        SynsSampled("intake", "one", (7,) * syns),
    ]
    assert meter.take_messages() == []


def test_starts_and_ends_are_counted_by_target():
    meter = FlowMeter(ManualClock())
    meter.count_start("intake", "two", 1)
    meter.count_start("intake", "one", 2)
    meter.count_start("tables", "one", 3)
    assert meter.count_end("tables", "one", 3)
    assert not meter.count_end("tables", "one", 3)
    assert meter.take_messages() == [
        FlowsMetered("intake", (("one", 1), ("two", 1)), ()),
        FlowsMetered("tables", (("one", 1),), (("one", 1),)),
        SynsSampled("intake", "one", (2,)),
        SynsSampled("intake", "two", (1,)),
        SynsSampled("tables", "one", (3,)),
    ]


def test_instances_sample_the_same_flows():
    hashes = [random.Random(1).getrandbits(64) for _ in range(40)]
    meters = [FlowMeter(ManualClock()), FlowMeter(ManualClock())]
    for number, meter in enumerate(meters):
        for flow_hash in random.Random(number).sample(hashes, len(hashes)):
            meter.count_start("intake", "one", flow_hash)
    samples = [
        m.flow_hashes
        for meter in meters
        for m in meter.take_messages()
        if isinstance(m, SynsSampled)
    ]
    assert [len(sample) for sample in samples] == [MAX_SAMPLED_SYNS, MAX_SAMPLED_SYNS]
    assert set(samples[0]) == set(samples[1])
