"""Tests of pearwell.steering.ownership."""

import pytest

from pearwell.agreement.transport import MemoryNetwork
from pearwell.clock import ManualClock
from pearwell.messages.steering import OwnershipGrant, OwnershipPull
from pearwell.model.membership import Member, MemberState, View
from pearwell.steering.ownership import PULL_TIMEOUT_S, Ownership
from pearwell.steering.record import SHARDS

LEASE_S = 1.0


class FakeShardStateStore:
    """Records the calls of one instance's ownership."""

    def __init__(self):
        self.calls = []

    def export(self, shard, serving):
        return ()

    def merge(self, shard, groups, authoritative):
        self.calls.append(("merge", shard))

    def start_serving(self, shard, granted):
        self.calls.append(("granted" if granted else "not granted", shard))

    def suspend(self, shard):
        self.calls.append(("suspend", shard))

    def replicate_to_backup(self, shard):
        self.calls.append(("replicate", shard))

    def handle_owner_loss(self, shard):
        self.calls.append(("owner loss", shard))


class OwnershipCluster:
    """Ownership objects of several instances on a network that can lose message types."""

    def __init__(self, *names):
        self.clock = ManualClock(50.0)
        self.lost_types = ()
        self.network = MemoryNetwork(
            self.clock,
            lambda _, to, message: () if isinstance(message, self.lost_types) else (0.001,),
        )
        self.nodes = {}
        self.stores = {}
        for name in names:
            self.add(name)

    def add(self, name):
        self.stores[name] = FakeShardStateStore()
        transport = self.network.attach(name, lambda s, m: self.nodes[name].handle(s, m))
        self.nodes[name] = Ownership(name, transport, self.clock, LEASE_S, self.stores[name])

    def apply_view(self, *names, to=None, leaving=()):
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

    def serving_instances(self):
        return [[n for n, node in self.nodes.items() if node.serves(s)] for s in range(SHARDS)]


def every_shard_has_one_serving_instance(cluster):
    return all(len(names) == 1 for names in cluster.serving_instances())


def test_each_shard_has_one_serving_instance_from_the_start_and_after_a_join():
    cluster = OwnershipCluster("a", "b", "c")
    cluster.apply_view("a", "b", "c")
    cluster.run(0.5)
    assert every_shard_has_one_serving_instance(cluster)
    cluster.add("d")
    cluster.apply_view("a", "b", "c", "d")
    cluster.run(0.5)
    assert every_shard_has_one_serving_instance(cluster)
    granted = cluster.nodes["d"].served
    assert 30 < len(granted) < 100
    assert {kind for kind, _ in cluster.stores["d"].calls} >= {"granted"}


def test_no_instance_grants_before_the_views_agree():
    cluster = OwnershipCluster("a", "b")
    cluster.apply_view("a", "b")
    cluster.run(0.5)
    before = cluster.serving_instances()
    cluster.add("c")
    cluster.apply_view("a", "b", "c", to=["c"])
    cluster.run(2.0)
    assert cluster.serving_instances() == before
    shard = next(iter(cluster.nodes["c"]._pulls))
    assert cluster.nodes["c"].serving_member(shard).instance == before[shard][0]
    cluster.apply_view("a", "b", "c")
    cluster.run(1.0)
    assert every_shard_has_one_serving_instance(cluster)
    assert cluster.nodes["c"].served


def test_a_lost_grant_is_sent_again():
    cluster = OwnershipCluster("a", "b")
    cluster.apply_view("a", "b")
    cluster.run(0.5)
    cluster.add("c")
    cluster.lost_types = (OwnershipGrant,)
    cluster.apply_view("a", "b", "c")
    cluster.run(0.5)
    assert cluster.nodes["c"].served == []
    cluster.lost_types = ()
    cluster.run(1.0)
    assert every_shard_has_one_serving_instance(cluster)


def test_a_lost_serving_instance_is_replaced_after_its_lease():
    cluster = OwnershipCluster("a", "b", "c")
    cluster.apply_view("a", "b", "c")
    cluster.run(0.5)
    lost_node = cluster.nodes.pop("c")
    cluster.network.detach("c")
    cluster.apply_view("a", "b")
    cluster.run(LEASE_S - 0.2)
    assert not any(
        names for s, names in enumerate(cluster.serving_instances()) if lost_node.serves(s)
    )
    cluster.run(0.5)
    assert every_shard_has_one_serving_instance(cluster)


def test_the_next_owner_detects_the_loss_of_both_owners():
    cluster = OwnershipCluster("a", "b", "c", "d")
    cluster.apply_view("a", "b", "c", "d")
    cluster.run(0.5)
    for name in ("c", "d"):
        cluster.network.detach(name)
        del cluster.nodes[name]
    cluster.apply_view("a", "b", "d", to=["a", "b"])
    cluster.run(0.5)
    cluster.apply_view("a", "b")
    cluster.run(2.0)
    assert every_shard_has_one_serving_instance(cluster)
    calls = [*cluster.stores["a"].calls, *cluster.stores["b"].calls]
    assert {kind for kind, _ in calls} >= {"owner loss"}


def test_a_leaving_member_hands_over_all_shards():
    cluster = OwnershipCluster("a", "b", "c")
    cluster.apply_view("a", "b", "c")
    cluster.run(0.5)
    cluster.apply_view("a", "b", "c", leaving=["a"])
    cluster.run(0.5)
    assert cluster.nodes["a"].served == []
    assert every_shard_has_one_serving_instance(cluster)


def test_a_suspended_instance_pulls_again_despite_an_unresponsive_member():
    cluster = OwnershipCluster("a", "b", "c")
    cluster.apply_view("a", "b", "c")
    cluster.run(0.5)
    served = cluster.nodes["a"].served
    cluster.nodes["a"].suspend()
    assert cluster.nodes["a"].served == []
    cluster.network.detach("c")
    del cluster.nodes["c"]
    cluster.nodes["a"].resume()
    cluster.run(PULL_TIMEOUT_S - 0.5)
    assert cluster.nodes["a"].served == []
    cluster.run(1.0)
    assert cluster.nodes["a"].served == served


@pytest.mark.parametrize("number", [0, 1])
def test_an_old_grant_is_ignored(number):
    cluster = OwnershipCluster("a", "b")
    cluster.apply_view("a", "b")
    cluster.run(0.5)
    shard = cluster.nodes["a"].served[0]
    cluster.nodes["a"]._accepted_rounds[shard] = 1
    cluster.nodes["a"].suspend()
    cluster.nodes["a"].handle("b", OwnershipGrant(number, shard, ()))
    assert cluster.nodes["a"].served == []
    assert not cluster.nodes["a"].handle("b", View())
    assert cluster.nodes["a"].handle("b", OwnershipPull(1, b""))
