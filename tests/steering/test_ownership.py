"""Tests of pearwell.steering.ownership."""

import pytest

from pearwell.agreement.transport import MemoryNetwork
from pearwell.clock import ManualClock
from pearwell.messages.steering import OwnershipGrant, OwnershipPull
from pearwell.model.membership import Member, MemberState, View
from pearwell.steering.ownership import PULL_TIMEOUT_S, Ownership
from pearwell.steering.record import SHARDS

LEASE_S = 1.0


class Keeper:
    """Records the calls of one instance's ownership."""

    def __init__(self):
        self.calls = []

    def export(self, shard, serving):
        return ()

    def adopt(self, shard, groups, authoritative):
        self.calls.append(("adopt", shard))

    def begin(self, shard, granted):
        self.calls.append(("granted" if granted else "alone", shard))

    def suspend(self, shard):
        self.calls.append(("suspend", shard))

    def protect(self, shard):
        self.calls.append(("protect", shard))

    def orphaned(self, shard):
        self.calls.append(("orphaned", shard))


class Group:
    """Ownership objects of several instances on a network that can lose message types."""

    def __init__(self, *names):
        self.clock = ManualClock(50.0)
        self.lost = ()
        self.network = MemoryNetwork(
            self.clock, lambda _, to, message: () if isinstance(message, self.lost) else (0.001,)
        )
        self.nodes = {}
        self.keepers = {}
        for name in names:
            self.add(name)

    def add(self, name):
        self.keepers[name] = Keeper()
        transport = self.network.attach(name, lambda s, m: self.nodes[name].handle(s, m))
        self.nodes[name] = Ownership(name, transport, self.clock, LEASE_S, self.keepers[name])

    def show(self, *names, to=None, leaving=()):
        state = dict.fromkeys(leaving, MemberState.LEAVING)
        members = [
            Member(name, f"127.9.2.{number}", 1, 1, 0, state.get(name, MemberState.ALIVE))
            for number, name in enumerate(names)
        ]
        for name in to or names:
            self.nodes[name].apply_view(View(tuple(members), 1))

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.network.run_until(self.clock.now() + 0.1)
            for node in self.nodes.values():
                node.tick()

    def servers(self):
        return [[n for n, node in self.nodes.items() if node.serves(s)] for s in range(SHARDS)]


def one_server_each(group):
    return all(len(servers) == 1 for servers in group.servers())


def test_each_shard_has_one_server_from_the_start_and_after_a_join():
    group = Group("a", "b", "c")
    group.show("a", "b", "c")
    group.run(0.5)
    assert one_server_each(group)
    group.add("d")
    group.show("a", "b", "c", "d")
    group.run(0.5)
    assert one_server_each(group)
    taken = group.nodes["d"].served
    assert 30 < len(taken) < 100
    assert {kind for kind, _ in group.keepers["d"].calls} >= {"granted"}


def test_nobody_grants_before_the_views_agree():
    group = Group("a", "b")
    group.show("a", "b")
    group.run(0.5)
    before = group.servers()
    group.add("c")
    group.show("a", "b", "c", to=["c"])
    group.run(2.0)
    assert group.servers() == before
    shard = next(iter(group.nodes["c"]._pulls))
    assert group.nodes["c"].holder(shard).instance == before[shard][0]
    group.show("a", "b", "c")
    group.run(1.0)
    assert one_server_each(group)
    assert group.nodes["c"].served


def test_a_lost_grant_is_repeated():
    group = Group("a", "b")
    group.show("a", "b")
    group.run(0.5)
    group.add("c")
    group.lost = (OwnershipGrant,)
    group.show("a", "b", "c")
    group.run(0.5)
    assert group.nodes["c"].served == []
    group.lost = ()
    group.run(1.0)
    assert one_server_each(group)


def test_a_lost_server_is_followed_after_its_lease():
    group = Group("a", "b", "c")
    group.show("a", "b", "c")
    group.run(0.5)
    gone = group.nodes.pop("c")
    group.network.detach("c")
    group.show("a", "b")
    group.run(LEASE_S - 0.2)
    assert not any(servers for s, servers in enumerate(group.servers()) if gone.serves(s))
    group.run(0.5)
    assert one_server_each(group)


def test_both_owners_lost_at_once_are_noticed_by_the_next():
    group = Group("a", "b", "c", "d")
    group.show("a", "b", "c", "d")
    group.run(0.5)
    for name in ("c", "d"):
        group.network.detach(name)
        del group.nodes[name]
    group.show("a", "b", "d", to=["a", "b"])
    group.run(0.5)
    group.show("a", "b")
    group.run(2.0)
    assert one_server_each(group)
    calls = [*group.keepers["a"].calls, *group.keepers["b"].calls]
    assert {kind for kind, _ in calls} >= {"orphaned"}


def test_a_leaving_member_hands_all_over():
    group = Group("a", "b", "c")
    group.show("a", "b", "c")
    group.run(0.5)
    group.show("a", "b", "c", leaving=["a"])
    group.run(0.5)
    assert group.nodes["a"].served == []
    assert one_server_each(group)


def test_a_suspended_server_asks_again_and_a_silent_member_does_not_block_it():
    group = Group("a", "b", "c")
    group.show("a", "b", "c")
    group.run(0.5)
    held = group.nodes["a"].served
    group.nodes["a"].suspend()
    assert group.nodes["a"].served == []
    group.network.detach("c")
    del group.nodes["c"]
    group.nodes["a"].resume()
    group.run(PULL_TIMEOUT_S - 0.5)
    assert group.nodes["a"].served == []
    group.run(1.0)
    assert group.nodes["a"].served == held


@pytest.mark.parametrize("number", [0, 1])
def test_an_old_grant_is_not_taken_twice(number):
    group = Group("a", "b")
    group.show("a", "b")
    group.run(0.5)
    shard = group.nodes["a"].served[0]
    group.nodes["a"]._accepted[shard] = 1
    group.nodes["a"].suspend()
    group.nodes["a"].handle("b", OwnershipGrant(number, shard, ()))
    assert group.nodes["a"].served == []
    assert not group.nodes["a"].handle("b", View())
    assert group.nodes["a"].handle("b", OwnershipPull(1, b""))
