"""Membership by probing, suspicion and incarnations, after SWIM (Das et al., DSN 2002)."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec
from xxhash import xxh3_64_intdigest

from pearwell.clock import Clock
from pearwell.membership import Member, MemberState, View
from pearwell.messages import (
    Ack,
    IndirectAck,
    Join,
    MemberUpdates,
    Message,
    Ping,
    ProbeRequest,
)
from pearwell.ring import successors
from pearwell.transport import Transport

__all__ = ["TICK_INTERVAL_S", "Swim", "SwimEvents"]

TICK_INTERVAL_S = 0.25
DIRECT_TIMEOUT_S = 0.25
INDIRECT_TIMEOUT_S = 0.75
INDIRECT_COUNT = 3
SUSPICION_S = 1.5
PAUSE_S = 0.75
JOIN_CONTACTS = 3
JOIN_RETRY_S = 0.5
ALONE_AFTER_S = 3.0
NO_SEEDS_AFTER_S = 1.0
RECONNECT_INTERVAL_S = 5.0
EXCHANGE_INTERVAL_S = 1.0
TOMBSTONE_S = 7_200.0
TOMBSTONE_COUNT = 512

_IN_VIEW = frozenset({MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING})
_AFTER_SUSPICION = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.SUSPECT: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.LEAVING,
    MemberState.DEAD: MemberState.DEAD,
}

# A working member is suspected when another instance says that it is dead, so that it can refute
# what the far side of a healed partition believed; a leaving one is believed to be gone.
_AFTER_DEATH_CLAIM = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.SUSPECT: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.DEAD,
    MemberState.DEAD: MemberState.DEAD,
}


@dataclass(frozen=True, slots=True)
class SwimEvents:
    """What the protocol calls when something happens.

    Attributes:
        changed: The view changed.
        renewed: A neighbour that shares the state answered a ping sent at this time in seconds.
        diverged: A neighbour holds another state than the own instance.
        learned: The addresses of a member are known or changed.
    """

    changed: Callable[[View], None]
    renewed: Callable[[float], None] = lambda heard_at: None
    diverged: Callable[[str], None] = lambda instance: None
    learned: Callable[[Member], None] = lambda member: None


@dataclass(slots=True)
class _Probe:
    """A ping that waits for its answer."""

    target: str
    sent_at: float
    asked_others: bool = False


@dataclass(frozen=True, slots=True)
class _Relayed:
    """A ping sent for another instance."""

    requester: str
    sequence: int
    until: float


class Swim:
    """The membership of one instance.

    Each instance probes its few neighbours on the hash rings, so its cost doesn't grow with the
    zone. Changes are flooded along the rings; a difference that remains shows in the checksums of
    the next ping and is settled by exchanging all members.

    Args:
        member: The own instance.
        transport: Sends messages to members.
        clock: Source of monotonic time.
        rng: Source of random choices of members.
        events: What to call when something happens.
        state_checksum: Returns the hash over the state that every instance must share.
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
        self._own = member
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._events = events
        self._state_checksum = state_checksum
        self._members: dict[str, Member] = {member.instance: member}
        self._seeds: dict[str, Member] = {}
        self._buried_at: dict[str, float] = {}
        self._deadlines: dict[str, float] = {}
        self._probes: dict[int, _Probe] = {}
        self._relayed: dict[int, _Relayed] = {}
        self._news: dict[str, Member] = {}
        self._exchanged_at: dict[str, float] = {}
        self._neighbours: tuple[str, ...] = ()
        self._next_neighbour = 0
        self._sequence = 0
        self._view = View((member,))
        self._view_checksum = 0
        self._joined = False
        self._joining_since: float | None = None
        self._join_at = 0.0
        self._reconnect_at = clock.now() + RECONNECT_INTERVAL_S * rng.random()
        self._ticked_at = clock.now()
        self._pauses = 0
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
        """The members that take part in decisions."""
        return self._view

    @property
    def joined(self) -> bool:
        """Whether the zone's members are known, or there was no one to ask."""
        return self._joined

    @property
    def neighbours(self) -> tuple[str, ...]:
        """Members that this instance probes."""
        return self._neighbours

    @property
    def pauses(self) -> int:
        """How often this instance noticed that it had been paused."""
        return self._pauses

    @property
    def message_types(self) -> tuple[type[Message], ...]:
        """Types of messages that handle takes."""
        return tuple(self._handlers)

    def seed(self, members: Iterable[Member]) -> None:
        """Names instances that may be members, from the settings or the platform's list."""
        own = self._own.instance
        self._seeds = {m.instance: m for m in members if m.instance != own}
        for member in self._seeds.values():
            if member.instance not in self._members:
                self._events.learned(member)
        if len(self._view.members) == 1:
            self._reconnect_at = self._clock.now()

    def leave(self) -> None:
        """Announces that this instance leaves; it stays in the view until it stops."""
        self._announce(MemberState.LEAVING)

    def stop(self) -> None:
        """Announces that this instance is gone."""
        self._announce(MemberState.DEAD)

    def handle(self, sender: str, message: Message) -> None:
        """Handles a message of another instance; types of other protocols are ignored."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)
            self._settle(without=sender)

    def tick(self) -> None:
        """Sends the next ping and acts on answers that are overdue."""
        now = self._clock.now()
        paused = now - self._ticked_at > PAUSE_S
        self._ticked_at = now
        if paused:
            self._resume(now)
        if not self._joined:
            self._try_join(now)
        self._check_probes(now)
        self._check_deadlines(now)
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
            self._transport.send(contact, Join(self._own))

    def _finish_join(self) -> None:
        if not self._joined:
            self._joined = True
            self._update_view(force=True)

    def _announce(self, state: MemberState) -> None:
        self._own = msgspec.structs.replace(self._own, state=state)
        self._record(self._own)
        self._settle(without="")

    def _on_join(self, sender: str, message: Join) -> None:
        if message.member.instance != sender:
            return
        self._events.learned(message.member)
        self._apply(message.member)
        self._send_all(sender)

    def _reconnect(self, now: float) -> None:
        """Pings one instance outside the view, so that a healed partition is noticed."""
        if now < self._reconnect_at:
            return
        self._reconnect_at = now + RECONNECT_INTERVAL_S * (0.5 + self._rng.random())
        buried = {name for name, m in self._members.items() if m.state is MemberState.DEAD}
        strangers = set(self._seeds) - set(self._members)
        outside = sorted(buried | strangers)
        if outside and self._joined:
            self._transport.send(self._rng.choice(outside), Join(self._own))

    # Probing.

    def _probe_next(self, now: float) -> None:
        if not self._neighbours or not self._joined:
            return
        self._next_neighbour = (self._next_neighbour + 1) % len(self._neighbours)
        target = self._neighbours[self._next_neighbour]
        self._probes[self._ping(target)] = _Probe(target, now)

    def _ping(self, target: str) -> int:
        self._sequence += 1
        message = Ping(self._sequence, self._view_checksum, self._state_checksum())
        self._transport.send(target, message)
        return self._sequence

    def _on_ping(self, sender: str, message: Ping) -> None:
        answer = Ack(message.sequence, self._view_checksum, self._state_checksum())
        self._transport.send(sender, answer)
        known = self._members.get(sender)
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
        self._clear_failure(sender)
        if message.view_checksum != self._view_checksum:
            self._exchange(sender)
        if message.state_checksum == self._state_checksum():
            self._events.renewed(probe.sent_at)
        else:
            self._events.diverged(sender)

    def _on_probe_request(self, sender: str, message: ProbeRequest) -> None:
        if message.target in self._members:
            until = self._clock.now() + INDIRECT_TIMEOUT_S
            sequence = self._ping(message.target)
            self._relayed[sequence] = _Relayed(sender, message.sequence, until)

    def _on_indirect_ack(self, sender: str, message: IndirectAck) -> None:
        probe = self._probes.get(message.sequence)
        if probe is not None and probe.target == message.target:
            del self._probes[message.sequence]
            self._clear_failure(message.target)

    def _check_probes(self, now: float) -> None:
        for sequence, probe in list(self._probes.items()):
            age = now - probe.sent_at
            if age >= INDIRECT_TIMEOUT_S:
                del self._probes[sequence]
                self._suspect(probe.target, now)
            elif age >= DIRECT_TIMEOUT_S and not probe.asked_others:
                probe.asked_others = True
                self._ask_others(sequence, probe.target)

    def _ask_others(self, sequence: int, target: str) -> None:
        own = self._own.instance
        others = [m.instance for m in self._view.members if m.instance not in (own, target)]
        for helper in self._rng.sample(others, min(INDIRECT_COUNT, len(others))):
            self._transport.send(helper, ProbeRequest(sequence, target))

    # Suspicion.

    def _suspect(self, target: str, now: float) -> None:
        member = self._members.get(target)
        if member is None or member.state is MemberState.DEAD:
            return
        self._deadlines.setdefault(target, now + SUSPICION_S)
        state = _AFTER_SUSPICION[member.state]
        if state is not member.state:
            self._record(msgspec.structs.replace(member, state=state))

    def _clear_failure(self, target: str) -> None:
        member = self._members.get(target)
        if member is None or member.state is not MemberState.SUSPECT:
            self._deadlines.pop(target, None)

    def _check_deadlines(self, now: float) -> None:
        for target, deadline in list(self._deadlines.items()):
            if now >= deadline:
                del self._deadlines[target]
                member = self._members[target]
                self._record(msgspec.structs.replace(member, state=MemberState.DEAD))

    def _resume(self, now: float) -> None:
        """Judges no one by answers that came due during a pause, and asks for all members."""
        self._pauses += 1
        self._probes.clear()
        self._relayed.clear()
        self._deadlines = dict.fromkeys(self._deadlines, now + SUSPICION_S)
        self._exchanged_at.clear()
        for neighbour in self._neighbours:
            self._probes[self._ping(neighbour)] = _Probe(neighbour, now)

    # What is known of members.

    def _on_updates(self, sender: str, message: MemberUpdates) -> None:
        for member in message.members:
            self._apply(member)
        self._answer(sender, message)
        if message.complete and not self._joined:
            own = self._own
            self._news = {own.instance: own}
            self._finish_join()

    def _answer(self, sender: str, message: MemberUpdates) -> None:
        """Sends back what this instance knows better than the sender."""
        claims = {member.instance: member for member in message.members}
        better = [
            known
            for name, known in self._members.items()
            if (name in claims and _rank(claims[name]) < _rank(known))
            or (name not in claims and message.complete and known.state in _IN_VIEW)
        ]
        if better:
            self._transport.send(sender, MemberUpdates(tuple(better)))

    def _apply(self, claim: Member) -> None:
        if claim.instance == self._own.instance:
            self._refute(claim)
            return
        known = self._members.get(claim.instance)
        if known is None and claim.state is MemberState.DEAD:
            self._members[claim.instance] = claim
            self._buried_at[claim.instance] = self._clock.now()
            return
        if known is not None and claim.state is MemberState.DEAD:
            claim = msgspec.structs.replace(claim, state=_AFTER_DEATH_CLAIM[known.state])
        if known is None or _rank(claim) > _rank(known):
            self._record(claim)

    def _refute(self, claim: Member) -> None:
        """Raises the own incarnation if something else is said of this instance."""
        if _rank(claim) < _rank(self._own) or claim == self._own:
            return
        incarnation = claim.incarnation + 1
        self._own = msgspec.structs.replace(self._own, incarnation=incarnation)
        self._record(self._own)

    def _record(self, member: Member) -> None:
        """Takes over what is known of a member and passes it on."""
        name = member.instance
        known = self._members.get(name)
        self._members[name] = member
        self._news[name] = member
        if known is None or (known.address, known.control_port) != (
            member.address,
            member.control_port,
        ):
            self._events.learned(member)
        self._track(member, known)

    def _track(self, member: Member, known: Member | None) -> None:
        name, now = member.instance, self._clock.now()
        if known is None or member.incarnation > known.incarnation:
            self._deadlines.pop(name, None)
        if member.state is MemberState.DEAD:
            self._deadlines.pop(name, None)
            self._buried_at[name] = now
        else:
            self._buried_at.pop(name, None)
        if member.state is MemberState.SUSPECT:
            self._deadlines.setdefault(name, now + SUSPICION_S)

    def _settle(self, without: str) -> None:
        """Publishes a changed view and floods what was learned."""
        if not self._news:
            return
        news, self._news = tuple(self._news.values()), {}
        before = set(self._neighbours)
        self._update_view()
        accused = {m.instance for m in news if m.state is MemberState.SUSPECT}
        for peer in sorted(before | set(self._neighbours) | accused):
            if peer not in (without, self._own.instance):
                self._transport.send(peer, MemberUpdates(news))

    def _update_view(self, force: bool = False) -> None:
        own = self._own.instance
        members = tuple(
            member
            for name, member in sorted(self._members.items())
            if member.state in _IN_VIEW or name == own
        )
        self._view_checksum = xxh3_64_intdigest(msgspec.msgpack.encode(members))
        changed = [_visible(m) for m in members] != [_visible(m) for m in self._view.members]
        version = self._view.version + int(changed or force)
        self._view = View(members, version)
        self._neighbours = successors(own, [m.instance for m in members])
        if self._joined and (changed or force):
            self._events.changed(self._view)

    def _exchange(self, peer: str) -> None:
        """Sends all members to a peer whose view differs, at most once in an interval."""
        now = self._clock.now()
        if now - self._exchanged_at.get(peer, float("-inf")) >= EXCHANGE_INTERVAL_S:
            self._exchanged_at[peer] = now
            self._send_all(peer)

    def _send_all(self, peer: str) -> None:
        self._transport.send(peer, MemberUpdates(tuple(self._members.values()), complete=True))

    def _forget(self, now: float) -> None:
        self._relayed = {seq: r for seq, r in self._relayed.items() if r.until > now}
        self._exchanged_at = {
            peer: at for peer, at in self._exchanged_at.items() if now - at < EXCHANGE_INTERVAL_S
        }
        oldest_first = sorted(self._buried_at, key=self._buried_at.__getitem__)
        surplus = max(0, len(oldest_first) - TOMBSTONE_COUNT)
        for index, name in enumerate(oldest_first):
            if index < surplus or now - self._buried_at[name] >= TOMBSTONE_S:
                del self._buried_at[name]
                del self._members[name]


def _rank(member: Member) -> tuple[int, MemberState]:
    return member.incarnation, member.state


def _visible(member: Member) -> tuple[str, str, int, int, MemberState]:
    """What others act on; a mere rise of the incarnation changes no decision."""
    return (
        member.instance,
        member.address,
        member.peer_port,
        member.control_port,
        member.state,
    )
