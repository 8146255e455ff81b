"""Admission control for new flows: limits per service, caller prefix and target.

The limits of a zone are divided evenly among its live instances. For a limited service, packets of
new flows are forwarded to the owner of their bucket, which caches its recent decisions. A
retransmitted SYN therefore gets the same decision as the original, whichever instance receives it.
When the cache is lost with its owner, the decision still mostly follows from the flow hash (see
`rate_limit`).
"""

import random
from collections.abc import Mapping

from xxhash import xxh3_64_intdigest

from pearwell.clock import Clock
from pearwell.errors import Code, InvariantError
from pearwell.model.configuration import Configuration
from pearwell.model.group import TargetIntent
from pearwell.model.service import FlowLimits
from pearwell.targets.drain import TargetDrain
from pearwell.targets.rate_limit import OpenFlowLimit, RateLimit, RecentDecisions

__all__ = ["Admission"]

PREFIX_ROWS = 2
PREFIX_CELLS_PER_ROW = 2048
_HASH_RANGE = float(1 << 64)


class Admission:
    """Admission control of one instance.

    Args:
        clock: Source of monotonic time.
        rng: Source of the hash salt that makes prefix cells unpredictable to callers.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._salt = rng.getrandbits(64)
        self._live_instances = 1
        self._services: dict[str, _ServiceLimits] = {}
        self._drains = _Drains(clock)

    def configure(self, configuration: Configuration) -> None:
        """Applies the limits of all services; limits that don't change keep their state."""
        self._drains.configure(configuration)
        previous = self._services
        self._services = {}
        for name, service in configuration.services.items():
            if service.limits == FlowLimits():
                continue
            service_limits = previous.get(name)
            if service_limits is None or service_limits.limits != service.limits:
                service_limits = _ServiceLimits(name, service.limits, self._salt, self._clock.now())
                service_limits.divide_among(self._live_instances)
            group = configuration.groups.get(service.group)
            service_limits.keep_targets(
                {target.name for target in group.targets} if group else set()
            )
            self._services[name] = service_limits

    def set_live_instances(self, live_instances: int) -> None:
        """Divides every limit among the live instances of the zone."""
        self._live_instances = max(1, live_instances)
        for limits in self._services.values():
            limits.divide_among(self._live_instances)

    def limited(self, service: str) -> bool:
        """Whether bucket owners decide on new flows: there are limits or leaving targets."""
        return service in self._services or service in self._drains.services

    def admit(self, service: str, caller_prefix: bytes, target: str, flow_hash: int) -> Code:
        """Decides whether to admit a new flow; a recent decision on the same flow is reused.

        Args:
            service: Name of the service.
            caller_prefix: Network prefix of the caller.
            target: Name of the target selected for the flow; empty if there is none.
            flow_hash: Hash of the 5-tuple.

        Returns:
            OK, or the code of the reason why the flow is refused.
        """
        limits = self._services.get(service)
        if limits is None:
            return self._check_target(service, target)
        now = self._clock.now()
        decision = limits.decisions.find(flow_hash, now)
        if decision is None:
            decision = self._check_target(service, target)
            if decision is Code.OK:
                decision = limits.decide(caller_prefix, target, flow_hash, now)
            limits.decisions.store(flow_hash, decision, now)
        return decision

    def ended(self, service: str, target: str) -> None:
        """Records the end of a flow."""
        limits = self._services.get(service)
        if limits is not None:
            limits.ended(target)

    def update_open_flows(self, service: str, open_flows: Mapping[str, int]) -> None:
        """Updates the number of open flows of a service in the zone, per target."""
        limits = self._services.get(service)
        if limits is not None:
            limits.update_reported(open_flows)

    def check_forwarded(self, service: str, flow_hash: int) -> None:
        """Asserts that a flow whose packet is forwarded to a target wasn't refused.

        Raises:
            InvariantError: INVARIANT_VIOLATED if this instance refused the flow.
        """
        limits = self._services.get(service)
        decision = limits.decisions.find(flow_hash, self._clock.now()) if limits else None
        if decision is not None and decision is not Code.OK:
            detail = f"packet of a refused flow of service {service} was forwarded to a target"
            raise InvariantError(Code.INVARIANT_VIOLATED, detail)

    def _check_target(self, service: str, target: str) -> Code:
        """Refuses flows that have no target or whose target's grace period has passed."""
        if target and self._drains.accepts_new_flows(service, target):
            return Code.OK
        return Code.REFUSED_NO_TARGET


