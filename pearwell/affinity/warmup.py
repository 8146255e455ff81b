"""Limit on the flows started on targets that are warming up.

A cold target bears only a rate of starts that the configuration tells, summed over all instances.
Each instance takes its share by turns: times at which it may start one flow on the target. A turn
that isn't used soon lapses. Instances without traffic therefore save nothing up that a wave of
clients would release at once.

Turns of different instances fall together at random, as their clocks aren't in step. Their
interval is chosen so that even then the starts of any second exceed the allowance at most with
MAX_EXCESS_PROBABILITY; instances that are so few that they can't exceed it take the full rate.

Once a target is warm it has fewer flows than the others and would get every new flow of every
instance. Its part of the new flows therefore grows from twice the even one.
"""

from collections.abc import Callable
from math import ceil, floor, inf, log

from pearwell.affinity.directory import Directory
from pearwell.affinity.routes import RouteTable
from pearwell.affinity.target import Target
from pearwell.text_metrics import Sample

__all__ = ["WarmupLimit", "turn_interval_s"]

# Time in seconds after which an unused turn lapses.
TURN_S = 0.2
# Largest probability that more starts than allowed fall into one second, with all turns used.
MAX_EXCESS_PROBABILITY = 1e-6
# Instances for one that is known: some may have started since the others were told.
GROWTH = 1.25
# Time in seconds for which an interval is used before the size of the fleet is read again.
REFRESH_S = 0.25
# Part of new flows for which a target is considered once it is warm, as a multiple of an even part,
# and the time in seconds in which it doubles.
FIRST_WARM_SHARE = 2.0
WARM_SHARE_DOUBLING_S = 5.0
# Interval in seconds that is longer than any warm-up, in place of infinity.
MAX_INTERVAL_S = 1e12
_BISECTIONS = 40


class _Turns:
    """The turns of this instance on one target.

    Attributes:
        next_at: Start of the next unused turn in seconds of the clock.
        interval_s: Time in seconds between the starts of two turns.
        starts: Number of SYNs sent to the target while it was cold.
        held_back: Number of new flows for which it wasn't considered.
        warm_since: Clock time in seconds at which its warm-up had ended; None before.
    """

    __slots__ = ("held_back", "interval_s", "next_at", "starts", "warm_since")

    def __init__(self, next_at: float, interval_s: float) -> None:
        self.next_at = next_at
        self.interval_s = interval_s
        self.starts = 0
        self.held_back = 0
        self.warm_since: float | None = None

    def is_open(self, now: float) -> bool:
        """Whether a turn has started and hasn't lapsed; moves on from turns that have."""
        lapsed_s = now - self.next_at - min(self.interval_s, TURN_S)
        if lapsed_s >= 0:
            self.next_at += self.interval_s * (floor(lapsed_s / self.interval_s) + 1)
        return self.next_at <= now

    def use(self) -> None:
        """Uses one turn, the next one if none is open."""
        self.starts += 1
        self.next_at += self.interval_s

    def set_interval(self, interval_s: float, now: float) -> None:
        """Changes the interval; what is left until the next turn changes in proportion."""
        if interval_s == self.interval_s:
            return
        if self.next_at > now:
            left = (self.next_at - now) / self.interval_s
            self.next_at = now + left * interval_s
        self.interval_s = interval_s


