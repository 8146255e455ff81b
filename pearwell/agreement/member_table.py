"""Membership state of one instance: member records, suspicion timeouts and tombstones."""

from collections.abc import Callable, Iterable

import msgspec
from xxhash import xxh3_64_intdigest

from pearwell.clock import Clock
from pearwell.model.membership import Member, MemberState, View

__all__ = ["MemberTable"]

SUSPICION_TIMEOUT_S = 1.5
CONFLICT_REFUTE_INTERVAL_S = 1.0
TOMBSTONE_RETENTION_S = 7_200.0
MAX_TOMBSTONES = 512

_IN_VIEW = frozenset({MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING})
_STATE_AFTER_SUSPICION = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.SUSPECT: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.LEAVING,
    MemberState.DEAD: MemberState.DEAD,
}
# A report that a live member is dead only makes it suspect, so that it can refute reports from
# the other side of a healed partition. A leaving member is considered dead at once.
_STATE_AFTER_DEAD_REPORT = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.SUSPECT: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.DEAD,
    MemberState.DEAD: MemberState.DEAD,
}


class MemberTable:
    """Member records by instance id, with suspicion timeouts and tombstones for dead members.

    Args:
        local_member: Record of the local instance.
        clock: Source of monotonic time.
        on_address_learned: Called when the address of a member becomes known or changes.
    """

    def __init__(
        self, local_member: Member, clock: Clock, on_address_learned: Callable[[Member], None]
    ) -> None:
        self._local_member = local_member
        self._clock = clock
        self._on_address_learned = on_address_learned
        self._members: dict[str, Member] = {local_member.instance: local_member}
        self._updates: dict[str, Member] = {}
        self._dead_since: dict[str, float] = {}
        self._suspicion_deadlines: dict[str, float] = {}
        self._conflict_refuted_at = float("-inf")
        self._view = View((local_member,))
        self._view_checksum = 0

    @property
    def local_member(self) -> Member:
        """Record of the local instance."""
        return self._local_member

    @property
    def view(self) -> View:
        """Members that take part in decisions, as of the latest refresh."""
        return self._view

    @property
    def view_checksum(self) -> int:
        """A hash over the members of the view, including incarnations and states."""
        return self._view_checksum

    @property
    def members(self) -> tuple[Member, ...]:
        """All member records, including tombstones."""
        return tuple(self._members.values())

    @property
    def dead_ids(self) -> list[str]:
        """Ids of dead members."""
        return [name for name, m in self._members.items() if m.state is MemberState.DEAD]

    def find(self, instance: str) -> Member | None:
        """Returns the record of a member, which may be a tombstone, or None."""
        return self._members.get(instance)

    def set_local_state(self, state: MemberState) -> None:
        """Changes the state of the local instance."""
        self._local_member = msgspec.structs.replace(self._local_member, state=state)
        self._store(self._local_member)

    def apply(self, record: Member) -> None:
        """Merges a record received from another instance if it takes precedence."""
        if record.instance == self._local_member.instance:
            self._refute(record)
            return
        known = self._members.get(record.instance)
        if known is None and record.state is MemberState.DEAD:
            self._members[record.instance] = record
            self._dead_since[record.instance] = self._clock.now()
            return
        if known is not None and record.state is MemberState.DEAD:
            record = msgspec.structs.replace(record, state=_STATE_AFTER_DEAD_REPORT[known.state])
        if known is None or _precedence(record) > _precedence(known):
            self._store(record)

    def newer_than(self, records: Iterable[Member], complete: bool) -> list[Member]:
        """Returns the local records that take precedence over received ones.

        Args:
            records: Records received from another instance.
            complete: Whether these are all records of the sender.
        """
        theirs = {member.instance: member for member in records}
        return [
            known
            for name, known in self._members.items()
            if (name in theirs and _precedence(theirs[name]) < _precedence(known))
            or (name not in theirs and complete and known.state in _IN_VIEW)
        ]

    def suspect(self, instance: str) -> None:
        """Starts the timeout of a member that failed a probe; marks a live one as suspect."""
        member = self._members.get(instance)
        if member is None or member.state is MemberState.DEAD:
            return
        self._suspicion_deadlines.setdefault(instance, self._clock.now() + SUSPICION_TIMEOUT_S)
        state = _STATE_AFTER_SUSPICION[member.state]
        if state is not member.state:
            self._store(msgspec.structs.replace(member, state=state))

    def record_ack(self, instance: str) -> None:
        """Records a reply to a probe; a suspect member must still refute the suspicion itself."""
        member = self._members.get(instance)
        if member is None or member.state is not MemberState.SUSPECT:
            self._suspicion_deadlines.pop(instance, None)

    def restart_deadlines(self) -> None:
        """Restarts all suspicion timeouts after a pause of the local process."""
        until = self._clock.now() + SUSPICION_TIMEOUT_S
        self._suspicion_deadlines = dict.fromkeys(self._suspicion_deadlines, until)

    def tick(self) -> None:
        """Declares suspects dead whose timeout expired and drops old tombstones."""
        now = self._clock.now()
        for instance, deadline in list(self._suspicion_deadlines.items()):
            if now >= deadline:
                del self._suspicion_deadlines[instance]
                member = self._members[instance]
                self._store(msgspec.structs.replace(member, state=MemberState.DEAD))
        oldest_first = sorted(self._dead_since, key=self._dead_since.__getitem__)
        surplus = max(0, len(oldest_first) - MAX_TOMBSTONES)
        for index, name in enumerate(oldest_first):
            if index < surplus or now - self._dead_since[name] >= TOMBSTONE_RETENTION_S:
                del self._dead_since[name]
                del self._members[name]

    def take_updates(self) -> tuple[Member, ...]:
        """Returns and clears the records that changed since the last call."""
        updates, self._updates = tuple(self._updates.values()), {}
        return updates

    def refresh_view(self, raise_version: bool = False) -> bool:
        """Rebuilds the view from the member records.

        Args:
            raise_version: Whether to raise the view's version even if nothing changed.

        Returns:
            Whether the version was raised.
        """
        local_id = self._local_member.instance
        members = tuple(
            member
            for name, member in sorted(self._members.items())
            if member.state in _IN_VIEW or name == local_id
        )
        self._view_checksum = xxh3_64_intdigest(msgspec.msgpack.encode(members))
        decision_fields = [_decision_fields(m) for m in members]
        changed = raise_version or decision_fields != [
            _decision_fields(m) for m in self._view.members
        ]
        self._view = View(members, self._view.version + int(changed))
        return changed

    def _refute(self, record: Member) -> None:
        """Raises the local incarnation above that of a differing record of this instance."""
        if _precedence(record) < _precedence(self._local_member) or record == self._local_member:
            return
        if record.address != self._local_member.address and not self._may_refute_conflict():
            return
        incarnation = record.incarnation + 1
        self._local_member = msgspec.structs.replace(self._local_member, incarnation=incarnation)
        self._store(self._local_member)

    def _may_refute_conflict(self) -> bool:
        """Rate-limits refutations, or two instances with the same id would loop."""
        now = self._clock.now()
        if now - self._conflict_refuted_at < CONFLICT_REFUTE_INTERVAL_S:
            return False
        self._conflict_refuted_at = now
        return True

    def _store(self, member: Member) -> None:
        """Stores a record and queues it for dissemination."""
        name = member.instance
        known = self._members.get(name)
        self._members[name] = member
        self._updates[name] = member
        if known is None or _endpoint(known) != _endpoint(member):
            self._on_address_learned(member)
        self._update_timers(member, known)

    def _update_timers(self, member: Member, known: Member | None) -> None:
        """Updates the suspicion timeout and the tombstone of a member after a state change."""
        name, now = member.instance, self._clock.now()
        newer_incarnation = known is None or member.incarnation > known.incarnation
        if newer_incarnation or member.state is MemberState.DEAD:
            self._suspicion_deadlines.pop(name, None)
        if member.state is MemberState.DEAD:
            self._dead_since[name] = now
        else:
            self._dead_since.pop(name, None)
        if member.state is MemberState.SUSPECT:
            self._suspicion_deadlines.setdefault(name, now + SUSPICION_TIMEOUT_S)


def _precedence(member: Member) -> tuple[int, MemberState]:
    return member.incarnation, member.state


def _endpoint(member: Member) -> tuple[str, int]:
    return member.address, member.control_port


def _decision_fields(member: Member) -> tuple[str, str, int, int, MemberState]:
    """Returns the fields that decisions depend on, which excludes the incarnation."""
    return (
        member.instance,
        member.address,
        member.peer_port,
        member.control_port,
        member.state,
    )
