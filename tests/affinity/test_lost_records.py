"""Tests of open flows whose records are lost: which target their packets reach then."""

import heapq
import itertools

import pytest

from pearwell.affinity.lifecycle import is_stale_syn
from pearwell.affinity.target import Target
from tests.affinity.builders import DirectorHarness, data, syn, target

# Delays in seconds of a client's copies of its SYN, and of a host's of its SYN+ACK, as the platform
# specifies them.
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYNACKS_S = (0.0, 0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8, 9.4)
# When the client sends requests on its open flow.
REQUESTS_S = (1.5, 3.5, 5.5, 12.0)
HOSTS = 5


class Zone:
    """Instances, hosts and a client with one flow, in virtual time.

    Args:
        answer_delays_s: Delay of each host's first SYN+ACK; None if that is lost.
    """

    def __init__(self, answer_delay_s):
        self.now, self.answer_delay_s = 100.0, answer_delay_s
        self.instances = [self._instance() for _ in range(3)]
        self.owner = 0
        self.answered = set()
        # Name of the host that the client has opened the flow on, its latest token, and the hosts
        # that packets of the open flow reached.
        self.host, self.token, self.reached = None, None, []
        self._events, self._order = [], itertools.count()

    def _instance(self):
        return DirectorHarness(*[target(number) for number in range(1, HOSTS + 1)])

    def at(self, delay_s, action, *arguments):
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action, arguments))

    def run(self):
        for copy, delay_s in enumerate(SYN_COPIES_S):
            self.at(delay_s, self.send_syn, copy)
        for delay_s in REQUESTS_S:
            self.at(delay_s, self.send_request)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def send_syn(self, copy):
        if self.host is None:
            self.deliver_syn(self.owner, copy)

    def deliver_syn(self, owner, copy):
        harness = self.instances[owner]
        harness.now = self.now
        chosen = harness.send(syn(1, earlier_syns=copy))
        assert isinstance(chosen, Target)
        self.reach(chosen)
        # The looks at an unanswered SYN, which also end connection attempts with success.
        for look_s in (0.05, 0.1, 0.15):
            self.at(look_s, self.look_at_syns, owner)

    def look_at_syns(self, owner):
        harness = self.instances[owner]
        harness.now = self.now
        for _, chosen in harness.director.due_retransmissions(self.now):
            self.reach(chosen)
        harness.answer_probes()

    def reach(self, chosen):
        if chosen.name in self.answered or chosen.name == self.host:
            return
        self.answered.add(chosen.name)
        first, *later = SYNACKS_S
        if self.answer_delay_s is not None:
            later = [self.answer_delay_s, *(self.answer_delay_s + delay_s for delay_s in later)]
        for delay_s in later:
            self.at(delay_s, self.receive_synack, chosen)

    def receive_synack(self, chosen):
        if self.host is None:
            self.host, self.token = chosen.name, chosen.token
            self.send(length=0)
        elif chosen.name != self.host:
            self.token = chosen.token

    def send_request(self):
        self.send(length=100)

    def send(self, length):
        harness = self.instances[self.owner]
        harness.now = self.now
        chosen = harness.send(data(1, self.token, length=length))
        assert isinstance(chosen, Target)
        self.reached.append(chosen.name)

    def stop_instance(self):
        """Routes the flow to another instance."""
        self.owner += 1

    def kill_instance(self):
        """Starts the flow's instance again, without its records."""
        self.instances[self.owner] = self._instance()


@pytest.mark.parametrize("lose_record", ["stop_instance", "kill_instance"])
@pytest.mark.parametrize("lost_after_s", [0.8, 2.0, 5.0, 11.0])
@pytest.mark.parametrize("answer_delay_s", [None, 0.0, 0.06, 0.1, 0.19, 0.3, 0.55])
def test_a_flow_stays_on_its_host_when_its_record_is_lost(
    answer_delay_s, lost_after_s, lose_record
):
    """A host whose answer was lost or late reset flows once another instance got their packets."""
    zone = Zone(answer_delay_s)
    zone.at(lost_after_s, getattr(zone, lose_record))
    zone.run()
    assert len(zone.reached) == 1 + len(REQUESTS_S)
    assert set(zone.reached) == {zone.host}


@pytest.mark.parametrize("frozen_until_s", [0.1, 0.25, 0.5, 0.61, 0.8, 1.3])
@pytest.mark.parametrize("routed_away_at_s", [0.05, 0.3])
def test_a_flow_stays_on_its_host_when_a_frozen_instance_wakes(frozen_until_s, routed_away_at_s):
    """SYNs that waited in the frozen instance brought a second host an open flow."""
    zone = Zone(0.0)

    def wake():
        for copy, sent_s in enumerate(SYN_COPIES_S):
            if sent_s < routed_away_at_s and not is_stale_syn(copy, frozen_until_s - sent_s):
                zone.deliver_syn(0, copy)

    def send_syn(copy):
        if zone.host is None and SYN_COPIES_S[copy] >= routed_away_at_s:
            zone.deliver_syn(1, copy)

    zone.send_syn = send_syn
    zone.at(frozen_until_s, wake)
    zone.owner = 1
    # The flow comes back to the instance that was frozen, once that is in rotation again.
    zone.at(3.0, setattr, zone, "owner", 0)
    zone.run()
    assert set(zone.reached) == {zone.host}