class _Drains:
    """The leaving targets of all services.

    The placement normally moves new flows to other targets within the grace period. This check
    refuses new flows if the placement takes longer.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_group: dict[str, dict[str, TargetDrain]] = {}
        self._groups: dict[str, str] = {}

    @property
    def services(self) -> Mapping[str, str]:
        """Group names by service, for the services that have a leaving target."""
        return self._groups

    def configure(self, configuration: Configuration) -> None:
        previous, self._by_group = self._by_group, {}
        for name, group in configuration.groups.items():
            existing = previous.get(name, {})
            leaving = (t.name for t in group.targets if t.intent is TargetIntent.LEAVING)
            drains = {target: existing.get(target) or self._start(target) for target in leaving}
            if drains:
                self._by_group[name] = drains
        services = configuration.services.values()
        self._groups = {s.name: s.group for s in services if s.group in self._by_group}

    def accepts_new_flows(self, service: str, target: str) -> bool:
        group = self._groups.get(service, "")
        drain = self._by_group.get(group, {}).get(target)
        return drain is None or drain.accepts_new_flows

    def _start(self, target: str) -> TargetDrain:
        drain = TargetDrain(target, self._clock)
        drain.start()
        return drain


class _ServiceLimits:
    """The limits of one service and its recent admission decisions."""

    def __init__(self, name: str, limits: FlowLimits, salt: int, now: float) -> None:
        self.limits = limits
        self.decisions = RecentDecisions()
        self._seed = xxh3_64_intdigest(name.encode())
        self._instance_count = 1
        self._rate_limit = _optional_rate_limit(limits.new_flows_per_s, now)
        self._open_limit = _optional_open_limit(limits.open_flows)
        self._prefixes = _PrefixLimits(limits.prefix_new_flows_per_s, salt)
        self._target_rates: dict[str, RateLimit] = {}
        self._target_open: dict[str, OpenFlowLimit] = {}

    def divide_among(self, live_instances: int) -> None:
        self._instance_count = live_instances
        if self._rate_limit is not None:
            self._rate_limit.set_rate(self.limits.new_flows_per_s / live_instances)
        self._prefixes.divide_among(live_instances)
        for rate in self._target_rates.values():
            rate.set_rate(self.limits.target_new_flows_per_s / live_instances)

    def keep_targets(self, names: set[str]) -> None:
        self._target_rates = {n: r for n, r in self._target_rates.items() if n in names}
        self._target_open = {n: o for n, o in self._target_open.items() if n in names}

    def decide(self, prefix: bytes, target: str, flow_hash: int, now: float) -> Code:
        """Checks the narrowest limit first; flows it refuses don't count against wider ones."""
        key = flow_hash.to_bytes(8, "big")
        passed_limits: list[RateLimit] = []
        if not self._prefixes.offer(prefix, self._hash_fraction(key, 1), now, passed_limits):
            return Code.REFUSED_PREFIX_RATE
        code = self._decide_target(target, key, now, passed_limits)
        if code is Code.OK:
            code = self._decide_service(key, now, passed_limits)
        if code is Code.OK:
            self._record_admission(target, passed_limits)
        return code

    def ended(self, target: str) -> None:
        if self._open_limit is not None:
            self._open_limit.ended()
        if self.limits.target_open_flows:
            self._open_limit_of(target).ended()

    def update_reported(self, open_flows: Mapping[str, int]) -> None:
        if self._open_limit is not None:
            self._open_limit.update_reported(sum(open_flows.values()))
        if self.limits.target_open_flows:
            for target, count in open_flows.items():
                self._open_limit_of(target).update_reported(count)

    def _decide_target(
        self, target: str, key: bytes, now: float, passed_limits: list[RateLimit]
    ) -> Code:
        if self.limits.target_new_flows_per_s:
            rate = self._rate_limit_of(target, now)
            passed_limits.append(rate)
            if not rate.offer(self._hash_fraction(key, 2), now):
                return Code.REFUSED_TARGET_RATE
        if not self.limits.target_open_flows:
            return Code.OK
        if self._open_limit_of(target).admits(self._hash_fraction(key, 3), self._instance_count):
            return Code.OK
        return Code.REFUSED_TARGET_OPEN_FLOWS

    def _decide_service(self, key: bytes, now: float, passed_limits: list[RateLimit]) -> Code:
        if self._rate_limit is not None:
            passed_limits.append(self._rate_limit)
            if not self._rate_limit.offer(self._hash_fraction(key, 4), now):
                return Code.REFUSED_SERVICE_RATE
        if self._open_limit is not None and not self._open_limit.admits(
            self._hash_fraction(key, 5), self._instance_count
        ):
            return Code.REFUSED_SERVICE_OPEN_FLOWS
        return Code.OK

    def _record_admission(self, target: str, passed_limits: list[RateLimit]) -> None:
        for rate in passed_limits:
            rate.consume()
        if self._open_limit is not None:
            self._open_limit.started()
        if self.limits.target_open_flows:
            self._open_limit_of(target).started()

    def _hash_fraction(self, key: bytes, salt: int) -> float:
        return xxh3_64_intdigest(key, self._seed ^ salt) / _HASH_RANGE

    def _rate_limit_of(self, target: str, now: float) -> RateLimit:
        rate = self._target_rates.get(target)
        if rate is None:
            share = self.limits.target_new_flows_per_s / self._instance_count
            rate = self._target_rates[target] = RateLimit(share, now)
        return rate

    def _open_limit_of(self, target: str) -> OpenFlowLimit:
        limit = self._target_open.get(target)
        if limit is None:
            limit = self._target_open[target] = OpenFlowLimit(self.limits.target_open_flows)
        return limit


