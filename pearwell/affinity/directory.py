"""Directory of targets: lookup by service for new flows, by token for packets of open flows.

A target that the platform no longer lists keeps its flows until it is confirmed gone. Entries
lapse during an outage of the platform's store while their targets keep serving, so a missing entry
alone does not prove that its target is gone. A store that is restored from a copy may list entries
from before their targets left, restarted or got a reused address.
"""

from collections.abc import Iterable, Iterator

from pearwell.affinity.target import Target

# True for type checkers only: the module is imported with the first outdated entry.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from pearwell.affinity.outdated_entries import OutdatedEntries

__all__ = ["DEFAULT_HEARTBEAT_S", "RELISTING_S", "Change", "Directory"]

# Time after a store outage in which lapsed entries reappear: about 2 s according to the platform's
# service discovery documentation, plus half a second for the delay of the watch.
RELISTING_S = 2.5
# Interval of the heartbeats of targets if the platform doesn't tell it.
DEFAULT_HEARTBEAT_S = 1.2
# Maximum lifetime of a flow on the platform (MaxFlowS); an unlisted target has no flows after it.
MAX_FLOW_LIFETIME_S = 60.0

# A change to the directory: the event's name and the target.
Change = tuple[str, Target]


class Directory:
    """All targets known to an instance, by name, token and service.

    Args:
        heartbeat_s: Interval in seconds of the heartbeats of targets.
    """

    def __init__(self, heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> None:
        self._heartbeat_s = heartbeat_s
        self._outdated: OutdatedEntries | None = None
        self._newly_gone: list[Target] = []
        self._by_name: dict[str, Target] = {}
        self._by_token: dict[int, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._unlisted: dict[str, Target] = {}
        self._known = False

    @property
    def known(self) -> bool:
        """Whether a complete listing has been applied."""
        return self._known

    @property
    def unlisted(self) -> Iterable[Target]:
        """Targets that are no longer listed but may still have flows."""
        return self._unlisted.values()

    def __iter__(self) -> Iterator[Target]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def take_newly_gone(self) -> list[Target]:
        """Returns the targets that were marked as gone since the last call."""
        newly_gone, self._newly_gone = self._newly_gone, []
        return newly_gone

    def mark_gone(self, target: Target) -> None:
        """Marks a target as gone."""
        target.gone = True
        target.lapsed = False
        if not target.listed:
            self._remove_from_service(target)
        self._newly_gone.append(target)

    def find_by_token(self, token: int) -> Target | None:
        """Returns the target that a token identifies, or None."""
        return self._by_token.get(token)

    def find_by_name(self, name: str) -> Target | None:
        """Returns the target with a name, listed or not, or None."""
        return self._by_name.get(name) or self._unlisted.get(name)

    def find_by_service(self, service: str) -> list[Target]:
        """Returns the listed and lapsed targets of a service, draining ones included."""
        return self._by_service.get(service, [])

    def replace(self, listing: Iterable[Target], now: float, trusted: bool = True) -> list[Change]:
        """Applies a complete listing and returns the changes.

        Args:
            listing: All listed targets.
            now: Current time in seconds of the clock.
            trusted: Whether the store has been available long enough for lapsed entries to
                reappear.
        """
        listed_targets = {target.name: target for target in listing}
        changes = [
            change
            for name in [*self._by_name]
            if name not in listed_targets
            for change in self.remove(name, now, trusted)
        ]
        for target in listed_targets.values():
            changes.extend(self.put(target, now, trusted))
        self._known = True
        return changes

    def put(self, target: Target, now: float, trusted: bool = True) -> list[Change]:
        """Adds or updates one listed target and returns the changes.

        An entry that is older than what is known of its target waits for confirm_outdated().

        Args:
            target: The listed target.
            now: Current time in seconds of the clock.
            trusted: Whether the store has been available long enough for entries to be written
                again; until then an entry may be older than what is known.
        """
        target.running_since = now - target.sequence * self._heartbeat_s
        current = self.find_by_name(target.name)
        if current is not None and self._is_outdated(target, current, trusted):
            if self._outdated is None:
                from pearwell.affinity.outdated_entries import OutdatedEntries

                self._outdated = OutdatedEntries(self._heartbeat_s)
            is_new = self._outdated.add(target, now)
            return [("target_outdated", target)] if is_new else []
        self._discard_outdated(target.name)
        return self._apply(target, trusted)

    def confirm_outdated(self, complete_at: float, store_healthy_since: float) -> list[Change]:
        """Applies the older entries that are kept up by their targets and returns the changes.

        Args:
            complete_at: Clock time in seconds until which all entries are known.
            store_healthy_since: Clock time in seconds since which no call to the store has failed.
        """
        if self._outdated is None:
            return []
        return [
            change
            for target in self._outdated.take_confirmed(complete_at, store_healthy_since)
            for change in self._apply(target, trusted=True)
        ]

    def _is_outdated(self, target: Target, current: Target, trusted: bool) -> bool:
        if not target.was_written_before(current):
            return False
        # A store that is restored lists the latest entry that it has of a target that lives.
        reappears = not trusted and not current.listed
        return not (reappears and current.same_incarnation(target))

    def _discard_outdated(self, name: str) -> None:
        if self._outdated is not None:
            self._outdated.discard(name)

    def _apply(self, target: Target, trusted: bool) -> list[Change]:
        current = self.find_by_name(target.name)
        if current is not None and current.same_incarnation(target):
            return self._update(current, target, trusted)
        changes: list[Change] = []
        if current is not None:
            self._by_name.pop(current.name, None)
            self._unlisted.pop(current.name, None)
            current.listed = False
            if current.address == target.address and current.service == target.service:
                current.successor = target
            self.mark_gone(current)
            changes.append(("target_restarted", target))
        else:
            changes.append(("target_listed", target))
        self._by_name[target.name] = target
        self._by_service.setdefault(target.service, []).append(target)
        self._claim_token(target)
        for other in self._unlisted.values():
            is_earlier = not other.started_after(target)
            if other.address == target.address and not other.gone and is_earlier:
                self.mark_gone(other)
                changes.append(("target_address_reused", other))
        return changes

    def remove(self, name: str, now: float, trusted: bool = True) -> list[Change]:
        """Removes a target from the listing and returns the changes.

        After a store outage the entry may have lapsed although the target keeps serving. The
        target then accepts new flows until expire() finds the entry still missing.
        """
        self._discard_outdated(name)
        target = self._by_name.pop(name, None)
        if target is None:
            return []
        target.listed = False
        target.removed_at = now
        self._unlisted[name] = target
        target.lapsed = not trusted and not target.draining
        if target.lapsed:
            return [("target_lapsed", target)]
        self._remove_from_service(target)
        if target.draining and trusted:
            # The platform removes a draining target's entry once the target has stopped.
            self.mark_gone(target)
            return [("target_left", target)]
        return [("target_unlisted", target)]

    def expire(self, now: float, store_healthy_since: float) -> list[Change]:
        """Marks unlisted targets as gone, and removes them after the maximum flow lifetime.

        A target counts as gone RELISTING_S after the latest of its removal from the listing, the
        recovery of the store and its last response.

        Args:
            now: Current time in seconds of the clock.
            store_healthy_since: Clock time in seconds since which no call to the store has failed.
        """
        changes: list[Change] = []
        for target in [*self._unlisted.values()]:
            if target.lapsed and now - store_healthy_since >= RELISTING_S:
                target.lapsed = False
                self._remove_from_service(target)
                changes.append(("target_unlisted", target))
            since = max(target.removed_at, store_healthy_since, target.last_response_at)
            if not target.gone and now - since >= RELISTING_S:
                self.mark_gone(target)
                changes.append(("target_gone", target))
            if now - target.removed_at >= MAX_FLOW_LIFETIME_S:
                del self._unlisted[target.name]
                self._release_token(target)
        return changes

    def _update(self, current: Target, update: Target, trusted: bool) -> list[Change]:
        changes: list[Change] = []
        draining = update.draining or (current.draining and not trusted)
        if not current.listed:
            del self._unlisted[current.name]
            if not current.lapsed:
                self._by_service.setdefault(current.service, []).append(current)
            current.listed = True
            current.lapsed = False
            current.gone = False
            self._by_name[current.name] = current
            self._claim_token(current)
            changes.append(("target_listed", current))
        if current.draining != draining:
            changes.append(("target_draining" if draining else "target_ready", update))
        if current.slots != update.slots:
            changes.append(("target_slots_changed", update))
        current.draining = draining
        current.warmup_ends_at = update.warmup_ends_at
        current.slots = update.slots
        current.zone = update.zone
        current.sequence = update.sequence
        return changes

    def _remove_from_service(self, target: Target) -> None:
        members = self._by_service.get(target.service, [])
        if target in members:
            members.remove(target)

    def _release_token(self, target: Target) -> None:
        if self._by_token.get(target.token) is target:
            del self._by_token[target.token]
        for other in self._by_name.values():
            if other.token_conflict and other.token == target.token:
                self._claim_token(other)

    def _claim_token(self, target: Target) -> None:
        """Assigns the token to the older of two listed targets; the other gets no new flows."""
        owner = self._by_token.get(target.token)
        if owner is not None and owner.listed and owner.name != target.name:
            target.token_conflict = (owner.started_ms, owner.name) <= (
                target.started_ms,
                target.name,
            )
            if target.token_conflict:
                return
            owner.token_conflict = True
        target.token_conflict = False
        self._by_token[target.token] = target
