"""A target as one instance sees it: what the platform lists and what packets tell."""

from pearwell.affinity.token import token_of

__all__ = ["Target"]

NEVER = float("-inf")


class Target:
    """One incarnation of a target.

    Attributes:
        name: Identity of the target; a restart may keep it.
        tag: The 8 bytes before each packet that name the intended target.
        service: Name of its service.
        address: IP address and UDP port.
        zone: Availability zone.
        born: Start of the incarnation in Unix milliseconds; 0 if not told.
        draining: Whether it takes no new flows any more.
        warm_at: Time in seconds of the clock at which it is no longer slow from its start.
        token: What the packets of its flows carry.
        listed: Whether the platform lists it.
        lapsed: Whether its entry may be back soon, as the store was away; until then it takes new
            flows like a listed one.
        removed_at: When the platform stopped listing it, in seconds of the clock.
        gone: Whether it is certain that no flow lives on it.
        shadowed: Whether another target owns the same token, so that it can't take new flows.
        life_at: Latest evidence in its flows' packets that it answers, in seconds of the clock.
        strikes: Flow starts in a row that it left unanswered.
        suspect_until: End of the time in which it gets no new flows, in seconds of the clock.
        open_flows: Flows of this instance that it holds.
        in_flight: Requests of these flows without an answer so far.
        hinted: Whether another instance has found it gone.
        probing: Whether a connection attempt is to settle if it is gone.
        probed_at: When the latest attempt ended, in seconds of the clock.
    """

    __slots__ = (
        "address",
        "born",
        "draining",
        "gone",
        "hinted",
        "in_flight",
        "lapsed",
        "life_at",
        "listed",
        "name",
        "open_flows",
        "probed_at",
        "probing",
        "removed_at",
        "service",
        "shadowed",
        "strikes",
        "suspect_until",
        "tag",
        "token",
        "warm_at",
        "zone",
    )

    def __init__(
        self,
        name: str,
        tag: bytes,
        service: str,
        address: tuple[str, int],
        zone: str,
        born: int = 0,
        draining: bool = False,
        warm_at: float = NEVER,
    ) -> None:
        self.name = name
        self.tag = tag
        self.service = service
        self.address = address
        self.zone = zone
        self.born = born
        self.draining = draining
        self.warm_at = warm_at
        self.token = token_of(name)
        self.listed = True
        self.lapsed = False
        self.removed_at = NEVER
        self.gone = False
        self.shadowed = False
        self.life_at = NEVER
        self.strikes = 0
        self.suspect_until = NEVER
        self.open_flows = 0
        self.in_flight = 0
        self.hinted = False
        self.probing = False
        self.probed_at = NEVER

    def same_incarnation(self, other: "Target") -> bool:
        """Whether another description is of the same running program."""
        return (
            self.name == other.name
            and self.born == other.born
            and self.address == other.address
            and self.service == other.service
        )

    def alive(self, now: float) -> None:
        """Takes evidence that the target answers."""
        self.life_at = now
        self.strikes = 0
        self.suspect_until = NEVER
