"""Tests of pearwell.placement.table."""

import random
from collections import Counter

import pytest

from pearwell.placement.table import assign, quotas, table_size


def _weights(count, weight=100):
    return {f"t{index:03}": weight for index in range(count)}


@pytest.mark.parametrize(
    ("targets", "size"), [(0, 256), (1, 256), (3, 512), (7, 1024), (8, 1024), (9, 2048)]
)
def test_table_size_is_a_power_of_two_of_at_least_the_minimum(targets, size):
    assert table_size(targets) == size


@pytest.mark.parametrize("count", [1, 2, 3, 7, 13, 100])
def test_equal_weights_differ_by_one_bucket_at_most(count):
    counts = Counter(assign(_weights(count), table_size(count)))
    assert len(counts) == count
    assert max(counts.values()) - min(counts.values()) <= 1


@pytest.mark.parametrize("previous", [None, ("t000",) * 1024])
def test_assignment_does_not_depend_on_the_order_of_the_weights(previous):
    weights = {**_weights(5), "t900": 250}
    items = list(weights.items())
    random.Random(4).shuffle(items)
    assert assign(weights, 1024, previous) == assign(dict(items), 1024, previous)


def test_quotas_are_proportional_to_the_weights():
    assert quotas({"a": 100, "b": 300}, 256) == {"a": 64, "b": 192}
    assert Counter(assign({"a": 100, "b": 300}, 256)) == {"a": 64, "b": 192}


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (_weights(7), _weights(8)),
        (_weights(8), _weights(7)),
        (_weights(7), {**_weights(7), "t003": 10}),
    ],
)
def test_a_change_moves_as_few_buckets_as_the_quotas_allow(before, after):
    old = assign(before, 1024)
    new = assign(after, 1024, old)
    moved = sum(a != b for a, b in zip(old, new, strict=True))
    lost = Counter(old) - Counter(quotas(after, 1024))
    assert moved == sum(lost.values())
    assert Counter(new) == quotas(after, 1024)
