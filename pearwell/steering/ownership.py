"""Ownership of shards: which instance serves the moving buckets of a shard, and handover."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from pearwell.agreement.transport import Transport
from pearwell.clock import Clock
from pearwell.messages import Message
from pearwell.messages.steering import (
    OwnershipGrant,
    OwnershipOffer,
    OwnershipPull,
    OwnershipReply,
    ShardState,
)
from pearwell.model.membership import Member, MemberState, View
from pearwell.steering.record import SHARDS
from pearwell.steering.shard_rank import outranks, rank_owners

__all__ = ["Ownership", "ShardStateStore"]

PULL_TIMEOUT_S = 3.0
SERVING_TIMEOUT_S = 1.0
PULL_RETRY_S = 0.3
LOSS_WINDOW_S = 5.0


class ShardStateStore(Protocol):
    """Holds the state of shards that is transferred between owners."""

    def export(self, shard: int, serving: bool) -> tuple[ShardState, ...]:
        """Returns the state of a shard, as its serving instance or as a holder of copies."""

    def merge(self, shard: int, groups: Iterable[ShardState], authoritative: bool) -> None:
        """Merges a shard's state from another instance; authoritative state replaces it."""

    def start_serving(self, shard: int, granted: bool) -> None:
        """Starts serving a shard, granted by the previous serving instance or without a grant."""

    def suspend(self, shard: int) -> None:
        """Stops serving a shard until the other instances have been queried."""

    def replicate_to_backup(self, shard: int) -> None:
        """Replicates the records of a shard to its new backup."""

    def handle_owner_loss(self, shard: int) -> None:
        """Handles the loss of both owners of a shard at once."""


@dataclass(slots=True)
class _Pull:
    """An attempt to become the serving instance of a shard; awaited members may still serve it."""

    round: int
    started_at: float
    sent_at: float
    awaited: set[str]
    not_before: float = 0.0
    serving_instance: str = ""
    serving_replied_at: float = 0.0
    copies: dict[str, tuple[ShardState, ...]] = field(default_factory=dict)


@dataclass(slots=True)
class _Claims:
    """The latest claimant of each shard, and the recipient and round of each grant."""

    claimed: dict[int, str] = field(default_factory=dict)
    granted: dict[int, tuple[str, int]] = field(default_factory=dict)

    def remove_instance(self, instance: str) -> None:
        """Removes an instance that left the zone."""
        self.claimed = {s: name for s, name in self.claimed.items() if name != instance}
        self.granted = {s: grant for s, grant in self.granted.items() if grant[0] != instance}