class WarmupLimit:
    """Limits the flows that this instance starts on cold targets; a StartLimit.

    It answers targets that come back cold under a load above what they bear: a zone taken back
    after an evacuation, the return of power, a release.

    Args:
        routes: Routes and services in force.
        directory: Targets.
        fleet_size: Returns the number of instances at a clock time in seconds.
        overage: Factor by which all instances together may exceed a rate in one second.
        slack: Number of starts by which they may exceed it besides.
        random: Returns random numbers between 0 and 1.
        log: Logs an event's name and its fields.
    """

    def __init__(
        self,
        routes: RouteTable,
        directory: Directory,
        fleet_size: Callable[[float], int],
        overage: float,
        slack: float,
        random: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        self._routes = routes
        self._directory = directory
        self._fleet_size = fleet_size
        self._overage = overage
        self._slack = slack
        self._random = random
        self._log = log
        self._turns: dict[Target, _Turns] = {}
        # By service: end of its validity, rate, size of the fleet, interval in seconds.
        self._intervals: dict[str, tuple[float, float, int, float]] = {}
        # Number of warm targets by service, without those whose part of the new flows still grows.
        self._warm_counts: dict[str, int] = {}
        self._starts = 0
        self._held_back = 0
        self._version = -1
        self._active = False

    @property
    def active(self) -> bool:
        """Whether the configuration in force has a rate."""
        if self._version != self._routes.version:
            self._version = self._routes.version
            self._active = self._routes.has_warmup_rate
        return self._active

    def allows(self, target: Target, now: float) -> bool:
        """Whether a target may get a new flow."""
        turns = self._turns.get(target) if self._turns else None
        if now >= target.warmup_ends_at:
            return turns is None or self._allows_warm(target, turns, now)
        if self._rate(target) is None:
            return True
        if turns is None or turns.warm_since is not None:
            turns = self._add(target, now)
        turns.set_interval(self._interval_s(target, now), now)
        if turns.is_open(now):
            return True
        self._held_back += 1
        turns.held_back += 1
        if turns.held_back == 1:
            _, rate, size, interval_s = self._intervals[target.service]
            self._log(
                "warmup_limited",
                target=target.name,
                service=target.service,
                per_s=rate,
                instances=size,
                turn_every_s=round(interval_s, 3),
                left_s=round(target.warmup_ends_at - now, 3),
            )
        return False

    def record_start(self, target: Target, now: float) -> None:
        """Records that the SYN of a flow is sent to a target."""
        if now >= target.warmup_ends_at or self._rate(target) is None:
            return
        turns = self._turns.get(target)
        if turns is None or turns.warm_since is not None:
            turns = self._add(target, now)
        turns.use()
        self._starts += 1

    def tick(self, now: float) -> None:
        """Runs periodic work; called every second."""
        for target, turns in [*self._turns.items()]:
            is_limited = self._rate(target) is not None and not target.gone
            if is_limited and now < target.warmup_ends_at:
                continue
            self._record_warm(target, turns, now)
            if not is_limited or self._warm_share(target, turns, now) >= 1:
                del self._turns[target]
        for service in {target.service for target in self._turns}:
            self._warm_counts[service] = sum(
                not (target.draining or target.gone or target in self._turns)
                for target in self._directory.find_by_service(service)
            )

    def samples(self) -> list[Sample]:
        """Returns the counters for the metrics endpoint."""
        return [
            ("warmup_starts_total", "counter", {}, self._starts),
            ("warmup_held_back_total", "counter", {}, self._held_back),
        ]

    def _rate(self, target: Target) -> float | None:
        service = self._routes.find_service(target.service)
        return None if service is None else service.warmup_starts_per_s

    def _add(self, target: Target, now: float) -> _Turns:
        interval_s = self._interval_s(target, now)
        turns = self._turns[target] = _Turns(now + self._random() * interval_s, interval_s)
        return turns

    def _interval_s(self, target: Target, now: float) -> float:
        rate = self._rate(target)
        assert rate is not None
        valid_until, known_rate, size, interval_s = self._intervals.get(
            target.service, (-inf, 0.0, 0, 0.0)
        )
        if now < valid_until and rate == known_rate:
            return interval_s
        new_size = self._fleet_size(now)
        if (new_size, rate) != (size, known_rate):
            interval_s = turn_interval_s(new_size, rate, rate * self._overage + self._slack)
        self._intervals[target.service] = now + REFRESH_S, rate, new_size, interval_s
        return interval_s

    def _allows_warm(self, target: Target, turns: _Turns, now: float) -> bool:
        self._record_warm(target, turns, now)
        share = self._warm_share(target, turns, now)
        return share >= 1 or self._random() < share

    def _warm_share(self, target: Target, turns: _Turns, now: float) -> float:
        """Returns the part of new flows for which a warm target is considered."""
        warm_count = self._warm_counts.get(target.service, 0)
        if not warm_count or turns.warm_since is None or self._rate(target) is None:
            return 1.0
        doublings = (now - turns.warm_since) / WARM_SHARE_DOUBLING_S
        return FIRST_WARM_SHARE / warm_count * 2**doublings

    def _record_warm(self, target: Target, turns: _Turns, now: float) -> None:
        if turns.warm_since is not None:
            return
        turns.warm_since = now
        if turns.held_back:
            self._log(
                "warmup_limited_end",
                target=target.name,
                service=target.service,
                starts=turns.starts,
                held_back=turns.held_back,
            )


def turn_interval_s(instances: int, rate: float, allowance: float) -> float:
    """Returns the time in seconds between two turns of one instance, MAX_INTERVAL_S at most.

    Args:
        instances: Number of instances.
        rate: Starts per second of all instances together that the turns may reach.
        allowance: Maximum number of starts in any one second.
    """
    most = floor(allowance)
    count = ceil(GROWTH * instances)
    low, high = 0.0, rate / instances
    if _stays_within(most, count, high):
        return min(MAX_INTERVAL_S, 1 / high)
    for _ in range(_BISECTIONS):
        middle = (low + high) / 2
        low, high = (middle, high) if _stays_within(most, count, middle) else (low, middle)
    return min(MAX_INTERVAL_S, 1 / low) if low else MAX_INTERVAL_S


def _stays_within(most: int, count: int, turns_per_s: float) -> bool:
    """Whether starts hardly ever exceed a number in one second, with all turns used.

    The starts of one second come from turns that start in that second or up to the life of a turn
    before it. Of an instance these are a whole number and at random one more, so that the sum over
    all instances has a binomial distribution, whose tail has Chernoff's bound.
    """
    expected = turns_per_s * (1 + min(1 / turns_per_s, TURN_S))
    whole = floor(expected)
    excess = most + 1 - count * whole
    if excess > count:
        return True
    if excess <= 0:
        return False
    chance, share = expected - whole, excess / count
    if share <= chance:
        return False
    if not chance:
        return True
    exponent = share * log(share / chance)
    if share < 1:
        exponent += (1 - share) * log((1 - share) / (1 - chance))
    return count * exponent >= -log(MAX_EXCESS_PROBABILITY)
