"""Tests of pearwell.affinity.instance."""

import pytest

from pearwell.affinity.instance import Bounds, Instance, order_relays
from pearwell.affinity.routes import Route, Routes
from pearwell.affinity.service import Service
from pearwell.errors import Code
from pearwell.text_metrics import render_samples
from tests.affinity.builders import ROUTE, flow_key, syn, target

SEEDS = (("10.1.0.1", 80), ("10.2.0.1", 80), ("10.3.0.1", 80))


def make():
    events = []
    instance = Instance(
        "a",
        Bounds(3.0, 3.0, 4.0, 6.0, warmup_overage=1.5, warmup_slack=5.0),
        relays=3,
        is_relay=False,
        jitter=lambda: 0.5,
        log_flow=lambda event, **_: events.append(event),
        log_event=lambda event, **_: events.append(event),
        fleet_relays=3,
    )
    return instance, events


def test_an_instance_starts_once_routes_and_targets_are_known():
    instance, _ = make()
    assert not instance.start_if_synced()
    instance.routes.apply(Routes(1, {ROUTE: Route("r", (("intake", 1),))}), 0.0)
    assert not instance.start_if_synced()
    instance.directory.replace([target(1)], 0.0)
    assert instance.start_if_synced() and not instance.start_if_synced()
    assert instance.lifecycle.ready


def test_the_configuration_is_not_asked_for_while_calls_for_targets_fail():
    """In an outage of the store only one kind of each instance finds out when it is back."""
    instance, _ = make()
    config, targets = instance.config_scheduler, instance.target_scheduler
    targets.on_list((0, 5), 0.0)
    assert not config.awaits_leader(0.0)
    for relay in range(3):
        call = targets.next_call(1.0)
        assert call.relay == relay
        targets.on_failure(call, Code.PLATFORM_UNAVAILABLE, 1.0)
        if targets.next_call(1.0).relay is None:
            targets.on_failure(targets.next_call(1.0), Code.PLATFORM_UNAVAILABLE, 1.0)
    assert targets.store_failing and config.awaits_leader(1.0)
    targets.on_list((0, 6), 2.0)
    assert not config.awaits_leader(2.0)


def test_a_tick_expires_unlisted_targets():
    instance, events = make()
    instance.directory.replace([target(1)], 0.0)
    instance.target_scheduler.on_list((0, 5), 0.0)
    instance.directory.remove("i-00000001", 10.0)
    instance.target_scheduler.on_watch(1, (0, 6), 10.0)
    instance.tick(11.0)
    assert events == []
    # No response since: the relay may stand still, and withhold that the entry is back.
    instance.tick(13.0)
    assert events == []
    instance.target_scheduler.on_watch(0, (0, 6), 12.9)
    instance.tick(13.0)
    assert events == ["target_gone"]


def test_samples_contain_the_state():
    instance, _ = make()
    instance.routes.apply(Routes(7, {ROUTE: Route("r", (("intake", 1),))}), 1.0)
    instance.directory.replace([target(1)], 1.0)
    instance.director.accept_flows()
    instance.director.on_packet(syn(1), b"", 2.0)
    instance.config_scheduler.on_era(3)
    instance.config_scheduler.on_list((3, 17), 1.5)
    page = render_samples(instance.samples(3.0))
    for line in (
        'pearwell_decisions_total{decision="flows_started"} 1',
        "pearwell_configuration_version 7",
        "pearwell_configuration_age_seconds 2",
        'pearwell_store_era{kind="config"} 3',
        'pearwell_store_revision{kind="config"} 17',
        'pearwell_store_revision{kind="targets"} -1',
        'pearwell_store_sync_age_seconds{kind="config"} 1.5',
        'pearwell_target_open_flows{service="intake",target="i-00000001"} 1',
    ):
        assert line in page


def configure(instance, version, rate):
    services = {"intake": Service("intake", warmup_starts_per_s=rate)}
    route = Route("r", (("intake", 1),))
    instance.routes.apply(Routes(version, {ROUTE: route}, services=services), 1.0)
    instance.apply_shared_limits()


def test_a_configuration_without_a_rate_adds_no_limit():
    instance, _ = make()
    configure(instance, 1, None)
    assert instance.shared_limits is None
    page = render_samples(instance.samples(3.0))
    assert "warmup" not in page and "fleet_size" not in page


