"""A target as one instance sees it: its entry in the listing, its load and its health."""

from pearwell.affinity.token import token_of

__all__ = ["Target"]

NEVER = float("-inf")

# Largest growth per second of the slots that count for placement. Idle flows of a target that
# tells twice its slots would otherwise be evened out by all new flows going there at once.
SLOTS_GROWTH_PER_S = 1.1


class Target:
    """One incarnation of a target.

    Attributes:
        name: Name of the target; it may stay the same after a restart.
        tag: The 8 bytes in front of each forwarded packet that identify the target.
        service: Name of its service.
        address: IP address and UDP port.
        zone: Availability zone.
        started_ms: Start of the incarnation in Unix milliseconds; 0 if unknown.
        sequence: Number of the entry among those that the incarnation has written; 0 if unknown.
        running_since: Clock time in seconds at which it started by the number of its heartbeats, at
            most one of them too early.
        successor: Later incarnation under its name and address; None if there is none.
        draining: Whether it accepts no new flows.
        warmup_ends_at: Clock time in seconds at which its warm-up ends.
        slots: Number of requests that it runs at once; None if it doesn't tell.
        counted_slots: Slots that count for placement; they follow a rise of the slots gradually.
        token: Token that the packets of its flows carry.
        listed: Whether the platform lists it.
        lapsed: Whether its entry disappeared in an outage of the store and may come back; until
            then it gets new flows like a listed target.
        removed_at: When the platform stopped listing it, in seconds of the clock.
        gone: Whether it is confirmed that its flows cannot continue.
        token_conflict: Whether an older target has the same token, so that it gets no new flows.
        last_response_at: Clock time in seconds of the last packet that showed that it responds.
        unanswered_syns: Number of consecutive SYNs that it left unanswered.
        suspect_until: Clock time in seconds until which other targets get the new flows, if any.
        open_flows: Number of flows on it through this instance, those included that have ended or
            not yet opened.
        held_flows: Number of these that are open.
        in_flight: Number of requests of these flows that await a response.
        reported_gone: Whether an instance has reported it gone since its last response.
        doubted: Whether it was found or reported gone since its last response. An accepted
            connection doesn't end that, as its address may be another target's by now.
        probing: Whether a connection attempt is in progress or requested.
        probe_started_at: When the latest connection attempt was requested, in seconds of the clock.
        probed_at: When the latest connection attempt ended, in seconds of the clock.
        probe_answered_at: When one was last accepted, in seconds of the clock.
    """

    __slots__ = (
        "address",
        "counted_slots",
        "started_ms",
        "doubted",
        "draining",
        "gone",
        "reported_gone",
        "held_flows",
        "in_flight",
        "lapsed",
        "last_response_at",
        "listed",
        "name",
        "open_flows",
        "probe_answered_at",
        "probe_started_at",
        "probed_at",
        "probing",
        "removed_at",
        "running_since",
        "sequence",
        "service",
        "slots",
        "successor",
        "token_conflict",
        "unanswered_syns",
        "suspect_until",
        "tag",
        "token",
        "warmup_ends_at",
        "zone",
    )

    def __init__(
        self,
        name: str,
        tag: bytes,
        service: str,
        address: tuple[str, int],
        zone: str,
        started_ms: int = 0,
        draining: bool = False,
        warmup_ends_at: float = NEVER,
        slots: int | None = None,
        sequence: int = 0,
    ) -> None:
        self.name = name
        self.tag = tag
        self.service = service
        self.address = address
        self.zone = zone
        self.started_ms = started_ms
        self.draining = draining
        self.warmup_ends_at = warmup_ends_at
        self.slots = slots
        self.sequence = sequence
        self.running_since = NEVER
        self.successor: Target | None = None
        self.counted_slots: float | None = slots
        self.token = token_of(name)
        self.listed = True
        self.lapsed = False
        self.removed_at = NEVER
        self.gone = False
        self.token_conflict = False
        self.last_response_at = NEVER
        self.unanswered_syns = 0
        self.suspect_until = NEVER
        self.open_flows = 0
        self.held_flows = 0
        self.in_flight = 0
        self.reported_gone = False
        self.doubted = False
        self.probing = False
        self.probe_started_at = NEVER
        self.probed_at = NEVER
        self.probe_answered_at = NEVER

    def same_incarnation(self, other: "Target") -> bool:
        """Whether another description is of the same running process."""
        return (
            self.name == other.name
            and self.started_ms == other.started_ms
            and self.address == other.address
            and self.service == other.service
        )

    def started_after(self, other: "Target") -> bool:
        """Whether it started after another target, or after another incarnation of its own."""
        return self.started_ms > other.started_ms

    def was_written_before(self, other: "Target") -> bool:
        """Whether it describes an earlier state than another description under its name."""
        if self.started_ms != other.started_ms:
            return other.started_after(self)
        return 0 < self.sequence < other.sequence

    def adopt_slots(self) -> None:
        """Moves the slots that count toward those told; called every second."""
        if self.slots is None or self.counted_slots is None:
            self.counted_slots = self.slots
        else:
            self.counted_slots = min(self.slots, self.counted_slots * SLOTS_GROWTH_PER_S)

    def record_response(self, now: float) -> None:
        """Records that the target has responded."""
        self.reported_gone = False
        self.doubted = False
        self.last_response_at = now
        self.unanswered_syns = 0
        self.suspect_until = NEVER
