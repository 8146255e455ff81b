"""Tests of scripts.capacity: the committed page matches the committed slopes."""

from scripts.capacity import PAGE, Size, read_slopes, render
from scripts.growth import newest_sweep, read_growth


def test_the_page_is_current():
    assert PAGE.read_text() == render(Size(), read_slopes(), read_growth(newest_sweep()))


def test_the_size_follows_from_the_letter():
    size = Size()
    assert round(size.nodes_per_zone) == 173
    assert round(size.flow_life_s) == 426
    assert size.flows / size.nodes > 31_000
