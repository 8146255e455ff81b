"""Tests of pearwell.agreement.ring."""

import pytest

from pearwell.agreement.ring import RING_COUNT, successors


@pytest.mark.parametrize("count", [1, 2, 3, 5, 20, 173])
def test_neighbours_are_few_distinct_and_connect_all_members(count):
    members = [f"i{number}" for number in range(count)]
    neighbours = {name: successors(name, members) for name in members}
    assert {len(chosen) for chosen in neighbours.values()} == {min(RING_COUNT, count - 1)}
    reached, frontier = {members[0]}, [members[0]]
    while frontier:
        for name in neighbours[frontier.pop()]:
            if name not in reached:
                reached.add(name)
                frontier.append(name)
    assert reached == set(members)
    assert successors("i0", reversed(members)) == neighbours["i0"]
