"""Tests of pearwell.affinity.target_health: failures that many instances have to learn of."""

import pytest

from pearwell.affinity.relay_clients import RelayClients
from pearwell.affinity.target_health import PROBE_INTERVAL_S, UNRESPONSIVE_S
from pearwell.platform.target_probes import PROBE_HINT_S, PROBE_TIMEOUT_S

from .builders import DirectorHarness, data, target

INSTANCES = 112
# A target that goes down and up, each for half of this time.
FLAP_PERIOD_S = 1.4


def find(harness, number=1):
    """Returns a harness' record of a target."""
    return harness.directory.find_by_name(target(number).name)


def lose_request(harness, number=1):
    """Sends a request, and its retransmission by the client, to a target that doesn't respond."""
    token = find(harness).token
    harness.send(data(number, token))
    harness.now += 0.2
    harness.send(data(number, token))


def probe(harness, answered=False, refused=False, seconds=0.3):
    """Runs the probes that are due; returns how many there were."""
    health = harness.director.health
    probes = health.take_probes()
    harness.now += seconds if probes else 0.0
    for probed in probes:
        health.handle_probe_result(probed, answered, refused, harness.now)
    return len(probes)


def test_a_target_that_responds_and_fails_again_is_probed_at_once():
    """An answered probe doesn't delay the detection of a failure right after it."""
    harness = DirectorHarness(target(1))
    harness.open(1)
    lose_request(harness)
    assert probe(harness, answered=True, seconds=0.003) == 1
    harness.open(2)
    lose_request(harness, number=2)
    assert probe(harness, refused=True, seconds=0.003) == 1
    assert len(harness.director.take_resets()) == 2


def many_instances(count=INSTANCES):
    """Builds instances with an idle flow each on one target."""
    harnesses = [DirectorHarness(target(1)) for _ in range(count)]
    for harness in harnesses:
        harness.open(1)
        harness.now += 1.0
    return harnesses


def test_each_failure_of_a_flapping_target_resets_the_idle_flows_of_all_instances():
    """A target that fails again within seconds is reported again."""
    harnesses = many_instances()
    relay = RelayClients()
    for cycle in range(4):
        start = max(harness.now for harness in harnesses)
        first = harnesses[cycle]
        lose_request(first)
        assert probe(first, refused=True, seconds=0.003) == 1
        [name] = first.director.health.take_hints()
        hinted_at = first.now
        assert relay.should_forward(name, hinted_at), cycle
        for harness in harnesses:
            harness.now = hinted_at
            harness.director.health.handle_hint(name, harness.now)
            probe(harness, refused=True, seconds=0.003)
            assert len(harness.director.take_resets()) == 1
            harness.now += PROBE_INTERVAL_S
            harness.director.tick(harness.now)
            assert probe(harness, answered=True, seconds=0.003) == 1
            harness.open(1)
            harness.now = start + FLAP_PERIOD_S
            assert harness.now - find(harness).last_response_at >= UNRESPONSIVE_S


def find_gone(harness):
    """Lets an instance find its target gone; returns the names that it sends as hints."""
    lose_request(harness)
    probe(harness, refused=True, seconds=0.003)
    return harness.director.health.take_hints()


def test_a_hint_about_a_live_target_does_not_silence_later_hints():
    """An instance that got a false hint still reports the target once it really fails."""
    harness = DirectorHarness(target(1))
    harness.open(1)
    harness.now += 1.0
    harness.director.health.handle_hint(find(harness).name, harness.now)
    assert probe(harness, answered=True, seconds=0.003) == 1
    harness.now += 5.0
    assert find_gone(harness) == [find(harness).name]


def test_a_hint_received_without_flows_does_not_silence_later_hints():
    harness = DirectorHarness(target(1))
    harness.director.health.handle_hint(find(harness).name, harness.now)
    harness.now += 5.0
    harness.open(1)
    assert find_gone(harness) == [find(harness).name]


@pytest.mark.parametrize(
    ("responds", "probes"), [(False, 1), (True, 0)], ids=["silent since", "responded since"]
)
def test_a_hint_right_after_a_response_is_followed_up(responds, probes):
    """A target may fail just after a response; its idle flows would never be reset."""
    harness = DirectorHarness(target(1))
    harness.open(1)
    harness.now += UNRESPONSIVE_S / 2
    harness.director.health.handle_hint(find(harness).name, harness.now)
    assert probe(harness) == 0
    harness.now += 0.1
    if responds:
        harness.open(2)
    harness.now += 0.5
    harness.director.tick(harness.now)
    assert probe(harness, refused=True) == probes
    assert len(harness.director.take_resets()) == probes


def test_a_lying_hint_resets_nothing():
    """A hint alone proves nothing: each instance probes the target itself."""
    for harness in many_instances():
        harness.director.health.handle_hint(find(harness).name, harness.now)
        assert harness.director.take_resets() == []
        assert probe(harness, answered=True, seconds=0.003) == 1
        assert harness.director.take_resets() == []
        assert harness.send(data(1, find(harness).token)) is find(harness)


def test_an_instance_that_gets_no_hint_finds_the_target_gone_itself():
    """A lost hint or a relay that is down delays the detection, with one more request lost."""
    *hinted, unhinted = many_instances()
    [name] = find_gone(hinted[0])
    for harness in hinted[1:]:
        harness.director.health.handle_hint(name, harness.now)
        probe(harness, refused=True, seconds=0.003)
    assert sum(len(harness.director.take_resets()) for harness in hinted) == len(hinted)
    assert unhinted.director.take_resets() == []
    assert find_gone(unhinted) == [name]
    assert len(unhinted.director.take_resets()) == 1


def test_all_instances_reset_idle_flows_when_the_first_probe_of_a_silent_target_ends():
    """A probe of a target that has lost power times out; the others' probes run beside it."""
    first, *others = many_instances()
    lose_request(first)
    [probed] = first.director.health.take_probes()
    first.now += PROBE_HINT_S
    first.director.health.handle_slow_probe(probed, first.now)
    [name] = first.director.health.take_hints()
    first.now += PROBE_TIMEOUT_S - PROBE_HINT_S
    first.director.health.handle_probe_result(probed, False, False, first.now)
    assert len(first.director.take_resets()) == 1
    assert first.director.health.take_hints() == []
    for harness in others:
        harness.now = first.now - PROBE_TIMEOUT_S + PROBE_HINT_S
        harness.director.health.handle_hint(name, harness.now)
        assert harness.director.take_resets() == []
        assert probe(harness, seconds=PROBE_TIMEOUT_S) == 1
        assert len(harness.director.take_resets()) == 1
        assert harness.now - first.now <= PROBE_HINT_S


@pytest.mark.parametrize(
    ("response_age_s", "gone", "hints"),
    [(5.0, False, 1), (0.1, False, 0), (5.0, True, 0)],
    ids=["silent", "responded recently", "already gone"],
)
def test_a_slow_probe_is_reported_once(response_age_s, gone, hints):
    harness = DirectorHarness(target(1))
    affected = harness.open(1)
    harness.now += response_age_s
    affected.gone = gone
    health = harness.director.health
    for _ in range(2):
        health.handle_slow_probe(affected, harness.now)
    assert len(health.take_hints()) == hints
    assert harness.director.take_resets() == []