class _PrefixLimits:
    """Rate limits per caller prefix in a hashed table of fixed size.

    A prefix maps to one cell in each row and is refused only if all of its cells refuse it, so a
    flooding prefix affects only the few prefixes that collide with it in every row.
    """

    def __init__(self, limit: int, salt: int) -> None:
        self._limit = limit
        self._instance_count = 1
        self._salt = salt
        self._cells: dict[tuple[int, int], RateLimit] = {}

    def divide_among(self, live_instances: int) -> None:
        self._instance_count = live_instances
        for cell in self._cells.values():
            cell.set_rate(self._limit / live_instances)

    def offer(
        self, prefix: bytes, hash_fraction: float, now: float, passed_limits: list[RateLimit]
    ) -> bool:
        if not self._limit:
            return True
        digest = xxh3_64_intdigest(prefix, self._salt)
        admits = False
        for row in range(PREFIX_ROWS):
            cell = self._cell(row, digest >> (row * 32) & (PREFIX_CELLS_PER_ROW - 1), now)
            if cell.offer(hash_fraction, now):
                passed_limits.append(cell)
                admits = True
        return admits

    def _cell(self, row: int, column: int, now: float) -> RateLimit:
        cell = self._cells.get((row, column))
        if cell is None:
            cell = self._cells[row, column] = RateLimit(self._limit / self._instance_count, now)
        return cell


def _optional_rate_limit(limit: int, now: float) -> RateLimit | None:
    return RateLimit(limit, now) if limit else None


def _optional_open_limit(limit: int) -> OpenFlowLimit | None:
    return OpenFlowLimit(limit) if limit else None
