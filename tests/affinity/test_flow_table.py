"""Tests of pearwell.affinity.flow_table."""

from pearwell.affinity.flow_table import FlowTable
from tests.affinity.builders import flow_key, target


def test_an_idle_flow_is_removed_and_an_active_one_kept():
    table, owner = FlowTable(), target(1)
    table.add(flow_key(1), owner)
    table.add(flow_key(2), owner)
    table.sweep(100.0, 15.0)
    assert table.get(flow_key(1)) is not None
    table.sweep(115.0, 15.0)
    assert table.get(flow_key(1)) is not None
    assert table.get(flow_key(2)) is None
    assert owner.open_flows == len(table) == 1


def test_a_full_table_rejects_new_flows():
    table, owner = FlowTable(limit=2), target(1)
    assert all(table.add(flow_key(number), owner) for number in range(2))
    assert table.add(flow_key(2), owner) is None
    assert owner.open_flows == 2


def test_target_counts_follow_a_reassigned_and_removed_flow():
    table, first, second = FlowTable(), target(1), target(2)
    flow = table.add(flow_key(1), first)
    flow.record_request(1.0)
    flow.record_request(1.0)
    assert (first.open_flows, first.in_flight) == (1, 1)
    flow.reassign(second)
    assert (first.open_flows, first.in_flight) == (0, 0)
    flow.record_request(2.0)
    assert (second.open_flows, second.in_flight) == (1, 1)
    assert table.on_targets([second]) == [flow]
    table.remove(flow.key)
    table.remove(flow.key)
    assert (second.open_flows, second.in_flight) == (0, 0)
