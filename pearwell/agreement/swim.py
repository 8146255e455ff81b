"""SWIM membership protocol with suspicion and incarnations (Das et al., DSN 2002)."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from pearwell.agreement.member_table import MemberTable
from pearwell.agreement.ring import successors
from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.messages import (
    Ack,
    IndirectAck,
    Join,
    MemberUpdates,
    Message,
    Ping,
    ProbeRequest,
)
from pearwell.model.membership import Member, MemberState, View

__all__ = ["TICK_INTERVAL_S", "Swim", "SwimEvents"]

TICK_INTERVAL_S = 0.25
DIRECT_TIMEOUT_S = 0.25
INDIRECT_TIMEOUT_S = 0.75
INDIRECT_COUNT = 3
PAUSE_S = 0.75
LATE_TICK_S = 0.1
MAX_STRAIN = 3
JOIN_CONTACTS = 3
JOIN_RETRY_S = 0.5
ALONE_AFTER_S = 3.0
NO_SEEDS_AFTER_S = 1.0
RECONNECT_INTERVAL_S = 5.0
EXCHANGE_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class SwimEvents:
    """Callbacks of the protocol.

    Attributes:
        changed: Called with the new view after a change.
        renewed: Called with the send time of a ping, in seconds, that was answered by a neighbour
            with the same state checksum, or with the current time if there are no neighbours.
        diverged: Called with the id of a neighbour whose state checksum differs.
        learned: Called when the address of a member becomes known or changes.
    """

    changed: Callable[[View], None]
    renewed: Callable[[float], None] = lambda heard_at: None
    diverged: Callable[[str], None] = lambda instance: None
    learned: Callable[[Member], None] = lambda member: None


@dataclass(slots=True)
class _Probe:
    """An unanswered ping."""

    target: str
    sent_at: float
    asked_others: bool = False


@dataclass(frozen=True, slots=True)
class _Relayed:
    """A ping sent on behalf of another instance."""

    requester: str
    sequence: int
    until: float


class Swim:
    """Membership protocol core of one instance.

    Each instance probes only its neighbours on the hash rings, so the cost per instance doesn't
    grow with the zone. Changes are flooded along the rings. A view that still differs is detected
    by the checksum in an ack and repaired by exchanging all member records.

    Args:
        member: Record of the local instance.
        transport: Sends messages to members.
        clock: Source of monotonic time.
        rng: Selects members at random.
        events: Callbacks for view changes, confirmations and new addresses.
        state_checksum: Returns a hash over the state that all instances must agree on.
    """

    def __init__(
        self,
        member: Member,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        events: SwimEvents,
        state_checksum: Callable[[], int] = lambda: 0,
    ) -> None:
        self._table = MemberTable(member, clock, events.learned)
        self._own_name = member.instance
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._events = events
        self._state_checksum = state_checksum
        self._seeds: dict[str, Member] = {}
        self._probes: dict[int, _Probe] = {}
        self._relayed: dict[int, _Relayed] = {}
        self._exchanged_at: dict[str, float] = {}
        self._neighbours: tuple[str, ...] = ()
        self._next_neighbour = 0
        self._sequence = 0
        self._joined = False
        self._joining_since: float | None = None
        self._join_at = 0.0
        self._reconnect_at = clock.now() + RECONNECT_INTERVAL_S * rng.random()
        self._ticked_at = clock.now()
        self._pauses = 0
        self._strain = 0
        self._handlers: dict[type[Message], Callable[[str, Any], None]] = {
            Ping: self._on_ping,
            Ack: self._on_ack,
            ProbeRequest: self._on_probe_request,
            IndirectAck: self._on_indirect_ack,
            Join: self._on_join,
            MemberUpdates: self._on_updates,
        }

    @property
    def view(self) -> View:
        """Members that take part in decisions."""
        return self._table.view

    @property
    def joined(self) -> bool:
        """Whether the join succeeded, or timed out and the instance started on its own."""
        return self._joined

    @property
    def neighbours(self) -> tuple[str, ...]:
        """Ring neighbours, which this instance probes."""
        return self._neighbours

    @property
    def pauses(self) -> int:
        """Number of pauses of the local process detected by late ticks."""
        return self._pauses

    @property
    def strain(self) -> int:
        """Degradation of the local instance, from 0 (healthy) to MAX_STRAIN."""
        return self._strain

    def seed(self, members: Iterable[Member]) -> None:
        """Replaces the seeds: candidate members from the settings or the platform's list."""
        self._seeds = {m.instance: m for m in members if m.instance != self._own_name}
        for member in self._seeds.values():
            if self._table.find(member.instance) is None:
                self._events.learned(member)
        if len(self.view.members) == 1:
            self._reconnect_at = self._clock.now()

    def leave(self) -> None:
        """Announces that this instance is leaving; it stays in the view until it stops."""
        self._announce(MemberState.LEAVING)

    def stop(self) -> None:
        """Announces that this instance has stopped."""
        self._announce(MemberState.DEAD)

    def handle(self, sender: str, message: Message) -> None:
        """Handles a message from another instance; ignores types of other protocols."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)
            self._settle(without=sender)

    def tick(self) -> None:
        """Runs joins, probes, timeouts and dissemination."""
        now = self._clock.now()
        elapsed = now - self._ticked_at
        paused = elapsed > PAUSE_S
        self._ticked_at = now
        if elapsed > TICK_INTERVAL_S + LATE_TICK_S:
            self._strain_by(1)
        if paused:
            self._resume(now)
        if not self._joined:
            self._try_join(now)
        self._check_probes(now)
        self._table.tick()
        self._probe_next(now)
        self._reconnect(now)
        self._forget(now)
        self._settle(without="")
        if self._joined and not self._neighbours:
            self._events.renewed(now)

    # Joining and leaving.

    def _try_join(self, now: float) -> None:
        if self._joining_since is None:
            self._joining_since = now
        patience = ALONE_AFTER_S if self._seeds else NO_SEEDS_AFTER_S
        if now - self._joining_since >= patience:
            self._finish_join()
            return
        if now < self._join_at:
            return
        self._join_at = now + JOIN_RETRY_S * (1 + self._rng.random())
        contacts = self._rng.sample(sorted(self._seeds), min(JOIN_CONTACTS, len(self._seeds)))
        for contact in contacts:
            self._transport.send(contact, Join(self._table.own))

    def _finish_join(self) -> None:
        if not self._joined:
            self._joined = True
            self._update_view(publish=True)

    def _announce(self, state: MemberState) -> None:
        self._table.announce(state)
        self._settle(without="")

    def _on_join(self, sender: str, message: Join) -> None:
        if message.member.instance != sender:
            return
        self._events.learned(message.member)
        self._table.apply(message.member)
        self._send_all(sender)

    def _reconnect(self, now: float) -> None:
        """Sends a join to an instance outside the view, to detect that a partition has healed."""
        if now < self._reconnect_at:
            return
        self._reconnect_at = now + RECONNECT_INTERVAL_S * (0.5 + self._rng.random())
        strangers = [name for name in self._seeds if self._table.find(name) is None]
        outside = sorted({*self._table.buried, *strangers})
        if outside and self._joined:
            self._transport.send(self._rng.choice(outside), Join(self._table.own))

    # Probing.

    def _probe_next(self, now: float) -> None:
        if not self._neighbours or not self._joined:
            return
        self._next_neighbour = (self._next_neighbour + 1) % len(self._neighbours)
        target = self._neighbours[self._next_neighbour]
        self._probes[self._ping(target)] = _Probe(target, now)

    def _ping(self, target: str) -> int:
        self._sequence += 1
        message = Ping(self._sequence, self._table.view_checksum, self._state_checksum())
        self._transport.send(target, message)
        return self._sequence

    def _on_ping(self, sender: str, message: Ping) -> None:
        answer = Ack(message.sequence, self._table.view_checksum, self._state_checksum())
        self._transport.send(sender, answer)
        known = self._table.find(sender)
        if known is None or known.state is MemberState.DEAD:
            self._exchange(sender)

    def _on_ack(self, sender: str, message: Ack) -> None:
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            self._transport.send(relayed.requester, IndirectAck(relayed.sequence, sender))
            return
        probe = self._probes.get(message.sequence)
        if probe is None or probe.target != sender:
            return
        del self._probes[message.sequence]
        if not probe.asked_others:
            self._strain_by(-1)
        self._table.answered(sender)
        if message.view_checksum != self._table.view_checksum:
            self._exchange(sender)
        if message.state_checksum == self._state_checksum():
            self._events.renewed(probe.sent_at)
        else:
            self._events.diverged(sender)

    def _on_probe_request(self, sender: str, message: ProbeRequest) -> None:
        if self._table.find(message.target) is not None:
            until = self._clock.now() + INDIRECT_TIMEOUT_S
            sequence = self._ping(message.target)
            self._relayed[sequence] = _Relayed(sender, message.sequence, until)

    def _on_indirect_ack(self, sender: str, message: IndirectAck) -> None:
        probe = self._probes.get(message.sequence)
        if probe is not None and probe.target == message.target:
            del self._probes[message.sequence]
            self._table.answered(message.target)

    def _check_probes(self, now: float) -> None:
        for sequence, probe in list(self._probes.items()):
            age = (now - probe.sent_at) / (1 + self._strain)
            if age >= INDIRECT_TIMEOUT_S:
                del self._probes[sequence]
                self._table.suspect(probe.target)
            elif age >= DIRECT_TIMEOUT_S and not probe.asked_others:
                probe.asked_others = True
                self._strain_by(1)
                self._ask_others(sequence, probe.target)

    def _strain_by(self, change: int) -> None:
        """Scales the probe timeouts: many late answers suggest that this instance is overloaded."""
        self._strain = min(MAX_STRAIN, max(0, self._strain + change))

    def _ask_others(self, sequence: int, target: str) -> None:
        known = (self._own_name, target)
        others = [m.instance for m in self.view.members if m.instance not in known]
        for helper in self._rng.sample(others, min(INDIRECT_COUNT, len(others))):
            self._transport.send(helper, ProbeRequest(sequence, target))

    def _resume(self, now: float) -> None:
        """Restarts probing after a pause, without suspecting members for answers it delayed.

        Clears the exchange times as well, so that a view that differs is repaired at once.
        """
        self._pauses += 1
        self._probes.clear()
        self._relayed.clear()
        self._table.restart_deadlines()
        self._exchanged_at.clear()
        for neighbour in self._neighbours:
            self._probes[self._ping(neighbour)] = _Probe(neighbour, now)

    # Dissemination.

    def _on_updates(self, sender: str, message: MemberUpdates) -> None:
        for member in message.members:
            self._table.apply(member)
        better = self._table.better_than(message.members, message.complete)
        if better:
            self._transport.send(sender, MemberUpdates(tuple(better)))
        if message.complete and not self._joined:
            # The rest of the zone already knows what a joining instance has just learned.
            self._table.take_news()
            self._flood((self._table.own,), sender)
            self._finish_join()

    def _settle(self, without: str) -> None:
        """Publishes a changed view and floods the records that changed."""
        news = self._table.take_news()
        if news:
            self._flood(news, without)

    def _flood(self, news: tuple[Member, ...], without: str) -> None:
        before = set(self._neighbours)
        self._update_view()
        accused = {m.instance for m in news if m.state is MemberState.SUSPECT}
        for peer in sorted(before | set(self._neighbours) | accused):
            if peer not in (without, self._own_name):
                self._transport.send(peer, MemberUpdates(news))

    def _update_view(self, publish: bool = False) -> None:
        changed = self._table.refresh_view(renumber=publish)
        view = self._table.view
        self._neighbours = successors(self._own_name, [m.instance for m in view.members])
        if self._joined and changed:
            self._events.changed(view)

    def _exchange(self, peer: str) -> None:
        """Sends all records to a peer whose view differs, at most once per interval."""
        now = self._clock.now()
        if now - self._exchanged_at.get(peer, float("-inf")) >= EXCHANGE_INTERVAL_S:
            self._exchanged_at[peer] = now
            self._send_all(peer)

    def _send_all(self, peer: str) -> None:
        self._transport.send(peer, MemberUpdates(self._table.members, complete=True))

    def _forget(self, now: float) -> None:
        self._relayed = {seq: r for seq, r in self._relayed.items() if r.until > now}
        self._exchanged_at = {
            peer: at for peer, at in self._exchanged_at.items() if now - at < EXCHANGE_INTERVAL_S
        }
