"""Tests of pearwell.text_metrics."""

from pearwell.histogram import Histogram
from pearwell.text_metrics import render_histogram, render_samples


def test_histogram_buckets_are_cumulative():
    histogram = Histogram("call_seconds", (0.1, 1.0))
    for value in (0.05, 0.1, 0.5, 7.0):
        histogram.observe(value)
    assert render_histogram(histogram).splitlines() == [
        "# TYPE pearwell_call_seconds histogram",
        'pearwell_call_seconds_bucket{le="0.1"} 2',
        'pearwell_call_seconds_bucket{le="1.0"} 3',
        'pearwell_call_seconds_bucket{le="+Inf"} 4',
        "pearwell_call_seconds_sum 7.650000",
        "pearwell_call_seconds_count 4",
    ]


def test_samples_are_grouped_by_name():
    samples = [
        ("flows", "gauge", {"target": 'a"b'}, 2),
        ("ready", "gauge", {}, True),
        ("flows", "gauge", {"target": "c"}, 3.5),
    ]
    assert render_samples(samples).splitlines() == [
        "# TYPE pearwell_flows gauge",
        'pearwell_flows{target="a\\"b"} 2',
        'pearwell_flows{target="c"} 3.5',
        "# TYPE pearwell_ready gauge",
        "pearwell_ready 1",
    ]
