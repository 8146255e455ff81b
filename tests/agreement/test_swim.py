"""Tests of pearwell.agreement.swim in virtual time."""

import random

import msgspec
import pytest

from pearwell.agreement.swim import TICK_INTERVAL_S, Swim, SwimCallbacks
from pearwell.agreement.transport import MemoryNetwork
from pearwell.clock import ManualClock
from pearwell.messages import MemberUpdates, Ping
from pearwell.model.membership import Member, MemberState


def member(number):
    return Member(f"i{number}", f"127.40.0.{number + 1}", 20001, 20002)


class Zone:
    """Membership cores on an in-memory network that can be stopped, paused and partitioned."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.is_blocked = lambda sender, to: False
        self.network = MemoryNetwork(
            self.clock, lambda s, t, m: () if self.is_blocked(s, t) else (0.001,)
        )
        self.seeds = [member(number) for number in range(min(count, 3))]
        self.cores, self.views, self.renewed = {}, {}, {}
        self.paused, self.queued = set(), {}
        for number in range(count):
            self.start(number)

    def start(self, number):
        name = f"i{number}"
        self.views[name] = []

        def receive(sender, message):
            if name in self.paused:
                self.queued.setdefault(name, []).append((sender, message))
            else:
                core.handle(sender, message)

        transport = self.network.attach(name, receive)
        callbacks = SwimCallbacks(
            on_view_changed=self.views[name].append,
            on_view_renewed=lambda confirmed_at: self.renewed.__setitem__(name, confirmed_at),
        )
        core = Swim(member(number), transport, self.clock, random.Random(number), callbacks)
        core.set_seeds(self.seeds)
        self.cores[name] = core
        self._tick(name, core)
        return core

    def kill(self, name):
        self.network.detach(name)
        del self.cores[name]

    def resume(self, name):
        self.paused.discard(name)
        for sender, message in self.queued.pop(name, []):
            self.cores[name].handle(sender, message)

    def _tick(self, name, core):
        if self.cores.get(name) is not core:
            return
        if name not in self.paused:
            core.tick()
        when = self.clock.now() + TICK_INTERVAL_S
        self.network.call_at(when, lambda: self._tick(name, core))

    def run(self, seconds):
        self.network.run_until(self.clock.now() + seconds)

    def current_views(self):
        return {
            tuple((m.instance, m.state) for m in core.view.members) for core in self.cores.values()
        }

    def assert_all_alive(self):
        expected = tuple((name, MemberState.ALIVE) for name in sorted(self.cores))
        assert self.current_views() == {expected}


@pytest.mark.parametrize("count", [1, 2, 7, 40])
def test_instances_started_together_converge_on_one_view(count):
    zone = Zone(count)
    zone.run(8.0)
    zone.assert_all_alive()
    renewal_ages = [zone.clock.now() - zone.renewed[name] for name in zone.cores]
    assert max(renewal_ages) < 1.0


@pytest.mark.parametrize("killed", [["i4"], ["i1", "i5", "i6"], [f"i{n}" for n in range(0, 18, 2)]])
def test_dead_instances_are_removed_from_every_view(killed):
    zone = Zone(18)
    zone.run(8.0)
    for name in killed:
        zone.kill(name)
    zone.run(9.0)
    zone.assert_all_alive()


def test_views_converge_after_every_instance_is_replaced_within_a_minute():
    zone = Zone(12)
    zone.run(8.0)
    for number in range(12):
        zone.seeds = [core.view.find(name) for name, core in zone.cores.items()]
        zone.start(number + 100)
        zone.run(2.5)
        zone.kill(f"i{number}")
        zone.run(2.5)
    zone.run(9.0)
    zone.assert_all_alive()


def test_restarted_instance_refutes_its_tombstone():
    zone = Zone(6)
    zone.run(8.0)
    zone.kill("i4")
    zone.run(6.0)
    zone.start(4)
    zone.run(3.0)
    zone.assert_all_alive()
    assert zone.cores["i0"].view.find("i4").incarnation > 0


@pytest.mark.parametrize("pause_s", [1.0, 2.0, 20.0])
def test_paused_instance_suspects_no_member_and_renews_its_view(pause_s):
    zone = Zone(10)
    zone.run(8.0)
    for views in zone.views.values():
        views.clear()
    zone.paused.add("i3")
    zone.run(pause_s)
    resumed_at = zone.clock.now()
    assert zone.renewed["i3"] <= resumed_at - pause_s + TICK_INTERVAL_S
    zone.resume("i3")
    assert zone.renewed["i3"] <= resumed_at - pause_s + TICK_INTERVAL_S
    zone.run(2.0)
    zone.assert_all_alive()
    assert zone.cores["i3"].pauses == 1
    assert zone.renewed["i3"] > resumed_at
    seen = [m for views in zone.views.values() for view in views for m in view.members]
    assert {m.instance for m in seen if m.state is not MemberState.ALIVE} <= {"i3"}


def test_lost_link_between_two_instances_removes_no_member():
    zone = Zone(10)
    zone.run(8.0)
    neighbour = zone.cores["i0"].neighbours[0]
    zone.is_blocked = lambda sender, to: {sender, to} == {"i0", neighbour}
    zone.run(10.0)
    zone.assert_all_alive()


def test_partitioned_zone_keeps_working_in_halves_and_merges():
    zone = Zone(12)
    zone.run(8.0)
    half = {f"i{number}" for number in range(6)}
    zone.is_blocked = lambda sender, to: (sender in half) != (to in half)
    zone.run(12.0)
    assert {len(core.view.members) for core in zone.cores.values()} == {6}
    renewal_ages = [zone.clock.now() - zone.renewed[name] for name in zone.cores]
    assert max(renewal_ages) < 1.0
    for views in zone.views.values():
        views.clear()
    zone.is_blocked = lambda sender, to: False
    zone.run(20.0)
    zone.assert_all_alive()
    smallest_view = min(len(view.members) for views in zone.views.values() for view in views)
    assert smallest_view >= 6


def test_leaving_state_spreads_at_once_and_a_stopped_instance_is_removed():
    zone = Zone(8)
    zone.run(8.0)
    zone.cores["i2"].leave()
    zone.run(0.1)
    states = {core.view.find("i2").state for core in zone.cores.values()}
    assert states == {MemberState.LEAVING}
    zone.cores["i2"].stop()
    zone.kill("i2")
    zone.run(0.1)
    zone.assert_all_alive()


def test_probe_rate_of_an_instance_does_not_grow_with_the_zone():
    pings = {}
    for count in (10, 80):
        zone = Zone(count)
        zone.run(10.0)
        seen = []
        zone.network._delivery = lambda s, t, m, seen=seen: (seen.append(m), (0.001,))[1]
        zone.run(4.0)
        pings[count] = sum(isinstance(m, Ping) for m in seen) / count
    assert pings[10] == pings[80] == 4.0 / TICK_INTERVAL_S


def test_refutations_between_instances_with_the_same_id_are_rate_limited():
    zone = Zone(5)
    zone.run(8.0)
    seen = []
    zone.network._delivery = lambda s, t, m: (seen.append(m), (0.001,))[1]
    conflicting_record = msgspec.structs.replace(member(4), address="127.40.0.99")
    for incarnation in range(1, 1000):
        update = msgspec.structs.replace(conflicting_record, incarnation=incarnation)
        zone.cores["i4"].handle("i0", MemberUpdates((update,)))
        zone.run(0.002)
    assert zone.cores["i4"].view.find("i4").address == "127.40.0.5"
    sent_records = [
        m for message in seen if isinstance(message, MemberUpdates) for m in message.members
    ]
    own = {m.incarnation for m in sent_records if (m.instance, m.address) == ("i4", "127.40.0.5")}
    assert len(own) <= 4


def test_instance_that_receives_late_scales_its_timeouts_and_suspects_no_member():
    zone = Zone(10)
    zone.run(8.0)
    zone.network._delivery = lambda s, t, m: (0.9,) if t == "i0" else (0.001,)
    zone.run(5.0)
    assert zone.cores["i0"].health_multiplier > 0
    for views in zone.views.values():
        views.clear()
    zone.run(30.0)
    seen = [m for views in zone.views.values() for view in views for m in view.members]
    assert {m.instance for m in seen if m.state is not MemberState.ALIVE} <= {"i0"}
    zone.network._delivery = lambda s, t, m: (0.001,)
    zone.run(3.0)
    assert zone.cores["i0"].health_multiplier == 0
