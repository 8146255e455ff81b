"""Tests of pearwell.load: profiles, schedules, traffic and reports."""

import random

import pytest

from pearwell.errors import Code, SettingsError
from pearwell.load.profile import PROFILES, find_profile
from pearwell.load.report import Report, Sample, read_report, write_report
from pearwell.load.schedule import EventKind, load_schedule, periodic_schedule
from pearwell.load.traffic import TrafficShape, plan_flows
from pearwell.standins.caller import CallerService


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("{", Code.SETTINGS_INVALID_VALUE),
        ('[{"at_s": -1, "kind": "target-drain"}]', Code.SETTINGS_INVALID_VALUE),
        ('[{"at_s": 1, "kind": "no-such"}]', Code.SETTINGS_INVALID_VALUE),
        ('[{"at_s": 1, "kind": "target-drain", "extra": 1}]', Code.SETTINGS_INVALID_VALUE),
        ('[{"at_s": 1, "kind": "platform-outage", "duration_s": 0}]', Code.SETTINGS_INVALID_VALUE),
        (None, Code.SETTINGS_UNREADABLE),
    ],
)
def test_invalid_schedule_raises_an_error_code(tmp_path, text, code):
    path = tmp_path / "schedule.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_schedule(path)
    assert caught.value.code is code


def test_schedule_is_sorted_by_time(tmp_path):
    path = tmp_path / "schedule.json"
    path.write_text('[{"at_s": 9, "kind": "target-join"}, {"at_s": 2, "kind": "instance-crash"}]')
    assert [event.kind for event in load_schedule(path)] == [
        EventKind.INSTANCE_CRASH,
        EventKind.TARGET_JOIN,
    ]


def test_periodic_schedule_uses_each_kind_before_repeating_one():
    kinds = (EventKind.TARGET_DRAIN, EventKind.TARGET_JOIN, EventKind.INSTANCE_CRASH)
    events = periodic_schedule(20.0, 200.0, kinds, random.Random(3))
    assert [event.at_s for event in events] == [20.0 * n for n in range(1, 9)]
    assert {event.kind for event in events[:3]} == set(kinds)
    assert events == periodic_schedule(20.0, 200.0, kinds, random.Random(3))


@pytest.mark.parametrize("name", sorted(PROFILES))
def test_profile_totals_cover_all_services(name):
    profile = find_profile(name)
    assert profile.targets == 10
    assert profile.flows == sum(s.targets * s.flows_per_target for s in profile.services)


def test_unknown_profile_raises_settings_error():
    with pytest.raises(SettingsError):
        find_profile("nobody")


def test_traffic_keeps_the_requested_number_of_flows_open():
    shape = TrafficShape(500, ramp_s=10.0, mean_flow_s=60.0, interval_s=5.0, duration_s=300.0)
    service = CallerService("intake", "198.51.100.1", 443, "")
    profile = PROFILES["bureau"].services[0]
    flows = list(plan_flows(profile, service, shape, 1000.0, random.Random(1)))
    for at_s in (1050.0, 1150.0, 1250.0):
        lifetimes = ((f.start, f.start + f.requests * f.interval_s) for f in flows)
        assert 450 <= sum(start <= at_s < end for start, end in lifetimes) <= 560


def test_report_round_trip(tmp_path):
    report = Report("bureau", 7, 60.0, flows=3, samples=[Sample(1.0, {"a-1": 2}, 0, 0, 1.0, 5.0)])
    path = tmp_path / "deep" / "report.json"
    write_report(report, path)
    assert read_report(path) == report


@pytest.mark.parametrize("content", [None, "{}", "no json"])
def test_invalid_report_raises_settings_error(tmp_path, content):
    path = tmp_path / "report.json"
    if content is not None:
        path.write_text(content)
    with pytest.raises(SettingsError):
        read_report(path)