class Ownership:
    """The roles of one instance for all shards.

    At most one instance serves a shard. The primary by its own view starts serving after the
    previous serving instance granted the shard, or after every other member replied that it
    doesn't serve it.

    Args:
        instance: Own instance id.
        transport: Carries messages to other instances.
        clock: Source of time.
        lease_s: Seconds after which a lost instance no longer serves its shards.
        store: Exports and merges the state of shards.
    """

    def __init__(
        self,
        instance: str,
        transport: Transport,
        clock: Clock,
        lease_s: float,
        store: ShardStateStore,
    ) -> None:
        self._instance = instance
        self._transport = transport
        self._clock = clock
        self._lease_s = lease_s
        self._store = store
        self._serving: set[int] = set()
        self._owners: tuple[tuple[str, ...], ...] = ((),) * SHARDS
        self._members: dict[str, Member] = {}
        self._others: list[str] = []
        self._departed: set[str] = set()
        self._pulls: dict[int, _Pull] = {}
        self._claims = _Claims()
        self._accepted_rounds: dict[int, int] = {}
        self._lost_at: dict[int, float] = {}
        self._round = 0
        self._suspended = False
        self._handlers: dict[type[Message], Callable[[str, Message], None]] = {
            OwnershipPull: self._on_pull,
            OwnershipReply: self._on_reply,
            OwnershipGrant: self._on_grant,
            OwnershipOffer: self._on_offer,
        }

    @property
    def others(self) -> list[str]:
        """Instance ids of the other members."""
        return self._others

    @property
    def served(self) -> list[int]:
        """Shards that this instance serves."""
        return sorted(self._serving)

    def serves(self, shard: int) -> bool:
        """Returns whether this instance serves a shard."""
        return shard in self._serving

    def serving_member(self, shard: int) -> Member | None:
        """Returns the member to pass packets of a shard to, or None if none is known."""
        pull = self._pulls.get(shard)
        if pull is None:
            name = next((n for n in self._owners[shard] if n != self._instance), "")
            return self._members.get(name)
        if pull.serving_instance:
            return self._members.get(pull.serving_instance)
        ranked = (name for name in self._owners[shard] if name in pull.awaited)
        return self._members.get(next(ranked, ""))

    def backup(self, shard: int) -> Member | None:
        """Returns the member that holds copies of a shard's records; None if there is no other."""
        name = next((n for n in self._owners[shard] if n != self._instance), "")
        return self._members.get(name)

    def apply_view(self, view: View) -> None:
        """Applies a view of the zone and pulls the shards that this instance is the primary of."""
        before = self._members
        self._members = {member.instance: member for member in view.members}
        self._others = [name for name in self._members if name != self._instance]
        departed = set(before) - set(self._members)
        self._departed = (self._departed | departed) - set(self._members)
        for instance in departed:
            self._claims.remove_instance(instance)
        ranked = [m.instance for m in view.members if m.state is not MemberState.LEAVING]
        candidates = ranked or list(self._members)
        earlier = self._owners
        backups = {shard: self.backup(shard) for shard in self.served}
        self._owners = rank_owners(tuple(sorted(candidates)))
        self._round += 1
        for shard in range(SHARDS):
            self._update_pull(shard, earlier[shard], departed)
        for shard, backup in backups.items():
            if self.backup(shard) != backup:
                self._store.replicate_to_backup(shard)
        self._send_pulls(departed)
        self._complete_pulls()

    def suspend(self) -> None:
        """Stops serving all shards, as the view is out of date."""
        self._suspended = True
        self._pulls.clear()
        for shard in self.served:
            self._store.suspend(shard)
        self._serving.clear()

    def resume(self) -> None:
        """Pulls the shards that this instance is the primary of, as the view is current again."""
        self._suspended = False
        self._round += 1
        for shard in range(SHARDS):
            self._update_pull(shard, (), set())
        self._send_pulls()
        self._complete_pulls()

    def handle(self, sender: str, message: Message) -> bool:
        """Handles a message; returns False if it doesn't belong to ownership."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)
        return handler is not None

    def tick(self) -> None:
        """Sends and completes pulls, stops waiting for unresponsive members and sends offers."""
        now = self._clock.now()
        for pull in self._pulls.values():
            if now - pull.started_at >= PULL_TIMEOUT_S:
                recently_replied = now - pull.serving_replied_at < SERVING_TIMEOUT_S
                pull.awaited = (
                    {pull.serving_instance} if pull.serving_instance and recently_replied else set()
                )
        self._send_pulls()
        self._complete_pulls()
        self._send_offers()

    def _primary(self, shard: int) -> str:
        owners = self._owners[shard]
        return owners[0] if owners else ""

    def _update_pull(self, shard: int, earlier: tuple[str, ...], departed: set[str]) -> None:
        """Starts, updates or cancels the pull of a shard after a change of view."""
        lost = bool(departed.intersection(earlier[:1]))
        recent_loss = lost and self._record_loss(shard)
        both_lost = lost and (recent_loss or bool(departed.intersection(earlier[1:2])))
        if self._suspended or shard in self._serving:
            return
        if self._primary(shard) != self._instance:
            self._pulls.pop(shard, None)
            return
        pull = self._pulls.get(shard) or self._start_pull(shard)
        pull.awaited -= departed
        if lost:
            pull.not_before = self._clock.now() + self._lease_s
        if both_lost:
            self._store.handle_owner_loss(shard)

    def _record_loss(self, shard: int) -> bool:
        """Records the loss of a shard's primary; returns whether another was lost recently."""
        now = self._clock.now()
        before = self._lost_at.get(shard, -LOSS_WINDOW_S)
        self._lost_at[shard] = now
        return now - before < LOSS_WINDOW_S

    def _start_pull(self, shard: int) -> _Pull:
        pull = _Pull(self._round, self._clock.now(), -PULL_RETRY_S, set(self.others))
        self._pulls[shard] = pull
        return pull

    def _send_pulls(self, departed_members: Iterable[str] = ()) -> None:
        """Sends due pulls, one message per member and round."""
        now = self._clock.now()
        due = {
            s: p for s, p in self._pulls.items() if now - p.sent_at >= PULL_RETRY_S and p.awaited
        }
        recipients: dict[tuple[str, int], list[int]] = {}
        for shard, pull in due.items():
            pull.sent_at = now
            for instance in sorted({*pull.awaited, *departed_members}):
                recipients.setdefault((instance, pull.round), []).append(shard)
        for (instance, number), shards in recipients.items():
            self._transport.send(instance, OwnershipPull(number, bytes(shards)))

    def _complete_pulls(self) -> None:
        """Starts serving every pulled shard that no other member serves."""
        now = self._clock.now()
        for shard, pull in list(self._pulls.items()):
            if not pull.awaited and now >= pull.not_before:
                self._adopt_copies(shard, pull)
                self._start_serving(shard)

    def _adopt_copies(self, shard: int, pull: _Pull) -> None:
        """Merges the copies of other members, those of the current owners first."""
        owners = self._owners[shard]
        ranked = sorted(pull.copies, key=lambda name: (name not in owners, name))
        for name in ranked:
            self._store.merge(shard, pull.copies[name], False)

    def _start_serving(self, shard: int, granted_by: str = "") -> None:
        self._pulls.pop(shard, None)
        self._serving.add(shard)
        self._claims.granted.pop(shard, None)
        self._store.start_serving(shard, bool(granted_by))
        backup = self.backup(shard)
        if backup is not None and backup.instance != granted_by:
            self._store.replicate_to_backup(shard)

    def _send_offers(self) -> None:
        """Offers shards that this instance serves to their primaries, if those are others."""
        offers: dict[str, list[int]] = {}
        for shard in self.served:
            primary = self._primary(shard)
            if primary not in ("", self._instance):
                offers.setdefault(primary, []).append(shard)
        for primary, shards in offers.items():
            self._transport.send(primary, OwnershipOffer(bytes(shards)))

    def _on_offer(self, sender: str, message: Message) -> None:
        assert isinstance(message, OwnershipOffer)
        own_shards = [shard for shard in message.shards if self._primary(shard) == self._instance]
        also_served = bytes(shard for shard in own_shards if shard in self._serving)
        if also_served and not self._suspended:
            self._round += 1
            self._transport.send(sender, OwnershipPull(self._round, also_served))

    def _on_pull(self, sender: str, message: Message) -> None:
        assert isinstance(message, OwnershipPull)
        idle: list[int] = []
        serving: list[int] = []
        for shard in message.shards:
            if shard in self._serving:
                if self._primary(shard) == sender:
                    self._grant(sender, message.round, shard)
                else:
                    serving.append(shard)
            elif shard in self._pulls and outranks(sender, self._instance, shard):
                continue
            elif self._claims.granted.get(shard) == (sender, message.round):
                self._grant(sender, message.round, shard)
            else:
                idle.append(shard)
        self._send_replies(sender, message.round, idle, serving)

    def _grant(self, to: str, number: int, shard: int) -> None:
        self._serving.discard(shard)
        self._claims.granted[shard] = (to, number)
        self._claims.claimed[shard] = to
        self._transport.send(to, OwnershipGrant(number, shard, self._store.export(shard, True)))

    def _send_replies(self, to: str, number: int, idle: list[int], serving: list[int]) -> None:
        claimed = self._claims.claimed
        hints = tuple((s, claimed[s]) for s in idle if claimed.get(s, to) != to)
        copies = {shard: self._store.export(shard, False) for shard in idle}
        for shard in idle:
            claimed[shard] = to
            if copies[shard]:
                hint = tuple(hint for hint in hints if hint[0] == shard)
                reply = OwnershipReply(
                    number, bytes((shard,)), hints=hint, copies=((shard, copies[shard]),)
                )
                self._transport.send(to, reply)
        without_copies = bytes(shard for shard in idle if not copies[shard])
        if without_copies or serving:
            self._transport.send(to, OwnershipReply(number, without_copies, bytes(serving), hints))

    def _on_reply(self, sender: str, message: Message) -> None:
        assert isinstance(message, OwnershipReply)
        now = self._clock.now()
        for shard, groups in message.copies:
            if shard in self._pulls:
                self._pulls[shard].copies[sender] = groups
        for shard in message.idle:
            pull = self._pulls.get(shard)
            if pull is not None and pull.round == message.round:
                pull.awaited.discard(sender)
        for shard, instance in message.hints:
            pull = self._pulls.get(shard)
            if pull is not None and instance not in (self._instance, *self._departed):
                pull.awaited.add(instance)
        for shard in message.serving:
            pull = self._pulls.get(shard)
            if pull is not None:
                pull.serving_instance = sender
                pull.serving_replied_at = now
                pull.awaited.add(sender)
        self._complete_pulls()

    def _on_grant(self, sender: str, message: Message) -> None:
        assert isinstance(message, OwnershipGrant)
        shard = message.shard
        if message.round <= self._accepted_rounds.get(shard, 0):
            return
        self._accepted_rounds[shard] = message.round
        serving = shard in self._serving
        self._store.merge(shard, message.groups, not serving)
        if not serving and not self._suspended:
            self._start_serving(shard, sender)
