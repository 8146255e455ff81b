"""Tests of scripts.capacity: the committed page matches the committed slopes."""

from scripts.capacity import PAGE, Size, read_slopes, render
from scripts.growth import newest_sweep, read_growth


def test_the_page_is_current():
    assert PAGE.read_text() == render(Size(), read_slopes(), read_growth(newest_sweep()))


def test_derived_sizes_match_the_requirements():
    size = Size()
    assert round(size.instances_per_zone) == 173
    assert round(size.mean_flow_lifetime_s) == 426
    assert size.flows / size.instances > 31_000
