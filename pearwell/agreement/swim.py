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

__all__ = ["TICK_INTERVAL_S", "Swim", "SwimCallbacks"]

TICK_INTERVAL_S = 0.25
DIRECT_PROBE_TIMEOUT_S = 0.25
INDIRECT_PROBE_TIMEOUT_S = 0.75
INDIRECT_PROBE_COUNT = 3
PAUSE_THRESHOLD_S = 0.75
LATE_TICK_THRESHOLD_S = 0.1
MAX_HEALTH_MULTIPLIER = 3
JOIN_CONTACT_COUNT = 3
JOIN_RETRY_S = 0.5
JOIN_TIMEOUT_S = 3.0
NO_SEEDS_JOIN_TIMEOUT_S = 1.0
RECONNECT_INTERVAL_S = 5.0
FULL_SYNC_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class SwimCallbacks:
    """Callbacks of the protocol.

    Attributes:
        on_view_changed: Called with the new view after a change.
        on_view_renewed: Called when the view is confirmed, with the time of the confirmation in
            seconds: the send time of a ping that a neighbour with the same state checksum
            acknowledged, or the current time if there are no neighbours.
        on_state_diverged: Called with the id of a neighbour whose state checksum differs.
        on_address_learned: Called when the address of a member becomes known or changes.
    """

    on_view_changed: Callable[[View], None]
    on_view_renewed: Callable[[float], None] = lambda confirmed_at: None
    on_state_diverged: Callable[[str], None] = lambda instance: None
    on_address_learned: Callable[[Member], None] = lambda member: None


