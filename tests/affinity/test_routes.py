"""Tests of pearwell.affinity.routes."""

import pytest

from pearwell.affinity.routes import Route, Routes, RouteTable

ADDRESS = b"\x01\xbb\xc6\x12\x00\x01"


@pytest.mark.parametrize(
    ("versions", "in_force"),
    [((3,), 3), ((3, 3), 3), ((3, 2), 3), ((3, 9, 5, 9), 9), ((0,), 0)],
)
def test_the_version_never_decreases(versions, in_force):
    table = RouteTable()
    for version in versions:
        table.apply(Routes(version, {ADDRESS: Route(f"v{version}", (("s", 1),))}), 1.0)
    assert table.version == in_force
    assert table.find(ADDRESS).name == f"v{in_force}"


@pytest.mark.parametrize(
    ("services", "shares"),
    [
        ((("a", 1),), {"a": 1.0}),
        ((("a", 0),), {"a": 1.0}),
        ((("a", 90), ("b", 10)), {"a": 0.9, "b": 0.1}),
        ((("a", 0), ("b", 10)), {"b": 1.0}),
        ((("a", 0), ("b", 0)), {"": 1.0}),
    ],
)
def test_new_flows_are_split_by_weight(services, shares):
    route = Route("r", services)
    flows = [number.to_bytes(12, "big") for number in range(4000)]
    chosen = [route.service_of(flow) for flow in flows]
    assert {name: round(chosen.count(name) / len(flows), 1) for name in set(chosen)} == shares
    assert chosen == [route.service_of(flow) for flow in flows]
