"""Membership state of one instance: member records, suspicion timeouts and tombstones."""

from collections.abc import Callable, Iterable

import msgspec
from xxhash import xxh3_64_intdigest

from pearwell.clock import Clock
from pearwell.model.membership import Member, MemberState, View

__all__ = ["MemberTable"]

SUSPICION_S = 1.5
CONTEST_INTERVAL_S = 1.0
TOMBSTONE_S = 7_200.0
TOMBSTONE_COUNT = 512

_IN_VIEW = frozenset({MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING})
_AFTER_SUSPICION = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.SUSPECT: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.LEAVING,
    MemberState.DEAD: MemberState.DEAD,
}
# A report that a live member is dead only makes it suspect, so that it can refute reports from
# the other side of a healed partition. A leaving member is taken as dead at once.
_AFTER_DEATH_CLAIM = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.SUSPECT: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.DEAD,
    MemberState.DEAD: MemberState.DEAD,
}


class MemberTable:
    """Member records by instance id, with suspicion timeouts and tombstones for dead members.

    Args:
        own: Record of the local instance.
        clock: Source of monotonic time.
        learned: Called when the address of a member becomes known or changes.
    """

    def __init__(self, own: Member, clock: Clock, learned: Callable[[Member], None]) -> None:
        self._own = own
        self._clock = clock
        self._learned = learned
        self._members: dict[str, Member] = {own.instance: own}
        self._news: dict[str, Member] = {}
        self._buried_at: dict[str, float] = {}
        self._deadlines: dict[str, float] = {}
        self._contested_at = float("-inf")
        self._view = View((own,))
        self._view_checksum = 0

    @property
    def own(self) -> Member:
        """Record of the local instance."""
        return self._own

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
    def buried(self) -> list[str]:
        """Ids of dead members."""
        return [name for name, m in self._members.items() if m.state is MemberState.DEAD]

    def find(self, instance: str) -> Member | None:
        """Returns the record of a member, which may be a tombstone, or None."""
        return self._members.get(instance)

    def announce(self, state: MemberState) -> None:
        """Changes the state of the local instance."""
        self._own = msgspec.structs.replace(self._own, state=state)
        self._record(self._own)

    def apply(self, claim: Member) -> None:
        """Merges a record received from another instance if it takes precedence."""
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

    def better_than(self, claims: Iterable[Member], complete: bool) -> list[Member]:
        """Returns the local records that take precedence over received ones.

        Args:
            claims: Records received from another instance.
            complete: Whether these are all records of the sender.
        """
        theirs = {member.instance: member for member in claims}
        return [
            known
            for name, known in self._members.items()
            if (name in theirs and _rank(theirs[name]) < _rank(known))
            or (name not in theirs and complete and known.state in _IN_VIEW)
        ]

    def suspect(self, instance: str) -> None:
        """Starts the timeout of a member that failed a probe; marks a live one as suspect."""
        member = self._members.get(instance)
        if member is None or member.state is MemberState.DEAD:
            return
        self._deadlines.setdefault(instance, self._clock.now() + SUSPICION_S)
        state = _AFTER_SUSPICION[member.state]
        if state is not member.state:
            self._record(msgspec.structs.replace(member, state=state))

    def answered(self, instance: str) -> None:
        """Records a probe answer; a suspect member must still refute the suspicion itself."""
        member = self._members.get(instance)
        if member is None or member.state is not MemberState.SUSPECT:
            self._deadlines.pop(instance, None)

    def restart_deadlines(self) -> None:
        """Restarts all suspicion timeouts after a pause of the local process."""
        until = self._clock.now() + SUSPICION_S
        self._deadlines = dict.fromkeys(self._deadlines, until)

    def tick(self) -> None:
        """Declares suspects dead whose timeout expired and drops old tombstones."""
        now = self._clock.now()
        for instance, deadline in list(self._deadlines.items()):
            if now >= deadline:
                del self._deadlines[instance]
                member = self._members[instance]
                self._record(msgspec.structs.replace(member, state=MemberState.DEAD))
        oldest_first = sorted(self._buried_at, key=self._buried_at.__getitem__)
        surplus = max(0, len(oldest_first) - TOMBSTONE_COUNT)
        for index, name in enumerate(oldest_first):
            if index < surplus or now - self._buried_at[name] >= TOMBSTONE_S:
                del self._buried_at[name]
                del self._members[name]

    def take_news(self) -> tuple[Member, ...]:
        """Returns and clears the records that changed since the last call."""
        news, self._news = tuple(self._news.values()), {}
        return news

    def refresh_view(self, renumber: bool = False) -> bool:
        """Rebuilds the view from the member records.

        Args:
            renumber: Whether to raise the view's version even if nothing changed.

        Returns:
            Whether the version was raised.
        """
        own = self._own.instance
        members = tuple(
            member
            for name, member in sorted(self._members.items())
            if member.state in _IN_VIEW or name == own
        )
        self._view_checksum = xxh3_64_intdigest(msgspec.msgpack.encode(members))
        visible = [_visible(m) for m in members]
        changed = renumber or visible != [_visible(m) for m in self._view.members]
        self._view = View(members, self._view.version + int(changed))
        return changed

    def _refute(self, claim: Member) -> None:
        """Raises the local incarnation above that of a differing record of this instance."""
        if _rank(claim) < _rank(self._own) or claim == self._own:
            return
        if claim.address != self._own.address and not self._may_contest():
            return
        incarnation = claim.incarnation + 1
        self._own = msgspec.structs.replace(self._own, incarnation=incarnation)
        self._record(self._own)

    def _may_contest(self) -> bool:
        """Rate-limits refutations, or two instances with the same id would loop."""
        now = self._clock.now()
        if now - self._contested_at < CONTEST_INTERVAL_S:
            return False
        self._contested_at = now
        return True

    def _record(self, member: Member) -> None:
        """Stores a record and queues it for dissemination."""
        name = member.instance
        known = self._members.get(name)
        self._members[name] = member
        self._news[name] = member
        if known is None or _endpoint(known) != _endpoint(member):
            self._learned(member)
        self._track(member, known)

    def _track(self, member: Member, known: Member | None) -> None:
        """Updates the suspicion timeout and the tombstone of a member after a state change."""
        name, now = member.instance, self._clock.now()
        risen = known is None or member.incarnation > known.incarnation
        if risen or member.state is MemberState.DEAD:
            self._deadlines.pop(name, None)
        if member.state is MemberState.DEAD:
            self._buried_at[name] = now
        else:
            self._buried_at.pop(name, None)
        if member.state is MemberState.SUSPECT:
            self._deadlines.setdefault(name, now + SUSPICION_S)


def _rank(member: Member) -> tuple[int, MemberState]:
    return member.incarnation, member.state


def _endpoint(member: Member) -> tuple[str, int]:
    return member.address, member.control_port


def _visible(member: Member) -> tuple[str, str, int, int, MemberState]:
    """Returns the fields that decisions depend on, which excludes the incarnation."""
    return (
        member.instance,
        member.address,
        member.peer_port,
        member.control_port,
        member.state,
    )