def test_a_rate_limits_starts_on_cold_targets_until_it_is_removed():
    instance, events = make()
    configure(instance, 1, 0.5)
    configure(instance, 2, 0.4)
    instance.directory.replace([target(1, warmup_ends_at=60.0)], 1.0)
    instance.shared_limits.fleet_size.record_callers(36, 2.0, 2.0)
    instance.director.accept_flows()
    assert isinstance(instance.director.on_packet(syn(1), b"", 2.0), Code)
    assert events.count("warmup_limited") == 1
    page = render_samples(instance.samples(3.0))
    for line in (
        "pearwell_fleet_size_estimate 111",
        "pearwell_warmup_starts_total 0",
        "pearwell_warmup_held_back_total 1",
    ):
        assert line in page
    configure(instance, 3, None)
    assert instance.director.on_packet(syn(2), b"", 3.0) is instance.directory.find_by_name(
        "i-00000001"
    )
    instance.tick(3.0)
    assert events.count("warmup_limited_end") == 1


@pytest.mark.parametrize(
    ("max_flows", "told_callers", "held_flows", "watched"),
    [
        (None, 7, 900, False),
        (1_000, 7, 5, False),
        (1_000, None, 900, False),
        (1_000, 7, 21, True),
    ],
    ids=["no limit", "far away", "fleet size unknown", "near"],
)
def test_flow_limits_are_watched_once_a_target_comes_near(
    max_flows, told_callers, held_flows, watched
):
    instance, _ = make()
    routes = {ROUTE: Route("r", (("intake", 1),))}
    services = {"intake": Service("intake", max_flows)}
    instance.routes.apply(Routes(1, routes, services=services), 0.0)
    instance.apply_shared_limits()
    instance.directory.replace([target(1), target(2)], 0.0)
    instance.tick(1.0)
    if told_callers is not None and instance.shared_limits is not None:
        instance.shared_limits.fleet_size.record_callers(told_callers, 1.0, 1.1)
    instance.directory.find_by_name("i-00000002").held_flows = held_flows
    instance.tick(2.0)
    page = render_samples(instance.samples(2.0))
    line = 'pearwell_target_full{service="intake",target="i-00000001"} 0'
    assert (line in page) is (max_flows is not None)
    assert (instance.director.placement.flow_limit is not None) is watched
    # The fleet's size isn't asked for without a limit.
    assert (instance.shared_limits is None) is (max_flows is None)
    # A limit is no longer watched once the configuration has none.
    instance.routes.apply(Routes(2, routes), 3.0)
    instance.apply_shared_limits()
    instance.tick(3.0)
    assert instance.director.placement.allows(target(1), 3.0)


@pytest.mark.parametrize("slots", [None, 3])
def test_slots_are_among_the_samples_if_told(slots):
    instance, _ = make()
    instance.directory.replace([target(1, slots=slots)], 0.0)
    line = 'pearwell_target_slots{service="intake",target="i-00000001"} 3'
    assert (line in render_samples(instance.samples(1.0))) is (slots is not None)


@pytest.mark.parametrize(
    ("own", "expected"), [(("10.9.0.1", 80), set(SEEDS)), (None, set(SEEDS)), (SEEDS[1], set())]
)
def test_a_relay_calls_no_relay(own, expected):
    assert set(order_relays("e-1", own, SEEDS)) == expected


def test_instances_are_spread_over_the_relays():
    first = [order_relays(f"e-{number}", None, SEEDS)[0] for number in range(300)]
    assert all(60 <= first.count(seed) <= 140 for seed in SEEDS)


def test_flows_that_go_to_another_service_of_their_split_are_counted():
    instance, events = make()
    big, small = target(1), target(2, service="tables")
    route = Route("status", (("intake", 9), ("tables", 1)), 0.15)
    instance.routes.apply(Routes(1, {ROUTE: route}), 0.0)
    instance.directory.replace([big, small], 0.0)
    director = instance.director
    number = next(n for n in range(1, 100) if route.service_of(flow_key(n)) == "intake")
    director.accept_flows()
    assert director.on_packet(syn(number), b"", 1.0) is big
    for _ in range(10):
        director.placement.record_response(route, ROUTE, small, 0.03, 2_000, False, 1.0)
    big.draining = True
    assert director.on_packet(syn(number, seq=2_000), b"", 1.0) is small
    samples = render_samples(instance.samples(1.0))
    assert 'flows_overflowed_total{route="status",service="tables"} 1' in samples
    instance.tick(3.0)
    assert [event for event in events if event.startswith("split")] == [
        "split_overflow",
        "split_overflow_end",
    ]
