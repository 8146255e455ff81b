"""Member table: what one instance knows of the members of its zone, and what follows from it."""

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
# A working member is suspected when another instance says that it is dead, so that it can refute
# what the far side of a healed partition believed; a leaving one is believed to be gone.
_AFTER_DEATH_CLAIM = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.SUSPECT: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.DEAD,
    MemberState.DEAD: MemberState.DEAD,
}


class MemberTable:
    """Members by instance id, with suspicions that run out and tombstones of the dead.

    Args:
        own: The own instance.
        clock: Source of monotonic time.
        learned: Called when the addresses of a member are known or changed.
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
        """The own instance."""
        return self._own

    @property
    def view(self) -> View:
        """The members that take part in decisions, as of the latest refresh."""
        return self._view

    @property
    def view_checksum(self) -> int:
        """A hash over the view with incarnations and states."""
        return self._view_checksum

    @property
    def members(self) -> tuple[Member, ...]:
        """All members and tombstones."""
        return tuple(self._members.values())

    @property
    def buried(self) -> list[str]:
        """Ids of members that are known to be dead."""
        return [name for name, m in self._members.items() if m.state is MemberState.DEAD]

    def find(self, instance: str) -> Member | None:
        """Returns a member or tombstone, or None."""
        return self._members.get(instance)

    def announce(self, state: MemberState) -> None:
        """Changes the state of the own instance."""
        self._own = msgspec.structs.replace(self._own, state=state)
        self._record(self._own)

    def apply(self, claim: Member) -> None:
        """Takes over what another instance says of a member, if it is news."""
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
        """Returns what is known better here.

        Args:
            claims: What another instance knows.
            complete: Whether that is all it knows.
        """
        theirs = {member.instance: member for member in claims}
        return [
            known
            for name, known in self._members.items()
            if (name in theirs and _rank(theirs[name]) < _rank(known))
            or (name not in theirs and complete and known.state in _IN_VIEW)
        ]

    def suspect(self, instance: str) -> None:
        """Notes that a member didn't answer."""
        member = self._members.get(instance)
        if member is None or member.state is MemberState.DEAD:
            return
        self._deadlines.setdefault(instance, self._clock.now() + SUSPICION_S)
        state = _AFTER_SUSPICION[member.state]
        if state is not member.state:
            self._record(msgspec.structs.replace(member, state=state))

    def answered(self, instance: str) -> None:
        """Notes that a member answered; a suspect one has to refute the suspicion itself."""
        member = self._members.get(instance)
        if member is None or member.state is not MemberState.SUSPECT:
            self._deadlines.pop(instance, None)

    def restart_deadlines(self) -> None:
        """Gives all suspects their full time again, after a pause of the own instance."""
        until = self._clock.now() + SUSPICION_S
        self._deadlines = dict.fromkeys(self._deadlines, until)

    def tick(self) -> None:
        """Buries suspects whose time is over and forgets old tombstones."""
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
        """Returns the members that changed since the last call."""
        news, self._news = tuple(self._news.values()), {}
        return news

    def refresh_view(self, renumber: bool = False) -> bool:
        """Builds the view.

        Args:
            renumber: Whether it counts as changed in any case.

        Returns:
            Whether it changed in what others act on.
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
        """Raises the own incarnation if something else is said of this instance."""
        if _rank(claim) < _rank(self._own) or claim == self._own:
            return
        if claim.address != self._own.address and not self._may_contest():
            return
        incarnation = claim.incarnation + 1
        self._own = msgspec.structs.replace(self._own, incarnation=incarnation)
        self._record(self._own)

    def _may_contest(self) -> bool:
        """Keeps two instances with one id from contradicting each other without a pause."""
        now = self._clock.now()
        if now - self._contested_at < CONTEST_INTERVAL_S:
            return False
        self._contested_at = now
        return True

    def _record(self, member: Member) -> None:
        """Takes over what is known of a member as news."""
        name = member.instance
        known = self._members.get(name)
        self._members[name] = member
        self._news[name] = member
        if known is None or _endpoint(known) != _endpoint(member):
            self._learned(member)
        self._track(member, known)

    def _track(self, member: Member, known: Member | None) -> None:
        """Starts and ends the deadline of a suspect and the tombstone of a dead member."""
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
    """What others act on; a mere rise of the incarnation changes no decision."""
    return (
        member.instance,
        member.address,
        member.peer_port,
        member.control_port,
        member.state,
    )