@dataclass(slots=True)
class _Probe:
    """A ping that isn't acknowledged yet."""

    target: str
    sent_at: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class _RelayedPing:
    """A ping sent on behalf of another instance."""

    requester: str
    sequence: int
    expires_at: float


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
        callbacks: Callbacks for view changes, confirmations and new addresses.
        state_checksum: Returns a hash over the state that all instances must agree on.
    """

    def __init__(
        self,
        member: Member,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        callbacks: SwimCallbacks,
        state_checksum: Callable[[], int] = lambda: 0,
    ) -> None:
        self._table = MemberTable(member, clock, callbacks.on_address_learned)
        self._local_id = member.instance
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._callbacks = callbacks
        self._state_checksum = state_checksum
        self._seeds: dict[str, Member] = {}
        self._probes: dict[int, _Probe] = {}
        self._relayed_pings: dict[int, _RelayedPing] = {}
        self._synced_at: dict[str, float] = {}
        self._neighbours: tuple[str, ...] = ()
        self._neighbour_index = 0
        self._sequence = 0
        self._joined = False
        self._joining_since: float | None = None
        self._next_join_at = 0.0
        self._next_reconnect_at = clock.now() + RECONNECT_INTERVAL_S * rng.random()
        self._ticked_at = clock.now()
        self._pauses = 0
        self._health_multiplier = 0
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
        """Whether the join succeeded, or timed out and the instance started as the only member."""
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
    def health_multiplier(self) -> int:
        """Local health multiplier as in Lifeguard, from 0 (healthy) to MAX_HEALTH_MULTIPLIER."""
        return self._health_multiplier

    def set_seeds(self, members: Iterable[Member]) -> None:
        """Replaces the seeds: candidate members from the settings or the platform's list."""
        self._seeds = {m.instance: m for m in members if m.instance != self._local_id}
        for member in self._seeds.values():
            if self._table.find(member.instance) is None:
                self._callbacks.on_address_learned(member)
        if len(self.view.members) == 1:
            self._next_reconnect_at = self._clock.now()

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
            self._disseminate(exclude=sender)

    def tick(self) -> None:
        """Runs joins, probes, timeouts and dissemination."""
        now = self._clock.now()
        elapsed = now - self._ticked_at
        paused = elapsed > PAUSE_THRESHOLD_S
        self._ticked_at = now
        if elapsed > TICK_INTERVAL_S + LATE_TICK_THRESHOLD_S:
            self._adjust_health_multiplier(1)
        if paused:
            self._resume_after_pause(now)
        if not self._joined:
            self._try_join(now)
        self._check_probes(now)
        self._table.tick()
        self._probe_next(now)
        self._reconnect(now)
        self._drop_expired(now)
        self._disseminate(exclude="")
        if self._joined and not self._neighbours:
            self._callbacks.on_view_renewed(now)

    # Joining and leaving.

    def _try_join(self, now: float) -> None:
        if self._joining_since is None:
            self._joining_since = now
        timeout = JOIN_TIMEOUT_S if self._seeds else NO_SEEDS_JOIN_TIMEOUT_S
        if now - self._joining_since >= timeout:
            self._finish_join()
            return
        if now < self._next_join_at:
            return
        self._next_join_at = now + JOIN_RETRY_S * (1 + self._rng.random())
        contacts = self._rng.sample(sorted(self._seeds), min(JOIN_CONTACT_COUNT, len(self._seeds)))
        for contact in contacts:
            self._transport.send(contact, Join(self._table.local_member))

    def _finish_join(self) -> None:
        if not self._joined:
            self._joined = True
            self._update_view(publish=True)

    def _announce(self, state: MemberState) -> None:
        self._table.set_local_state(state)
        self._disseminate(exclude="")

    def _on_join(self, sender: str, message: Join) -> None:
        if message.member.instance != sender:
            return
        self._callbacks.on_address_learned(message.member)
        self._table.apply(message.member)
        self._send_all_records(sender)

    def _reconnect(self, now: float) -> None:
        """Sends a join to an instance outside the view, to detect that a partition has healed."""
        if now < self._next_reconnect_at:
            return
        self._next_reconnect_at = now + RECONNECT_INTERVAL_S * (0.5 + self._rng.random())
        unknown_seeds = [name for name in self._seeds if self._table.find(name) is None]
        outside = sorted({*self._table.dead_ids, *unknown_seeds})
        if outside and self._joined:
            self._transport.send(self._rng.choice(outside), Join(self._table.local_member))

    # Probing.

    def _probe_next(self, now: float) -> None:
        if not self._neighbours or not self._joined:
            return
        self._neighbour_index = (self._neighbour_index + 1) % len(self._neighbours)
        target = self._neighbours[self._neighbour_index]
        self._probes[self._ping(target)] = _Probe(target, now)

    def _ping(self, target: str) -> int:
        self._sequence += 1
        message = Ping(self._sequence, self._table.view_checksum, self._state_checksum())
        self._transport.send(target, message)
        return self._sequence

    def _on_ping(self, sender: str, message: Ping) -> None:
        ack = Ack(message.sequence, self._table.view_checksum, self._state_checksum())
        self._transport.send(sender, ack)
        known = self._table.find(sender)
        if known is None or known.state is MemberState.DEAD:
            self._sync(sender)

    def _on_ack(self, sender: str, message: Ack) -> None:
        relayed = self._relayed_pings.pop(message.sequence, None)
        if relayed is not None:
            self._transport.send(relayed.requester, IndirectAck(relayed.sequence, sender))
            return
        probe = self._probes.get(message.sequence)
        if probe is None or probe.target != sender:
            return
        del self._probes[message.sequence]
        if not probe.indirect:
            self._adjust_health_multiplier(-1)
        self._table.record_ack(sender)
        if message.view_checksum != self._table.view_checksum:
            self._sync(sender)
        if message.state_checksum == self._state_checksum():
            self._callbacks.on_view_renewed(probe.sent_at)
        else:
            self._callbacks.on_state_diverged(sender)

    def _on_probe_request(self, sender: str, message: ProbeRequest) -> None:
        if self._table.find(message.target) is not None:
            expires_at = self._clock.now() + INDIRECT_PROBE_TIMEOUT_S
            sequence = self._ping(message.target)
            self._relayed_pings[sequence] = _RelayedPing(sender, message.sequence, expires_at)

    def _on_indirect_ack(self, sender: str, message: IndirectAck) -> None:
        probe = self._probes.get(message.sequence)
        if probe is not None and probe.target == message.target:
            del self._probes[message.sequence]
            self._table.record_ack(message.target)

    def _check_probes(self, now: float) -> None:
        for sequence, probe in list(self._probes.items()):
            age = (now - probe.sent_at) / (1 + self._health_multiplier)
            if age >= INDIRECT_PROBE_TIMEOUT_S:
                del self._probes[sequence]
                self._table.suspect(probe.target)
            elif age >= DIRECT_PROBE_TIMEOUT_S and not probe.indirect:
                probe.indirect = True
                self._adjust_health_multiplier(1)
                self._probe_indirectly(sequence, probe.target)

    def _adjust_health_multiplier(self, change: int) -> None:
        """Scales the probe timeouts: many late replies suggest that this instance is overloaded."""
        self._health_multiplier = min(
            MAX_HEALTH_MULTIPLIER, max(0, self._health_multiplier + change)
        )

    def _probe_indirectly(self, sequence: int, target: str) -> None:
        excluded = (self._local_id, target)
        others = [m.instance for m in self.view.members if m.instance not in excluded]
        for relay in self._rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others))):
            self._transport.send(relay, ProbeRequest(sequence, target))

    def _resume_after_pause(self, now: float) -> None:
        """Restarts probing after a pause, without suspecting members for replies it delayed.

        Clears the sync times as well, so that a view that differs is repaired at once.
        """
        self._pauses += 1
        self._probes.clear()
        self._relayed_pings.clear()
        self._table.restart_deadlines()
        self._synced_at.clear()
        for neighbour in self._neighbours:
            self._probes[self._ping(neighbour)] = _Probe(neighbour, now)

    # Dissemination.

    def _on_updates(self, sender: str, message: MemberUpdates) -> None:
        for member in message.members:
            self._table.apply(member)
        newer = self._table.newer_than(message.members, message.complete)
        if newer:
            self._transport.send(sender, MemberUpdates(tuple(newer)))
        if message.complete and not self._joined:
            # The rest of the zone already knows what a joining instance has just learned.
            self._table.take_updates()
            self._flood((self._table.local_member,), sender)
            self._finish_join()

    def _disseminate(self, exclude: str) -> None:
        """Publishes a changed view and floods the records that changed."""
        updates = self._table.take_updates()
        if updates:
            self._flood(updates, exclude)

    def _flood(self, updates: tuple[Member, ...], exclude: str) -> None:
        before = set(self._neighbours)
        self._update_view()
        suspects = {m.instance for m in updates if m.state is MemberState.SUSPECT}
        for peer in sorted(before | set(self._neighbours) | suspects):
            if peer not in (exclude, self._local_id):
                self._transport.send(peer, MemberUpdates(updates))

    def _update_view(self, publish: bool = False) -> None:
        changed = self._table.refresh_view(raise_version=publish)
        view = self._table.view
        self._neighbours = successors(self._local_id, [m.instance for m in view.members])
        if self._joined and changed:
            self._callbacks.on_view_changed(view)

    def _sync(self, peer: str) -> None:
        """Sends all records to a peer whose view differs, at most once per interval."""
        now = self._clock.now()
        if now - self._synced_at.get(peer, float("-inf")) >= FULL_SYNC_INTERVAL_S:
            self._synced_at[peer] = now
            self._send_all_records(peer)

    def _send_all_records(self, peer: str) -> None:
        self._transport.send(peer, MemberUpdates(self._table.members, complete=True))

    def _drop_expired(self, now: float) -> None:
        self._relayed_pings = {
            seq: r for seq, r in self._relayed_pings.items() if r.expires_at > now
        }
        self._synced_at = {
            peer: at for peer, at in self._synced_at.items() if now - at < FULL_SYNC_INTERVAL_S
        }
